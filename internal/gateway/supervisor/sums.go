package supervisor

import (
	"context"
	"encoding/json"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// sumInterval is the time between two sums of the loads of a data centre.
	sumInterval = 150 * time.Millisecond
	// changesBetweenWholeSums is the number of sums with only the changed targets between
	// two whole sums.
	changesBetweenWholeSums = 3
	// sumTTL is how long a whole sum is valid. The next one arrives before that, also if
	// a datagram is lost or another instance has taken over as representative.
	sumTTL = 1500 * time.Millisecond
	// sumReceivers is the number of instances of each other data centre that a sum is
	// sent to: the first may just have failed.
	sumReceivers = 2
)

// sendSums sends the sum of the loads of this data centre to the other ones while this
// instance is its representative, so that the number of messages between data centres
// does not grow with the square of the number of instances.
func (s *Supervisor) sendSums(ctx context.Context) {
	ticker := time.NewTicker(sumInterval)
	defer ticker.Stop()
	lastSum := map[string]balancer.Load{}
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peers := s.informer.Peers()
		cell := s.cellOf(peers)
		if cell == nil || !s.isRepresentative(cell) {
			count = -1 // a new representative starts with a whole sum
			continue
		}
		sequence, loads := s.balancer.SumLoads(namesOf(cell))
		isWhole := count%(changesBetweenWholeSums+1) == 0
		changed := loads
		if !isWhole {
			changed = balancer.DiffLoads(lastSum, loads)
		}
		lastSum = loads
		if len(changed) > 0 || isWhole {
			sum := s.encodeLoads(sequence, changed)
			sum.DataCentre, sum.IsWhole = s.settings.DataCentre, isWhole
			s.sendSum(s.remoteReceivers(peers), sum)
		}
	}
}

func (s *Supervisor) sendSum(peers []informer.Peer, sum messenger.GatewayLoad) {
	body, err := json.Marshal(sum)
	if err != nil {
		s.log.Error(err, "sum of loads not encoded")
		return
	}
	s.sendDatagrams(peers, body)
}

// handleDatagram applies the load in a datagram. The representative of this data centre
// passes the sum of another one on to its local peers. It does so only once: while two
// instances both act as representative, they must not pass a sum back and forth.
func (s *Supervisor) handleDatagram(load messenger.GatewayLoad) {
	s.applyLoad(load, time.Now().Add(sumTTL))
	s.balancer.LearnReads(decodeReads(load.Reads))
	if load.DataCentre == "" || load.IsPassedOn {
		return
	}
	local := s.localPeers(s.informer.Peers())
	if s.isRepresentative(local) {
		load.IsPassedOn = true
		s.sendSum(local, load)
	}
}

// isRepresentative reports whether this instance is the representative of its data
// centre, given its peers there. The representative is the first of its instances by name
// that is not silent; it sends the sums of its data centre and passes those of others on.
func (s *Supervisor) isRepresentative(local []informer.Peer) bool {
	return len(s.predecessors(local)) == 0
}

// predecessors returns the peers of this data centre that precede this instance, in the
// order of their names, on which all instances agree. A silent peer is left out well
// before it expires.
func (s *Supervisor) predecessors(local []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	silence := time.Duration(maxSilentIntervals * float64(s.informer.Interval()))
	for _, peer := range local { // ordered by name
		if peer.LastStatus.Instance < s.settings.Instance && time.Since(peer.ReceivedAt) < silence {
			out = append(out, peer)
		}
	}
	return out
}

// remoteReceivers returns the first ready instances of each other data centre.
func (s *Supervisor) remoteReceivers(peers []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	count := map[string]int{}
	for _, peer := range peers { // ordered by name
		centre := peer.LastStatus.DataCentre
		if centre == s.settings.DataCentre || peer.LastStatus.Leaving || !peer.LastStatus.Ready || count[centre] >= sumReceivers {
			continue
		}
		count[centre]++
		out = append(out, peer)
	}
	return out
}

func namesOf(peers []informer.Peer) []string {
	out := make([]string, 0, len(peers))
	for _, peer := range peers {
		out = append(out, peer.LastStatus.Instance)
	}
	return out
}

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
	// sumsBetween is the number of sums that tell changes alone between two whole ones.
	sumsBetween = 3
	// sumLife is how long a whole sum counts: the next one is there by then, also if a
	// datagram is lost or another instance has taken over.
	sumLife = 1500 * time.Millisecond
	// sumReaders is the number of instances of another data centre that hear a sum: the
	// first may have been lost just now.
	sumReaders = 2
)

// relayLoads tells other data centres the loads of this one as one sum while this
// instance is the first of it, so that the messages between data centres do not grow
// with the square of the number of instances.
func (s *Supervisor) relayLoads(ctx context.Context) {
	ticker := time.NewTicker(sumInterval)
	defer ticker.Stop()
	told := map[string]balancer.Load{}
	for count := 0; ; count++ {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		peers := s.informer.Peers()
		cell := s.cellOf(peers)
		if cell == nil || !s.isFirst(cell) {
			count = -1 // whoever begins tells all first
			continue
		}
		sequence, loads := s.balancer.Sum(namesOf(cell))
		isWhole := count%(sumsBetween+1) == 0
		changed := loads
		if !isWhole {
			changed = balancer.Changed(told, loads)
		}
		told = loads
		if len(changed) > 0 || isWhole {
			sum := s.encodeLoads(sequence, changed)
			sum.DataCentre, sum.IsWhole = s.settings.DataCentre, isWhole
			s.tellSum(s.farReaders(peers), sum)
		}
	}
}

func (s *Supervisor) tellSum(peers []informer.Peer, sum messenger.GatewayLoad) {
	body, err := json.Marshal(sum)
	if err != nil {
		s.log.Error(err, "sum of loads not encoded")
		return
	}
	s.sendLoad(peers, body)
}

// takeDatagram takes the load that a datagram tells. The sum of another data centre is
// passed on by the first instance of this one, once: while two take themselves for the
// first, they must not pass it to each other again and again.
func (s *Supervisor) takeDatagram(load messenger.GatewayLoad) {
	s.takeLoad(load, time.Now().Add(sumLife))
	if load.DataCentre == "" || load.IsPassedOn {
		return
	}
	near := s.nearOf(s.informer.Peers())
	if s.isFirst(near) {
		load.IsPassedOn = true
		s.tellSum(near, load)
	}
}

// isFirst reports whether this instance acts for its data centre, given its peers there.
func (s *Supervisor) isFirst(near []informer.Peer) bool { return len(s.aheadIn(near)) == 0 }

// aheadIn returns the peers of this data centre that act before this one, in their order,
// on which all agree by name. One that has fallen silent is passed over well before it
// counts as gone.
func (s *Supervisor) aheadIn(near []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	silence := time.Duration(silentIntervals * float64(s.informer.Interval()))
	for _, peer := range near { // ordered by name
		if peer.News.Instance < s.settings.Instance && time.Since(peer.HeardAt) < silence {
			out = append(out, peer)
		}
	}
	return out
}

// farReaders returns the first instances of each other data centre.
func (s *Supervisor) farReaders(peers []informer.Peer) []informer.Peer {
	out := []informer.Peer{}
	count := map[string]int{}
	for _, peer := range peers { // ordered by name
		centre := peer.News.DataCentre
		if centre == s.settings.DataCentre || peer.News.Leaving || !peer.News.Ready || count[centre] >= sumReaders {
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
		out = append(out, peer.News.Instance)
	}
	return out
}

package supervisor

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// fetchInterval is the time between two reads of the manifest from peers whose proofs are for a
	// newer one, and peerFetchInterval that for a peer that did not send what it has named: there
	// may be no such version. maxFetches is the number of reads at once: one may hang.
	fetchInterval     = 100 * time.Millisecond
	peerFetchInterval = time.Second
	maxFetches        = 2
)

// receivePeerManifest records the proof in the status of a peer. If the manifest there is newer, by its row or
// by the operators' version, it is read from the peer at once, whatever the own calls to the store do.
func (s *Supervisor) receivePeerManifest(status messenger.GatewayNews) {
	if !s.lacksManifestOf(status) || !s.peerFetches.begin(status.Instance, time.Now()) {
		return
	}
	go func() {
		hasBrought := false
		defer func() { s.peerFetches.end(status.Instance, hasBrought) }()
		s.measurer.CountEvent(measurer.ManifestFetches, 1)
		snapshot, err := s.fetchTable(status.PeerAddress, s.platform.ManifestTable)
		if err != nil {
			s.log.Info("newer manifest not read from a peer", "peer", status.Instance, "error", err.Error())
			return
		}
		s.observeSnapshot(s.platform.ManifestTable, originPeerProof, status.Instance, snapshot)
		s.manifests.Adopt(snapshot)
		hasBrought = !s.lacksManifestOf(status)
	}()
}

// lacksManifestOf adopts the proof in the status of a peer, and reports whether the manifest there is newer
// than the one here.
func (s *Supervisor) lacksManifestOf(status messenger.GatewayNews) bool {
	known := s.manifests.Version()
	isLater := !known.IsZero() && (status.InForceManifest > s.inForceManifest() || status.ManifestEpoch > known.Epoch)
	if status.Proof.RowVersion <= 0 {
		return isLater
	}
	isNewer := s.receivePeerProof(status.Proof)
	mayAdopt := s.confirmer.IsRequired() || !known.IsZero() // without proofs the first manifest is that of the own read
	return isLater || (isNewer && mayAdopt)
}

// peerFetches are the reads of manifests from peers: one at a time from each peer, maxFetches from
// all, and not more often than their intervals.
type peerFetches struct {
	mu sync.Mutex
	// due is when the manifest may be read again, dueOf the same for each peer, and running holds
	// the peers that it is being read from.
	due     time.Time
	dueOf   map[string]time.Time
	running map[string]bool
}

func newPeerFetches() *peerFetches {
	return &peerFetches{dueOf: map[string]time.Time{}, running: map[string]bool{}}
}

// begin reports whether the manifest may be read from a peer now; end must be called then.
func (p *peerFetches) begin(peer string, now time.Time) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.running[peer] || len(p.running) >= maxFetches || now.Before(p.due) || now.Before(p.dueOf[peer]) {
		return false
	}
	p.running[peer], p.due, p.dueOf[peer] = true, now.Add(fetchInterval), now.Add(peerFetchInterval)
	return true
}

// end records the end of a read. hasBrought reports that it brought the version that the peer named.
func (p *peerFetches) end(peer string, hasBrought bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.running, peer)
	if hasBrought {
		delete(p.dueOf, peer)
	}
}

package runner

import (
	"time"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// announceTimeout bounds the wait for the answers of peers.
const announceTimeout = 100 * time.Millisecond

// announceVerdicts sends the verdicts to all peers at once and waits for their answers, at
// most announceTimeout.
func (n *Node) announceVerdicts() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.exchanger.TickAndWait()
	}()
	timer := time.NewTimer(announceTimeout)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// isPeerAlive reports whether a peer is live, judged by its heartbeats.
func (n *Node) isPeerAlive(instance string) bool {
	in := n.fleet.View().Instances[instance]
	return in != nil && detector.Judge(n.now(), in) == detector.Alive
}

// mergeVerdicts merges verdicts received from a peer.
func (n *Node) mergeVerdicts(verdicts []messenger.Verdict) {
	n.quarantiner.Merge(verdicts, n.now())
}

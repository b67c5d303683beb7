package runner

import (
	"time"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// announceLimit bounds the wait for peers that do not answer.
const announceLimit = 100 * time.Millisecond

// announce tells the peers of suspects at once and waits for their answers, but
// not for peers that give none.
func (n *Node) announce() {
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.exchanger.TickAndWait()
	}()
	timer := time.NewTimer(announceLimit)
	defer timer.Stop()
	select {
	case <-done:
	case <-timer.C:
	}
}

// isHeard reports whether a peer is heard from.
func (n *Node) isHeard(instance string) bool {
	in := n.fleet.View().Instances[instance]
	return in != nil && detector.Judge(n.now(), in) == detector.Alive
}

func (n *Node) hearVerdicts(verdicts []messenger.Verdict) {
	n.quarantiner.Merge(verdicts, n.now())
}

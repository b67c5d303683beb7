package runner

import (
	"time"

	"github.com/go-faster/errors"
)

const (
	// readinessTTL is how long a positive readiness check is cached, so that it is not
	// repeated for each request.
	readinessTTL = 100 * time.Millisecond
	// targetsTimeout is how long after its start an instance waits for the platform's list and
	// for the reports of the engines in it. An engine that is dead must not hold it back longer.
	targetsTimeout = time.Second
)

// errTargetsUnknown means that the instance has just started and has not heard from the
// targets yet.
var errTargetsUnknown = errors.New("targets are not known yet")

// readiness is the result of a readiness check at a time: the reason why this
// instance accepts no requests, or nil.
type readiness struct {
	err       error
	checkedAt time.Time
}

// checkReady returns the reason why this instance accepts no requests, or nil.
func (n *Node) checkReady() error {
	now := n.now()
	known := n.readiness.Load()
	if known != nil && known.err == nil && now.Sub(known.checkedAt) < readinessTTL {
		return nil
	}
	err := n.arbiter.Judge(n.evidence(now))
	if err == nil && !n.knowsTargets(now) {
		err = errTargetsUnknown
	}
	n.readiness.Store(&readiness{err: err, checkedAt: now})
	return err
}

// knowsTargets reports whether this instance has heard from the targets that were listed
// when it started, or has waited long enough for them.
func (n *Node) knowsTargets(now time.Time) bool {
	if n.hasKnownTargets.Load() {
		return true
	}
	if now.Before(n.awaitTargetsUntil) && !n.watcher.HasHeardFromTargets() {
		return false
	}
	n.hasKnownTargets.Store(true)
	return true
}

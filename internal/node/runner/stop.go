package runner

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// maxNamedTime bounds how long the locate answers of a peer that does not confirm
	// the stop can name this instance: the time until the peer considers this
	// instance dead, plus the validity of its last locate answer.
	maxNamedTime = 12 * time.Second
	// latencyMargin covers the network latency of a locate answer or a request.
	latencyMargin = 500 * time.Millisecond
	// redirectTime is how long late callers are redirected to other instances.
	redirectTime = time.Second
	// drainTimeout bounds a planned stop: the longest deadline of a request plus one
	// minute.
	drainTimeout      = 11 * time.Minute
	drainPollInterval = 50 * time.Millisecond
	shutdownTimeout   = 10 * time.Second
)

// drainTracker tracks until when callers may still arrive that a locate answer
// directed to this instance.
type drainTracker struct {
	mu sync.Mutex
	// until holds, by peer, when its last locate answer that may name this
	// instance expires.
	until map[string]time.Time
	// confirmed holds the peers that have confirmed that this instance is leaving.
	confirmed map[string]bool
}

func newDrainTracker() *drainTracker {
	return &drainTracker{until: map[string]time.Time{}, confirmed: map[string]bool{}}
}

// begin records the peers that may still name this instance, until the given time.
func (d *drainTracker) begin(peers []string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range peers {
		if !d.confirmed[id] {
			d.until[id] = until
		}
	}
}

// recordAnswer handles the answer of a peer to a heartbeat, received at now. A peer
// that reports this instance as leaving no longer names it in its locate answers.
func (d *drainTracker) recordAnswer(now time.Time, own string, answer messenger.HeartbeatAnswer) {
	for _, p := range answer.Peers {
		if p.Instance == own && p.Leaving {
			d.confirm(now, answer.Heartbeat.Instance, time.Duration(p.NamedMilliseconds)*time.Millisecond)
		}
	}
}

// confirm records that a peer knows this instance as leaving, and that the locate answers
// of the peer that name this instance expire after left. Later confirmations by the same peer add nothing
// and are ignored.
func (d *drainTracker) confirm(now time.Time, peer string, left time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if d.confirmed[peer] {
		return
	}
	d.confirmed[peer] = true
	delete(d.until, peer)
	if left > 0 {
		d.until[peer] = now.Add(left)
	}
}

// latestExpiry returns the latest of the deadlines, the zero time if there is none.
func (d *drainTracker) latestExpiry() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	latestExpiry := time.Time{}
	for _, until := range d.until {
		if until.After(latestExpiry) {
			latestExpiry = until
		}
	}
	return latestExpiry
}

// stop performs a planned stop. It notifies the peers, so that their locate answers
// no longer name this instance, releases the control lease, serves callers until the
// earlier locate answers and request keys have expired and requests in flight are
// done, then redirects late callers for a moment and shuts the listener down.
func (n *Node) stop() error {
	n.log.Info("instance is leaving")
	now := n.now()
	limit := now.Add(n.drainTimeout)
	n.stopLimit.Store(&limit)
	n.leaving.Store(true)
	n.drainTracker.begin(n.peersThatMayName(now), now.Add(maxNamedTime))
	n.exchanger.TickAndWait()
	if err := n.leaser.Release(); err != nil {
		n.log.Info("control lease not released", "reason", err.Error())
	}
	n.wait(limit, func(now time.Time) bool {
		return n.isNamed(now) || now.Before(n.listener.KeyedAnswersUntil()) || n.listener.InFlight() > 0
	})
	n.drained.Store(true)
	redirectUntil := n.now().Add(redirectTime)
	n.wait(limit, func(now time.Time) bool { return now.Before(redirectUntil) || n.listener.Busy() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTimeout)
	defer cancel()
	if err := n.listener.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	n.log.Info("instance finished leaving", "requests", n.listener.InFlight())
	return nil
}

// stopsAt returns when a planned stop ends at the latest; zero while none has begun.
func (n *Node) stopsAt() time.Time {
	if limit := n.stopLimit.Load(); limit != nil {
		return *limit
	}
	return time.Time{}
}

// wait returns when isPending reports false, at the limit, or when the instance is killed.
func (n *Node) wait(limit time.Time, isPending func(now time.Time) bool) {
	for now := n.now(); isPending(now) && now.Before(limit) && n.killed.Err() == nil; now = n.now() {
		time.Sleep(drainPollInterval)
	}
}

// isNamed reports whether a locate answer that names this instance may still be
// valid.
func (n *Node) isNamed(now time.Time) bool {
	own := n.listener.LocatedUntil(n.self.Instance)
	return now.Before(own.Add(latencyMargin)) || now.Before(n.drainTracker.latestExpiry().Add(latencyMargin))
}

// peersThatMayName returns the peers that may still name this instance in locate
// answers: all that are not considered dead.
func (n *Node) peersThatMayName(now time.Time) []string {
	list := []string{}
	for id, in := range n.fleet.View().Instances {
		if id != n.self.Instance && in.Incarnation != "" && detector.Judge(now, in) != detector.Gone {
			list = append(list, id)
		}
	}
	return list
}

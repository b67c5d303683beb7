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
	// namedTime is the longest time for which a peer that does not confirm the
	// stop may go on naming this instance: until it takes it for dead, and then
	// the life of its last locate answer.
	namedTime = 12 * time.Second
	// answerMargin covers the way of a locate answer or a request.
	answerMargin = 500 * time.Millisecond
	// strayTime is how long callers who come too late are told where to go.
	strayTime = time.Second
	// drainLimit bounds a planned stop: the longest deadline of a request, and a minute.
	drainLimit   = 11 * time.Minute
	drainPoll    = 50 * time.Millisecond
	shutdownTime = 10 * time.Second
)

// drain follows until when callers may come who were told to use this instance.
// Its deadlines only move on.
type drain struct {
	mu sync.Mutex
	// until holds, by peer, when its last locate answer lapses that may name
	// this instance.
	until map[string]time.Time
	// confirmed are the peers that have heard of the stop.
	confirmed map[string]bool
}

func newDrain() *drain {
	return &drain{until: map[string]time.Time{}, confirmed: map[string]bool{}}
}

// begin notes the peers that may name this instance.
func (d *drain) begin(peers []string, until time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	for _, id := range peers {
		if !d.confirmed[id] {
			d.until[id] = until
		}
	}
}

// hear takes the answer of a peer that came at now. A peer that knows of the stop
// gives no further answers that name this instance.
func (d *drain) hear(now time.Time, own string, answer messenger.HeartbeatAnswer) {
	for _, p := range answer.Peers {
		if p.Instance == own && p.Leaving {
			d.confirm(now, answer.Heartbeat.Instance, time.Duration(p.NamedMilliseconds)*time.Millisecond)
		}
	}
}

// confirm takes the first word of a peer that knows of the stop; later ones say
// the same.
func (d *drain) confirm(now time.Time, peer string, left time.Duration) {
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

func (d *drain) last() time.Time {
	d.mu.Lock()
	defer d.mu.Unlock()
	last := time.Time{}
	for _, until := range d.until {
		if until.After(last) {
			last = until
		}
	}
	return last
}

// stop is a planned stop: the instance is no longer handed out, serves those who
// still come until their addresses have lapsed, lets running requests finish,
// and gives the lease up.
func (n *Node) stop() error {
	n.log.Info("instance leaves")
	now := n.now()
	limit := now.Add(drainLimit)
	n.leaving.Store(true)
	n.drain.begin(n.peersThatMayName(now), now.Add(namedTime))
	n.exchanger.TickAndWait()
	if err := n.leaser.Release(); err != nil {
		n.log.Info("lease not released", "reason", err.Error())
	}
	n.wait(limit, func(now time.Time) bool {
		return n.isNamed(now) || now.Before(n.listener.KeyedUntil()) || n.listener.InFlight() > 0
	})
	n.drained.Store(true)
	strays := n.now().Add(strayTime)
	n.wait(limit, func(now time.Time) bool { return now.Before(strays) || n.listener.Busy() > 0 })
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := n.listener.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	n.log.Info("instance has left", "requests", n.listener.InFlight())
	return nil
}

// wait returns once going is false, at the limit, or when the instance is killed.
func (n *Node) wait(limit time.Time, going func(now time.Time) bool) {
	for now := n.now(); going(now) && now.Before(limit) && n.killed.Err() == nil; now = n.now() {
		time.Sleep(drainPoll)
	}
}

// isNamed reports whether a locate answer that names this instance may not have
// lapsed yet.
func (n *Node) isNamed(now time.Time) bool {
	own := n.listener.NamedUntil(n.home.Instance)
	return now.Before(own.Add(answerMargin)) || now.Before(n.drain.last().Add(answerMargin))
}

func (n *Node) peersThatMayName(now time.Time) []string {
	list := []string{}
	for id, in := range n.fleet.View().Instances {
		if id != n.home.Instance && in.Incarnation != "" && detector.Judge(now, in) != detector.Gone {
			list = append(list, id)
		}
	}
	return list
}

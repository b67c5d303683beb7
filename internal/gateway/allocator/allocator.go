// Package allocator hands out the slots of a plain service that many instances share and that
// has few slots. Each instance sees only a few requests a second and learns the load of the
// others late, so that by themselves they would all choose the same targets at the same time.
// One instance therefore decides for all: requests wait in one order, and one that cannot be
// served in time is refused at once. The package does no I/O; the time is an argument.
//
// A lost release or an instance that ends costs a slot only until a deadline.
package allocator

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const (
	// MaxWaiting is the number of requests to a service that wait at most: each one holds a
	// connection between instances.
	MaxWaiting = 256
)

// Key identifies an ask: the incarnation of the instance that asks, and a number that it uses
// once.
type Key struct {
	Instance    string
	Incarnation int64
	Number      int64
}

// Ask is a request of an instance for a slot.
type Ask struct {
	Key     Key
	Service string
	// Rank orders requests: 0 is first.
	Rank int
	// Account is the client account; empty without one.
	Account string
	Arrived time.Time
	// Goal is when the request should have ended; zero if there is no latency goal.
	Goal time.Time
	// LatestStart is when the request is no longer worth starting.
	LatestStart time.Time
	// Deadline is when the slot is free again if no release arrives.
	Deadline time.Time
	// Content identifies a request that a caller sends again; 0 if unknown.
	Content int64
	// Avoid holds the IDs of targets that the instance does not use for the request.
	Avoid []string
}

// Target is a target of a service as the allocator's instance knows it.
type Target struct {
	ID    string
	Slots int
	// Others is the number of requests in flight there that this allocator has not granted.
	Others int
}

// Reason is why a request was refused.
type Reason string

// Reasons of refusals.
const (
	// Backlog means that the requests before it take too long.
	Backlog Reason = "backlog"
	// Late means that the request has waited until its latest start.
	Late Reason = "late"
	// NoTarget means that no target remains beside those to avoid.
	NoTarget Reason = "no target"
)

// Answer is the decision on an ask: a target, or else a refusal.
type Answer struct {
	Key     Key
	Service string
	// Target is empty if the request is refused.
	Target string
	Reason Reason
	// RetryIn is the time after which a refused request can be served.
	RetryIn time.Duration
}

// Release reports that a granted request has ended, or that an ask is given up.
type Release struct {
	Key Key
	// IsFault reports that the target failed, which makes its time of no use.
	IsFault bool
}

// Allocator hands out slots. The zero value is not usable; see New.
type Allocator struct {
	targetsOf func(service string) []Target

	mu       sync.Mutex
	services map[string]*service
	grants   map[Key]*grant
	// released holds the releases that arrived before their asks, and until when they count.
	released map[Key]time.Time
}

// grant is a slot in use.
type grant struct {
	service  *service
	state    *state
	deadline time.Time
	since    time.Time
	// crowding is the load of the target, including this request, divided by its slots, if
	// that is more than 1: the request waits there for others.
	crowding float64
}

const (
	// earlyReleaseTTL is how long a release without a grant counts. An ask that is delayed for
	// longer has timed out at its instance.
	earlyReleaseTTL = time.Second
	// maxEarlyReleases bounds these releases.
	maxEarlyReleases = 4096
)

// New returns an allocator without grants. targetsOf returns the targets of a service that take
// requests; it is called with the lock of the allocator held.
func New(targetsOf func(service string) []Target) *Allocator {
	return &Allocator{
		targetsOf: targetsOf, services: map[string]*service{}, grants: map[Key]*grant{}, released: map[Key]time.Time{},
	}
}

// Ask adds an ask, and returns the decisions that can be made now, on this and on other asks.
func (a *Allocator) Ask(now time.Time, ask Ask) []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	if _, ok := a.released[ask.Key]; ok {
		delete(a.released, ask.Key)
		return nil
	}
	s := a.services[ask.Service]
	if s == nil {
		s = newService(ask.Service)
		a.services[ask.Service] = s
	}
	ask.Rank = min(max(ask.Rank, 0), registrar.MaxRank)
	s.waiting = append(s.waiting, &entry{Ask: ask, isReturn: s.returns.take(now, ask.Content)})
	return a.decide(now, s)
}

// Withdraw gives up an ask that waits, and reports whether it did: otherwise it was decided.
func (a *Allocator) Withdraw(key Key) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, s := range a.services {
		if s.withdraw(key) {
			return true
		}
	}
	return false
}

// Release frees slots and gives up asks, and returns the decisions that follow.
func (a *Allocator) Release(now time.Time, releases []Release) []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	changed := map[*service]bool{}
	for _, r := range releases {
		g := a.grants[r.Key]
		if g == nil {
			a.releaseWaiting(now, r.Key)
			continue
		}
		g.state.observe(now.Sub(g.since), g.crowding, r.IsFault)
		a.end(r.Key, g)
		changed[g.service] = true
	}
	out := make([]Answer, 0, len(changed))
	for s := range changed {
		out = append(out, a.decide(now, s)...)
	}
	return out
}

// releaseWaiting gives up an ask that waits or that is still to come.
func (a *Allocator) releaseWaiting(now time.Time, key Key) {
	for _, s := range a.services {
		if s.withdraw(key) {
			return
		}
	}
	if len(a.released) < maxEarlyReleases {
		a.released[key] = now.Add(earlyReleaseTTL)
	}
}

// Tick ends what has expired and what belongs to other incarnations than those in live, and
// returns the decisions that follow. live holds the incarnations of the live instances.
func (a *Allocator) Tick(now time.Time, live map[string]int64) []Answer {
	a.mu.Lock()
	defer a.mu.Unlock()
	for key, until := range a.released {
		if !now.Before(until) {
			delete(a.released, key)
		}
	}
	for key, g := range a.grants {
		if incarnation, ok := live[key.Instance]; !ok || incarnation != key.Incarnation {
			a.end(key, g)
		}
	}
	out := make([]Answer, 0, len(a.services))
	for name, s := range a.services {
		s.dropDead(live)
		out = append(out, a.decide(now, s)...)
		if s.isIdle(now) {
			delete(a.services, name)
		}
	}
	return out
}

func (a *Allocator) end(key Key, g *grant) {
	delete(a.grants, key)
	g.state.inUse--
	g.service.granted--
}

// expire ends the grants of a service whose deadline has passed.
func (a *Allocator) expire(now time.Time, s *service) {
	if now.Before(s.nextExpiry) {
		return
	}
	s.nextExpiry = now.Add(maxExpiryInterval)
	for key, g := range a.grants {
		if g.service != s {
			continue
		}
		if !now.Before(g.deadline) {
			a.end(key, g)
		} else if g.deadline.Before(s.nextExpiry) {
			s.nextExpiry = g.deadline
		}
	}
}

// maxExpiryInterval is the longest time between two looks for expired grants.
const maxExpiryInterval = time.Second

// decide grants free slots in the order of the queue, and refuses what cannot start in time.
func (a *Allocator) decide(now time.Time, s *service) []Answer {
	a.expire(now, s)
	s.refresh(now, a.targetsOf)
	out := []Answer{}
	waiting := []*entry{}
	hasRoom := s.hasRoom()
	for _, e := range s.sequence(now) {
		if hasRoom {
			if chosen := s.choose(e.Avoid); chosen != nil {
				a.grant(now, s, e, chosen)
				hasRoom = s.hasRoom()
				out = append(out, Answer{Key: e.Key, Service: s.name, Target: chosen.ID})
				continue
			}
		}
		reason := s.refusalReason(now, e, len(waiting))
		if reason == "" {
			waiting = append(waiting, e)
			continue
		}
		out = append(out, Answer{Key: e.Key, Service: s.name, Reason: reason, RetryIn: s.returns.add(now, e.Content, s.drainTime(len(waiting)), s.fullRate)})
	}
	s.waiting = waiting
	return out
}

func (a *Allocator) grant(now time.Time, s *service, e *entry, t *target) {
	t.inUse++
	s.granted++
	s.countUse(e)
	a.grants[e.Key] = &grant{
		service: s, state: t.state, deadline: e.Deadline, since: now, crowding: t.crowding(),
	}
	if e.Deadline.Before(s.nextExpiry) {
		s.nextExpiry = e.Deadline
	}
}

// Status describes the slots and the queue of a service.
type Status struct {
	Service string
	// Granted is the number of slots in use that this allocator has granted.
	Granted int
	// Waiting holds the number of requests that wait, by rank.
	Waiting [registrar.MaxRank + 1]int
}

// Statuses returns the status of each service with grants or requests that wait.
func (a *Allocator) Statuses() []Status {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Status, 0, len(a.services))
	for _, s := range a.services {
		status := Status{Service: s.name, Granted: s.granted}
		for _, e := range s.waiting {
			status.Waiting[e.Rank]++
		}
		out = append(out, status)
	}
	return out
}

// Package hedger decides when a request that has no answer yet is sent to a second target
// (hedged), so that the first good answer counts. It addresses a load in which a few requests
// take many times as long as most of their route, while other targets have room. It does no
// I/O and gets the time as an argument. How many requests are hedged is limited by package
// budgeter, and which target gets the second run is chosen by package balancer.
package hedger

import (
	"maps"
	"sync"
	"time"
)

const (
	// minQuantile bounds the quantile that the delay is derived from, for large shares.
	minQuantile = 0.9
	// medianFactor is the least multiple of the median after which a request is hedged:
	// where all answers take about the same time, a second run gains nothing.
	medianFactor = 1.5
	// leftFactor is the least time left until the deadline, as a multiple of the median.
	leftFactor = 1.5
	// minDelay covers a new connection to a target.
	minDelay = 5 * time.Millisecond
	// shutOffTime is how long a service that was short of room gets no second runs.
	shutOffTime = 2 * time.Second
	// maxRoutes bounds the routes whose times are kept.
	maxRoutes = 4096
)

// Route identifies the requests whose times are comparable.
type Route struct{ Host, Prefix, Service string }

// Pool identifies the targets that can be short of room: those of a service or, if Model is set,
// those of it that hold a model.
type Pool struct{ Service, Model string }

// Ask describes a request whose first run is about to be sent.
type Ask struct {
	Route Route
	// Model is empty for a plain service.
	Model string
	// IsRepeatable reports that the request may run more than once.
	IsRepeatable bool
	// HasBegun reports that some of the answer has reached the caller.
	HasBegun bool
	// IsHedged reports that the request has been hedged before.
	IsHedged bool
	// IsSuspect reports that targets may have ended under the request.
	IsSuspect bool
	// IsAllocated reports that an allocator hands out the slots of the service.
	IsAllocated bool
	// Sent is the number of runs before this one, MaxAttempts how many the route allows.
	Sent        int
	MaxAttempts int
}

// IsEligible reports whether the request may be hedged at all.
func (a Ask) IsEligible() bool {
	return a.IsRepeatable && !a.HasBegun && !a.IsHedged && !a.IsSuspect && !a.IsAllocated && a.Sent+2 <= a.MaxAttempts
}

// Hedger keeps, by route, the recent times until a run had a good answer; see Observe. It is safe
// for concurrent use. The zero value is not usable; see New.
type Hedger struct {
	share float64

	mu     sync.Mutex
	routes map[Route]*times
	// offUntil is when a pool that was short of room may have second runs again.
	offUntil map[Pool]time.Time
}

// New returns a hedger for a share of requests that may be hedged, from 0 (none) to 1.
func New(share float64) *Hedger {
	return &Hedger{share: share, routes: map[Route]*times{}, offUntil: map[Pool]time.Time{}}
}

// Share returns the share of requests that may be hedged.
func (h *Hedger) Share() float64 { return h.share }

// Delay returns how long to wait for the first run of an eligible request before a second one;
// false if the request is not to be hedged.
func (h *Hedger) Delay(now, deadline time.Time, ask Ask) (time.Duration, bool) {
	if h.share <= 0 || !ask.IsEligible() {
		return 0, false
	}
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.isOff(now, Pool{Service: ask.Route.Service, Model: ask.Model}) {
		return 0, false
	}
	t := h.routes[ask.Route]
	if t == nil {
		return 0, false
	}
	median, tail, isKnown := t.quantiles(now, max(1-h.share, minQuantile))
	if !isKnown {
		return 0, false
	}
	delay := max(tail, time.Duration(medianFactor*float64(median)), minDelay)
	left := deadline.Sub(now) - delay
	return delay, left >= time.Duration(leftFactor*float64(median))
}

// MayStart reports whether the second run of a request may still be sent when its delay is over.
func (h *Hedger) MayStart(now time.Time, pool Pool) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return !h.isOff(now, pool)
}

// Observe records the time until a run had a good answer or, of a run that was given up for the
// other one, until then: without these the delay would shrink with each second run.
func (h *Hedger) Observe(now time.Time, route Route, took time.Duration) {
	h.mu.Lock()
	defer h.mu.Unlock()
	t := h.routes[route]
	if t == nil {
		h.prune(now)
		if len(h.routes) >= maxRoutes {
			return
		}
		t = newTimes(now)
		h.routes[route] = t
	}
	t.add(now, took)
}

// NoteShort records that a pool was short of room: it has no second runs for a while.
func (h *Hedger) NoteShort(now time.Time, pool Pool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if len(h.offUntil) >= maxRoutes {
		maps.DeleteFunc(h.offUntil, func(_ Pool, until time.Time) bool { return !now.Before(until) })
	}
	h.offUntil[pool] = now.Add(shutOffTime)
}

// isOff reports whether a pool or its service has no second runs now. The lock must be held.
func (h *Hedger) isOff(now time.Time, pool Pool) bool {
	return now.Before(h.offUntil[pool]) || now.Before(h.offUntil[Pool{Service: pool.Service}])
}

// prune drops the routes without requests if there are many. The lock must be held.
func (h *Hedger) prune(now time.Time) {
	if len(h.routes) >= maxRoutes {
		maps.DeleteFunc(h.routes, func(_ Route, t *times) bool { return t.isExpired(now) })
	}
}

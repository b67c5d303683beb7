// Package budgeter limits how many requests are retried or sent to a second target, over all instances together, to
// prevent retry storms. Each instance applies the ratio to its own requests and uses only
// its part of the slack, so the total limit holds without any communication, even while
// instances are partitioned from each other. The package does no I/O.
package budgeter

import (
	"sync"
	"time"
)

const (
	// bucketCount is the number of buckets that the window is divided into; the oldest one
	// counts in full until it leaves the window.
	bucketCount = 10
	// ratioShare and slackShare keep a margin below the limit, since retries are measured
	// against it when they arrive and not when they are sent.
	ratioShare = 0.8
	slackShare = 0.6
	// hedgeRatioShare and hedgeSlackShare are the parts of the limit for second runs of
	// requests that have not failed. Retries never use them, so that neither takes room from
	// the other, and the sum stays below the limit.
	hedgeRatioShare = 0.1
	hedgeSlackShare = 0.2
	// hedgeShareMargin keeps second runs below their share while the rate of requests drops:
	// the requests that earned them leave the window earlier.
	hedgeShareMargin = 0.8
)

// Budgeter counts requests and retries of each service. The zero value is not usable; see
// New.
type Budgeter struct {
	ratio        float64
	slack        float64
	bucketLength time.Duration
	now          func() time.Time
	start        time.Time

	mu sync.Mutex
	// instances is the number of instances that share the slack; 0 while it is not known.
	instances int
	services  map[string]*window
}

// window holds the counts of the latest buckets, in a ring indexed by the bucket number.
type window struct {
	newest   int64
	requests [bucketCount + 1]int
	retries  [bucketCount + 1]int
	hedges   [bucketCount + 1]int
}

// New returns a budgeter for a ratio of retries to requests, a slack (the number of
// retries that all instances together may send in addition), and the length of the sliding
// window.
func New(ratio float64, slack float64, length time.Duration, options ...Option) *Budgeter {
	b := &Budgeter{
		ratio: ratio, slack: slack, bucketLength: length / bucketCount, now: time.Now, services: map[string]*window{},
	}
	for _, option := range options {
		option(b)
	}
	b.start = b.now()
	return b
}

// Option configures a Budgeter in New.
type Option func(*Budgeter)

// WithClock sets the clock that the budgeter reads.
func WithClock(now func() time.Time) Option { return func(b *Budgeter) { b.now = now } }

// SetInstances sets the number of instances that share the slack. Before it is set, no part
// of the slack is used.
func (b *Budgeter) SetInstances(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.instances = max(n, 1)
}

// CountRequest counts a request from a caller to a service, without its retries.
func (b *Budgeter) CountRequest(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.newest%int64(len(w.requests))]++
}

// AllowRetry reports whether a retry for a service may be sent, and counts it if so.
func (b *Budgeter) AllowRetry(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, retries := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		retries += w.retries[i]
	}
	limit := ratioShare * b.ratio * float64(requests)
	if b.instances > 0 {
		limit += slackShare * b.slack / float64(b.instances)
	}
	if float64(retries+1) > limit {
		return false
	}
	w.retries[w.newest%int64(len(w.retries))]++
	return true
}

// AllowHedge reports whether a request to a service may be sent to a second target before the
// first one has failed, and counts that if so. In each window that ends with one of this instance,
// they are at most a share of its requests. Over all instances, those in any window are at most a
// share of the requests in it and the window before, and less than in the window alone while the
// rate does not drop.
func (b *Budgeter) AllowHedge(service string, share float64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, hedges := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		hedges += w.hedges[i]
	}
	// The oldest bucket may be outside the window in part.
	requests -= w.requests[(w.newest+1)%int64(len(w.requests))]
	room := hedgeRatioShare * b.ratio * float64(requests)
	if b.instances > 0 {
		room += hedgeSlackShare * b.slack / float64(b.instances)
	}
	if float64(hedges+1) > min(hedgeShareMargin*share*float64(requests), room) {
		return false
	}
	w.hedges[w.newest%int64(len(w.hedges))]++
	return true
}

// window returns the counts of a service after clearing the buckets that have expired. The
// lock must be held.
func (b *Budgeter) window(service string) *window {
	w := b.services[service]
	// Relative to the start, since the wall clock may jump.
	current := int64(b.now().Sub(b.start) / b.bucketLength)
	if w == nil {
		w = &window{newest: current}
		b.services[service] = w
	}
	for w.newest < current {
		w.newest++
		if current-w.newest > int64(len(w.requests)) {
			w.newest = current - int64(len(w.requests))
		}
		w.requests[w.newest%int64(len(w.requests))] = 0
		w.retries[w.newest%int64(len(w.retries))] = 0
		w.hedges[w.newest%int64(len(w.hedges))] = 0
	}
	return w
}

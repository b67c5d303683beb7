// Package budgeter bounds how many requests are sent again, over all instances.
// Each instance keeps to the ratio on its own requests and to its part of the
// slack, so that the sum holds without a message, also while instances are cut
// off from each other. It answers storms of retries; it does no input or output.
package budgeter

import (
	"sync"
	"time"
)

const (
	// buckets is the number of parts of the window; the oldest is counted whole.
	buckets = 10
	// ratioShare and slackShare keep a distance from the bound, since a repeat
	// is counted when it arrives and not when it is sent.
	ratioShare = 0.8
	slackShare = 0.6
)

// Budgeter counts requests and repeats of each service. The zero value is not
// usable; see New.
type Budgeter struct {
	ratio  float64
	slack  float64
	bucket time.Duration
	now    func() time.Time
	start  time.Time

	mu       sync.Mutex
	members  int
	services map[string]*window
}

// window holds the counts of the latest buckets, by the number of the bucket.
type window struct {
	newest   int64
	requests [buckets + 1]int
	repeats  [buckets + 1]int
}

// New returns a budgeter for a ratio of repeats to requests, a number of repeats
// that are free for all instances together, and the length of the window.
func New(ratio float64, slack float64, length time.Duration) *Budgeter {
	return &Budgeter{
		ratio: ratio, slack: slack, bucket: length / buckets, now: time.Now, start: time.Now(), members: 1,
		services: map[string]*window{},
	}
}

// SetMembers sets the number of instances that share the slack.
func (b *Budgeter) SetMembers(n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.members = max(n, 1)
}

// Request counts a request of a caller for a service.
func (b *Budgeter) Request(service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	w.requests[w.newest%int64(len(w.requests))]++
}

// Repeat counts a repeat for a service and reports whether it may be sent.
func (b *Budgeter) Repeat(service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	w := b.window(service)
	requests, repeats := 0, 0
	for i := range w.requests {
		requests += w.requests[i]
		repeats += w.repeats[i]
	}
	bound := ratioShare*b.ratio*float64(requests) + slackShare*b.slack/float64(b.members)
	if float64(repeats+1) > bound {
		return false
	}
	w.repeats[w.newest%int64(len(w.repeats))]++
	return true
}

// window returns the counts of a service with the buckets that have passed cleared.
func (b *Budgeter) window(service string) *window {
	w := b.services[service]
	// Counted from the start, since the time of day may jump.
	current := int64(b.now().Sub(b.start) / b.bucket)
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
		w.repeats[w.newest%int64(len(w.repeats))] = 0
	}
	return w
}

// Package admitter enforces the limits of teams on request rate and concurrency.
// A limit applies to all instances together; each instance admits requests
// against its own share of it.
package admitter

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// ErrOverLimit reports that a team has reached its limit.
var ErrOverLimit = errors.New("team is over its limit")

// OverLimitError is ErrOverLimit with the earliest time at which a retry may be
// admitted.
type OverLimitError struct {
	Team       string
	RetryAfter time.Time
}

func (e *OverLimitError) Error() string { return "team " + e.Team + " is over its limit" }

// Is reports whether target is ErrOverLimit.
func (e *OverLimitError) Is(target error) bool { return target == ErrOverLimit }

// Share returns the fraction of a team's limit that this instance may use, from
// 0 to 1, and the earliest time at which it may shrink, provided that this
// instance lends none of it to others.
type Share func(now time.Time, team string) (share float64, until time.Time)

// Admitter holds one token bucket per team.
type Admitter struct {
	shareOf Share

	mu      sync.Mutex
	buckets map[string]*bucket
	// seeded is set by the first Tick, which creates the buckets of the teams that
	// existed before this instance started. These buckets start empty, since an
	// earlier incarnation of this instance may have spent their tokens.
	seeded bool
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithShare sets the function that returns this instance's share of each limit.
func WithShare(shareOf Share) Option {
	return func(a *Admitter) { a.shareOf = shareOf }
}

// New returns an admitter. Without WithShare its share is the whole of each limit.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		buckets: map[string]*bucket{},
		shareOf: func(now time.Time, _ string) (float64, time.Time) { return 1, now.Add(time.Hour) },
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

// inFlightRetryDelay is the retry delay when waiting for tokens does not help:
// too many requests are in flight, or the share is less than one request.
const inFlightRetryDelay = 200 * time.Millisecond

// Admit admits a request of a team or returns an *OverLimitError. Each admitted
// request requires a call of Release.
func (a *Admitter) Admit(now time.Time, team keeper.Team) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(now, team)
	b.arrivals++
	b.noteDemand(now)
	limit := team.Limit
	if limit.InFlight > 0 && float64(b.inFlight)+1 > b.allowance(limit.InFlight) {
		b.rejectedInFlight++
		return &OverLimitError{Team: team.Name, RetryAfter: now.Add(inFlightRetryDelay)}
	}
	if limit.RequestsPerSecond > 0 {
		if b.tokens < 1 {
			retryAfter := now.Add(b.retryDelay(limit))
			b.noteDemand(retryAfter)
			return &OverLimitError{Team: team.Name, RetryAfter: retryAfter}
		}
		b.tokens--
	}
	b.inFlight++
	return nil
}

// Release records that an admitted request has ended.
func (a *Admitter) Release(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[team]; b != nil && b.inFlight > 0 {
		b.inFlight--
	}
}

// Tick refills all buckets, so that every change of a share is observed, and
// returns the fraction of each team's limit that its demand here requires. Teams
// without demand are left out.
func (a *Admitter) Tick(now time.Time, teams map[string]keeper.Team) map[string]float64 {
	a.mu.Lock()
	defer a.mu.Unlock()
	for name, team := range teams {
		team.Name = name
		a.bucket(now, team)
	}
	a.seeded = true
	needs := map[string]float64{}
	for name, b := range a.buckets {
		team, known := teams[name]
		if !known && b.inFlight == 0 {
			delete(a.buckets, name)
			continue
		}
		b.measure(now)
		if need := b.need(now, team.Limit); need > 0 {
			needs[name] = need
		}
	}
	return needs
}

// WithNeedsLocked calls do with the fraction of each team's limit that its demand here
// requires. No request is admitted until do returns, so that do can lend the rest
// of a share without a request spending it at the same time.
func (a *Admitter) WithNeedsLocked(now time.Time, teams map[string]keeper.Team, do func(needs map[string]float64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	needs := map[string]float64{}
	for name, b := range a.buckets {
		needs[name] = b.need(now, teams[name].Limit)
	}
	do(needs)
}

// bucket returns the bucket of a team, refilled up to now.
func (a *Admitter) bucket(now time.Time, team keeper.Team) *bucket {
	share, until := a.shareOf(now, team.Name)
	b := a.buckets[team.Name]
	if b == nil {
		b = &bucket{refilledAt: now, measuredAt: now}
		b.share = share
		if a.seeded {
			b.tokens = b.allowance(team.Limit.BurstSize())
		}
		a.buckets[team.Name] = b
	}
	b.refill(now, team.Limit, share, until)
	return b
}

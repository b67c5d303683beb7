// Package admitter decides whether a request of a team is let in. Team limits
// hold over all instances; each instance spends its share of them.
package admitter

import (
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// ErrOverLimit tells that a team is over its limit.
var ErrOverLimit = errors.New("team is over its limit")

// OverLimitError is ErrOverLimit with the time from which on a request may be let in.
type OverLimitError struct {
	Team       string
	RetryAfter time.Time
}

func (e *OverLimitError) Error() string { return "team " + e.Team + " is over its limit" }

// Is reports whether target is ErrOverLimit.
func (e *OverLimitError) Is(target error) bool { return target == ErrOverLimit }

// Share tells which part of a team's limit this instance may use, from 0 to 1,
// and until when at least, if this instance gives nothing of it away.
type Share func(now time.Time, team string) (part float64, until time.Time)

// Admitter holds the buckets of the teams.
type Admitter struct {
	share Share

	mu      sync.Mutex
	buckets map[string]*bucket
	// seeded is set once the teams from before this instance are known. Their
	// buckets start empty, since an earlier incarnation may have used them up.
	seeded bool
}

// Option configures an Admitter.
type Option func(*Admitter)

// WithShare sets what tells the part of each limit that this instance may use.
func WithShare(share Share) Option {
	return func(a *Admitter) { a.share = share }
}

// New returns an admitter that has the whole of each limit if no option says
// otherwise.
func New(opts ...Option) *Admitter {
	a := &Admitter{
		buckets: map[string]*bucket{},
		share:   func(now time.Time, _ string) (float64, time.Time) { return 1, now.Add(time.Hour) },
	}
	for _, opt := range opts {
		opt(a)
	}
	return a
}

const inFlightRetry = 200 * time.Millisecond

// Admit lets a request of a team in or returns an *OverLimitError. Each
// admitted request needs a call of Release.
func (a *Admitter) Admit(now time.Time, team keeper.Team) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.bucket(now, team)
	b.arrived++
	b.want(now)
	limit := team.Limit
	if limit.InFlight > 0 && float64(b.inFlight)+1 > b.allowed(limit.InFlight) {
		b.turnedAway++
		return &OverLimitError{Team: team.Name, RetryAfter: now.Add(inFlightRetry)}
	}
	if limit.RequestsPerSecond > 0 {
		if b.tokens < 1 {
			retryAfter := now.Add(b.untilToken(limit))
			b.want(retryAfter)
			return &OverLimitError{Team: team.Name, RetryAfter: retryAfter}
		}
		b.tokens--
	}
	b.inFlight++
	return nil
}

// Release ends a request that was let in.
func (a *Admitter) Release(team string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if b := a.buckets[team]; b != nil && b.inFlight > 0 {
		b.inFlight--
	}
}

// Tick fills the buckets, so that no change of a share goes unnoticed, and
// returns the part of its limit that each team needs here.
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

// Needing calls do with the part of its limit that each team needs here, and lets
// no request in meanwhile: what is lent must not be used here at the same moment.
func (a *Admitter) Needing(now time.Time, teams map[string]keeper.Team, do func(needs map[string]float64)) {
	a.mu.Lock()
	defer a.mu.Unlock()
	needs := map[string]float64{}
	for name, b := range a.buckets {
		needs[name] = b.need(now, teams[name].Limit)
	}
	do(needs)
}

// bucket returns the bucket of a team, filled up to now.
func (a *Admitter) bucket(now time.Time, team keeper.Team) *bucket {
	part, until := a.share(now, team.Name)
	b := a.buckets[team.Name]
	if b == nil {
		b = &bucket{filledAt: now, measuredAt: now}
		b.part = part
		if a.seeded {
			b.tokens = b.allowed(team.Limit.BurstSize())
		}
		a.buckets[team.Name] = b
	}
	b.fill(now, team.Limit, part, until)
	return b
}

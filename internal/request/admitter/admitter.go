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

// bucket is the state of one team at this instance.
type bucket struct {
	tokens   float64
	filledAt time.Time
	inFlight int
}

// Admitter holds the buckets of the teams.
type Admitter struct {
	mu      sync.Mutex
	buckets map[string]*bucket
	share   float64
}

// New returns an admitter that has the whole of each limit.
func New() *Admitter {
	return &Admitter{buckets: map[string]*bucket{}, share: 1}
}

// SetShare sets the part of each limit that this instance may spend, from 0 to 1.
func (a *Admitter) SetShare(share float64) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.share = share
}

const inFlightRetry = 200 * time.Millisecond

// Admit lets a request of a team in or returns an *OverLimitError. Each
// admitted request needs a call of Release.
func (a *Admitter) Admit(now time.Time, team keeper.Team) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	b := a.buckets[team.Name]
	if b == nil {
		b = &bucket{tokens: a.burst(team.Limit), filledAt: now}
		a.buckets[team.Name] = b
	}
	a.fill(b, now, team.Limit)
	limit := team.Limit
	if limit.InFlight > 0 && float64(b.inFlight)+1 > max(1, float64(limit.InFlight)*a.share) {
		return &OverLimitError{Team: team.Name, RetryAfter: now.Add(inFlightRetry)}
	}
	if limit.RequestsPerSecond > 0 {
		if b.tokens < 1 {
			missing := (1 - b.tokens) / (limit.RequestsPerSecond * a.share)
			return &OverLimitError{Team: team.Name, RetryAfter: now.Add(time.Duration(missing * float64(time.Second)))}
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

func (a *Admitter) burst(limit keeper.Limit) float64 {
	return max(1, float64(limit.Burst)*a.share)
}

func (a *Admitter) fill(b *bucket, now time.Time, limit keeper.Limit) {
	passed := now.Sub(b.filledAt).Seconds()
	if passed > 0 {
		b.tokens += passed * limit.RequestsPerSecond * a.share
		b.filledAt = now
	}
	b.tokens = min(b.tokens, a.burst(limit))
}

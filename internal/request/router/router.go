// Package router chooses the target for a request. It decides from tables alone
// and keeps no state.
package router

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var (
	// ErrNoTarget tells that no target can take the request now.
	ErrNoTarget = errors.New("no target holds the model")
	// ErrTooLate tells that no target is expected to begin the request before its
	// deadline.
	ErrTooLate = errors.New("no target is expected to be free before the deadline")
)

// Ask describes what is looked for.
type Ask struct {
	Name keeper.Name
	// DataCentre is that of this instance; targets in it are preferred where the
	// load is equal.
	DataCentre string
	// Tried are targets that must not be chosen.
	Tried []string
	// Seed spreads equal choices. Callers use a value that differs between requests.
	Seed uint64
	// Cached are targets whose prefix cache is likely to hold the prompt; empty
	// strings stand for none.
	Cached [2]string
	// Peers is the number of other instances that send to the candidates.
	Peers int
	// Priority is that of the request. One above 0 passes those that wait.
	Priority int
	// Deadline is the latest useful start and WaitPerRequest how long a request
	// waits for each one queued before it. If either is zero, no wait is too long.
	Deadline       time.Time
	WaitPerRequest time.Duration
}

const (
	otherDataCentrePenalty = 0.5 // requests
	reportTrust            = 2 * time.Second
	// mostCompared bounds the candidates that one choice compares. They are drawn
	// at random, which also keeps instances with the same reports from choosing
	// the same target.
	mostCompared = 8
	// cachedGain is how many more requests a target may have than the least
	// loaded one and still be chosen for its prefix cache.
	cachedGain = 3
)

// Pick returns the candidate with the least expected load: what this instance has
// in flight and a guess at what others have. A candidate that is likely to have
// the prompt cached goes first if it has little more. The error is ErrNoTarget or
// ErrTooLate.
func Pick(now time.Time, candidates []*keeper.Target, ask Ask) (*keeper.Target, error) {
	c := chooser{now: now, ask: ask}
	if len(candidates) <= mostCompared {
		c.compareAll(candidates)
	} else {
		c.compareSome(candidates)
	}
	if c.best == nil {
		return nil, ErrNoTarget
	}
	if c.isTooLate() {
		return nil, ErrTooLate
	}
	return c.best, nil
}

// chooser is the state of one choice.
type chooser struct {
	now   time.Time
	ask   Ask
	best  *keeper.Target
	score float64
}

func (c *chooser) compareAll(candidates []*keeper.Target) {
	n := uint64(len(candidates))
	for i := range n {
		c.compare(candidates[(c.ask.Seed+i)%n])
	}
}

// compareSome compares candidates drawn at random and those with the prompt
// cached. It falls back to all if none of them may be chosen.
func (c *chooser) compareSome(candidates []*keeper.Target) {
	state := c.ask.Seed
	for range mostCompared {
		state = mix(state)
		c.compare(candidates[state%uint64(len(candidates))])
	}
	for _, id := range c.ask.Cached {
		if id == "" {
			continue
		}
		if t := find(candidates, id); t != nil {
			c.compare(t)
		}
	}
	if c.best == nil {
		c.compareAll(candidates)
	}
}

// find returns the candidate with an ID. Candidates are in the order of their IDs.
func find(candidates []*keeper.Target, id string) *keeper.Target {
	low, high := 0, len(candidates)
	for low < high {
		middle := int(uint(low+high) >> 1)
		if candidates[middle].ID < id {
			low = middle + 1
		} else {
			high = middle
		}
	}
	if low < len(candidates) && candidates[low].ID == id {
		return candidates[low]
	}
	return nil
}

// mix returns the next number of a sequence without visible order (SplitMix64).
func mix(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *chooser) compare(t *keeper.Target) {
	if t.Leaving || isTried(t.ID, c.ask.Tried) {
		return
	}
	score := expectedLoad(c.now, t, c.ask.Peers)
	if t.DataCentre != c.ask.DataCentre {
		score += otherDataCentrePenalty
	}
	if t.ID == c.ask.Cached[0] || t.ID == c.ask.Cached[1] {
		score -= cachedGain
	}
	if c.best == nil || score < c.score {
		c.best = t
		c.score = score
	}
}

// isTooLate reports whether the chosen target is not expected to begin the
// request in time.
func (c *chooser) isTooLate() bool {
	if c.ask.Deadline.IsZero() || c.ask.WaitPerRequest <= 0 || c.ask.Priority > 0 {
		return false
	}
	ahead := max(0, expectedLoad(c.now, c.best, c.ask.Peers)-float64(c.best.Running))
	wait := time.Duration(ahead * float64(c.ask.WaitPerRequest))
	return c.now.Add(wait).After(c.ask.Deadline)
}

// expectedLoad is in requests. What others have in flight is guessed in two ways
// that err differently: what the report, which lags, shows beyond the requests of
// this instance; and that each peer has as much as this instance. The mean of
// both is used, or the latter alone if the report is stale.
func expectedLoad(now time.Time, t *keeper.Target, peers int) float64 {
	own := float64(t.Counter.InFlight.Load())
	alike := own * float64(peers)
	if now.Sub(t.ReportedAt) > reportTrust {
		return own + alike
	}
	reported := max(0, float64(int64(t.Running+t.Queued)-t.Counter.InFlightAtReport.Load()))
	if peers == 0 {
		return own + reported
	}
	return own + (reported+alike)/2
}

func isTried(id string, tried []string) bool {
	for _, t := range tried {
		if t == id {
			return true
		}
	}
	return false
}

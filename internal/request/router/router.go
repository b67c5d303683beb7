// Package router chooses the target for a request. The choice depends only on its
// arguments; the package keeps no state.
package router

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var (
	// ErrNoTarget reports that no candidate may be chosen.
	ErrNoTarget = errors.New("no target holds the model")
	// ErrTooLate reports that no target is expected to start the request before its
	// deadline.
	ErrTooLate = errors.New("no target is expected to be free before the deadline")
	// ErrQuiet reports that all candidates that may be chosen have asked for quiet.
	ErrQuiet = errors.New("all targets that hold the model have asked for quiet")
)

// QuietError is an ErrQuiet that says when the first of the targets takes a request again.
type QuietError struct {
	Until time.Time
}

func (e *QuietError) Error() string { return ErrQuiet.Error() }

// Is reports whether target is ErrQuiet.
func (e *QuietError) Is(target error) bool { return target == ErrQuiet }

// Query describes the request that a target is chosen for.
type Query struct {
	Name keeper.Name
	// DataCentre is the data centre of this instance. Targets in it are preferred
	// at equal load.
	DataCentre string
	// Excluded lists the IDs of targets that must not be chosen.
	Excluded []string
	// Seed selects among equal candidates. Callers pass a value that differs between
	// requests.
	Seed uint64
	// Cached holds the IDs of targets whose prefix cache is likely to contain the
	// prompt. An empty string means none.
	Cached [2]string
	// Peers is the number of other instances that send to the candidates.
	Peers int
	// Priority is the priority of the request. A request with a priority above 0
	// overtakes queued requests.
	Priority int
	// Deadline is the latest useful start of the request, and WaitPerRequest the
	// expected wait for each request queued before it. If either is zero, ErrTooLate
	// is not returned.
	Deadline       time.Time
	WaitPerRequest time.Duration
}

const (
	otherDataCentrePenalty = 0.5 // requests
	// maxReportAge is the age above which the load that a target reported is ignored.
	maxReportAge = 2 * time.Second
	// maxCompared bounds the number of candidates that one choice compares. They are
	// sampled at random, which also prevents instances with the same reports from
	// all choosing the same target.
	maxCompared = 8
	// cachedBonus is how many more requests a target may have than the least loaded
	// one and still be chosen for its prefix cache.
	cachedBonus = 3
)

// Pick returns the candidate with the least expected load: the requests of this
// instance in flight plus an estimate of those of other instances. Of more than
// maxCompared candidates, it compares only a sample. A candidate that is likely to
// have the prompt cached is preferred if its load is at most slightly higher.
// Candidates must be sorted by ID. The error is ErrNoTarget, ErrTooLate or a *QuietError.
func Pick(now time.Time, candidates []*keeper.Target, ask Query) (*keeper.Target, error) {
	c := chooser{now: now, ask: ask}
	if len(candidates) <= maxCompared {
		c.compareAll(candidates)
	} else {
		c.compareSample(candidates)
	}
	if c.best == nil && !c.quietUntil.IsZero() {
		return nil, &QuietError{Until: c.quietUntil}
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
	ask   Query
	best  *keeper.Target
	score float64
	// quietUntil is when the first of the candidates that have asked for quiet takes a
	// request again; zero if none has.
	quietUntil time.Time
}

func (c *chooser) compareAll(candidates []*keeper.Target) {
	n := uint64(len(candidates))
	for i := range n {
		c.compare(candidates[(c.ask.Seed+i)%n])
	}
}

// compareSample compares a random sample of the candidates and those with the
// prompt cached. If none of them may be chosen, it compares all candidates.
func (c *chooser) compareSample(candidates []*keeper.Target) {
	state := c.ask.Seed
	for range maxCompared {
		state = splitMix64(state)
		c.compare(candidates[state%uint64(len(candidates))])
	}
	for _, id := range c.ask.Cached {
		if id == "" {
			continue
		}
		if t := findTarget(candidates, id); t != nil {
			c.compare(t)
		}
	}
	if c.best == nil {
		c.compareAll(candidates)
	}
}

// findTarget returns the candidate with an ID, or nil. Candidates are sorted by ID.
func findTarget(candidates []*keeper.Target, id string) *keeper.Target {
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

// splitMix64 returns the next state of a pseudorandom sequence (SplitMix64).
func splitMix64(x uint64) uint64 {
	x += 0x9e3779b97f4a7c15
	x = (x ^ x>>30) * 0xbf58476d1ce4e5b9
	x = (x ^ x>>27) * 0x94d049bb133111eb
	return x ^ x>>31
}

func (c *chooser) compare(t *keeper.Target) {
	if t.Leaving || isExcluded(t.ID, c.ask.Excluded) {
		return
	}
	if until, isQuiet := t.QuietUntil(c.now); isQuiet {
		c.skipQuiet(until)
		return
	}
	score := expectedLoad(c.now, t, c.ask.Peers)
	if t.DataCentre != c.ask.DataCentre {
		score += otherDataCentrePenalty
	}
	if t.ID == c.ask.Cached[0] || t.ID == c.ask.Cached[1] {
		score -= cachedBonus
	}
	if c.best == nil || score < c.score {
		c.best = t
		c.score = score
	}
}

func (c *chooser) skipQuiet(until time.Time) {
	if c.quietUntil.IsZero() || until.Before(c.quietUntil) {
		c.quietUntil = until
	}
}

// isTooLate reports whether the chosen target is expected to start the request
// only after its deadline.
func (c *chooser) isTooLate() bool {
	if c.ask.Deadline.IsZero() || c.ask.WaitPerRequest <= 0 || c.ask.Priority > 0 {
		return false
	}
	ahead := max(0, expectedLoad(c.now, c.best, c.ask.Peers)-float64(c.best.Running))
	wait := time.Duration(ahead * float64(c.ask.WaitPerRequest))
	return c.now.Add(wait).After(c.ask.Deadline)
}

// expectedLoad returns the expected number of requests at a target. The requests
// of other instances are estimated in two ways with different errors: the load
// that the target reported, which lags, minus this instance's share of it; and
// the assumption that each peer has as many in flight as this instance. The mean
// of both is used, or the latter alone if the report is stale.
func expectedLoad(now time.Time, t *keeper.Target, peers int) float64 {
	own := float64(t.Counter.InFlight.Load())
	assumed := own * float64(peers)
	if now.Sub(t.ReportedAt) > maxReportAge {
		return own + assumed
	}
	reported := max(0, float64(int64(t.Running+t.Queued)-t.Counter.InFlightAtReport.Load()))
	if peers == 0 {
		return own + reported
	}
	return own + (reported+assumed)/2
}

func isExcluded(id string, excluded []string) bool {
	for _, t := range excluded {
		if t == id {
			return true
		}
	}
	return false
}

// Package pacer decides how many requests an instance sends to a target that has asked it
// for quiet: none until a deadline, then one at a time, and more with each answer. It has
// no clock: its methods receive the current time.
package pacer

import "time"

const (
	// maxQuiet bounds the time for which a target can ask for no requests.
	maxQuiet = 10 * time.Minute
	// maxReturnDelay bounds the random delay after which an instance uses a target again that
	// asked for quiet, so that not all instances return at the same time.
	maxReturnDelay = 300 * time.Millisecond
	// initialReturns is the number of requests that are sent to such a target at first. It
	// doubles with each answer until maxReturns, and then no longer applies.
	initialReturns = 1
	maxReturns     = 32
)

// Pacer holds back the requests to one incarnation of a target. The zero value holds back
// none.
type Pacer struct {
	// quietUntil is until when the target wants no requests of this instance.
	quietUntil time.Time
	// returnsAllowed is the number of requests that may be in flight of those that were sent
	// after quietUntil, and returns is the number of them; 0 if there is no bound.
	returnsAllowed int
	returns        int
}

// AskQuiet records that the target wants no requests for a time, and returns for how long it
// gets none: a little longer, as random decides, and at most maxQuiet.
func (p *Pacer) AskQuiet(now time.Time, delay time.Duration, random uint64) time.Duration {
	until := now.Add(min(delay, maxQuiet) + time.Duration(random%uint64(maxReturnDelay)))
	if until.After(p.quietUntil) {
		p.quietUntil = until
	}
	p.returnsAllowed = initialReturns
	return p.QuietFor(now)
}

// QuietUntil returns until when the target wants no requests; zero if it has not asked for
// quiet.
func (p *Pacer) QuietUntil() time.Time { return p.quietUntil }

// QuietFor returns for how long the target wants no requests; 0 if it takes them.
func (p *Pacer) QuietFor(now time.Time) time.Duration { return max(p.quietUntil.Sub(now), 0) }

// IsReturnBlocked reports whether enough requests are in flight at a target that has just
// begun to take them again.
func (p *Pacer) IsReturnBlocked() bool { return p.returnsAllowed > 0 && p.returns >= p.returnsAllowed }

// BeginReturn counts a request if the target has just begun to take requests again, and
// reports whether it does. EndReturn must then be called at the end of the request.
func (p *Pacer) BeginReturn() bool {
	if p.returnsAllowed == 0 {
		return false
	}
	p.returns++
	return true
}

// EndReturn ends the count of a request that BeginReturn has counted.
func (p *Pacer) EndReturn() { p.returns = max(p.returns-1, 0) }

// AllowMoreReturns raises the bound after an answer to a request that BeginReturn has counted.
func (p *Pacer) AllowMoreReturns() {
	p.returnsAllowed *= 2
	if p.returnsAllowed > maxReturns {
		p.returnsAllowed = 0
	}
}

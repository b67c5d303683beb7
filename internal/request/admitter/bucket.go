package admitter

import (
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// longestCredit bounds the time that one filling counts. A share that was
	// lent is away for longer, so that fillings do not miss it.
	longestCredit = 500 * time.Millisecond
	// demandWeight is the weight of the latest measurement in the mean demand.
	demandWeight = 0.3
	// headroom is how much more than its demand a team is given.
	headroom = 1.2
	// longestRetry bounds the time after which a caller may come again.
	longestRetry = time.Minute
	// demandTime is how long after a request a team is taken to have demand for one
	// request at least.
	demandTime = time.Second
	// roundingError is how much less than a whole request counts as one.
	roundingError = 1e-9
)

// bucket is the state of one team at this instance: a token bucket whose rate
// and size are a part of the team's limit, and a count of requests.
type bucket struct {
	tokens   float64
	filledAt time.Time
	// part is the part of the limit at the last filling, which held until then at
	// least.
	part  float64
	until time.Time

	inFlight int
	// arrived counts the requests since measuredAt, and turnedAway those of them
	// for which too many were in flight.
	arrived    int
	turnedAway int
	measuredAt time.Time
	// wantedUntil is until when one request at least is wanted.
	wantedUntil time.Time
	// rate is the mean of the arrivals per second, and wanted the number of
	// requests that would be in flight without the limit.
	rate   float64
	wanted float64
}

// allowed returns the part of a bound that this instance may use. Less than one is
// not rounded up, or the instances together would let in more than the bound.
func (b *bucket) allowed(bound int) float64 {
	return float64(bound)*b.part + roundingError
}

// fill adds the tokens for the time since the last filling, at the smaller of the
// parts then and now, and for no longer than the earlier one was sure to hold.
func (b *bucket) fill(now time.Time, limit keeper.Limit, part float64, until time.Time) {
	ends := now
	if b.until.Before(ends) {
		ends = b.until
	}
	passed := min(ends.Sub(b.filledAt), longestCredit)
	if passed > 0 {
		b.tokens += passed.Seconds() * limit.RequestsPerSecond * min(b.part, part)
	}
	if now.After(b.filledAt) {
		b.filledAt = now
	}
	b.part = part
	b.until = until
	b.tokens = min(b.tokens, b.allowed(limit.BurstSize()))
}

// untilToken returns how long it takes until a token is there at the present part,
// or until a larger part may be there if the present one holds no whole token.
func (b *bucket) untilToken(limit keeper.Limit) time.Duration {
	perSecond := limit.RequestsPerSecond * b.part
	if perSecond <= 0 || b.allowed(limit.BurstSize()) < 1 {
		return inFlightRetry
	}
	seconds := (1 - b.tokens) / perSecond
	return min(time.Duration(seconds*float64(time.Second)), longestRetry)
}

// measure takes the arrivals since the last measurement into the means.
func (b *bucket) measure(now time.Time) {
	passed := now.Sub(b.measuredAt).Seconds()
	if passed <= 0 {
		return
	}
	b.rate += demandWeight * (float64(b.arrived)/passed - b.rate)
	b.wanted += demandWeight * (float64(b.inFlight+b.turnedAway) - b.wanted)
	b.arrived = 0
	b.turnedAway = 0
	b.measuredAt = now
}

// want notes demand for one request at least until demandTime after a moment.
func (b *bucket) want(at time.Time) {
	if until := at.Add(demandTime); until.After(b.wantedUntil) {
		b.wantedUntil = until
	}
}

// need returns the part of a limit that the demand here takes up, up to 1. Any
// demand takes up one whole request.
func (b *bucket) need(now time.Time, limit keeper.Limit) float64 {
	need := 0.0
	if limit.RequestsPerSecond > 0 {
		need = b.rate / limit.RequestsPerSecond
	}
	if limit.InFlight > 0 {
		need = max(need, max(b.wanted, float64(b.inFlight))/float64(limit.InFlight))
	}
	need *= headroom
	if units := limit.Units(); units > 0 && (b.inFlight > 0 || now.Before(b.wantedUntil)) {
		need = max(need, 1/float64(units))
	}
	return min(1, need)
}

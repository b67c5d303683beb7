package admitter

import (
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// maxRefillInterval bounds the time that one refill adds tokens for. Shares are
	// lent for longer than this, so that each loan is seen by a refill.
	maxRefillInterval = 500 * time.Millisecond
	// demandWeight is the weight of the latest measurement in the moving averages.
	demandWeight = 0.3
	// demandHeadroom is the factor by which a team's need exceeds its measured demand.
	demandHeadroom = 1.2
	// maxRetryDelay bounds the time after which a caller is asked to retry.
	maxRetryDelay = time.Minute
	// recentDemandPeriod is how long after a request a team counts as having demand
	// for at least one request.
	recentDemandPeriod = time.Second
	// roundingTolerance is how much less than one request still counts as one.
	roundingTolerance = 1e-9
)

// bucket is the state of one team at this instance: a token bucket whose rate and
// size are this instance's share of the team's limit, and the measured demand.
type bucket struct {
	tokens     float64
	refilledAt time.Time
	// share is the share at the last refill. It does not shrink before shareUntil.
	share      float64
	shareUntil time.Time

	inFlight int
	// arrivals counts the requests since measuredAt, and rejectedInFlight those of
	// them that were rejected because too many were in flight.
	arrivals         int
	rejectedInFlight int
	measuredAt       time.Time
	// demandUntil is the end of the period in which the team counts as having demand
	// for at least one request.
	demandUntil time.Time
	// arrivalRate is the moving average of arrivals per second, and concurrency that
	// of the number of requests that would be in flight without the limit.
	arrivalRate float64
	concurrency float64
}

// allowance returns this instance's share of a bound. A value below one is not
// rounded up, since the instances together would then exceed the bound.
func (b *bucket) allowance(bound int) float64 {
	return float64(bound)*b.share + roundingTolerance
}

// refill adds the tokens for the time since the last refill. They accrue at the
// smaller of the previous and the current share, and not beyond the time until
// which the previous share was guaranteed.
func (b *bucket) refill(now time.Time, limit keeper.Limit, share float64, shareUntil time.Time) {
	end := now
	if b.shareUntil.Before(end) {
		end = b.shareUntil
	}
	elapsed := min(end.Sub(b.refilledAt), maxRefillInterval)
	if elapsed > 0 {
		b.tokens += elapsed.Seconds() * limit.RequestsPerSecond * min(b.share, share)
	}
	if now.After(b.refilledAt) {
		b.refilledAt = now
	}
	b.share = share
	b.shareUntil = shareUntil
	b.tokens = min(b.tokens, b.allowance(limit.BurstSize()))
}

// retryDelay returns how long it takes until a token is available at the current
// share, or until the share may have grown if it is too small for a whole token.
func (b *bucket) retryDelay(limit keeper.Limit) time.Duration {
	rate := limit.RequestsPerSecond * b.share
	if rate <= 0 || b.allowance(limit.BurstSize()) < 1 {
		return inFlightRetryDelay
	}
	seconds := (1 - b.tokens) / rate
	return min(time.Duration(seconds*float64(time.Second)), maxRetryDelay)
}

// measure updates the moving averages with the requests since the last measurement.
func (b *bucket) measure(now time.Time) {
	elapsed := now.Sub(b.measuredAt).Seconds()
	if elapsed <= 0 {
		return
	}
	b.arrivalRate += demandWeight * (float64(b.arrivals)/elapsed - b.arrivalRate)
	b.concurrency += demandWeight * (float64(b.inFlight+b.rejectedInFlight) - b.concurrency)
	b.arrivals = 0
	b.rejectedInFlight = 0
	b.measuredAt = now
}

// noteDemand extends the period in which the team counts as having demand for at
// least one request to recentDemandPeriod after at.
func (b *bucket) noteDemand(at time.Time) {
	if until := at.Add(recentDemandPeriod); until.After(b.demandUntil) {
		b.demandUntil = until
	}
}

// need returns the fraction of a limit that the demand here requires, up to 1.
// Any demand requires the fraction of at least one request.
func (b *bucket) need(now time.Time, limit keeper.Limit) float64 {
	need := 0.0
	if limit.RequestsPerSecond > 0 {
		need = b.arrivalRate / limit.RequestsPerSecond
	}
	if limit.InFlight > 0 {
		need = max(need, max(b.concurrency, float64(b.inFlight))/float64(limit.InFlight))
	}
	need *= demandHeadroom
	if units := limit.Units(); units > 0 && (b.inFlight > 0 || now.Before(b.demandUntil)) {
		need = max(need, 1/float64(units))
	}
	return min(1, need)
}

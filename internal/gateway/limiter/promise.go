package limiter

import "time"

const (
	// reserveTime is how long before it is due a promised amount is kept from new requests.
	// Longer reserves refuse requests within the quota, and shorter ones leave nothing for the
	// promise.
	reserveTime = time.Second
	// promiseTTL is how long a promised amount is kept for a caller that is late, and
	// promiseTolerance how much earlier a caller may come back.
	promiseTTL       = 500 * time.Millisecond
	promiseTolerance = 20 * time.Millisecond
	// turnShare is the share of the rate at which amounts are promised. The rest covers what
	// other requests use meanwhile.
	turnShare = 0.95
	// maxPromises bounds the promises of an account at a granter.
	maxPromises = 10_000
)

// promise is an amount that a caller beyond the quota was told to come back for.
type promise struct {
	amount float64
	dueAt  time.Time
}

// promises holds the promises of one account at a granter.
type promises struct {
	// callers holds them by the content of the request.
	callers map[int64]promise
	// nextTurn is when all promised amounts have been due.
	nextTurn time.Time
}

// isDue reports whether a caller has come back when it was told.
func (p *promises) isDue(caller int64, now time.Time) bool {
	known, ok := p.callers[caller]
	return ok && !now.Before(known.dueAt.Add(-promiseTolerance))
}

// unpromised returns the part of what is free that new requests may get, and drops the promises
// of callers that did not come back.
func (p *promises) unpromised(free float64, now time.Time) float64 {
	reserved := 0.0
	for caller, known := range p.callers {
		switch {
		case now.Sub(known.dueAt) > promiseTTL:
			delete(p.callers, caller)
		case known.dueAt.Sub(now) < reserveTime:
			reserved += known.amount
		}
	}
	return max(free-reserved, 0)
}

// deny returns the time after which a needed amount is there. If the request is denied for good
// its caller is promised that amount then: callers are told one turn after the other.
func (l *ledger) deny(now time.Time, ask QuotaAsk, need float64, a allowance, perSecond float64) time.Duration {
	if p, ok := l.callers[ask.Caller]; ok {
		if l.isDue(ask.Caller, now) {
			p.dueAt = now.Add(l.timeUntil(now, need, a)) // it goes before those that wait for a turn
			l.callers[ask.Caller] = p
		}
		return p.dueAt.Sub(now)
	}
	due := later(l.nextTurn, now.Add(l.timeUntil(now, need, a)))
	wait := due.Sub(now)
	if wait >= maxQuotaRetryDelay {
		return maxQuotaRetryDelay
	}
	if ask.IsLast && ask.Caller != 0 && len(l.callers) < maxPromises {
		total := max(need, positive(ask.Total))
		l.nextTurn = due.Add(secondsOf(min(total/(turnShare*perSecond*a.share()), maxQuotaRetryDelay.Seconds())))
		l.callers[ask.Caller] = promise{amount: total, dueAt: due}
	}
	return wait
}

package limiter

import (
	"math"
	"slices"
	"time"
)

const (
	// binTime is the resolution in which a granter remembers when amounts were used.
	binTime = 250 * time.Millisecond
	// aheadShare is the share of what is left to grant that is granted ahead of use at a time,
	// and maxAheadShare the share of what may be granted at once that all leases may hold then.
	aheadShare    = 0.25
	maxAheadShare = 0.4
	// maxQuotaRetryDelay bounds the time after which a caller may come back.
	maxQuotaRetryDelay = 30 * time.Second
)

// EndedLease is a lease that its holder charges no more requests to, with the part of its amount
// that did not run so far. The last report of a lease holds.
type EndedLease struct {
	ID     int64
	Unused float64
}

// QuotaAsk is what an instance asks a granter for one account.
type QuotaAsk struct {
	Account string
	// Need is the amount for a request at hand, and Ahead what the instance expects to use
	// beyond it before the lease ends.
	Need  float64
	Ahead float64
	// Total is the whole amount of that request, and Caller identifies its content; 0 if it is
	// not known.
	Total  float64
	Caller int64
	// IsLast is true if the request is denied unless this granter grants what is needed.
	IsLast bool
	// IsPromised is true if another granter promised the amount for now, but has too little.
	IsPromised bool
	Ended      []EndedLease
}

// QuotaGrant is the answer to a QuotaAsk.
type QuotaGrant struct {
	Account string
	// IsKnown is false if the granter knows no quota of the account or holds no share of it.
	IsKnown bool
	ID      int64
	// Amount can be less than was needed.
	Amount float64
	// ValidFor is the time from the sending of the ask for which the amount can be used.
	ValidFor time.Duration
	// RetryIn is the time until the missing amount is there; 0 if nothing is missing.
	RetryIn time.Duration
	// IsPromised is true if the caller was promised the amount for now.
	IsPromised bool
}

// ledger is a granter's record of what it has granted of one quota.
//
// What was used in the last w seconds, and the leases that can still be used, never exceed what
// the granter's share allows less what another granter could grant in the rest of the window
// if the share passed to it now, of which it would use the handover rate. So no window exceeds
// the bounds, also one in which a granter is replaced by another that knows nothing of it.
type ledger struct {
	leases map[int64]*grantedLease
	// used holds what was used of ended leases, by bin, from the bin first on.
	used  []float64
	first int64
	promises
}

// grantedLease is a lease; once it has ended its use counts in a bin.
type grantedLease struct {
	amount    float64
	expiresAt time.Time
	isEnded   bool
	unused    float64
	bin       int64
}

func binOf(t time.Time) int64 { return t.UnixNano() / int64(binTime) }

// settle ends the leases that have expired and forgets what lies before the window.
func (l *ledger) settle(now time.Time, window time.Duration) {
	oldest := binOf(now.Add(-window))
	for id, lease := range l.leases {
		if !lease.isEnded && !now.Before(lease.expiresAt) {
			l.end(lease, lease.expiresAt)
		}
		if lease.isEnded && lease.bin < oldest {
			delete(l.leases, id)
		}
	}
	if dropped := oldest - l.first; dropped > 0 {
		l.used = slices.Delete(l.used, 0, int(min(dropped, int64(len(l.used)))))
		l.first = oldest
	}
}

// end counts a lease as used at a time.
func (l *ledger) end(lease *grantedLease, at time.Time) {
	lease.isEnded, lease.bin = true, max(binOf(at), l.first)
	for int64(len(l.used)) <= lease.bin-l.first {
		l.used = append(l.used, 0)
	}
	l.used[lease.bin-l.first] += lease.amount
}

// report applies the reports of a holder. One that is doubled or overtaken changes nothing.
func (l *ledger) report(ended []EndedLease, now time.Time) {
	for _, e := range ended {
		lease, ok := l.leases[e.ID]
		if !ok {
			continue
		}
		if !lease.isEnded {
			l.end(lease, now)
		}
		unused := min(max(e.Unused, lease.unused), lease.amount)
		if lease.bin >= l.first {
			l.used[lease.bin-l.first] -= unused - lease.unused
		}
		lease.unused = unused
	}
}

// outstanding returns the sum of the leases that can still be used.
func (l *ledger) outstanding() float64 {
	total := 0.0
	for _, lease := range l.leases {
		if !lease.isEnded {
			total += lease.amount
		}
	}
	return total
}

// free returns what can be granted now.
func (l *ledger) free(now time.Time, a allowance) float64 {
	total := l.outstanding()
	free := a.within(0) - total
	for i := len(l.used) - 1; i >= 0; i-- {
		total += l.used[i]
		age := now.Sub(time.Unix(0, (l.first+int64(i)+1)*int64(binTime)))
		free = min(free, a.within(max(age, 0))-total)
	}
	return max(free, 0)
}

// timeUntil returns the time until an amount that is missing will be free, if nothing else is
// granted.
func (l *ledger) timeUntil(now time.Time, amount float64, a allowance) time.Duration {
	later := *l
	later.used = slices.Clone(l.used)
	for wait := binTime; wait < maxQuotaRetryDelay; wait += binTime {
		at := now.Add(wait)
		for later.first < binOf(at.Add(-a.window)) && len(later.used) > 0 {
			later.used = later.used[1:]
			later.first++
		}
		if later.free(at, a) >= amount {
			return wait
		}
	}
	return maxQuotaRetryDelay
}

// allowance is what a granter may have granted in the time up to now.
type allowance struct {
	window time.Duration
	// total is allowed in a window and perSecond is the handover rate, both for the whole quota.
	total, perSecond float64
	// established is the share that was delegated for longer than a window, and recent holds the
	// others.
	established float64
	recent      []recentShare
}

// recentShare is a share that was delegated for age. Another granter may have used all that was
// allowed before.
type recentShare struct {
	share float64
	age   time.Duration
}

// within returns what is allowed in the last age of the window.
func (a *allowance) within(age time.Duration) float64 {
	whole := max(a.total-a.perSecond*(a.window-age).Seconds(), 0)
	out := a.established * whole
	for _, y := range a.recent {
		if y.age > age {
			out += y.share * whole
		} else {
			out += y.share * a.perSecond * y.age.Seconds()
		}
	}
	return out
}

// share returns the share that was delegated to the granter.
func (a *allowance) share() float64 {
	total := a.established
	for _, y := range a.recent {
		total += y.share
	}
	return total
}

// Grant decides on the asks of an instance.
func (q *Quotas) Grant(asks []QuotaAsk) []QuotaGrant {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	out := make([]QuotaGrant, 0, len(asks))
	for _, ask := range asks {
		out = append(out, q.grant(ask, now))
	}
	return out
}

func (q *Quotas) grant(ask QuotaAsk, now time.Time) QuotaGrant {
	out := QuotaGrant{Account: ask.Account}
	quota := q.quotas[ask.Account]
	if quota.PerSecond <= 0 {
		return out
	}
	l := q.ledgers[ask.Account]
	if l == nil {
		l = &ledger{leases: map[int64]*grantedLease{}, first: binOf(now), promises: promises{callers: map[int64]promise{}}}
		q.ledgers[ask.Account] = l
	}
	allowance := q.allowance(ask.Account, now)
	l.settle(now, allowance.window)
	l.report(ask.Ended, now)
	if allowance.share() <= 0 {
		return out
	}
	out.IsKnown, out.ValidFor = true, minLeaseTime
	free, need := l.free(now, allowance), positive(ask.Need)
	out.IsPromised = ask.IsPromised || l.isDue(ask.Caller, now)
	if !out.IsPromised {
		free = l.unpromised(free, now)
	}
	out.Amount = min(need, free)
	if out.Amount < need {
		out.RetryIn = l.deny(now, ask, need, allowance, quota.PerSecond)
	} else {
		delete(l.callers, ask.Caller)
	}
	if ahead := l.ahead(ask, free-out.Amount, allowance); ahead > 0 {
		out.Amount += ahead
		out.ValidFor = maxLeaseTime
	}
	if out.Amount <= 0 {
		return out
	}
	q.nextLease++
	out.ID = q.nextLease
	l.leases[out.ID] = &grantedLease{amount: out.Amount, expiresAt: now.Add(out.ValidFor)}
	return out
}

// ahead returns what to grant ahead of use. It gets small when little is free, and leaves room
// for the requests at hand of other instances.
func (l *ledger) ahead(ask QuotaAsk, free float64, a allowance) float64 {
	return min(positive(ask.Ahead), aheadShare*free, maxAheadShare*a.within(0)-l.outstanding())
}

// positive returns an amount in a message as a finite number of at least 0.
func positive(amount float64) float64 {
	if math.IsNaN(amount) || math.IsInf(amount, 0) {
		return 0
	}
	return max(amount, 0)
}

package limiter

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// aheadTime is the time of recent use for which an instance asks ahead.
	aheadTime = maxLeaseTime
	// useDecayTime is the time over which the recent use is averaged.
	useDecayTime = 2 * time.Second
	// minAheadRequests is the number of requests in aheadTime from which an instance asks ahead.
	minAheadRequests = 2
	// minTimeLeft is the time before its end from which a lease is returned.
	minTimeLeft = 200 * time.Millisecond
	// returnTime is how long after the end of a lease its granter is told what did not run.
	returnTime = 8 * time.Second
	// minDenialTime and maxDenialTime bound the time after which a granter that denied an amount
	// is asked again, and denialShare is that time as a share of the time until the amount is
	// there.
	minDenialTime = 250 * time.Millisecond
	maxDenialTime = 2500 * time.Millisecond
	denialShare   = 0.25
	// silentGranterTime is that time for a granter that gave no answer.
	silentGranterTime = time.Second
	// sizeWeight is the weight of one request in the moving average of amounts.
	sizeWeight = 0.125
	// maxEnded bounds the ended leases of an account that a granter is told of in a message.
	maxEnded = 64
	// roundingError is the amount up to which sums of amounts count as equal.
	roundingError = 1e-6
)

// pool holds the leases of one account at the instance that uses them.
type pool struct {
	leases []*lease // by their ends
	// ended holds the leases to report to each granter as ended.
	ended   map[string][]endedLease
	denials map[string]denial
	// use is the recent use a second and size the recent amount of a request.
	use    float64
	size   float64
	usedAt time.Time
	// isAsking reports whether an ask ahead is in flight.
	isAsking bool
	fallback bucket
	// first is the part whose granter is asked first.
	first int
}

// lease is an amount that a granter has granted to this instance until its end.
type lease struct {
	id      int64
	granter string
	left    float64
	endsAt  time.Time
	// isEnded reports whether the granter is told that the lease has ended, and unused is what
	// did not run of it.
	isEnded bool
	unused  float64
}

// endedLease is one that has ended, with the time from which the granter ignores it.
type endedLease struct {
	EndedLease
	endsAt time.Time
}

// denial is the last denial of a granter.
type denial struct {
	until time.Time
	// retryAt is when the missing amount is there.
	retryAt  time.Time
	isSilent bool
}

func (q *Quotas) pool(account string) *pool {
	p := q.pools[account]
	if p == nil {
		p = &pool{ended: map[string][]endedLease{}, denials: map[string]denial{}, usedAt: q.now()}
		p.first = int(xxhash.Sum64String(q.self+"/"+account) % partsPerQuota)
		p.fallback.updatedAt = q.now()
		q.pools[account] = p
	}
	return p
}

// noteUse adds an amount to the recent use.
func (p *pool) noteUse(now time.Time, amount float64) {
	p.use = p.recentUse(now) + amount/useDecayTime.Seconds()
	p.usedAt = now
	if p.size == 0 {
		p.size = amount
	}
	p.size += sizeWeight * (amount - p.size)
}

func (p *pool) recentUse(now time.Time) float64 {
	return p.use * math.Exp(-now.Sub(p.usedAt).Seconds()/useDecayTime.Seconds())
}

// charge takes what is missing from the leases, first from the one that ends first.
func (p *pool) charge(c *Charge, now time.Time) {
	for _, l := range p.leases {
		if c.IsWhole() {
			return
		}
		amount := min(l.left, c.missing)
		if amount <= 0 || !now.Before(l.endsAt) {
			continue
		}
		l.left -= amount
		c.missing -= amount
		c.portions = append(c.portions, portion{l, amount})
	}
}

// otherAsks returns the asks ahead for the other accounts that a granter can answer in the same
// message.
func (q *Quotas) otherAsks(granter, except string, now time.Time) []QuotaAsk {
	out := []QuotaAsk{}
	for _, account := range q.accounts {
		p := q.pools[account]
		if p != nil && account != except && p.isDue(now) && slices.Contains(q.granters(account, 0), granter) {
			out = append(out, p.askAhead(account, granter, now))
		}
	}
	return out
}

// granters returns the granters of an account, starting with that of a part.
func (q *Quotas) granters(account string, first int) []string {
	out := make([]string, 0, partsPerQuota)
	parts := partsOf(account)
	for i := range parts {
		holder := q.delegations.holders[parts[(first+i)%partsPerQuota]]
		if !slices.Contains(out, holder) {
			out = append(out, holder)
		}
	}
	return out
}

// ahead returns the amount to ask for ahead of use; 0 for few requests.
func (p *pool) ahead(now time.Time) float64 {
	expected := p.recentUse(now) * aheadTime.Seconds()
	if expected < minAheadRequests*p.size {
		return 0
	}
	return max(expected-p.left(now), 0)
}

func (p *pool) left(now time.Time) float64 {
	total := 0.0
	for _, l := range p.leases {
		if now.Before(l.endsAt) {
			total += l.left
		}
	}
	return total
}

// isDue reports whether to ask ahead now: less than half of what is expected is left.
func (p *pool) isDue(now time.Time) bool {
	ahead := p.ahead(now)
	return !p.isAsking && ahead > 0 && ahead > p.left(now)
}

func (p *pool) askAhead(account, granter string, now time.Time) QuotaAsk {
	p.isAsking = true
	return QuotaAsk{Account: account, Ahead: p.ahead(now), Ended: p.takeEnded(granter, now)}
}

// takeEnded returns the ended leases to report to a granter, each once.
func (p *pool) takeEnded(granter string, now time.Time) []EndedLease {
	out := []EndedLease{}
	for _, e := range p.ended[granter] {
		if now.Before(e.endsAt) && len(out) < maxEnded {
			out = append(out, e.EndedLease)
		}
	}
	delete(p.ended, granter)
	return out
}

func (q *Quotas) receive(granter string, grant QuotaGrant, sentAt, now time.Time) {
	p := q.pool(grant.Account)
	if !grant.IsKnown {
		p.deny(granter, now, minDenialTime, 0, true)
		return
	}
	if grant.RetryIn > 0 {
		p.deny(granter, now, denialTime(grant.RetryIn), grant.RetryIn, false)
	} else {
		delete(p.denials, granter)
	}
	l := &lease{id: grant.ID, granter: granter, left: grant.Amount, endsAt: sentAt.Add(min(max(grant.ValidFor, 0), maxLeaseTime))}
	if grant.Amount <= 0 || !now.Before(l.endsAt) {
		return
	}
	at, _ := slices.BinarySearchFunc(p.leases, l.endsAt, func(l *lease, t time.Time) int { return l.endsAt.Compare(t) })
	p.leases = slices.Insert(p.leases, at, l)
}

func denialTime(retryIn time.Duration) time.Duration {
	share := time.Duration(denialShare * float64(retryIn))
	return min(max(share, min(retryIn, minDenialTime)), maxDenialTime)
}

// deny records that a granter has nothing to grant and that the next ask goes to another one.
func (p *pool) deny(granter string, now time.Time, blocked, retryIn time.Duration, isSilent bool) {
	p.denials[granter] = denial{until: now.Add(blocked), retryAt: now.Add(retryIn), isSilent: isSilent}
	p.first = (p.first + 1) % partsPerQuota
}

func (p *pool) settle(c *Charge, hasRun bool, now time.Time) {
	for _, part := range c.portions {
		l := part.lease
		switch {
		case hasRun:
		case l.isEnded || !now.Before(l.endsAt):
			p.end(l, part.amount)
		default:
			l.left += part.amount
		}
	}
	c.portions = nil
	p.endLeases(now)
}

// end ends a lease of which an amount did not run.
func (p *pool) end(l *lease, unused float64) {
	l.isEnded = true
	l.left = 0
	l.unused += unused
	p.ended[l.granter] = append(p.ended[l.granter], endedLease{EndedLease{ID: l.id, Unused: l.unused}, l.endsAt.Add(returnTime)})
}

// endLeases drops the leases that have expired, and ends those that are used up or about to
// expire, so that their granters know it.
func (p *pool) endLeases(now time.Time) {
	p.leases = slices.DeleteFunc(p.leases, func(l *lease) bool {
		switch {
		case l.isEnded || !now.Before(l.endsAt):
			return true
		case l.left > roundingError && l.endsAt.Sub(now) > minTimeLeft:
			return false
		}
		p.end(l, l.left)
		return true
	})
}

// AsksAhead returns the asks to send to each granter now, off the way of requests. The caller
// must pass each answer to Receive.
func (q *Quotas) AsksAhead() map[string][]QuotaAsk {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	out := map[string][]QuotaAsk{}
	for _, account := range q.accounts {
		if p := q.pools[account]; p != nil {
			p.endLeases(now)
			q.addAskAhead(out, account, p, now)
		}
	}
	for _, account := range q.accounts {
		if p := q.pools[account]; p != nil {
			p.addEnded(out, account, now)
		}
	}
	return out
}

func (q *Quotas) addAskAhead(out map[string][]QuotaAsk, account string, p *pool, now time.Time) {
	if !p.isDue(now) {
		return
	}
	if granter := q.firstGranter(account, now); granter != "" {
		out[granter] = append(out[granter], p.askAhead(account, granter, now))
	}
}

// addEnded adds the reports of ended leases to the messages that are sent anyway, and to those
// that are worth one.
func (p *pool) addEnded(out map[string][]QuotaAsk, account string, now time.Time) {
	for granter, ended := range p.ended {
		if asks, ok := out[granter]; ok || hasUnused(ended) {
			out[granter] = append(asks, QuotaAsk{Account: account, Ended: p.takeEnded(granter, now)})
		}
	}
}

// firstGranter returns the first granter that has not denied an amount lately.
func (q *Quotas) firstGranter(account string, now time.Time) string {
	for _, granter := range q.granters(account, q.pools[account].first) {
		if d, ok := q.pools[account].denials[granter]; !ok || !now.Before(d.until) {
			return granter
		}
	}
	return ""
}

func hasUnused(ended []endedLease) bool {
	return slices.ContainsFunc(ended, func(e endedLease) bool { return e.Unused > roundingError })
}

package limiter

import (
	"fmt"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// ErrOverQuota means that the quota of an account leaves no room for a request now.
var ErrOverQuota = errors.New("quota of the account is used up")

// ErrNoGranter means that no instance can tell now whether a quota leaves room for a request.
var ErrNoGranter = errors.New("quota of the account is not known now")

// MaxQuotaWait is the longest time for which a request is held, once, until its quota leaves room
// for it. Its caller would come back no sooner.
const MaxQuotaWait = 300 * time.Millisecond

// QuotaError is an ErrOverQuota with the time after which to come back.
type QuotaError struct {
	RetryIn time.Duration
}

func (e *QuotaError) Error() string {
	return fmt.Sprintf("%v for %d ms", ErrOverQuota, e.RetryIn.Milliseconds())
}

// Is reports whether target is ErrOverQuota.
func (e *QuotaError) Is(target error) bool { return target == ErrOverQuota }

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
	maxDenialTime = time.Second
	denialShare   = 0.25
	// silentGranterTime is that time for a granter that gave no answer.
	silentGranterTime = time.Second
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

// portion is the part of a charge that one lease covers.
type portion struct {
	lease  *lease
	amount float64
}

// Charge is what a request has been charged, and while amounts are missing what it still needs.
type Charge struct {
	account  string
	amount   float64
	portions []portion
	missing  float64
	// asked holds the granters that were asked for this request.
	asked []string
	// hasAnswer reports whether one of them answered.
	hasAnswer bool
}

// IsWhole reports whether nothing is missing.
func (c *Charge) IsWhole() bool { return c.missing <= roundingError }

// Begin charges a request of an account from the leases of this instance. If the charge is not
// whole, the caller must ask granters (see NextGranter) and then call Finish.
func (q *Quotas) Begin(account string, amount float64) *Charge {
	q.mu.Lock()
	defer q.mu.Unlock()
	c := &Charge{account: account}
	if q.quotas[account].PerSecond <= 0 || amount <= 0 {
		return c
	}
	c.amount, c.missing = amount, amount
	p, now := q.pool(account), q.now()
	p.noteUse(now, amount)
	p.charge(c, now)
	return c
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
	p.size += (amount - p.size) / 8
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

// NextGranter returns the granter to ask for what a charge misses, with the asks to send; the
// granter is empty if there is none left to ask. The caller must pass the answer to Receive and
// the charge with it.
func (q *Quotas) NextGranter(c *Charge) (granter string, asks []QuotaAsk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, now := q.pools[c.account], q.now()
	if c.IsWhole() || p == nil {
		return "", nil
	}
	for _, candidate := range q.granters(c.account) {
		if d, ok := p.denials[candidate]; ok && now.Before(d.until) {
			c.hasAnswer = c.hasAnswer || !d.isSilent
			continue
		}
		if !slices.Contains(c.asked, candidate) {
			granter = candidate
			break
		}
	}
	if granter == "" {
		return "", nil
	}
	c.asked = append(c.asked, granter)
	ask := QuotaAsk{Account: c.account, Need: c.missing, Ended: p.takeEnded(granter, now)}
	ask.IsLast = q.isLast(p, c, now)
	if !p.isAsking {
		ask.Ahead = p.ahead(now)
	}
	return granter, append([]QuotaAsk{ask}, q.otherAsks(granter, c.account, now)...)
}

// isLast reports whether there is no further granter to ask for a charge.
func (q *Quotas) isLast(p *pool, c *Charge, now time.Time) bool {
	for _, candidate := range q.granters(c.account) {
		d, ok := p.denials[candidate]
		isDenied := ok && now.Before(d.until)
		if !isDenied && !slices.Contains(c.asked, candidate) {
			return false
		}
	}
	return true
}

// otherAsks returns the asks ahead for the other accounts that a granter can answer in the same
// message.
func (q *Quotas) otherAsks(granter, except string, now time.Time) []QuotaAsk {
	out := []QuotaAsk{}
	for _, account := range q.accounts {
		p := q.pools[account]
		if p != nil && account != except && p.isDue(now) && slices.Contains(q.granters(account), granter) {
			out = append(out, p.askAhead(account, granter, now))
		}
	}
	return out
}

// granters returns the granters of an account in the order in which this instance asks them.
func (q *Quotas) granters(account string) []string {
	out := make([]string, 0, partsPerQuota)
	parts := partsOf(account)
	first := q.pool(account).first
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

// Receive records the answer of a granter to asks that were sent at sentAt, or the error of a
// call that got none, and charges what the charge c, which may be nil, still misses.
func (q *Quotas) Receive(c *Charge, granter string, asks []QuotaAsk, grants []QuotaGrant, sentAt time.Time, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now := q.now()
	for _, ask := range asks {
		p := q.pool(ask.Account)
		p.isAsking = false
		if err != nil {
			p.deny(granter, now, silentGranterTime, 0, true)
		}
	}
	if err == nil {
		for _, grant := range grants {
			q.receive(granter, grant, sentAt, now)
		}
	}
	if c == nil {
		return
	}
	for _, grant := range grants {
		c.hasAnswer = c.hasAnswer || (err == nil && grant.Account == c.account && grant.IsKnown)
	}
	q.pool(c.account).charge(c, now)
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

// Finish returns nil if a charge is whole. If not, it returns what was charged and a
// DeniedError with the time after which to come back, or ErrNoGranter.
func (q *Quotas) Finish(c *Charge) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if c.amount == 0 {
		return nil // the account has no quota
	}
	p, now := q.pool(c.account), q.now()
	c.dropExpired(now)
	if c.IsWhole() {
		return nil
	}
	if !c.hasAnswer && q.takeFallback(p, c, now) {
		return nil
	}
	p.settle(c, false, now)
	if !c.hasAnswer {
		return ErrNoGranter
	}
	return &QuotaError{RetryIn: p.retryIn(now)}
}

// dropExpired drops the portions whose leases have expired while granters were asked.
func (c *Charge) dropExpired(now time.Time) {
	c.portions = slices.DeleteFunc(c.portions, func(p portion) bool {
		isExpired := !now.Before(p.lease.endsAt)
		if isExpired {
			c.missing += p.amount
		}
		return isExpired
	})
}

// retryIn returns the time until the first granter has the missing amount.
func (p *pool) retryIn(now time.Time) time.Duration {
	wait := maxQuotaRetryDelay
	for _, d := range p.denials {
		if !d.isSilent && now.Before(d.until) {
			wait = min(wait, d.retryAt.Sub(now))
		}
	}
	return max(wait, askInFlightDelay)
}

// takeFallback charges what is missing to this instance's fixed part of the margin.
func (q *Quotas) takeFallback(p *pool, c *Charge, now time.Time) bool {
	part := q.bounds.fallback(q.quotas[c.account]) / float64(q.memberCount(now))
	p.fallback.add(now, part/2/q.bounds.Window.Seconds(), part/2)
	if p.fallback.tokens < c.missing {
		return false
	}
	p.fallback.tokens -= c.missing
	c.missing = 0
	return true
}

// Return ends a charge. What did not run can be used again until its lease ends.
func (q *Quotas) Return(c *Charge, hasRun bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if p := q.pools[c.account]; p != nil {
		p.settle(c, hasRun, q.now())
	}
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
	for _, granter := range q.granters(account) {
		if d, ok := q.pools[account].denials[granter]; !ok || !now.Before(d.until) {
			return granter
		}
	}
	return ""
}

func hasUnused(ended []endedLease) bool {
	return slices.ContainsFunc(ended, func(e endedLease) bool { return e.Unused > roundingError })
}

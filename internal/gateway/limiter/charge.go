package limiter

import (
	"fmt"
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// ErrOverQuota means that the quota of an account leaves no room for a request now.
var ErrOverQuota = errors.New("quota of the account is used up")

// ErrNoGranter means that no instance can tell now whether a quota leaves room for a request.
var ErrNoGranter = errors.New("quota of the account is not known now")

// MaxQuotaWait is the longest time for which a request is held, once, until its quota leaves room
// for it. Its caller would come back no sooner.
const MaxQuotaWait = 500 * time.Millisecond

// QuotaError is an ErrOverQuota with the time after which to come back.
type QuotaError struct {
	RetryIn time.Duration
}

func (e *QuotaError) Error() string {
	return fmt.Sprintf("%v for %d ms", ErrOverQuota, e.RetryIn.Milliseconds())
}

// Is reports whether target is ErrOverQuota.
func (e *QuotaError) Is(target error) bool { return target == ErrOverQuota }

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
	// isLast reports whether the last one was asked, and hasAnswer whether one of them answered.
	isLast, hasAnswer bool
	// isPromised reports whether the caller has come back when it was told. Then any granter may
	// add to the amount.
	isPromised bool
	// retryIn is the time that the last one has promised.
	retryIn time.Duration
	// Caller identifies the content of the request, so that a caller who comes back when it was
	// told goes before new ones; 0 if it is not known.
	Caller int64
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

// NextGranter returns the granter to ask for what a charge misses, with the asks to send; the
// granter is empty if there is none left to ask. The caller must pass the answer to Receive and
// the charge with it.
//
// The granter that the Caller of the charge prefers is asked first, since only it knows what the
// caller was promised, and once more if no other one has the amount.
func (q *Quotas) NextGranter(c *Charge) (granter string, asks []QuotaAsk) {
	q.mu.Lock()
	defer q.mu.Unlock()
	p, now := q.pools[c.account], q.now()
	if c.IsWhole() || p == nil || c.isLast {
		return "", nil
	}
	open, preferred := q.candidates(p, c, now)
	switch {
	case len(open) > 0:
		granter = open[0]
	case preferred != "":
		granter = preferred
	default:
		return "", nil
	}
	c.isLast = len(open) == 0 || (len(open) == 1 && granter == preferred)
	c.asked = append(c.asked, granter)
	ask := QuotaAsk{
		Account: c.account, Need: c.missing, Total: c.amount, Caller: c.Caller, IsLast: c.isLast, IsPromised: c.isPromised, Ended: p.takeEnded(granter, now),
	}
	if !p.isAsking {
		ask.Ahead = p.ahead(now)
	}
	return granter, append([]QuotaAsk{ask}, q.otherAsks(granter, c.account, now)...)
}

// candidates returns the granters that were not asked yet for a charge, without those that have
// denied an amount lately, and the one that the caller prefers of those that answer.
func (q *Quotas) candidates(p *pool, c *Charge, now time.Time) (open []string, preferred string) {
	first := p.first
	if c.Caller != 0 {
		first = int(uint64(c.Caller) % partsPerQuota)
	}
	for _, candidate := range q.granters(c.account, first) {
		d := p.denials[candidate]
		isDenied := now.Before(d.until)
		if isDenied && d.isSilent {
			continue
		}
		if preferred == "" {
			preferred, isDenied = candidate, false
		}
		isDenied = isDenied && !c.isPromised
		if !isDenied && !slices.Contains(c.asked, candidate) {
			open = append(open, candidate)
		}
	}
	return open, preferred
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
		if err == nil && grant.Account == c.account && grant.IsKnown {
			c.hasAnswer, c.retryIn = true, grant.RetryIn
			if grant.IsPromised && !c.isPromised {
				c.isPromised, c.isLast = true, false
			}
		}
	}
	q.pool(c.account).charge(c, now)
}

// Finish returns nil if a charge is whole. Otherwise it gives back what was charged and returns a
// QuotaError with the time after which to come back, or ErrNoGranter.
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
	if c.retryIn > 0 {
		return &QuotaError{RetryIn: c.retryIn}
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
	half := part / 2 // one half may be used at once, the other is earned over the window
	p.fallback.add(now, half/q.bounds.Window.Seconds(), half)
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

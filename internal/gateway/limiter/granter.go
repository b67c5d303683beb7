package limiter

import "time"

const (
	// burstTime is the time for which the permits that nobody asked for are kept, beside one
	// permit and the granter's share of another one.
	burstTime = 100 * time.Millisecond
	// minShare is the least share of the limits that a granter uses. It bounds the number of
	// granters, each of which may have kept a permit, where instances are cut off from one
	// another.
	minShare = 0.25
	// minPerSecond is granted under any limit: only answers show that a target names a limit
	// no more.
	minPerSecond = 0.1
	// maxRetryDelay bounds the time after which an instance may ask again. Where many
	// instances ask for the same target, it bounds how often the granter is asked.
	maxRetryDelay = 10 * time.Second
	// disagreementDelay is that time while the instances do not agree on the granter.
	disagreementDelay = 250 * time.Millisecond
)

// Answer is the answer of a granter to a request for a permit.
type Answer struct {
	IsGranted bool
	// RetryIn is the time after which to ask again if no permit is granted.
	RetryIn time.Duration
	// Limit is the limit as the granter knows it. If the target names none any more, no
	// permit is needed.
	Limit Limit
}

// bucket is the token bucket of a target or of an account at its granter.
type bucket struct {
	tokens    float64
	perSecond float64
	// digest is that of the members when the tokens were added: those of other members may
	// be granted by another instance.
	digest    int64
	updatedAt time.Time
	// nextTurn is when a permit is left for the next instance that is denied one.
	nextTurn time.Time
}

// Grant decides on a request for a permit. limit is the limit as the asker knows it.
func (l *Limiter) Grant(target Target, limit Limit) Answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	l.observe(target.ID, limit)
	answer := Answer{Limit: l.limits[target.ID]}
	if !answer.Limit.IsNamed {
		return answer
	}
	share := 0.0
	if l.granter(target) == l.self.Name {
		share = l.share(now)
	}
	if share < minShare {
		share = 0
	}
	b := l.buckets[target.ID]
	if b == nil {
		b = &bucket{updatedAt: now}
		l.buckets[target.ID] = b
	}
	if b.digest != l.membership.digest {
		b.tokens, b.digest = 0, l.membership.digest
	}
	b.refill(now, max(answer.Limit.PerSecond, minPerSecond), share)
	answer.IsGranted, answer.RetryIn = b.take(now)
	return answer
}

// refill adds the tokens since the last call, at a share of a limit. The rate may have
// changed at any time since then, so that the lower one counts.
func (b *bucket) refill(now time.Time, limit, share float64) {
	perSecond := share * limit
	b.add(now, perSecond, 1+share+perSecond*burstTime.Seconds())
	if perSecond == 0 {
		b.tokens = 0 // another instance may grant now
	}
}

// add adds the tokens since the last call, at the lower of the last rate and the present one,
// up to a capacity.
func (b *bucket) add(now time.Time, perSecond, capacity float64) {
	elapsed := max(now.Sub(b.updatedAt).Seconds(), 0)
	b.tokens = min(b.tokens+elapsed*min(b.perSecond, perSecond), capacity)
	b.perSecond, b.updatedAt = perSecond, now
}

// take takes a token, or returns the time after which to ask again. Those that are denied
// are told one turn after the other, so that the permits reach all of them.
func (b *bucket) take(now time.Time) (isTaken bool, retryIn time.Duration) {
	if b.perSecond == 0 {
		return false, disagreementDelay
	}
	if b.tokens >= 1 {
		b.tokens--
		return true, 0
	}
	due := now.Add(secondsOf((1 - b.tokens) / b.perSecond))
	if b.nextTurn.Before(due) {
		b.nextTurn = due
	}
	retryIn = min(b.nextTurn.Sub(now), maxRetryDelay)
	b.nextTurn = now.Add(retryIn + secondsOf(1/b.perSecond))
	return false, retryIn
}

func secondsOf(s float64) time.Duration { return time.Duration(s * float64(time.Second)) }

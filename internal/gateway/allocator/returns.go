package allocator

import "time"

const (
	// returnTTL is how long after its time a caller that returns still takes precedence.
	returnTTL = 3 * time.Second
	// returnTolerance is how much earlier than told a caller may return: Retry-After is rounded.
	returnTolerance = 10 * time.Millisecond
	// maxReturns bounds the callers that are expected.
	maxReturns = 8192
	// returnRateShare is the share of the service's rate at which refused callers are told to
	// return; the rest is left for new ones.
	returnRateShare = 0.5
	// maxRetryDelay bounds the time after which a refused caller is to return.
	maxRetryDelay = 10 * time.Second
)

// returns holds the callers that were refused, and when they are to return.
type returns struct {
	due   map[int64][]time.Time
	count int
	// next is when the next refused caller is to return.
	next time.Time
}

func newReturns() returns { return returns{due: map[int64][]time.Time{}} }

// add records a refused caller, and returns the time after which it is to return: when what
// waits has drained and those that were refused before it have returned.
func (r *returns) add(now time.Time, content int64, drain time.Duration, rate float64) time.Duration {
	earliest := now.Add(drain)
	if r.next.Before(earliest) {
		r.next = earliest
	}
	at := r.next
	if rate > 0 {
		r.next = r.next.Add(time.Duration(float64(time.Second) / (returnRateShare * rate)))
	}
	if limit := now.Add(maxRetryDelay); at.After(limit) {
		at = limit
	}
	if content != 0 {
		if r.count >= maxReturns {
			r.prune(now)
		}
		if r.count < maxReturns {
			r.due[content] = append(r.due[content], at)
			r.count++
		}
	}
	return at.Sub(now)
}

// take reports whether a caller returns that was told to do so by now, and forgets it.
func (r *returns) take(now time.Time, content int64) bool {
	times := r.due[content]
	for i, at := range times {
		if now.Before(at.Add(-returnTolerance)) || now.After(at.Add(returnTTL)) {
			continue
		}
		r.count--
		times = append(times[:i], times[i+1:]...)
		r.due[content] = times
		if len(times) == 0 {
			delete(r.due, content)
		}
		return true
	}
	return false
}

func (r *returns) prune(now time.Time) {
	for content, times := range r.due {
		kept := times[:0]
		for _, at := range times {
			if now.Before(at.Add(returnTTL)) {
				kept = append(kept, at)
			}
		}
		r.count -= len(times) - len(kept)
		r.due[content] = kept
		if len(kept) == 0 {
			delete(r.due, content)
		}
	}
}

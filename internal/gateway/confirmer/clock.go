package confirmer

import (
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
)

// maxMilliseconds bounds the times of the store's clock, so that sums do not overflow.
const maxMilliseconds = 1 << 42

// Clock bounds the current time of the store's clock by its readings. All local times are of a
// clock that keeps running while the machine is suspended. The zero value has no reading. It is
// not safe for concurrent use.
type Clock struct {
	isKnown bool
	// low and high bound the store's time minus the local time, as of the local time since.
	low, high time.Duration
	since     time.Time
}

// Record adds a reading from the answer to a call. The store read its clock at some moment between
// the local times sent and received. A reading that contradicts the earlier ones replaces them: the
// store has begun to count anew.
func (c *Clock) Record(milliseconds int64, sent, received time.Time) {
	if milliseconds <= 0 || milliseconds > maxMilliseconds {
		return
	}
	storeTime := time.Duration(milliseconds) * time.Millisecond
	drift := timekeeper.MaxDrift(received.Sub(sent))
	low := storeTime - localTime(received) - drift
	high := storeTime + time.Millisecond - localTime(sent) + drift
	if c.isKnown {
		knownLow, knownHigh := c.offset(received)
		if max(low, knownLow) <= min(high, knownHigh) {
			low, high = max(low, knownLow), min(high, knownHigh)
		}
	}
	c.isKnown, c.low, c.high, c.since = true, low, high, received
}

// Bounds returns bounds of the store's time at the local time now, in milliseconds. ok is false
// before the first reading.
func (c *Clock) Bounds(now time.Time) (earliest, latest int64, ok bool) {
	if !c.isKnown {
		return 0, 0, false
	}
	low, high := c.offset(now)
	return (localTime(now) + low).Milliseconds(), (localTime(now) + high).Milliseconds(), true
}

// offset returns the bounds of the store's time minus the local time at the local time now.
func (c *Clock) offset(now time.Time) (low, high time.Duration) {
	drift := timekeeper.MaxDrift(now.Sub(c.since))
	return c.low - drift, c.high + drift
}

func localTime(t time.Time) time.Duration { return t.Sub(time.Unix(0, 0)) }

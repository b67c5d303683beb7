package confirmer

import "time"

const (
	// askShare is the share of the time in which a manifest must be in force from which a proof is old enough
	// to ask the store itself for another one. The rest is for the call, its spread and the check interval.
	askShare = 0.5
	// maxSpreadShare bounds the spread as a share of the same time.
	maxSpreadShare = 0.2
	// minAskInterval is the time between two calls while the proof stays old. It doubles up to maxAskInterval, so as
	// not to add load to a store that does not answer. That is short enough for two calls before an instance that
	// reaches the store again counts as connected.
	minAskInterval = 300 * time.Millisecond
	maxAskInterval = 900 * time.Millisecond
)

// Schedule decides when an instance asks the store itself whether its manifest is the newest one, so that how late a
// change is in force depends on no other instance: those that read the store for it may hang, be cut off or be behind.
// The zero value is not usable; see NewSchedule. It is not safe for concurrent use.
type Schedule struct {
	// age is the age of the proof from which the store is asked, and maxSpread bounds the spread.
	age, maxSpread time.Duration
	// random returns a part of a time, so that not all instances ask at once.
	random func(time.Duration) time.Duration
	// due is when to ask, and interval the time until the call after that one; zero while the proof is young.
	due      time.Time
	interval time.Duration
}

// NewSchedule returns the schedule for a time in which a manifest must be in force, of which a proof may be at
// most maxAge old before the store is asked. random returns a part of a time.
func NewSchedule(applyTime, maxAge time.Duration, random func(time.Duration) time.Duration) *Schedule {
	return &Schedule{age: min(shareOf(askShare, applyTime), maxAge), maxSpread: shareOf(maxSpreadShare, applyTime), random: random}
}

func shareOf(share float64, d time.Duration) time.Duration { return time.Duration(share * float64(d)) }

// UntilOld returns how long a proof of an age is at least young enough not to ask; 0 if it is not, or if there is none.
func (s *Schedule) UntilOld(age time.Duration, isKnown bool) time.Duration {
	if !isKnown {
		return 0
	}
	return max(s.age-age, 0)
}

// IsDue reports whether to ask the store now. age is that of the proof; isKnown is false if there is none. spread is
// the time over which all instances together may ask.
func (s *Schedule) IsDue(now time.Time, age time.Duration, isKnown bool, spread time.Duration) bool {
	if isKnown && age < s.age {
		s.interval = 0
		return false
	}
	spread = min(spread, s.maxSpread)
	if s.interval == 0 {
		s.due, s.interval = now.Add(s.random(spread)), minAskInterval
	}
	if now.Before(s.due) {
		return false
	}
	s.due = now.Add(s.interval) // still spread as the first call was
	s.interval = min(2*s.interval, maxAskInterval)
	return true
}

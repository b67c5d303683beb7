package confirmer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
)

// TestScheduleAsksInTime guards against an instance that asks the store too late, never again after a call that brought
// nothing, or as often as it can.
func TestScheduleAsksInTime(t *testing.T) {
	const (
		apply = 2 * time.Second
		step  = 50 * time.Millisecond
	)
	whole := func(d time.Duration) time.Duration { return d }
	began := time.Unix(1000, 0)
	asks := func(s *confirmer.Schedule, spread, until time.Duration) []time.Duration {
		out := []time.Duration{}
		for age := time.Duration(0); age < until; age += step {
			if s.IsDue(began.Add(age), age, true, spread) {
				out = append(out, age)
			}
		}
		return out
	}
	t.Run("at half of the time, and again soon", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		assert.Equal(t, []time.Duration{time.Second, 1300 * time.Millisecond, 1900 * time.Millisecond}, asks(s, 0, apply))
	})
	t.Run("earlier where keys are revoked sooner", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, 600*time.Millisecond, whole)
		assert.Equal(t, 600*time.Millisecond, asks(s, 0, apply)[0])
	})
	t.Run("spread over less than the rest of the time", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		assert.Equal(t, 1400*time.Millisecond, asks(s, time.Minute, apply)[0])
	})
	t.Run("about once a second in a long outage", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		assert.Less(t, len(asks(s, 0, time.Minute)), 70)
	})
	t.Run("at once without any proof", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		assert.True(t, s.IsDue(began, 0, false, 0))
	})
	t.Run("looks again no later than it is due", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		assert.Equal(t, 400*time.Millisecond, s.UntilOld(600*time.Millisecond, true))
		assert.Zero(t, s.UntilOld(time.Minute, true))
		assert.Zero(t, s.UntilOld(0, false))
	})
	t.Run("anew after a proof", func(t *testing.T) {
		s := confirmer.NewSchedule(apply, time.Hour, whole)
		asks(s, 0, time.Minute)
		assert.False(t, s.IsDue(began.Add(time.Minute), 0, true, 0))
		assert.True(t, s.IsDue(began.Add(time.Minute+time.Second), time.Second, true, 0))
	})
}

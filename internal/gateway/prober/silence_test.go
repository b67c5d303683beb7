package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestSilence guards against a target that ends in silence and is held against nobody, and against
// runs that are blamed for a silence with another cause.
func TestSilence(t *testing.T) {
	start := time.Unix(1000, 0)
	target := Incarnation{Target: "t1", StartMilliseconds: 5}
	notLeaving := func(Incarnation) bool { return false }
	startedAt := func(start int64) func(string) int64 { return func(string) int64 { return start } }
	for name, c := range map[string]struct {
		disturb  func(s *Silences)
		settled  bool
		hasEnded bool
	}{
		"nothing is known":             {func(s *Silences) { s.Observe(start.Add(time.Second), startedAt(5), notLeaving) }, false, false},
		"a later start at its address": {func(s *Silences) { s.Observe(start.Add(time.Second), startedAt(6), notLeaving) }, true, true},
		"an earlier start there":       {func(s *Silences) { s.Observe(start.Add(time.Second), startedAt(4), notLeaving) }, false, false},
		"it answers another run": {func(s *Silences) {
			s.Heard(target, start.Add(time.Second))
			s.Observe(start.Add(2*time.Second), startedAt(6), notLeaving)
		}, true, false},
		"it answered another run before": {func(s *Silences) {
			s.Heard(target, start.Add(-2*time.Second))
			s.Observe(start.Add(time.Second), startedAt(6), notLeaving)
		}, true, true},
		"another target answers": {func(s *Silences) {
			s.Heard(Incarnation{Target: "t2", StartMilliseconds: 5}, start.Add(time.Second))
			s.Observe(start.Add(time.Second), startedAt(6), notLeaving)
		}, true, true},
		"it leaves": {func(s *Silences) {
			s.Observe(start.Add(time.Second), startedAt(6), func(i Incarnation) bool { return i == target })
		}, true, false},
		"it has left": {func(s *Silences) {
			s.Left(start.Add(-time.Second), target)
			s.Observe(start.Add(time.Second), startedAt(6), notLeaving)
		}, true, false},
		"a start long after":   {func(s *Silences) { s.Observe(start.Add(SilenceTTL), startedAt(5), notLeaving) }, true, false},
		"its start is unknown": {nil, false, false},
	} {
		t.Run(name, func(t *testing.T) {
			s := &Silences{}
			var settled, hasEnded bool
			run := Silence{Target: target, Address: "a", Since: start.Add(-time.Second), Settled: func(ended bool) { settled, hasEnded = true, ended }}
			if c.disturb == nil {
				run.Target.StartMilliseconds = 0
				c.disturb = func(s *Silences) { s.Observe(start, startedAt(6), notLeaving) }
			}
			s.Add(start, run)
			c.disturb(s)
			assert.Equal(t, c.settled, settled)
			assert.Equal(t, c.hasEnded, hasEnded)
			assert.Equal(t, settled, s.IsEmpty())
		})
	}
	t.Run("bounded", func(t *testing.T) {
		s := &Silences{}
		dropped := 0
		for range maxSilences + 3 {
			s.Add(start, Silence{Target: target, Settled: func(bool) { dropped++ }})
		}
		assert.Equal(t, 3, dropped)
	})
}

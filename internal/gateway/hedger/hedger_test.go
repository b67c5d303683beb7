package hedger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

var (
	start    = time.Unix(100, 0)
	route    = Route{Host: "h", Prefix: "/", Service: "s"}
	eligible = Ask{Route: route, Model: "m", IsRepeatable: true, MaxAttempts: 2}
)

// newTest returns a hedger that knows n times from 10 ms to 20 ms, and one of 1 s in 25.
func newTest(share float64, n int) *Hedger {
	h := New(share)
	for i := range n {
		took := time.Duration(10+i%10) * time.Millisecond
		if i%25 == 0 {
			took = time.Second
		}
		h.Observe(start, route, took)
	}
	return h
}

func assertDelay(t *testing.T, h *Hedger, now time.Time, ask Ask, isHedged bool) {
	t.Helper()
	_, ok := h.Delay(now, now.Add(10*time.Second), ask)
	assert.Equal(t, isHedged, ok)
}

func TestDelayIsBehindMostAnswers(t *testing.T) {
	delay, ok := newTest(0.05, 250).Delay(start, start.Add(10*time.Second), eligible)
	assert.True(t, ok)
	assert.GreaterOrEqual(t, delay, 18*time.Millisecond)
	assert.LessOrEqual(t, delay, 30*time.Millisecond)
}

// TestDelayOfEqualTimes guards against second runs where all answers take about the same time.
func TestDelayOfEqualTimes(t *testing.T) {
	h := New(1)
	for range 100 {
		h.Observe(start, route, 100*time.Millisecond)
	}
	delay, ok := h.Delay(start, start.Add(10*time.Second), eligible)
	assert.True(t, ok)
	assert.Equal(t, 150*time.Millisecond, delay)
}

func TestNoDelay(t *testing.T) {
	h := newTest(0.05, 250)
	assertDelay(t, h, start, eligible, true)
	for name, change := range map[string]func(*Ask){
		"not repeatable":   func(a *Ask) { a.IsRepeatable = false },
		"answer has begun": func(a *Ask) { a.HasBegun = true },
		"hedged before":    func(a *Ask) { a.IsHedged = true },
		"suspect":          func(a *Ask) { a.IsSuspect = true },
		"slots handed out": func(a *Ask) { a.IsAllocated = true },
		"attempts used up": func(a *Ask) { a.Sent = 1 },
		"unknown route":    func(a *Ask) { a.Route.Prefix = "/other" },
	} {
		t.Run(name, func(t *testing.T) {
			ask := eligible
			change(&ask)
			assertDelay(t, h, start, ask, false)
		})
	}
	t.Run("share 0", func(t *testing.T) { assertDelay(t, newTest(0, 250), start, eligible, false) })
	t.Run("few times", func(t *testing.T) { assertDelay(t, newTest(0.05, minSamples-1), start, eligible, false) })
	t.Run("old times", func(t *testing.T) { assertDelay(t, h, start.Add(2*period), eligible, false) })
	t.Run("deadline too close", func(t *testing.T) {
		_, ok := newTest(0.05, 250).Delay(start, start.Add(30*time.Millisecond), eligible)
		assert.False(t, ok)
	})
}

// TestShortageShutsOff guards against second runs that take room which others wait for.
func TestShortageShutsOff(t *testing.T) {
	pool, other := Pool{Service: "s", Model: "m"}, Pool{Service: "s", Model: "other"}
	h := newTest(0.05, 250)
	h.NoteShort(start, other)
	assert.True(t, h.MayStart(start, pool), "another model")
	h.NoteShort(start, pool)
	assert.False(t, h.MayStart(start, pool))
	assertDelay(t, h, start.Add(shutOffTime-1), eligible, false)
	assertDelay(t, h, start.Add(shutOffTime), eligible, true)
	h.NoteShort(start, Pool{Service: "s"})
	assert.False(t, h.MayStart(start, other), "the whole service")
}

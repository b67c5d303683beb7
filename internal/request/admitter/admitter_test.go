package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var start = time.Unix(1000, 0)

// bench is an admitter whose share the test sets.
type bench struct {
	*Admitter
	team  keeper.Team
	part  float64
	until time.Time
}

func newBench(limit keeper.Limit, part float64) *bench {
	b := &bench{team: keeper.Team{Name: "wil", Limit: limit}, part: part, until: start.Add(time.Hour)}
	b.Admitter = New(WithShare(func(time.Time, string) (float64, time.Time) { return b.part, b.until }))
	b.Tick(start, nil) // the teams from before are none
	return b
}

// assertAdmits sends requests until one is refused, a thousand at most.
func (b *bench) assertAdmits(t *testing.T, now time.Time, want int) {
	t.Helper()
	const most = 1000
	n := 0
	for n < most && b.Admit(now, b.team) == nil {
		n++
	}
	assert.Equal(t, want, n, "requests let in")
}

func TestAdmit(t *testing.T) {
	rate := keeper.Limit{RequestsPerSecond: 100, Burst: 40}
	t.Run("a part of the burst, then of the rate", func(t *testing.T) {
		b := newBench(rate, 0.25)
		b.assertAdmits(t, start, 10)
		b.assertAdmits(t, start.Add(200*time.Millisecond), 5)
	})
	t.Run("a larger part brings no tokens at once", func(t *testing.T) {
		b := newBench(rate, 0.25)
		b.assertAdmits(t, start, 10)
		b.part = 1
		b.assertAdmits(t, start, 0)
	})
	t.Run("a smaller part takes tokens away", func(t *testing.T) {
		b := newBench(rate, 1)
		b.Tick(start, map[string]keeper.Team{"wil": b.team})
		b.part = 0.1
		b.assertAdmits(t, start, 4)
	})
	t.Run("nothing is counted after the part has lapsed", func(t *testing.T) {
		b := newBench(rate, 1)
		b.until = start.Add(100 * time.Millisecond)
		b.assertAdmits(t, start, 40)
		b.assertAdmits(t, start.Add(300*time.Millisecond), 10)
	})
	t.Run("a long pause counts in part", func(t *testing.T) {
		b := newBench(keeper.Limit{RequestsPerSecond: 10, Burst: 1000}, 1)
		b.assertAdmits(t, start, 1000)
		b.assertAdmits(t, start.Add(time.Minute), int(longestCredit.Seconds()*10))
	})
	t.Run("no part, no request", func(t *testing.T) {
		b := newBench(rate, 0)
		b.assertAdmits(t, start, 0)
		var over *OverLimitError
		assert.ErrorAs(t, b.Admit(start, b.team), &over)
		assert.True(t, over.RetryAfter.After(start))
	})
	t.Run("a new incarnation starts empty", func(t *testing.T) {
		b := newBench(rate, 1)
		b.Admitter = New(WithShare(b.share))
		b.Tick(start, map[string]keeper.Team{"wil": b.team})
		b.assertAdmits(t, start, 0)
	})
	t.Run("requests in flight", func(t *testing.T) {
		b := newBench(keeper.Limit{InFlight: 20}, 0.25)
		b.assertAdmits(t, start, 5)
		b.Release("wil")
		b.assertAdmits(t, start, 1)
		b.part = 0.1
		b.Release("wil")
		b.assertAdmits(t, start, 0)
	})
	t.Run("less than one request in flight is none", func(t *testing.T) {
		b := newBench(keeper.Limit{InFlight: 2}, 0.25)
		b.assertAdmits(t, start, 0)
		b.part = 0.5
		b.assertAdmits(t, start, 1)
	})
	t.Run("less than one token is none", func(t *testing.T) {
		b := newBench(keeper.Limit{RequestsPerSecond: 1, Burst: 2}, 0.25)
		for i := range 100 {
			b.assertAdmits(t, start.Add(time.Duration(i)*longestCredit), 0)
		}
		var over *OverLimitError
		now := start.Add(time.Minute)
		assert.ErrorAs(t, b.Admit(now, b.team), &over)
		assert.Equal(t, now.Add(inFlightRetry), over.RetryAfter)
	})
	t.Run("no limit", func(t *testing.T) {
		newBench(keeper.Limit{}, 0).assertAdmits(t, start, 1000)
	})
}

func TestNeedOfOneRequest(t *testing.T) {
	teams := func(b *bench) map[string]keeper.Team { return map[string]keeper.Team{"wil": b.team} }
	t.Run("in flight", func(t *testing.T) {
		b := newBench(keeper.Limit{InFlight: 2}, 0.5)
		b.assertAdmits(t, start, 1)
		b.Needing(start.Add(time.Minute), teams(b), func(needs map[string]float64) {
			assert.GreaterOrEqual(t, needs["wil"], 0.5)
		})
	})
	t.Run("until its caller comes again", func(t *testing.T) {
		b := newBench(keeper.Limit{RequestsPerSecond: 0.1}, 1)
		b.assertAdmits(t, start, 1)
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(longestCredit) {
			assert.InDelta(t, 1, b.Tick(at, teams(b))["wil"], 1e-9)
		}
		b.assertAdmits(t, start.Add(10*time.Second), 1)
	})
}

func TestNeed(t *testing.T) {
	b := newBench(keeper.Limit{RequestsPerSecond: 100, Burst: 100}, 1)
	teams := map[string]keeper.Team{"wil": b.team}
	now := start
	need := 0.0
	for range 50 {
		for range 5 {
			_ = b.Admit(now, b.team)
		}
		now = now.Add(100 * time.Millisecond)
		need = b.Tick(now, teams)["wil"]
	}
	assert.InDelta(t, 0.5*headroom, need, 0.02, "50 of 100 per second")
}

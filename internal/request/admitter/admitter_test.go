package admitter

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

var start = time.Unix(1000, 0)

// fixture is an admitter whose share the test sets.
type fixture struct {
	*Admitter
	team  keeper.Team
	share float64
	until time.Time
}

func newFixture(limit keeper.Limit, share float64) *fixture {
	b := &fixture{team: keeper.Team{Name: "wil", Limit: limit}, share: share, until: start.Add(time.Hour)}
	b.Admitter = New(WithShare(func(time.Time, string) (float64, time.Time) { return b.share, b.until }))
	b.Tick(start, nil) // no teams existed before this instance started
	return b
}

// assertAdmits sends requests until one is rejected, at most a thousand, and
// asserts how many were admitted.
func (b *fixture) assertAdmits(t *testing.T, now time.Time, want int) {
	t.Helper()
	const maxRequests = 1000
	n := 0
	for n < maxRequests && b.Admit(now, b.team) == nil {
		n++
	}
	assert.Equal(t, want, n, "admitted requests")
}

func TestAdmit(t *testing.T) {
	rate := keeper.Limit{RequestsPerSecond: 100, Burst: 40}
	t.Run("the share of the burst, then that of the rate", func(t *testing.T) {
		b := newFixture(rate, 0.25)
		b.assertAdmits(t, start, 10)
		b.assertAdmits(t, start.Add(200*time.Millisecond), 5)
	})
	t.Run("a larger share adds no tokens at once", func(t *testing.T) {
		b := newFixture(rate, 0.25)
		b.assertAdmits(t, start, 10)
		b.share = 1
		b.assertAdmits(t, start, 0)
	})
	t.Run("a smaller share removes tokens", func(t *testing.T) {
		b := newFixture(rate, 1)
		b.Tick(start, map[string]keeper.Team{"wil": b.team})
		b.share = 0.1
		b.assertAdmits(t, start, 4)
	})
	t.Run("no tokens accrue after the share has expired", func(t *testing.T) {
		b := newFixture(rate, 1)
		b.until = start.Add(100 * time.Millisecond)
		b.assertAdmits(t, start, 40)
		b.assertAdmits(t, start.Add(300*time.Millisecond), 10)
	})
	t.Run("a refill after a long pause is bounded", func(t *testing.T) {
		b := newFixture(keeper.Limit{RequestsPerSecond: 10, Burst: 1000}, 1)
		b.assertAdmits(t, start, 1000)
		b.assertAdmits(t, start.Add(time.Minute), int(maxRefillInterval.Seconds()*10))
	})
	t.Run("a share of zero admits nothing", func(t *testing.T) {
		b := newFixture(rate, 0)
		b.assertAdmits(t, start, 0)
		var over *OverLimitError
		assert.ErrorAs(t, b.Admit(start, b.team), &over)
		assert.True(t, over.RetryAfter.After(start))
	})
	t.Run("a new incarnation starts without tokens", func(t *testing.T) {
		b := newFixture(rate, 1)
		b.Admitter = New(WithShare(b.shareOf))
		b.Tick(start, map[string]keeper.Team{"wil": b.team})
		b.assertAdmits(t, start, 0)
	})
	t.Run("requests in flight", func(t *testing.T) {
		b := newFixture(keeper.Limit{InFlight: 20}, 0.25)
		b.assertAdmits(t, start, 5)
		b.Release("wil")
		b.assertAdmits(t, start, 1)
		b.share = 0.1
		b.Release("wil")
		b.assertAdmits(t, start, 0)
	})
	t.Run("a share of less than one request in flight admits nothing", func(t *testing.T) {
		b := newFixture(keeper.Limit{InFlight: 2}, 0.25)
		b.assertAdmits(t, start, 0)
		b.share = 0.5
		b.assertAdmits(t, start, 1)
	})
	t.Run("a share of less than one token admits nothing", func(t *testing.T) {
		b := newFixture(keeper.Limit{RequestsPerSecond: 1, Burst: 2}, 0.25)
		for i := range 100 {
			b.assertAdmits(t, start.Add(time.Duration(i)*maxRefillInterval), 0)
		}
		var over *OverLimitError
		now := start.Add(time.Minute)
		assert.ErrorAs(t, b.Admit(now, b.team), &over)
		assert.Equal(t, now.Add(inFlightRetryDelay), over.RetryAfter)
	})
	t.Run("no limit", func(t *testing.T) {
		newFixture(keeper.Limit{}, 0).assertAdmits(t, start, 1000)
	})
}

func TestNeedIsAtLeastOneRequest(t *testing.T) {
	teams := func(b *fixture) map[string]keeper.Team { return map[string]keeper.Team{"wil": b.team} }
	t.Run("while a request is in flight", func(t *testing.T) {
		b := newFixture(keeper.Limit{InFlight: 2}, 0.5)
		b.assertAdmits(t, start, 1)
		b.WithNeedsLocked(start.Add(time.Minute), teams(b), func(needs map[string]float64) {
			assert.GreaterOrEqual(t, needs["wil"], 0.5)
		})
	})
	t.Run("until the caller of a rejected request retries", func(t *testing.T) {
		b := newFixture(keeper.Limit{RequestsPerSecond: 0.1}, 1)
		b.assertAdmits(t, start, 1)
		for at := start; at.Before(start.Add(10 * time.Second)); at = at.Add(maxRefillInterval) {
			assert.InDelta(t, 1, b.Tick(at, teams(b))["wil"], 1e-9)
		}
		b.assertAdmits(t, start.Add(10*time.Second), 1)
	})
}

func TestNeed(t *testing.T) {
	b := newFixture(keeper.Limit{RequestsPerSecond: 100, Burst: 100}, 1)
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
	assert.InDelta(t, 0.5*demandHeadroom, need, 0.02, "50 of 100 per second")
}

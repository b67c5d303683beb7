package tallier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func TestRateApproachesSteadyDemand(t *testing.T) {
	tally, now := New(), time.Unix(1000, 0)
	tally.now = func() time.Time { return now }
	key := Key{Service: "s", Model: "m"}
	for range 200 {
		tally.Add(key)
		tally.AddRun(key, 300*time.Millisecond, 100*time.Millisecond)
		now = now.Add(100 * time.Millisecond)
	}
	total := tally.TotalDemand()[key]
	assert.InDelta(t, 10, total.Rate, 1)
	assert.InDelta(t, 3, total.Work, 0.3)
	assert.InDelta(t, 1, total.Reading, 0.1)
	t.Run("the rate decays and is dropped", func(t *testing.T) {
		now = now.Add(time.Minute)
		assert.Empty(t, tally.TotalDemand())
	})
}

func TestPeerDemandCountsUntilItExpires(t *testing.T) {
	tally, now := New(), time.Unix(1000, 0)
	tally.now = func() time.Time { return now }
	key := Key{Service: "s", Model: "m", Adapter: "a"}
	until := now.Add(2 * time.Second)
	tally.SetPeerDemand("one", []messenger.GatewayDemand{{Service: "s", Model: "m", Adapter: "a", Rate: 2, Waiting: 1}}, until)
	tally.SetPeerDemand("two", []messenger.GatewayDemand{{Service: "s", Model: "m", Adapter: "a", Rate: 3}}, until)
	assert.InDelta(t, 5, tally.TotalDemand()[key].Rate, 1e-9)
	assert.Equal(t, 1, tally.TotalDemand()[key].Waiting)
	now = until
	assert.Empty(t, tally.TotalDemand())
}

// TestWorkFollowsRunDuration covers two models with equal request rates, one of which
// generates tokens nine times as fast: it needs a ninth of the slots.
func TestWorkFollowsRunDuration(t *testing.T) {
	tally, now := New(), time.Unix(1000, 0)
	tally.now = func() time.Time { return now }
	slow, fast, fresh := Key{Service: "s", Model: "slow"}, Key{Service: "s", Model: "fast"}, Key{Service: "s", Model: "fresh"}
	for range 300 {
		for key, took := range map[Key]time.Duration{slow: 1800 * time.Millisecond, fast: 200 * time.Millisecond} {
			tally.Add(key)
			tally.AddRun(key, took, took/10)
		}
		now = now.Add(100 * time.Millisecond)
	}
	tally.SetPeerDemand("one", []messenger.GatewayDemand{{Service: "s", Model: "slow", Rate: 10, Runs: 30, RunSeconds: 54}}, now.Add(time.Second))
	total := tally.TotalDemand()
	assert.InDelta(t, 36, total[slow].Work, 3, "requests and runs of peers count")
	assert.InDelta(t, 2, total[fast].Work, 0.3)
	t.Run("a model without runs is assumed to take as long as the others", func(t *testing.T) {
		tally.Add(fresh)
		total := tally.TotalDemand()[fresh]
		assert.InDelta(t, total.Rate, total.Work, 0.3*total.Rate)
	})
}

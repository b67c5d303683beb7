package tallier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func TestRateComesNearSteadyDemand(t *testing.T) {
	tally, now := New(), time.Unix(1000, 0)
	tally.now = func() time.Time { return now }
	key := Key{Service: "s", Model: "m"}
	for range 200 {
		tally.Add(key, 100)
		now = now.Add(100 * time.Millisecond)
	}
	total := tally.Total()[key]
	assert.InDelta(t, 10, total.Rate, 1)
	assert.InDelta(t, 1000, total.Work, 100)
	t.Run("and is forgotten", func(t *testing.T) {
		now = now.Add(time.Minute)
		assert.Empty(t, tally.Total())
	})
}

func TestPeersDemandIsAddedWhileFresh(t *testing.T) {
	tally, now := New(), time.Unix(1000, 0)
	tally.now = func() time.Time { return now }
	key := Key{Service: "s", Model: "m", Adapter: "a"}
	tally.SetPeer("one", []messenger.GatewayDemand{{Service: "s", Model: "m", Adapter: "a", Rate: 2, Waiting: 1}})
	tally.SetPeer("two", []messenger.GatewayDemand{{Service: "s", Model: "m", Adapter: "a", Rate: 3}})
	assert.InDelta(t, 5, tally.Total()[key].Rate, 1e-9)
	assert.Equal(t, 1, tally.Total()[key].Waiting)
	now = now.Add(newsLife)
	assert.Empty(t, tally.Total())
}

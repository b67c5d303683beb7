package forecaster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/forecaster"
)

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// updateEachSecond updates the rate of one model once per second and returns
// the time of the last update.
func updateEachSecond(t *forecaster.Table, now time.Time, seconds int, rate func(second int) float64) time.Time {
	for i := range seconds {
		now = now.Add(time.Second)
		t.Update(now, map[string]float64{"oak": rate(i)}, forecaster.Default())
	}
	return now
}

func constant(rate float64) func(int) float64 { return func(int) float64 { return rate } }

func TestUpdate(t *testing.T) {
	t.Run("a constant rate is expected to stay", func(t *testing.T) {
		var table forecaster.Table
		updateEachSecond(&table, epoch, 100, constant(5))
		assert.InDelta(t, 5, table.Expected(forecaster.Default())["oak"], 0.01)
	})
	t.Run("a rising rate is expected to keep rising", func(t *testing.T) {
		var table forecaster.Table
		updateEachSecond(&table, epoch, 100, func(i int) float64 { return float64(i) })
		row := table.Rows["oak"]
		assert.InDelta(t, 1, row.Trend, 0.05)
		assert.Greater(t, table.Expected(forecaster.Default())["oak"], row.Level+4)
	})
	t.Run("a falling rate is not expected to fall", func(t *testing.T) {
		var table forecaster.Table
		now := updateEachSecond(&table, epoch, 60, constant(50))
		updateEachSecond(&table, now, 20, constant(10))
		assert.InDelta(t, table.Rows["oak"].Level, table.Expected(forecaster.Default())["oak"], 0.001)
	})
	t.Run("a peak is held until its deadline", func(t *testing.T) {
		var table forecaster.Table
		now := updateEachSecond(&table, epoch, 60, constant(50))
		now = updateEachSecond(&table, now, 30, constant(0))
		assert.InDelta(t, 50, table.PeakRates()["oak"], 0.1)
		updateEachSecond(&table, now, 40, constant(0))
		assert.Less(t, table.PeakRates()["oak"], 1.0)
	})
	t.Run("a name without demand is removed", func(t *testing.T) {
		var table forecaster.Table
		now := updateEachSecond(&table, epoch, 10, constant(50))
		updateEachSecond(&table, now, 300, constant(0))
		assert.Empty(t, table.Rows)
	})
	t.Run("a second update at the same time changes nothing", func(t *testing.T) {
		var table forecaster.Table
		now := updateEachSecond(&table, epoch, 10, constant(5))
		before := table.Rows["oak"]
		table.Update(now, map[string]float64{"oak": 500}, forecaster.Default())
		assert.Equal(t, before, table.Rows["oak"])
	})
}

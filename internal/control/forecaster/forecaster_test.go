package forecaster_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/forecaster"
)

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// follow feeds one rate a second for a model and returns the time after it.
func follow(t *forecaster.Table, from time.Time, seconds int, rate func(second int) float64) time.Time {
	for i := range seconds {
		from = from.Add(time.Second)
		t.Update(from, map[string]float64{"oak": rate(i)}, forecaster.Default())
	}
	return from
}

func constant(rate float64) func(int) float64 { return func(int) float64 { return rate } }

func TestUpdate(t *testing.T) {
	t.Run("a constant rate is expected to stay", func(t *testing.T) {
		var table forecaster.Table
		follow(&table, epoch, 100, constant(5))
		assert.InDelta(t, 5, table.Expected(forecaster.Default())["oak"], 0.01)
	})
	t.Run("a rising rate is expected to go on rising", func(t *testing.T) {
		var table forecaster.Table
		follow(&table, epoch, 100, func(i int) float64 { return float64(i) })
		row := table.Rows["oak"]
		assert.InDelta(t, 1, row.Trend, 0.05)
		assert.Greater(t, table.Expected(forecaster.Default())["oak"], row.Level+4)
	})
	t.Run("a falling rate is not expected to fall", func(t *testing.T) {
		var table forecaster.Table
		now := follow(&table, epoch, 60, constant(50))
		follow(&table, now, 20, constant(10))
		assert.InDelta(t, table.Rows["oak"].Level, table.Expected(forecaster.Default())["oak"], 0.001)
	})
	t.Run("a peak is held until its deadline", func(t *testing.T) {
		var table forecaster.Table
		now := follow(&table, epoch, 60, constant(50))
		now = follow(&table, now, 30, constant(0))
		assert.InDelta(t, 50, table.Floors()["oak"], 0.1)
		follow(&table, now, 40, constant(0))
		assert.Less(t, table.Floors()["oak"], 1.0)
	})
	t.Run("a name without demand is forgotten", func(t *testing.T) {
		var table forecaster.Table
		now := follow(&table, epoch, 10, constant(50))
		follow(&table, now, 300, constant(0))
		assert.Empty(t, table.Rows)
	})
	t.Run("a second update at one time changes nothing", func(t *testing.T) {
		var table forecaster.Table
		now := follow(&table, epoch, 10, constant(5))
		before := table.Rows["oak"]
		table.Update(now, map[string]float64{"oak": 500}, forecaster.Default())
		assert.Equal(t, before, table.Rows["oak"])
	})
}

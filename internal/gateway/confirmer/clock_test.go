package confirmer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
)

var bootTime = time.Unix(100, 0)

func at(ms int) time.Time { return bootTime.Add(time.Duration(ms) * time.Millisecond) }

func assertBounds(t *testing.T, c *confirmer.Clock, now time.Time, earliest, latest int64) {
	t.Helper()
	gotEarliest, gotLatest, ok := c.Bounds(now)
	require.True(t, ok)
	assert.Equal(t, earliest, gotEarliest, "earliest")
	assert.Equal(t, latest, gotLatest, "latest")
}

func TestClockWithoutReading(t *testing.T) {
	var c confirmer.Clock
	c.Record(0, at(0), at(1))
	_, _, ok := c.Bounds(at(1))
	assert.False(t, ok, "an answer without a time is no reading")
	c.Record(1<<62, at(0), at(1))
	_, _, ok = c.Bounds(at(1))
	assert.False(t, ok, "an absurd time is no reading")
}

func TestClockBounds(t *testing.T) {
	t.Run("one reading", func(t *testing.T) {
		var c confirmer.Clock
		c.Record(5000, at(0), at(100))
		assertBounds(t, &c, at(100), 4999, 5101)
	})
	t.Run("a slow call does not widen the bounds of a fast one", func(t *testing.T) {
		var c confirmer.Clock
		c.Record(5000, at(0), at(2))
		c.Record(6000, at(10), at(1002)) // a call that the store held open
		assertBounds(t, &c, at(1002), 5999, 6004)
	})
	t.Run("the bounds widen with time", func(t *testing.T) {
		var c confirmer.Clock
		c.Record(5000, at(0), at(0))
		assertBounds(t, &c, at(10_000), 14_990, 15_011)
	})
	t.Run("a store that counts anew", func(t *testing.T) {
		for name, milliseconds := range map[string]int64{"back": 20, "forward": 900_000} {
			t.Run(name, func(t *testing.T) {
				var c confirmer.Clock
				c.Record(5000, at(0), at(2))
				c.Record(milliseconds, at(100), at(102))
				assertBounds(t, &c, at(102), milliseconds-1, milliseconds+3)
			})
		}
	})
}

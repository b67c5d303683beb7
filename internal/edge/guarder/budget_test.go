package guarder

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"pgregory.net/rapid"
)

const testLimit = 100 << 20

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// holdOf opens a hold that can be evicted and records in evicted that it was.
func openHold(b *Budget, s Share, bytes int64, at time.Time, evicted *[]*Hold) *Hold {
	var h *Hold
	h = b.Open(s, func() { *evicted = append(*evicted, h) })
	h.SetEvictable(true, at)
	h.Add(bytes, at)
	return h
}

// TestBudget guards against memory that is taken beyond the limit, and against stalled bodies
// that keep out those that arrive.
func TestBudget(t *testing.T) {
	const part = 10 << 20
	t.Run("the hold without progress for longest is evicted first", func(t *testing.T) {
		b := NewBudget(testLimit)
		var evicted []*Hold
		old := openHold(b, Reading, part, epoch, &evicted)
		for n := range 5 {
			openHold(b, Reading, part, epoch.Add(time.Duration(n+1)*time.Second), &evicted)
		}
		h := b.Open(Reading, func() {})
		now := epoch.Add(time.Minute)
		assert.False(t, h.Add(part, now))
		assert.Equal(t, []*Hold{old}, evicted)
		assert.False(t, h.Add(part, now), "its memory is not free before it is released")
		assert.Len(t, evicted, 1, "one is enough")
		old.Shrink(0)
		assert.True(t, h.Add(part, now))
	})
	t.Run("a hold that makes progress is not evicted", func(t *testing.T) {
		b := NewBudget(testLimit)
		var evicted []*Hold
		for range 7 {
			openHold(b, Reading, part, epoch, &evicted).Progress(epoch.Add(time.Second))
		}
		assert.False(t, b.Open(Reading, func() {}).Add(part, epoch.Add(time.Second+minEvictAge/2)))
		assert.Empty(t, evicted)
	})
	t.Run("single bytes are no progress", func(t *testing.T) {
		b := NewBudget(testLimit)
		var evicted []*Hold
		drip := openHold(b, Reading, 6*part, epoch, &evicted)
		now := epoch.Add(time.Second)
		drip.Add(1, now)
		assert.False(t, b.Open(Reading, func() {}).Add(part, now))
		assert.Equal(t, []*Hold{drip}, evicted)
	})
	t.Run("a share cannot use the reserves of the others", func(t *testing.T) {
		b := NewBudget(testLimit)
		h := b.Open(Reading, func() {})
		for h.Add(1<<16, epoch) {
			continue
		}
		assert.LessOrEqual(t, b.Used(Reading), int64(testLimit*70/100))
		assert.True(t, b.Open(Control, func() {}).Add(testLimit*4/100, epoch))
	})
	t.Run("long bodies leave room for short ones", func(t *testing.T) {
		b := NewBudget(testLimit)
		h := b.Open(Reading, func() {})
		for h.Add(1<<20, epoch) {
			continue
		}
		assert.True(t, b.Open(Reading, func() {}).Add(17<<10, epoch))
	})
}

// TestBudgetBalances guards against memory that stays charged after everything was released.
func TestBudgetBalances(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := NewBudget(1 << 20)
		holds := []*Hold{b.Open(Reading, func() {}), b.Open(Reading, func() {}), b.Open(Control, func() {})}
		now := epoch
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			h := rapid.SampledFrom(holds).Draw(t, "hold")
			n := rapid.Int64Range(0, 1<<19).Draw(t, "bytes")
			now = now.Add(rapid.SampledFrom([]time.Duration{0, time.Second}).Draw(t, "pause"))
			switch rapid.IntRange(0, 5).Draw(t, "step") {
			case 0:
				h.Add(n, now)
			case 1:
				h.Release(n)
			case 2:
				h.Shrink(n)
			case 3:
				h.SetEvictable(n%2 == 0, now)
			case 4:
				h.Relay(n)
			case 5:
				h.Force(n/8, now)
			}
			assert.GreaterOrEqual(t, b.ending, int64(0))
			assert.GreaterOrEqual(t, b.Used(Reading), int64(0))
		}
		for _, h := range holds {
			h.Shrink(0)
		}
		assert.Zero(t, b.Used(Reading)+b.Used(Control)+b.Used(Relaying)+b.ending)
	})
}

// TestSizes guards against bounds that leave the smallest machine no room for its share of
// ordinary requests, or for one body at the usual limit.
func TestSizes(t *testing.T) {
	small := SizesOf(144, 3075)
	assert.LessOrEqual(t, small.HeapBytes, int64(144*megabyte))
	assert.GreaterOrEqual(t, small.CallerConns(0.45), 300)
	assert.GreaterOrEqual(t, small.Conns(0.1), 3*84, "each of 84 instances has some connections")
	b := NewBudget(small.BudgetBytes)
	conns := b.Open(Reading, func() {})
	conns.Force(300*connBytes, epoch)
	assert.True(t, b.Open(Reading, func() {}).Add(4<<20, epoch))
	unknown := SizesOf(0, 0)
	assert.Positive(t, unknown.BudgetBytes)
	assert.Positive(t, unknown.Descriptors)
}

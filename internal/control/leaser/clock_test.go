package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestAcquireByServiceClock checks that a leaser that has just started acquires an
// expired lease without waiting for its TTL, but not before it has expired.
func TestAcquireByServiceClock(t *testing.T) {
	c := newCopiedStore(0)
	times := WithTimes(Times{TTL: 1500 * time.Millisecond, Margin: 400 * time.Millisecond, RenewInterval: 400 * time.Millisecond})
	clock := WithClock(func() time.Time { return c.now })
	first := New("first", "1", c.tables(), times, clock)
	require.NoError(t, first.Tick())
	grant, held := first.Held(c.now)
	require.True(t, held)
	assert.True(t, grant.PreviousEndedAt.IsZero(), "no previous holder")

	c.now = c.now.Add(1450 * time.Millisecond)
	early := New("early", "1", c.tables(), times, clock)
	require.NoError(t, early.Tick())
	_, held = early.Held(c.now)
	assert.False(t, held, "the first holder may have renewed")

	end := c.now
	c.now = c.now.Add(100 * time.Millisecond)
	_, held = first.Held(c.now)
	require.False(t, held)
	late := New("late", "1", c.tables(), times, clock)
	require.NoError(t, late.Tick())
	grant, held = late.Held(c.now)
	require.True(t, held, "a leaser that never read the row before acquires the lease at once")
	assert.EqualValues(t, 2, grant.Fence)
	assert.False(t, grant.PreviousEndedAt.After(c.now))
	assert.True(t, grant.PreviousEndedAt.After(end.Add(-400*time.Millisecond)), "not before the first holder's grant ended")
}

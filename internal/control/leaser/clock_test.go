package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// clockedTables is a table service with a clock, whose bounds are 20 ms apart.
type clockedTables struct {
	now     time.Time
	version int64
	rows    map[string]messenger.Row
}

func (c *clockedTables) tables() Tables {
	return Tables{
		Get: func(table, key string) (messenger.Row, error) {
			row := c.rows[key]
			row.Table, row.Key = table, key
			return row, nil
		},
		Transact: func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
			for _, condition := range req.Conditions {
				if c.rows[condition.Key].Version != condition.Version {
					return nil, transactor.ErrConflict
				}
			}
			c.version++
			versions := []messenger.StoreVersion{}
			for _, w := range req.Writes {
				c.rows[w.Key] = messenger.Row{Version: c.version, Value: w.Value}
				versions = append(versions, messenger.StoreVersion{Number: c.version})
			}
			return versions, nil
		},
		Clock: func() (earliest, latest int64, ok bool) {
			return c.now.UnixMilli() - 10, c.now.UnixMilli() + 10, true
		},
	}
}

// TestAcquireByServiceClock checks that a leaser that has just started acquires an
// expired lease without waiting for its TTL, but not before it has expired.
func TestAcquireByServiceClock(t *testing.T) {
	c := &clockedTables{now: time.Unix(1000, 0), rows: map[string]messenger.Row{}}
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

package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/storer"
)

// TestSpoiledLeaseRowIsReplaced guards against a lease that nobody holds any more since another
// writer has spoiled its row.
func TestSpoiledLeaseRowIsReplaced(t *testing.T) {
	for name, x := range map[string]struct {
		lease, fence string
		want         int64
	}{
		"no JSON":                {"\x00", "41", 42},
		"a fence past its range": {`{"Holder":"a","Fence":1e99}`, "41", 42},
		"the largest fence":      {`{"Holder":"a","Fence":9223372036854775807}`, "41", 42},
		"a negative fence":       {`{"Holder":"a","Fence":-5}`, "41", 42},
		"both rows":              {`[]`, `{}`, 1},
		"the fence row alone":    {`{"Holder":"a","Fence":9,"Released":true}`, `"x"`, 10},
	} {
		t.Run(name, func(t *testing.T) {
			store := storer.New(0)
			store.Put(fenceKey, []byte(x.fence))
			store.Put(leaseKey, []byte(x.lease))
			now := time.Unix(1000, 0)
			l := New("entry-1", "run-1", Tables{
				Get: store.Get, Transact: store.Transact,
				Clock: func() (int64, int64, bool) { return 0, 0, false },
			}, WithClock(func() time.Time { return now }))
			end := now.Add(3 * l.times.TTL)
			for ; now.Before(end); now = now.Add(50 * time.Millisecond) {
				require.NoError(t, l.Tick())
				if _, held := l.Held(now); held {
					break
				}
			}
			grant, held := l.Held(now)
			require.True(t, held)
			assert.Equal(t, x.want, grant.Fence)
		})
	}
}

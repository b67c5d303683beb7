package leaser

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// TestFollowersReadOnceASecond counts the reads and writes while one instance
// holds the lease and another follows it, then stops the holder and checks that
// the follower acquires the lease in time.
func TestFollowersReadOnceASecond(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	platform := platformer.New()
	go func() { _ = platform.Serve(ln) }()
	t.Cleanup(func() { _ = platform.Close() })
	clock := time.Unix(1000, 0)
	start := func(id string) *Leaser {
		l := New(id, id+"-1", TablesOf(transactor.New("http://"+ln.Addr().String(), poster.New())))
		l.now = func() time.Time { return clock }
		require.NoError(t, l.Tick())
		return l
	}
	holder, follower := start("entry-1"), start("entry-2")
	const tick, ticks = 250 * time.Millisecond, 40
	before := platform.Counts()
	for range ticks {
		clock = clock.Add(tick)
		require.NoError(t, holder.Tick())
		require.NoError(t, follower.Tick())
	}
	after := platform.Counts()
	assert.EqualValues(t, 10, after.Reads-before.Reads, "reads in 10 s")
	assert.EqualValues(t, 10, after.Writes-before.Writes, "renewals in 10 s")

	lost := clock
	for {
		_, held := follower.Held(clock)
		if held {
			break
		}
		require.False(t, clock.After(lost.Add(defaultTTL+time.Second)), "the follower has not acquired the lease")
		clock = clock.Add(tick)
		require.NoError(t, follower.Tick())
	}
	_, held := holder.Held(clock)
	assert.False(t, held)
}

package deduper_test

import (
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// newPlatform returns a running fake platform and a function that returns a
// claimer for an incarnation.
func newPlatform(t *testing.T) (*platformer.Platform, func(instance, incarnation string) *deduper.Claimer) {
	t.Helper()
	platform := platformer.New()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	go func() { _ = platform.Serve(ln) }()
	t.Cleanup(func() { _ = platform.Close() })
	return platform, func(instance, incarnation string) *deduper.Claimer {
		tables := transactor.New("http://"+ln.Addr().String(), poster.New())
		return deduper.NewClaimer(deduper.Home{Instance: instance, Incarnation: incarnation}, tables)
	}
}

// TestOnlyOneClaimIsFresh checks that a key is bound to one home and one operation
// ID. Otherwise a request could run at two instances, or twice at one that lost the
// answer of the table service.
func TestOnlyOneClaimIsFresh(t *testing.T) {
	platform, claimer := newPlatform(t)
	first, second, restarted := claimer("entry-1", "a"), claimer("entry-2", "b"), claimer("entry-1", "c")
	now := time.Now()
	one := deduper.Home{Instance: "entry-1", Incarnation: "a"}
	claim := func(t *testing.T, c *deduper.Claimer, number int, operation string) deduper.Claimed {
		claimed, err := c.Claim("team", parse(t, callerKey(now, number)), operation)
		require.NoError(t, err)
		return claimed
	}
	t.Run("the first of two instances", func(t *testing.T) {
		assert.Equal(t, deduper.Claimed{Home: one, Fresh: true}, claim(t, first, 1, "op-1"))
		assert.Equal(t, deduper.Claimed{Home: one}, claim(t, second, 1, "op-2"))
		assert.Equal(t, deduper.Claimed{Home: one}, claim(t, restarted, 1, "op-3"), "a new incarnation is another home")
	})
	t.Run("one answer is lost", func(t *testing.T) {
		platform.SetFault(platformer.Fault{LoseAnswers: 1})
		assert.Equal(t, deduper.Claimed{Home: one, Fresh: true}, claim(t, first, 2, "op-4"))
	})
	t.Run("all answers are lost and the entry claims again", func(t *testing.T) {
		platform.SetFault(platformer.Fault{LoseAnswers: 3})
		key := parse(t, callerKey(now, 3))
		_, err := first.Claim("team", key, "op-5")
		if err != nil {
			assert.ErrorIs(t, err, deduper.ErrClaimUnavailable)
		}
		platform.SetFault(platformer.Fault{})
		assert.Equal(t, deduper.Claimed{Home: one, Fresh: true}, claim(t, first, 3, "op-5"))
	})
	t.Run("a new entry does not run a claimed key", func(t *testing.T) {
		assert.Equal(t, deduper.Claimed{Home: one}, claim(t, first, 3, "op-6"))
	})
	t.Run("the table service is down", func(t *testing.T) {
		platform.SetFault(platformer.Fault{Down: true})
		_, err := first.Claim("team", parse(t, callerKey(now, 4)), "op-7")
		assert.ErrorIs(t, err, deduper.ErrClaimUnavailable)
		platform.SetFault(platformer.Fault{})
	})
}

func TestClaimsArePrunedAfterExpiry(t *testing.T) {
	platform, claimer := newPlatform(t)
	c := claimer("entry-1", "a")
	now := time.Now()
	for number := range 150 { // more than one transaction may delete
		_, err := c.Claim("team", parse(t, callerKey(now, number)), "op")
		require.NoError(t, err)
	}
	deadline := parse(t, callerKey(now, 0)).Deadline
	// prune repeats calls until n of them have succeeded; the table service limits
	// the rate and refuses some.
	prune := func(c *deduper.Claimer, now time.Time) {
		for n := 10; n > 0; time.Sleep(time.Millisecond) {
			if err := c.Prune(now); err == nil {
				n--
			} else {
				require.ErrorIs(t, err, transactor.ErrUnavailable)
			}
		}
	}
	prune(c, deadline.Add(4*time.Minute))
	assert.Len(t, platform.Rows("claims"), 150)
	prune(claimer("entry-2", "b"), deadline.Add(16*time.Minute))
	assert.Empty(t, platform.Rows("claims"))
}

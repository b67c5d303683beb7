package leaser

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/storer"
)

// copiedStore is a store with a clock, whose bounds are 20 ms apart, that can come back from a copy.
type copiedStore struct {
	*storer.Store
	now time.Time
}

func newCopiedStore(epoch int64) *copiedStore {
	return &copiedStore{Store: storer.New(epoch), now: time.Unix(1000, 0)}
}

func (s *copiedStore) tables() Tables {
	return Tables{
		Get:      s.Get,
		Transact: s.Transact,
		Clock:    func() (earliest, latest int64, ok bool) { return s.now.UnixMilli() - 10, s.now.UnixMilli() + 10, true },
	}
}

func (s *copiedStore) start(instance string) *Leaser {
	return New(instance, "1", s.tables(), WithClock(func() time.Time { return s.now }),
		WithTimes(Times{TTL: 1500 * time.Millisecond, Margin: 400 * time.Millisecond, RenewInterval: 400 * time.Millisecond}))
}

// acquire ticks a leaser until it holds the lease, and returns the grant.
func (s *copiedStore) acquire(t *testing.T, l *Leaser) Grant {
	t.Helper()
	const patience = 10 * time.Second
	for end := s.now.Add(patience); s.now.Before(end); s.now = s.now.Add(100 * time.Millisecond) {
		require.NoError(t, l.Tick())
		if grant, held := l.Held(s.now); held {
			return grant
		}
	}
	require.Fail(t, "the lease was not acquired")
	return Grant{}
}

// TestNoFenceIsGivenOutTwiceAcrossEpochs guards against two holders with one fencing token, after the store has lost the
// change of the holder.
func TestNoFenceIsGivenOutTwiceAcrossEpochs(t *testing.T) {
	for name, prepare := range map[string]func(s *copiedStore){
		"the copy has no lease":                       nil,
		"the copy has the lease of the holder before": func(s *copiedStore) { s.acquire(t, s.start("a")) },
		"the copy has a lease that was released": func(s *copiedStore) {
			a := s.start("a")
			s.acquire(t, a)
			require.NoError(t, a.Release())
		},
	} {
		t.Run(name, func(t *testing.T) {
			s := newCopiedStore(5)
			if prepare != nil {
				prepare(s)
			}
			before := s.Copy()
			lost := s.acquire(t, s.start("b"))
			s.Restore(before)
			next := s.acquire(t, s.start("c"))
			assert.Greater(t, next.Fence, lost.Fence)
		})
	}
}

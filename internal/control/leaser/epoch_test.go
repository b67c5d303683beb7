package leaser

import (
	"maps"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// copiedStore is a store with a clock that can come back from a copy.
type copiedStore struct {
	now     time.Time
	epoch   int64
	version int64
	rows    map[string]messenger.Row
}

func (s *copiedStore) tables() Tables {
	return Tables{
		Get: func(table, key string) (messenger.Row, error) {
			row := s.rows[key]
			row.Table, row.Key, row.Epoch = table, key, s.epoch
			return row, nil
		},
		Transact: func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
			for _, c := range req.Conditions {
				if s.rows[c.Key].Version != c.Version {
					return nil, transactor.ErrConflict
				}
			}
			s.version++
			versions := []messenger.StoreVersion{}
			for _, w := range req.Writes {
				s.rows[w.Key] = messenger.Row{Version: s.version, Value: w.Value}
				versions = append(versions, messenger.StoreVersion{Epoch: s.epoch, Number: s.version})
			}
			return versions, nil
		},
		Clock: func() (earliest, latest int64, ok bool) { return s.now.UnixMilli() - 10, s.now.UnixMilli() + 10, true },
	}
}

// copy returns the store as it is now.
func (s *copiedStore) copy() copiedStore {
	out := *s
	out.rows = maps.Clone(s.rows)
	return out
}

// restore brings the rows and the version of a copy back.
func (s *copiedStore) restore(from copiedStore) {
	s.rows, s.version = maps.Clone(from.rows), from.version
	s.epoch++
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
			s := &copiedStore{now: time.Unix(1000, 0), epoch: 5, rows: map[string]messenger.Row{}}
			if prepare != nil {
				prepare(s)
			}
			before := s.copy()
			lost := s.acquire(t, s.start("b"))
			s.restore(before)
			next := s.acquire(t, s.start("c"))
			assert.Greater(t, next.Fence, lost.Fence)
		})
	}
}

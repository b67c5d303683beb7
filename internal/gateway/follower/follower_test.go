package follower

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var errUnavailable = errors.New("store is unavailable")

// testStore is a store, a peer and a clock.
type testStore struct {
	now                time.Time
	isUnavailable      bool
	isHistoryTruncated bool
	table              messenger.TableSnapshot
	changes            []Changes
	peer               *messenger.TableSnapshot
	// peerHasStoreSince is since when a peer has had the store; zero for no such peer.
	peerHasStoreSince time.Time
	applied           map[string]int64
}

func newTestStore() (*testStore, *Follower) {
	s := &testStore{now: time.Unix(1000, 0), applied: map[string]int64{}}
	f := New("targets", Source{Read: s.read, Follow: s.follow, PeerSnapshot: s.peerSnapshot, PeerHasHadStore: s.peerHasHadStore}, s.apply)
	f.now = func() time.Time { return s.now }
	return s, f
}

func (s *testStore) read(string) (messenger.TableSnapshot, error) {
	if s.isUnavailable {
		return messenger.TableSnapshot{}, errUnavailable
	}
	return s.table, nil
}

func (s *testStore) follow(string, messenger.StoreVersion, time.Duration) (Changes, error) {
	switch {
	case s.isUnavailable:
		return Changes{}, errUnavailable
	case s.isHistoryTruncated:
		s.isHistoryTruncated = false
		return Changes{}, errors.Wrap(ErrHistoryTruncated, "targets")
	case len(s.changes) == 0:
		return Changes{}, nil
	}
	next := s.changes[0]
	s.changes = s.changes[1:]
	return next, nil
}

func (s *testStore) peerSnapshot(_ string, newer messenger.StoreVersion) (messenger.TableSnapshot, bool) {
	if s.peer == nil || !s.peer.StoreVersion().IsAfter(newer) {
		return messenger.TableSnapshot{}, false
	}
	return *s.peer, true
}

func (s *testStore) peerHasHadStore(since time.Time) bool {
	return !s.peerHasStoreSince.IsZero() && s.peerHasStoreSince.Before(since)
}

func (s *testStore) apply(rows []messenger.StoreRow, removed []string) {
	for _, key := range removed {
		delete(s.applied, key)
	}
	for _, row := range rows {
		s.applied[row.Key] = row.Version
	}
}

func row(key string, version int64) messenger.StoreRow {
	return messenger.StoreRow{Key: key, Version: version}
}

func snapshot(version int64, rows ...messenger.StoreRow) messenger.TableSnapshot {
	return messenger.TableSnapshot{Version: version, Rows: rows}
}

// outage makes the store unavailable for a while, during which the follower keeps calling.
func (s *testStore) outage(f *Follower, length time.Duration) {
	s.isUnavailable = true
	for end := s.now.Add(length); s.now.Before(end); s.now = s.now.Add(minRetryInterval) {
		f.Step()
	}
	s.isUnavailable = false
}

func TestFollowsChanges(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(5, row("a", 3), row("b", 5))
	s.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("c", 7)}, Removed: []string{"a"}}}
	f.Step()
	assert.Equal(t, map[string]int64{"a": 3, "b": 5}, s.applied)
	f.Step()
	assert.Equal(t, map[string]int64{"b": 5, "c": 7}, s.applied)
	assert.EqualValues(t, 7, f.Version().Number)
}

func TestMissingHistoryCausesReload(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(5, row("a", 3), row("b", 5))
	f.Step()
	s.isHistoryTruncated = true
	s.table = snapshot(9, row("b", 8))
	f.Step()
	assert.Equal(t, map[string]int64{"b": 8}, s.applied, "rows removed in the missing history are removed")
}

func TestOlderDataIsIgnored(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(9, row("a", 9))
	f.Step()
	t.Run("row", func(t *testing.T) {
		s.changes = []Changes{{Version: 10, Rows: []messenger.StoreRow{row("a", 4)}}}
		f.Step()
		assert.EqualValues(t, 9, s.applied["a"])
	})
	t.Run("table", func(t *testing.T) {
		s.isHistoryTruncated = true
		s.table = snapshot(4)
		f.Step()
		assert.Contains(t, s.applied, "a")
		assert.EqualValues(t, 10, f.Version().Number)
	})
}

// TestLateAnswerDoesNotBringBackARow guards against a row that was written and removed before the version of the copy,
// and stays for good since a late answer has its write alone.
func TestLateAnswerDoesNotBringBackARow(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(5, row("a", 3))
	f.Step()
	f.Adopt(snapshot(9, row("a", 3)))
	s.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("b", 6), row("a", 7)}}}
	f.Step()
	assert.Equal(t, map[string]int64{"a": 7}, s.applied)
	assert.EqualValues(t, 9, f.Version().Number)
}

func TestExpiredEntriesMayReturnAfterOutage(t *testing.T) {
	expire := func() (*testStore, *Follower) {
		s, f := newTestStore()
		s.table = snapshot(5, row("a", 3), row("b", 5))
		f.Step()
		s.outage(f, 4*time.Second)
		s.changes = []Changes{{Version: 8, Removed: []string{"a", "b"}}}
		f.Step()
		return s, f
	}
	t.Run("they are kept during the grace period", func(t *testing.T) {
		s, _ := expire()
		assert.Len(t, s.applied, 2)
	})
	t.Run("one that returns stays, the other is removed", func(t *testing.T) {
		s, f := expire()
		s.changes = []Changes{{Version: 9, Rows: []messenger.StoreRow{row("a", 9)}}}
		f.Step()
		s.now = s.now.Add(ReturnGracePeriod)
		f.Step()
		assert.Equal(t, map[string]int64{"a": 9}, s.applied)
	})
	t.Run("removal without an outage is immediate", func(t *testing.T) {
		s, f := newTestStore()
		s.table = snapshot(5, row("a", 3))
		f.Step()
		s.changes = []Changes{{Version: 8, Removed: []string{"a"}}}
		f.Step()
		assert.Empty(t, s.applied)
	})
}

// TestEntryThatLeftDuringACutIsRemovedAtOnce guards against an instance that was cut off and keeps
// a target that has left, as if it could return, while its peers have had the store all the while.
func TestEntryThatLeftDuringACutIsRemovedAtOnce(t *testing.T) {
	cut := func(peerHasStoreFor time.Duration) (*testStore, *Follower) {
		s, f := newTestStore()
		s.table = snapshot(5, row("a", 3), row("b", 5))
		f.Step()
		s.now = s.now.Add(time.Second)
		f.Step()
		s.outage(f, 4*time.Second)
		if peerHasStoreFor > 0 {
			s.peerHasStoreSince = s.now.Add(-peerHasStoreFor)
		}
		s.isHistoryTruncated = true
		s.table = snapshot(9, row("b", 8))
		f.Step()
		return s, f
	}
	t.Run("a peer has had the store before the cut and since", func(t *testing.T) {
		s, _ := cut(10 * time.Second)
		assert.NotContains(t, s.applied, "a")
	})
	t.Run("the peer was without it as well", func(t *testing.T) {
		s, _ := cut(2 * time.Second)
		assert.Contains(t, s.applied, "a")
	})
	t.Run("a peer says so later", func(t *testing.T) {
		s, f := cut(0)
		assert.Contains(t, s.applied, "a")
		assert.LessOrEqual(t, f.untilNextReturnDeadline(), peerCheckInterval)
		s.now = s.now.Add(peerCheckInterval)
		s.peerHasStoreSince = s.now.Add(-10 * time.Second)
		f.Step()
		assert.NotContains(t, s.applied, "a")
	})
	t.Run("what an instance tells of itself", func(t *testing.T) {
		s, f := newTestStore()
		assert.Zero(t, f.HasStoreFor())
		f.Step()
		s.now = s.now.Add(3 * time.Second)
		f.Step()
		assert.Equal(t, 3*time.Second, f.HasStoreFor())
		s.outage(f, 2*time.Second)
		assert.Zero(t, f.HasStoreFor())
		f.Step()
		s.now = s.now.Add(time.Second)
		assert.Equal(t, time.Second, f.HasStoreFor())
	})
}

func TestPeerSnapshotDuringOutage(t *testing.T) {
	t.Run("at the start, at once", func(t *testing.T) {
		s, f := newTestStore()
		s.isUnavailable = true
		peer := snapshot(6, row("a", 6))
		s.peer = &peer
		f.Step()
		assert.EqualValues(t, 6, s.applied["a"])
	})
	t.Run("later, once the store has been unavailable for a while", func(t *testing.T) {
		s, f := newTestStore()
		s.table = snapshot(5, row("a", 3))
		f.Step()
		peer := snapshot(6, row("a", 6))
		s.peer = &peer
		s.isUnavailable = true
		f.Step()
		assert.EqualValues(t, 3, s.applied["a"])
		s.outage(f, time.Second)
		assert.EqualValues(t, 6, s.applied["a"])
	})
	t.Run("rows that a peer has removed are removed if only this instance cannot reach the store", func(t *testing.T) {
		s, f := newTestStore()
		s.table = snapshot(5, row("a", 3), row("left", 4))
		f.Step()
		peer := snapshot(6, row("a", 6))
		s.peer = &peer
		s.outage(f, 2*time.Second)
		assert.NotContains(t, s.applied, "left")
	})
}

func TestFreshness(t *testing.T) {
	s, f := newTestStore()
	assert.False(t, f.IsFresh(time.Second), "nothing was read yet")
	f.Step()
	assert.True(t, f.IsFresh(time.Second))
	s.outage(f, 2*time.Second)
	assert.False(t, f.IsFresh(time.Second))
	f.Step()
	assert.True(t, f.IsFresh(time.Second))
}

// TestFollowThroughAnotherInstance checks that an instance which follows a table through
// another one ends up with the content of the store.
func TestFollowThroughAnotherInstance(t *testing.T) {
	relayStore, relay := newTestStore()
	relayStore.table = snapshot(5, row("a", 3), row("b", 5))
	relay.Step()
	downstreamStore, downstream := newTestStore()
	downstream.source.Read = func(string) (messenger.TableSnapshot, error) { return relay.Snapshot(), nil }
	downstream.source.Follow = func(_ string, after messenger.StoreVersion, _ time.Duration) (Changes, error) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		changes, err := relay.Since(ctx, after)
		return ChangesFromPeer(changes), err
	}
	stepBoth := func() {
		relay.Step()
		downstream.Step()
	}
	downstream.Step()
	assert.Equal(t, relayStore.applied, downstreamStore.applied)
	relayStore.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("c", 7)}, Removed: []string{"a"}}}
	stepBoth()
	assert.Equal(t, map[string]int64{"b": 5, "c": 7}, downstreamStore.applied)
	t.Run("the history is truncated", func(t *testing.T) {
		relayStore.isHistoryTruncated = true
		relayStore.table = snapshot(9, row("c", 8))
		stepBoth()
		assert.Equal(t, map[string]int64{"c": 8}, downstreamStore.applied)
	})
	t.Run("an entry that expired in an outage is removed downstream at once", func(t *testing.T) {
		relayStore.outage(relay, 2*time.Second)
		relayStore.changes = []Changes{{Version: 12, Removed: []string{"c"}}}
		stepBoth()
		assert.Contains(t, relayStore.applied, "c", "it may return")
		assert.Empty(t, downstreamStore.applied)
	})
	t.Run("age is passed on", func(t *testing.T) {
		relayStore.now = relayStore.now.Add(3 * time.Second)
		changes, err := downstream.source.Follow("targets", messenger.StoreVersion{Number: 12}, 0)
		assert.NoError(t, err)
		assert.GreaterOrEqual(t, changes.Age, 3*time.Second)
	})
}

// TestRemovalOfAnUnknownRowIsRelayed guards against a row that stays for good at an instance which has it from elsewhere,
// since the one that it follows learned of the write and the removal in one answer.
func TestRemovalOfAnUnknownRowIsRelayed(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(5, row("a", 3))
	s.changes = []Changes{{Version: 8, Removed: []string{"b"}}}
	f.Step()
	f.Step()
	ctx, cancel := context.WithCancel(t.Context())
	cancel()
	changes, err := f.Since(ctx, messenger.StoreVersion{Number: 6})
	assert.NoError(t, err)
	assert.Equal(t, []string{"b"}, changes.Removed)
}

// TestRetryIntervalGrows checks the intervals between calls to a store that keeps
// failing.
func TestRetryIntervalGrows(t *testing.T) {
	_, f := newTestStore()
	intervals := []time.Duration{}
	for failures := range 6 {
		intervals = append(intervals, f.intervalAfter(failures))
	}
	const ms = time.Millisecond
	assert.Equal(t, []time.Duration{0, 200 * ms, 400 * ms, 800 * ms, 1000 * ms, 1000 * ms}, intervals)
}

// TestTableOfBeforeARowDoesNotRemoveIt guards against a row that vanishes for a moment: it was written while the pages of a
// table were read, which has the version of its first page, and the table of another instance is newer than that page alone.
func TestTableOfBeforeARowDoesNotRemoveIt(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(70, row("a", 60), row("b", 72))
	f.Step()
	for _, missing := range [][]string{nil, {"b"}} {
		older := snapshot(71, row("a", 60), row("b", 50))
		if missing == nil {
			older.Rows = older.Rows[:1]
		}
		older.Missing = missing
		f.Adopt(older)
		assert.Contains(t, s.applied, "b")
		assert.Empty(t, f.Snapshot().Missing)
	}
}

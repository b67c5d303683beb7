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
	applied            map[string]int64
}

func newTestStore() (*testStore, *Follower) {
	w := &testStore{now: time.Unix(1000, 0), applied: map[string]int64{}}
	f := New("targets", Source{Read: w.read, Follow: w.follow, PeerSnapshot: w.peerSnapshot}, w.apply)
	f.now = func() time.Time { return w.now }
	return w, f
}

func (w *testStore) read(string) (messenger.TableSnapshot, error) {
	if w.isUnavailable {
		return messenger.TableSnapshot{}, errUnavailable
	}
	return w.table, nil
}

func (w *testStore) follow(string, int64, time.Duration) (Changes, error) {
	switch {
	case w.isUnavailable:
		return Changes{}, errUnavailable
	case w.isHistoryTruncated:
		w.isHistoryTruncated = false
		return Changes{}, errors.Wrap(ErrHistoryTruncated, "targets")
	case len(w.changes) == 0:
		return Changes{}, nil
	}
	next := w.changes[0]
	w.changes = w.changes[1:]
	return next, nil
}

func (w *testStore) peerSnapshot(_ string, newer int64) (messenger.TableSnapshot, bool) {
	if w.peer == nil || w.peer.Version <= newer {
		return messenger.TableSnapshot{}, false
	}
	return *w.peer, true
}

func (w *testStore) apply(rows []messenger.StoreRow, removed []string) {
	for _, key := range removed {
		delete(w.applied, key)
	}
	for _, row := range rows {
		w.applied[row.Key] = row.Version
	}
}

func row(key string, version int64) messenger.StoreRow {
	return messenger.StoreRow{Key: key, Version: version}
}

func snapshot(version int64, rows ...messenger.StoreRow) messenger.TableSnapshot {
	return messenger.TableSnapshot{Version: version, Rows: rows}
}

// outage makes the store unavailable for a while, during which the follower keeps calling.
func (w *testStore) outage(f *Follower, length time.Duration) {
	w.isUnavailable = true
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(minRetryInterval) {
		f.Step()
	}
	w.isUnavailable = false
}

func TestFollowsChanges(t *testing.T) {
	w, f := newTestStore()
	w.table = snapshot(5, row("a", 3), row("b", 5))
	w.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("c", 7)}, Removed: []string{"a"}}}
	f.Step()
	assert.Equal(t, map[string]int64{"a": 3, "b": 5}, w.applied)
	f.Step()
	assert.Equal(t, map[string]int64{"b": 5, "c": 7}, w.applied)
	assert.EqualValues(t, 7, f.Version())
}

func TestMissingHistoryCausesReload(t *testing.T) {
	w, f := newTestStore()
	w.table = snapshot(5, row("a", 3), row("b", 5))
	f.Step()
	w.isHistoryTruncated = true
	w.table = snapshot(9, row("b", 8))
	f.Step()
	assert.Equal(t, map[string]int64{"b": 8}, w.applied, "rows removed in the missing history are removed")
}

func TestOlderDataIsIgnored(t *testing.T) {
	w, f := newTestStore()
	w.table = snapshot(9, row("a", 9))
	f.Step()
	t.Run("row", func(t *testing.T) {
		w.changes = []Changes{{Version: 10, Rows: []messenger.StoreRow{row("a", 4)}}}
		f.Step()
		assert.EqualValues(t, 9, w.applied["a"])
	})
	t.Run("table", func(t *testing.T) {
		w.isHistoryTruncated = true
		w.table = snapshot(4)
		f.Step()
		assert.Contains(t, w.applied, "a")
		assert.EqualValues(t, 10, f.Version())
	})
}

func TestExpiredEntriesMayReturnAfterOutage(t *testing.T) {
	expire := func() (*testStore, *Follower) {
		w, f := newTestStore()
		w.table = snapshot(5, row("a", 3), row("b", 5))
		f.Step()
		w.outage(f, 4*time.Second)
		w.changes = []Changes{{Version: 8, Removed: []string{"a", "b"}}}
		f.Step()
		return w, f
	}
	t.Run("they are kept during the grace period", func(t *testing.T) {
		w, _ := expire()
		assert.Len(t, w.applied, 2)
	})
	t.Run("one that returns stays, the other is removed", func(t *testing.T) {
		w, f := expire()
		w.changes = []Changes{{Version: 9, Rows: []messenger.StoreRow{row("a", 9)}}}
		f.Step()
		w.now = w.now.Add(returnGracePeriod)
		f.Step()
		assert.Equal(t, map[string]int64{"a": 9}, w.applied)
	})
	t.Run("removal without an outage is immediate", func(t *testing.T) {
		w, f := newTestStore()
		w.table = snapshot(5, row("a", 3))
		f.Step()
		w.changes = []Changes{{Version: 8, Removed: []string{"a"}}}
		f.Step()
		assert.Empty(t, w.applied)
	})
}

func TestPeerSnapshotDuringOutage(t *testing.T) {
	t.Run("at the start, at once", func(t *testing.T) {
		w, f := newTestStore()
		w.isUnavailable = true
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		f.Step()
		assert.EqualValues(t, 6, w.applied["a"])
	})
	t.Run("later, once the store has been unavailable for a while", func(t *testing.T) {
		w, f := newTestStore()
		w.table = snapshot(5, row("a", 3))
		f.Step()
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		w.isUnavailable = true
		f.Step()
		assert.EqualValues(t, 3, w.applied["a"])
		w.outage(f, time.Second)
		assert.EqualValues(t, 6, w.applied["a"])
	})
	t.Run("rows that a peer has removed are removed if only this instance cannot reach the store", func(t *testing.T) {
		w, f := newTestStore()
		w.table = snapshot(5, row("a", 3), row("left", 4))
		f.Step()
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		w.outage(f, 2*time.Second)
		assert.NotContains(t, w.applied, "left")
	})
}

func TestFreshness(t *testing.T) {
	w, f := newTestStore()
	assert.False(t, f.IsFresh(time.Second), "nothing was read yet")
	f.Step()
	assert.True(t, f.IsFresh(time.Second))
	w.outage(f, 2*time.Second)
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
	downstream.source.Follow = func(_ string, after int64, _ time.Duration) (Changes, error) {
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
		changes, err := downstream.source.Follow("targets", 12, 0)
		assert.NoError(t, err)
		assert.GreaterOrEqual(t, changes.Age, 3*time.Second)
	})
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

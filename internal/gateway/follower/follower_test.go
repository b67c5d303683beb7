package follower

import (
	"context"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var errAway = errors.New("store is away")

// world is a store, a peer and a clock.
type world struct {
	now     time.Time
	away    bool
	forgot  bool
	table   messenger.TableSnapshot
	changes []Changes
	peer    *messenger.TableSnapshot
	held    map[string]int64
}

func newWorld() (*world, *Follower) {
	w := &world{now: time.Unix(1000, 0), held: map[string]int64{}}
	f := New("targets", Source{Read: w.read, Follow: w.follow, PeerSnapshot: w.peerSnapshot}, w.apply)
	f.now = func() time.Time { return w.now }
	return w, f
}

func (w *world) read(string) (messenger.TableSnapshot, error) {
	if w.away {
		return messenger.TableSnapshot{}, errAway
	}
	return w.table, nil
}

func (w *world) follow(string, int64, time.Duration) (Changes, error) {
	switch {
	case w.away:
		return Changes{}, errAway
	case w.forgot:
		w.forgot = false
		return Changes{}, errors.Wrap(ErrHistoryGone, "targets")
	case len(w.changes) == 0:
		return Changes{}, nil
	}
	next := w.changes[0]
	w.changes = w.changes[1:]
	return next, nil
}

func (w *world) peerSnapshot(_ string, newer int64) (messenger.TableSnapshot, bool) {
	if w.peer == nil || w.peer.Version <= newer {
		return messenger.TableSnapshot{}, false
	}
	return *w.peer, true
}

func (w *world) apply(rows []messenger.StoreRow, removed []string) {
	for _, key := range removed {
		delete(w.held, key)
	}
	for _, row := range rows {
		w.held[row.Key] = row.Version
	}
}

func row(key string, version int64) messenger.StoreRow {
	return messenger.StoreRow{Key: key, Version: version}
}

func snapshot(version int64, rows ...messenger.StoreRow) messenger.TableSnapshot {
	return messenger.TableSnapshot{Version: version, Rows: rows}
}

// outage keeps the store away for a while, with calls all along.
func (w *world) outage(f *Follower, length time.Duration) {
	w.away = true
	for end := w.now.Add(length); w.now.Before(end); w.now = w.now.Add(retryAfter) {
		f.Step()
	}
	w.away = false
}

func TestFollowsChanges(t *testing.T) {
	w, f := newWorld()
	w.table = snapshot(5, row("a", 3), row("b", 5))
	w.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("c", 7)}, Removed: []string{"a"}}}
	f.Step()
	assert.Equal(t, map[string]int64{"a": 3, "b": 5}, w.held)
	f.Step()
	assert.Equal(t, map[string]int64{"b": 5, "c": 7}, w.held)
	assert.EqualValues(t, 7, f.Version())
}

func TestForgottenHistoryIsReadAnew(t *testing.T) {
	w, f := newWorld()
	w.table = snapshot(5, row("a", 3), row("b", 5))
	f.Step()
	w.forgot = true
	w.table = snapshot(9, row("b", 8))
	f.Step()
	assert.Equal(t, map[string]int64{"b": 8}, w.held, "what vanished in the gap has left")
}

func TestOlderWordIsNotTaken(t *testing.T) {
	w, f := newWorld()
	w.table = snapshot(9, row("a", 9))
	f.Step()
	t.Run("row", func(t *testing.T) {
		w.changes = []Changes{{Version: 10, Rows: []messenger.StoreRow{row("a", 4)}}}
		f.Step()
		assert.EqualValues(t, 9, w.held["a"])
	})
	t.Run("table", func(t *testing.T) {
		w.forgot = true
		w.table = snapshot(4)
		f.Step()
		assert.Contains(t, w.held, "a")
		assert.EqualValues(t, 10, f.Version())
	})
}

func TestLapsedEntriesMayReturnAfterAnOutage(t *testing.T) {
	lapse := func() (*world, *Follower) {
		w, f := newWorld()
		w.table = snapshot(5, row("a", 3), row("b", 5))
		f.Step()
		w.outage(f, 4*time.Second)
		w.changes = []Changes{{Version: 8, Removed: []string{"a", "b"}}}
		f.Step()
		return w, f
	}
	t.Run("they still count", func(t *testing.T) {
		w, _ := lapse()
		assert.Len(t, w.held, 2)
	})
	t.Run("one that returns stays, the other is gone", func(t *testing.T) {
		w, f := lapse()
		w.changes = []Changes{{Version: 9, Rows: []messenger.StoreRow{row("a", 9)}}}
		f.Step()
		w.now = w.now.Add(returnTime)
		f.Step()
		assert.Equal(t, map[string]int64{"a": 9}, w.held)
	})
	t.Run("removal without an outage is at once", func(t *testing.T) {
		w, f := newWorld()
		w.table = snapshot(5, row("a", 3))
		f.Step()
		w.changes = []Changes{{Version: 8, Removed: []string{"a"}}}
		f.Step()
		assert.Empty(t, w.held)
	})
}

func TestPeerHelpsWhileTheStoreIsAway(t *testing.T) {
	t.Run("at the start, at once", func(t *testing.T) {
		w, f := newWorld()
		w.away = true
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		f.Step()
		assert.EqualValues(t, 6, w.held["a"])
	})
	t.Run("later, once the store has been away for a while", func(t *testing.T) {
		w, f := newWorld()
		w.table = snapshot(5, row("a", 3))
		f.Step()
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		w.away = true
		f.Step()
		assert.EqualValues(t, 3, w.held["a"])
		w.outage(f, time.Second)
		assert.EqualValues(t, 6, w.held["a"])
	})
	t.Run("what a peer has given up is gone, while the store answers others only", func(t *testing.T) {
		w, f := newWorld()
		w.table = snapshot(5, row("a", 3), row("left", 4))
		f.Step()
		peer := snapshot(6, row("a", 6))
		w.peer = &peer
		w.outage(f, 2*time.Second)
		assert.NotContains(t, w.held, "left")
	})
}

func TestFreshness(t *testing.T) {
	w, f := newWorld()
	assert.False(t, f.IsFresh(time.Second), "nothing was read yet")
	f.Step()
	assert.True(t, f.IsFresh(time.Second))
	w.outage(f, 2*time.Second)
	assert.False(t, f.IsFresh(time.Second))
	f.Step()
	assert.True(t, f.IsFresh(time.Second))
}

// TestFollowingThroughAnInstance checks that whoever follows through an instance
// comes to hold what the store holds.
func TestFollowingThroughAnInstance(t *testing.T) {
	near, f := newWorld()
	near.table = snapshot(5, row("a", 3), row("b", 5))
	f.Step()
	far, g := newWorld()
	g.source.Read = func(string) (messenger.TableSnapshot, error) { return f.Snapshot(), nil }
	g.source.Follow = func(_ string, after int64, _ time.Duration) (Changes, error) {
		ctx, cancel := context.WithCancel(t.Context())
		cancel()
		changes, err := f.Since(ctx, after)
		return ChangesOf(changes), err
	}
	both := func() {
		f.Step()
		g.Step()
	}
	g.Step()
	assert.Equal(t, near.held, far.held)
	near.changes = []Changes{{Version: 7, Rows: []messenger.StoreRow{row("c", 7)}, Removed: []string{"a"}}}
	both()
	assert.Equal(t, map[string]int64{"b": 5, "c": 7}, far.held)
	t.Run("the history is gone", func(t *testing.T) {
		near.forgot = true
		near.table = snapshot(9, row("c", 8))
		both()
		assert.Equal(t, map[string]int64{"c": 8}, far.held)
	})
	t.Run("an entry that lapsed in an outage goes here as well", func(t *testing.T) {
		near.outage(f, 2*time.Second)
		near.changes = []Changes{{Version: 12, Removed: []string{"c"}}}
		both()
		assert.Contains(t, near.held, "c", "it may return")
		assert.Empty(t, far.held)
	})
	t.Run("age is told", func(t *testing.T) {
		near.now = near.now.Add(3 * time.Second)
		changes, err := g.source.Follow("targets", 12, 0)
		assert.NoError(t, err)
		assert.GreaterOrEqual(t, changes.Age, 3*time.Second)
	})
}

// TestPauseGrowsWhileCallsFail replays a store that refuses for long.
func TestPauseGrowsWhileCallsFail(t *testing.T) {
	_, f := newWorld()
	pauses := []time.Duration{}
	for failures := range 6 {
		pauses = append(pauses, f.pauseAfter(failures))
	}
	const ms = time.Millisecond
	assert.Equal(t, []time.Duration{0, 200 * ms, 400 * ms, 800 * ms, 1000 * ms, 1000 * ms}, pauses)
}

// Package follower keeps a copy of a table of the platform's store up to date by
// its feed of changes. When the store is away it takes the newer copy of a peer,
// and once the store is back it leaves time for entries that lapsed meanwhile to
// return before it gives them up.
package follower

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// ErrHistoryGone tells that the store no longer has the changes since a version.
var ErrHistoryGone = errors.New("history of the table is gone")

const (
	// feedWait is how long the store may hold a call for changes.
	feedWait = 20 * time.Second
	// shortWait is the same for tables whose changes bind: a call that hangs on a
	// connection gone silent ends before this instance counts as in touch again.
	shortWait = 1800 * time.Millisecond
	// retryAfter is the pause after a failed call, which doubles up to retryMost while
	// calls go on to fail: a store that is pressed is not pressed further.
	retryAfter = 200 * time.Millisecond
	retryMost  = time.Second
	// returnTime is how long after the return of the store the entries that
	// lapsed meanwhile may still be missing.
	returnTime = 2200 * time.Millisecond
	// outageAfter is how long calls must have failed to count as an outage.
	outageAfter = 700 * time.Millisecond
)

// Changes are the rows of a table that changed, and the version up to which.
type Changes struct {
	Version int64
	Rows    []messenger.StoreRow
	Removed []string
	// Age is how long ago the store said so, if another instance passed it on.
	Age time.Duration
}

// Source is the store, and what peers have read of it.
type Source struct {
	Read   func(table string) (messenger.TableSnapshot, error)
	Follow func(table string, after int64, wait time.Duration) (Changes, error)
	// PeerSnapshot returns the copy of a peer that is newer than a version; false
	// if no peer has one.
	PeerSnapshot func(table string, newer int64) (messenger.TableSnapshot, bool)
}

// Follower follows one table. The zero value is not usable; see New.
type Follower struct {
	table  string
	source Source
	// pause returns the least time between two calls that bring changes.
	pause func() time.Duration
	// wait is how long the store may hold a call for changes.
	wait  time.Duration
	now   func() time.Time
	log   logr.Logger
	apply func(rows []messenger.StoreRow, removed []string)

	mu      sync.Mutex
	rows    map[string]messenger.StoreRow
	version int64
	// removed holds the versions at which rows went, back to horizon.
	removed map[string]int64
	horizon int64
	// news is closed and replaced at each change.
	news chan struct{}
	// lapsed holds the deadlines until which entries may be missing.
	lapsed map[string]time.Time
	// failingSince is when calls began to fail; zero while they succeed.
	failingSince time.Time
	// passedAge is how old the latest answer was when it came, if an instance passed it on.
	passedAge time.Duration
	// heardAt is when the store answered last.
	heardAt time.Time
	// settledAt is the deadline for entries to return after an outage.
	settledAt time.Time
}

// Option changes a follower at its construction.
type Option func(*Follower)

// WithPause sets the least time between two calls that bring changes.
func WithPause(pause func() time.Duration) Option { return func(f *Follower) { f.pause = pause } }

// WithShortWait is for a table whose changes bind within seconds.
func WithShortWait() Option { return func(f *Follower) { f.wait = shortWait } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(f *Follower) { f.log = log } }

func noPause() time.Duration { return 0 }

// New returns a follower that hands each change of a table to apply, from one
// goroutine at a time.
func New(table string, source Source, apply func(rows []messenger.StoreRow, removed []string), options ...Option) *Follower {
	f := &Follower{
		table: table, source: source, wait: feedWait, pause: noPause, now: time.Now, apply: apply, log: logr.Discard(),
		rows: map[string]messenger.StoreRow{}, removed: map[string]int64{}, news: make(chan struct{}), lapsed: map[string]time.Time{},
	}
	for _, option := range options {
		option(f)
	}
	return f
}

// Run follows the table until ctx is done.
func (f *Follower) Run(ctx context.Context) {
	failures := 0
	for ctx.Err() == nil {
		if f.Step() {
			failures = 0
		} else {
			failures++
		}
		select {
		case <-ctx.Done():
		case <-time.After(f.pauseAfter(failures)):
		}
	}
}

// pauseAfter returns the time until the next call after a number of failures in a row.
func (f *Follower) pauseAfter(failures int) time.Duration {
	if failures == 0 {
		return f.pause()
	}
	pause := retryAfter
	for range failures - 1 {
		pause = min(2*pause, retryMost)
	}
	return pause
}

// Step makes one call to the store and reports whether it answered.
func (f *Follower) Step() bool {
	err := f.advance()
	now := f.now()
	f.expire(now)
	if err == nil {
		f.succeeded(now)
		return true
	}
	f.failed(now, err)
	f.takeFromPeer()
	return false
}

// advance reads the table anew or asks for its changes.
func (f *Follower) advance() error {
	version := f.Version()
	if version == 0 {
		return f.readAnew()
	}
	wait := min(f.wait, f.untilSettled())
	changes, err := f.source.Follow(f.table, version, wait)
	if errors.Is(err, ErrHistoryGone) {
		f.log.Info("history of table is gone", "table", f.table, "version", version)
		return f.readAnew()
	}
	if err != nil {
		return err
	}
	f.take(changes)
	f.mu.Lock()
	f.passedAge = changes.Age
	f.mu.Unlock()
	return nil
}

func (f *Follower) readAnew() error {
	snapshot, err := f.source.Read(f.table)
	if err != nil {
		return err
	}
	f.replace(snapshot, true)
	return nil
}

// Version is that up to which the table was followed; 0 before the first read.
func (f *Follower) Version() int64 {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// IsFailing reports whether the store has not answered for a while.
func (f *Follower) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero() && f.now().Sub(f.failingSince) > outageAfter
}

// IsFresh reports whether the store has answered since the given time before now.
func (f *Follower) IsFresh(within time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.heardAt.IsZero() && f.now().Sub(f.heardAt) < within
}

// Snapshot returns what was read of the table.
func (f *Follower) Snapshot() messenger.TableSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := messenger.TableSnapshot{
		Version: f.version, Rows: make([]messenger.StoreRow, 0, len(f.rows)), AgeMilliseconds: f.now().Sub(f.heardAt).Milliseconds(),
	}
	for _, row := range f.rows {
		out.Rows = append(out.Rows, row)
	}
	return out
}

// untilSettled returns the time until the next missing entry is given up.
func (f *Follower) untilSettled() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := feedWait
	for _, deadline := range f.lapsed {
		wait = min(wait, max(deadline.Sub(f.now()), 0))
	}
	return wait
}

func (f *Follower) succeeded(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.heardAt = now.Add(-f.passedAge)
	if f.failingSince.IsZero() {
		return
	}
	if now.Sub(f.failingSince) > outageAfter {
		f.log.Info("store is back", "table", f.table, "awayMilliseconds", now.Sub(f.failingSince).Milliseconds())
	}
	f.failingSince = time.Time{}
}

func (f *Follower) failed(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.Info("store does not answer", "table", f.table, "error", err.Error())
	}
}

// outage reports whether entries that are missing now may have lapsed while the
// store was away. It is called with the lock held.
func (f *Follower) outage(now time.Time) bool {
	if !f.failingSince.IsZero() && now.Sub(f.failingSince) > outageAfter {
		f.settledAt = now.Add(returnTime)
	}
	return now.Before(f.settledAt)
}

// take applies changes of the feed.
func (f *Follower) take(changes Changes) {
	f.mu.Lock()
	now := f.now()
	waits := f.outage(now)
	f.version = max(f.version, changes.Version)
	rows := f.store(changes.Rows)
	removed := f.drop(changes.Removed, waits)
	f.mu.Unlock()
	f.hand(rows, removed)
}

// store keeps rows and returns those that are not older than what is known. It is
// called with the lock held.
func (f *Follower) store(rows []messenger.StoreRow) []messenger.StoreRow {
	fresh := make([]messenger.StoreRow, 0, len(rows))
	for _, row := range rows {
		if known, ok := f.rows[row.Key]; ok && row.Version < known.Version {
			continue
		}
		f.rows[row.Key] = row
		delete(f.lapsed, row.Key)
		delete(f.removed, row.Key)
		fresh = append(fresh, row)
	}
	return fresh
}

// replace takes a whole table. Rows that are missing from it have been removed, at once or,
// if they may have lapsed in an outage and return, later. A table older than what is known
// is not taken.
func (f *Follower) replace(snapshot messenger.TableSnapshot, mayReturn bool) {
	f.mu.Lock()
	if snapshot.Version < f.version {
		f.mu.Unlock()
		f.log.Info("table is older than what is known", "table", f.table, "version", snapshot.Version)
		return
	}
	waits := mayReturn && f.outage(f.now())
	f.version = max(f.version, snapshot.Version)
	present := make(map[string]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		present[row.Key] = true
	}
	rows := f.store(snapshot.Rows)
	f.horizon = f.version // what changed before is not known one by one
	missing := []string{}
	for key := range f.rows {
		if !present[key] {
			missing = append(missing, key)
		}
	}
	slices.Sort(missing)
	removed := f.drop(missing, waits)
	f.mu.Unlock()
	f.hand(rows, removed)
}

// drop forgets rows at once or, after an outage, leaves them the time to return.
// It returns those that are gone. It is called with the lock held.
func (f *Follower) drop(keys []string, waits bool) []string {
	gone := []string{}
	for _, key := range keys {
		if _, ok := f.rows[key]; !ok {
			continue
		}
		f.removed[key] = f.version
		if waits {
			f.lapsed[key] = f.settledAt
			continue
		}
		delete(f.rows, key)
		gone = append(gone, key)
	}
	return gone
}

// expire gives up the entries that did not return in time.
func (f *Follower) expire(now time.Time) {
	f.mu.Lock()
	gone := []string{}
	for key, deadline := range f.lapsed {
		if f.failingSince.IsZero() && !now.Before(deadline) {
			delete(f.lapsed, key)
			delete(f.rows, key)
			gone = append(gone, key)
		}
	}
	f.mu.Unlock()
	f.hand(nil, gone)
}

func (f *Follower) hand(rows []messenger.StoreRow, removed []string) {
	if len(rows) == 0 && len(removed) == 0 {
		return
	}
	f.apply(rows, removed)
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.news)
	f.news = make(chan struct{})
	f.forgetRemovals()
}

// takeFromPeer takes the newer copy of a peer while the store is away.
func (f *Follower) takeFromPeer() {
	if f.source.PeerSnapshot == nil || (f.Version() > 0 && !f.IsFailing()) {
		return
	}
	snapshot, ok := f.source.PeerSnapshot(f.table, f.Version())
	if !ok {
		return
	}
	f.log.Info("table taken from a peer", "table", f.table, "version", snapshot.Version)
	// What may return after an outage is still among the rows of a peer that had one. What
	// a peer has given up is gone, also while the store answers others only.
	f.replace(snapshot, false)
}

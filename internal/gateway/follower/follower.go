// Package follower maintains a local copy of a table of the platform's store from its
// change feed. While the store is unavailable, it copies the table from a peer that has
// a newer version. After an outage, entries that expired meanwhile get a grace period
// to be written again before they are removed.
package follower

import (
	"context"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var (
	// ErrHistoryTruncated reports that the changes since a version are no longer available.
	ErrHistoryTruncated = errors.New("history of the table is truncated")
	// ErrOutdated reports that an answer is older than the local copy.
	ErrOutdated = errors.New("table is older than the local copy")
)

const (
	// maxFeedWait is how long the store may hold a call for changes open.
	maxFeedWait = 20 * time.Second
	// shortFeedWait is the same for tables whose changes must take effect within
	// seconds: a call stuck on a dead connection ends before this instance counts as
	// connected to the store again.
	shortFeedWait = 1800 * time.Millisecond
	// minRetryInterval is the interval after a failed call. It doubles up to maxRetryInterval
	// with each further failure, so as not to add load to an overloaded store.
	minRetryInterval = 200 * time.Millisecond
	maxRetryInterval = time.Second
	// ReturnGracePeriod is how long after an outage of the store the entries that
	// expired during it may still be missing before they are removed.
	// It is the same for entries that are missing since the store came back from a copy.
	ReturnGracePeriod = 2200 * time.Millisecond
	// outageThreshold is how long calls must have failed to count as an outage.
	outageThreshold = 700 * time.Millisecond
	// peerCheckInterval is the longest time between two looks whether a peer has had the store
	// during the last outage.
	peerCheckInterval = 250 * time.Millisecond
)

// Changes are the rows of a table that changed up to a version.
type Changes struct {
	// Epoch is the epoch of the store in which Version was given out; 0 if the store names none.
	Epoch   int64
	Version int64
	Rows    []messenger.StoreRow
	Removed []string
	// Age is the time since the store confirmed the changes, if another instance
	// relayed them.
	Age time.Duration
	// Proof says what these changes, together with those before, prove about the table; see
	// WithProofs.
	Proof messenger.GatewayProof
	// IsGapless reports that Rows holds every change of a row, in order, and not only the last one.
	IsGapless bool
}

// StoreVersion returns the version up to which the changes go.
func (c Changes) StoreVersion() messenger.StoreVersion {
	return messenger.StoreVersion{Epoch: c.Epoch, Number: c.Version}
}

// Source provides access to the store and to the copies that peers have.
type Source struct {
	Read   func(table string) (messenger.TableSnapshot, error)
	Follow func(table string, after messenger.StoreVersion, wait time.Duration) (Changes, error)
	// PeerSnapshot returns the copy of a peer that is newer than a version, or
	// false if no peer has one.
	PeerSnapshot func(table string, newer messenger.StoreVersion) (messenger.TableSnapshot, bool)
	// PeerHasHadStore reports whether a peer has had the store ever since a time: what is missing
	// then was removed, and did not expire during an outage.
	PeerHasHadStore func(since time.Time) bool
}

// Follower maintains a copy of one table. The zero value is not usable; see New.
type Follower struct {
	table  string
	source Source
	// minInterval returns the minimum time between two calls for changes.
	minInterval func() time.Duration
	// wait is the maximum time that the store may hold a call for changes open.
	wait  time.Duration
	now   func() time.Time
	log   logr.Logger
	apply func(rows []messenger.StoreRow, removed []string)
	// resolve decides between a known row and one of a later epoch; see WithResolver.
	resolve Resolver
	// isLasting keeps rows that are missing since the store came back from a copy; see WithLastingRows.
	isLasting bool
	// observeEpoch is called with the versions of the copy before and after it observes a later epoch.
	observeEpoch func(before, after messenger.StoreVersion)
	// isReadable reports whether a row can be decoded, proof returns the proof to pass on, and receiveProof is called with each that arrives.
	isReadable   func(messenger.StoreRow) bool
	proof        func() messenger.GatewayProof
	receiveProof func(messenger.GatewayProof)

	// applying is held while a change is stored and applied, so that changes are applied one
	// after another.
	applying sync.Mutex
	mu       sync.Mutex
	rows     map[string]messenger.StoreRow
	version  messenger.StoreVersion
	// removed holds the versions at which rows were removed, for all versions after
	// historyStart.
	removed      map[string]messenger.StoreVersion
	historyStart messenger.StoreVersion
	// changed is closed and replaced after each change.
	changed chan struct{}
	// returnDeadlines holds the entries that were removed during an outage but are kept
	// until their deadline, since they may return.
	returnDeadlines map[string]time.Time
	// failingSince is the time of the first of the current failures; zero if the last
	// call succeeded.
	failingSince time.Time
	// relayedAge is how old the latest response already was on arrival, if an instance
	// relayed it.
	relayedAge time.Duration
	// answeredAt is when the store last answered, less relayedAge.
	answeredAt time.Time
	// returnDeadline is when the entries that expired during the last outage must have
	// returned. It is the same for those that are missing since the store came back from a copy;
	// mayHaveExpired says nothing about these.
	returnDeadline time.Time
	// epochDeadline is until when entries may be missing since the last change of epoch.
	epochDeadline time.Time
	// outageBegan is when the store last answered before that outage.
	outageBegan time.Time
	// hasStoreSince is since when there was no outage of the store; zero before its first answer.
	hasStoreSince time.Time
}

// Option configures a follower.
type Option func(*Follower)

// WithMinInterval sets the minimum time between two calls for changes.
func WithMinInterval(minInterval func() time.Duration) Option {
	return func(f *Follower) { f.minInterval = minInterval }
}

// WithShortWait is for a table whose changes must take effect within seconds.
func WithShortWait() Option { return func(f *Follower) { f.wait = shortFeedWait } }

// WithMaxWait sets the maximum time that the store may hold a call for changes open.
func WithMaxWait(wait time.Duration) Option { return func(f *Follower) { f.wait = wait } }

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(f *Follower) { f.log = log } }

func noMinInterval() time.Duration { return 0 }

// New returns a follower that passes each change of a table to apply. Calls of apply
// do not overlap.
func New(table string, source Source, apply func(rows []messenger.StoreRow, removed []string), options ...Option) *Follower {
	f := &Follower{
		table: table, source: source, wait: maxFeedWait, minInterval: noMinInterval, now: time.Now, apply: apply, log: logr.Discard(),
		rows: map[string]messenger.StoreRow{}, removed: map[string]messenger.StoreVersion{}, changed: make(chan struct{}), returnDeadlines: map[string]time.Time{},
		isReadable: func(messenger.StoreRow) bool { return true }, resolve: preferNext, observeEpoch: func(_, _ messenger.StoreVersion) {},
		proof: func() messenger.GatewayProof { return messenger.GatewayProof{} }, receiveProof: func(messenger.GatewayProof) {},
	}
	for _, option := range options {
		option(f)
	}
	if f.source.PeerHasHadStore == nil {
		f.source.PeerHasHadStore = func(time.Time) bool { return false }
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
		case <-time.After(f.intervalAfter(failures)):
		}
	}
}

// intervalAfter returns the interval until the next call, given the number of consecutive
// failures.
func (f *Follower) intervalAfter(failures int) time.Duration {
	if failures == 0 {
		return f.minInterval()
	}
	minInterval := minRetryInterval
	for range failures - 1 {
		minInterval = min(2*minInterval, maxRetryInterval)
	}
	return minInterval
}

// Step makes one call to the store and reports whether it succeeded.
func (f *Follower) Step() bool {
	began := f.now()
	err := f.advance()
	now := f.now()
	if err == nil {
		f.removeExpired(began)
		f.recordSuccess(now)
		return true
	}
	f.recordFailure(now, err)
	f.copyFromPeer()
	return false
}

// advance reads the whole table if there is no copy yet or the changes since its version
// are no longer available, and the changes otherwise.
func (f *Follower) advance() error {
	version := f.Version()
	if version.IsZero() {
		return f.reload()
	}
	wait := min(f.wait, f.untilNextReturnDeadline())
	if f.hasFailed() {
		wait = 0 // the store may be in a later epoch, in which it holds a call after a number that it has not reached
	}
	changes, err := f.source.Follow(f.table, version, wait)
	if err == nil {
		err = f.applyChanges(changes)
	}
	if errors.Is(err, ErrHistoryTruncated) {
		f.log.Info("history of table is truncated", "table", f.table, "epoch", version.Epoch, "version", version.Number)
		return f.reloadAfter(version)
	}
	if err != nil {
		return err
	}
	f.receiveProof(changes.Proof)
	f.setRelayedAge(changes.Age)
	return nil
}

func (f *Follower) setRelayedAge(age time.Duration) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.relayedAge = age
}

// reloadAfter reads the whole table since the changes after a version cannot be had. The error is ErrOutdated
// if it is no newer than that, so that it is not read again at once.
func (f *Follower) reloadAfter(version messenger.StoreVersion) error {
	if err := f.reload(); err != nil {
		return err
	}
	if !f.Version().IsAfter(version) {
		return errors.Wrapf(ErrOutdated, "%s: neither changes nor a newer table", f.table)
	}
	return nil
}

func (f *Follower) reload() error {
	snapshot, err := f.source.Read(f.table)
	if err != nil {
		return err
	}
	if err := f.applySnapshot(snapshot, true); err != nil {
		return err
	}
	f.receiveProof(snapshot.Proof)
	f.setRelayedAge(time.Duration(snapshot.AgeMilliseconds) * time.Millisecond)
	return nil
}

// Version returns the version of the copy; zero before the first read.
func (f *Follower) Version() messenger.StoreVersion {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.version
}

// hasFailed reports whether the last call to the store failed.
func (f *Follower) hasFailed() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero()
}

// IsFailing reports whether calls to the store have failed for outageThreshold.
func (f *Follower) IsFailing() bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return !f.failingSince.IsZero() && f.now().Sub(f.failingSince) > outageThreshold
}

// IsFresh reports whether the store has answered within the given time before now.
func (f *Follower) IsFresh(within time.Duration) bool {
	return f.FreshFor(within) > 0
}

// FreshFor returns for how long IsFresh holds for the given time; 0 if it does not.
func (f *Follower) FreshFor(within time.Duration) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.answeredAt.IsZero() {
		return 0
	}
	return max(within-f.now().Sub(f.answeredAt), 0)
}

// Snapshot returns the copy of the table.
func (f *Follower) Snapshot() messenger.TableSnapshot {
	f.mu.Lock()
	defer f.mu.Unlock()
	out := messenger.TableSnapshot{
		Proof: f.proof(), // before the rows, which are then at least as new
		Epoch: f.version.Epoch, Version: f.version.Number, Rows: make([]messenger.StoreRow, 0, len(f.rows)), AgeMilliseconds: f.now().Sub(f.answeredAt).Milliseconds(),
	}
	for _, row := range f.rows {
		out.Rows = append(out.Rows, row)
	}
	out.Missing = slices.Sorted(maps.Keys(f.returnDeadlines))
	return out
}

// untilNextReturnDeadline returns the time until the next missing entry is removed, or may be, at
// most maxFeedWait.
func (f *Follower) untilNextReturnDeadline() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	wait := maxFeedWait
	for _, deadline := range f.returnDeadlines {
		left := max(deadline.Sub(f.now()), 0)
		if left == 0 && f.relayedAge > 0 {
			left = peerCheckInterval // an answer of after the deadline has yet to reach the other instance
		}
		wait = min(wait, peerCheckInterval, left)
	}
	return wait
}

func (f *Follower) recordSuccess(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.answeredAt = now.Add(-f.relayedAge)
	if f.hasStoreSince.IsZero() {
		f.hasStoreSince = now
	}
	if f.failingSince.IsZero() {
		return
	}
	if now.Sub(f.failingSince) > outageThreshold {
		f.hasStoreSince = now
		f.log.Info("store is back", "table", f.table, "awayMilliseconds", now.Sub(f.failingSince).Milliseconds())
	}
	f.failingSince = time.Time{}
}

func (f *Follower) recordFailure(now time.Time, err error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.failingSince.IsZero() {
		f.failingSince = now
		f.log.Info("store does not answer", "table", f.table, "error", err.Error())
	}
}

// HasStoreFor returns how long there was no outage of the store; 0 during one and before the
// first answer.
func (f *Follower) HasStoreFor() time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.hasStoreSince.IsZero() || !f.failingSince.IsZero() {
		return 0
	}
	return f.now().Sub(f.hasStoreSince)
}

// copyFromPeer copies the table from a peer that has a newer version, during an outage of
// the store or if the first read failed.
func (f *Follower) copyFromPeer() {
	if f.source.PeerSnapshot == nil || (!f.Version().IsZero() && !f.IsFailing()) {
		return
	}
	snapshot, ok := f.source.PeerSnapshot(f.table, f.Version())
	if !ok {
		return
	}
	f.log.Info("table taken from a peer", "table", f.table, "epoch", snapshot.Epoch, "version", snapshot.Version)
	// No grace period: a peer that saw the outage still has the rows that may return. Rows
	// that a peer has removed are removed here too, even if only this instance cannot reach
	// the store.
	f.Adopt(snapshot)
}

package follower

import (
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// mayHaveExpired reports whether entries that are missing now may have expired during an
// outage of the store, and starts the grace period at the end of one. The caller holds
// f.mu.
func (f *Follower) mayHaveExpired(now time.Time) bool {
	if !f.failingSince.IsZero() && now.Sub(f.failingSince) > outageThreshold {
		f.startGrace(now)
		f.outageBegan = f.answeredAt
	}
	return now.Before(f.returnDeadline) && !f.source.PeerHasHadStore(f.outageBegan)
}

// startGrace starts a grace period, also for the entries that are in an earlier one: nobody could write them
// again in between. The caller holds f.mu.
func (f *Follower) startGrace(now time.Time) {
	f.returnDeadline = now.Add(ReturnGracePeriod)
	for key := range f.returnDeadlines {
		f.returnDeadlines[key] = f.returnDeadline
	}
}

// applyChanges applies changes from the feed. The error is ErrOutdated for those of an earlier epoch, and
// ErrHistoryTruncated for those of a later one.
func (f *Follower) applyChanges(changes Changes) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	switch {
	case changes.Epoch < f.version.Epoch:
		defer f.mu.Unlock()
		return errors.Wrapf(ErrOutdated, "%s: changes of epoch %d, copy of epoch %d", f.table, changes.Epoch, f.version.Epoch)
	case changes.Epoch > f.version.Epoch:
		defer f.mu.Unlock()
		return errors.Wrapf(ErrHistoryTruncated, "%s: changes of epoch %d, copy of epoch %d", f.table, changes.Epoch, f.version.Epoch)
	}
	now := f.now()
	deferRemoval := f.mayHaveExpired(now) || now.Before(f.epochDeadline)
	if changes.StoreVersion().IsBefore(f.version) {
		changes.Rows = f.presentOf(changes.Rows)
	}
	f.version = f.version.Max(changes.StoreVersion())
	rows := f.storeRows(changes.Rows, changes.IsGapless)
	removed := f.removeRows(f.withoutLater(changes.Removed, changes.StoreVersion()), deferRemoval)
	f.mu.Unlock()
	f.deliver(rows, removed)
	return nil
}

// presentOf returns the rows whose keys the table has at the version of the copy: all others were removed
// after they were written. The caller holds f.mu.
func (f *Follower) presentOf(rows []messenger.StoreRow) []messenger.StoreRow {
	out := make([]messenger.StoreRow, 0, len(rows))
	for _, row := range rows {
		_, isKnown := f.rows[row.Key]
		_, isMissing := f.returnDeadlines[row.Key]
		if isKnown && !isMissing {
			out = append(out, row)
		}
	}
	return out
}

// withoutLater leaves out the keys whose row was written after a version. The caller holds f.mu.
func (f *Follower) withoutLater(keys []string, version messenger.StoreVersion) []string {
	out := make([]string, 0, len(keys))
	for _, key := range keys {
		if !f.rows[key].StoreVersion().IsAfter(version) {
			out = append(out, key)
		}
	}
	return out
}

// storeRows stores rows and returns those that are not older than the stored ones. A row that
// cannot be read leaves the value before it in force, if isGapless says which one that is. The
// caller holds f.mu.
func (f *Follower) storeRows(rows []messenger.StoreRow, isGapless bool) []messenger.StoreRow {
	stored := make([]messenger.StoreRow, 0, len(rows))
	for _, row := range rows {
		known, isKnown := f.rows[row.Key]
		if isKnown && row.StoreVersion().IsBefore(known.StoreVersion()) {
			continue
		}
		if isKnown && isGapless && !f.isReadable(row) {
			row.Value = known.Value
		}
		if isKnown && f.isLasting {
			row, _ = f.resolve(known, true, row)
		}
		f.rows[row.Key] = row
		delete(f.returnDeadlines, row.Key)
		delete(f.removed, row.Key)
		stored = append(stored, row)
	}
	return stored
}

// applySnapshot replaces the copy with a whole table. Rows missing from it are removed
// at once, or after the grace period if the table is the first one of a later epoch, or if
// mayReturn is set and they may have expired during an outage. The error is ErrOutdated for a
// table that is older than the copy.
func (f *Follower) applySnapshot(snapshot messenger.TableSnapshot, mayReturn bool) error {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	now := f.now()
	if snapshot.StoreVersion().IsBefore(f.version) {
		known := f.version
		f.mu.Unlock()
		f.log.Info("table is older than the local copy", "table", f.table, "epoch", snapshot.Epoch, "version", snapshot.Version,
			"knownEpoch", known.Epoch, "knownVersion", known.Number)
		return errors.Wrap(ErrOutdated, f.table)
	}
	if !f.version.IsZero() && snapshot.Epoch > f.version.Epoch {
		f.beginEpoch(now, snapshot.StoreVersion())
		snapshot.Rows = f.resolveRows(snapshot.Rows)
	}
	deferRemoval := (mayReturn && f.mayHaveExpired(now)) || now.Before(f.epochDeadline)
	before := f.version
	f.version = f.version.Max(snapshot.StoreVersion())
	storedRows, missingRows := splitMissing(snapshot)
	rows := f.storeRows(storedRows, false)
	rows = append(rows, f.storeMissing(missingRows, before, snapshot.StoreVersion())...)
	f.historyStart = f.version // the individual changes before this version are unknown
	removed := f.removeRows(f.missingFrom(snapshot), deferRemoval)
	f.mu.Unlock()
	f.deliver(rows, removed)
	return nil
}

// missingFrom returns the keys of the rows that a table lacks, without those that were written after it. The
// caller holds f.mu.
func (f *Follower) missingFrom(snapshot messenger.TableSnapshot) []string {
	present := make(map[string]bool, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		present[row.Key] = true
	}
	out := []string{}
	for key, row := range f.rows {
		isAwaited := f.isLasting && row.Epoch < snapshot.Epoch
		if !present[key] && !isAwaited && !row.StoreVersion().IsAfter(snapshot.StoreVersion()) {
			out = append(out, key)
		}
	}
	slices.Sort(out)
	return out
}

// removeRows removes rows at once or, if deferRemoval is set, after the grace period. It
// returns those that are removed now. The caller holds f.mu.
func (f *Follower) removeRows(keys []string, deferRemoval bool) []string {
	dropped := []string{}
	for _, key := range keys {
		f.removed[key] = f.version // also of a row that only those which follow this instance know
		if _, ok := f.rows[key]; !ok {
			continue
		}
		if _, isDeferred := f.returnDeadlines[key]; isDeferred {
			continue
		}
		if deferRemoval {
			f.returnDeadlines[key] = f.returnDeadline
			continue
		}
		delete(f.rows, key)
		dropped = append(dropped, key)
	}
	return dropped
}

// removeExpired removes the entries that had not returned by their deadline, or of which a peer knows that
// they were removed, after a successful call that began at a time.
func (f *Follower) removeExpired(began time.Time) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	dropped := []string{}
	toldAt := began.Add(-f.relayedAge) // the answer may lack what was written later
	mayReturn := len(f.returnDeadlines) == 0 || toldAt.Before(f.epochDeadline) || !f.source.PeerHasHadStore(f.outageBegan)
	for key, deadline := range f.returnDeadlines {
		if f.failingSince.IsZero() && (!toldAt.Before(deadline) || !mayReturn) {
			delete(f.returnDeadlines, key)
			delete(f.rows, key)
			f.removed[key] = f.version
			dropped = append(dropped, key)
		}
	}
	f.mu.Unlock()
	f.deliver(nil, dropped)
}

// deliver passes a change to apply and wakes the callers that wait in Since.
func (f *Follower) deliver(rows []messenger.StoreRow, removed []string) {
	if len(rows) == 0 && len(removed) == 0 {
		return
	}
	f.apply(rows, removed)
	f.mu.Lock()
	defer f.mu.Unlock()
	f.wake()
	f.truncateHistory()
}

// wake wakes the callers that wait in Since. The caller holds f.mu.
func (f *Follower) wake() {
	close(f.changed)
	f.changed = make(chan struct{})
}

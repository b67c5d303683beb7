package follower

import (
	"bytes"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Resolver decides which of two rows with one key is in force: next, or a row with the version of next and
// the known value, since what the store came back with may be older than what this instance knows. It
// reports false if neither is. known is the zero value unless isKnown is set.
type Resolver func(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool)

// WithResolver has a resolver decide on each row in the first table of a later epoch. By default next is
// in force.
func WithResolver(resolve Resolver) Option { return func(f *Follower) { f.resolve = resolve } }

// WithLastingRows is for a table whose rows are never removed, but may be missing in a later epoch until
// their writer has written them again. The resolver decides on each row for a known one, also in the same
// epoch and in older copies of peers, which may hold a newer value under an older version.
func WithLastingRows(resolve Resolver) Option {
	return func(f *Follower) { f.resolve, f.isLasting = resolve, true }
}

// WithEpochObserver sets the function that is called with the versions of the copy before and after it
// was read again in a later epoch. It must not call the follower.
func WithEpochObserver(observe func(before, after messenger.StoreVersion)) Option {
	return func(f *Follower) { f.observeEpoch = observe }
}

func preferNext(_ messenger.StoreRow, _ bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	return next, true
}

// beginEpoch prepares for the first table of a later epoch: entries that it lacks may be written again, and
// no peer can know that they were removed. The caller holds f.mu.
func (f *Follower) beginEpoch(now time.Time, after messenger.StoreVersion) {
	f.observeEpoch(f.version, after)
	f.startGrace(now)
	f.epochDeadline = f.returnDeadline
	f.hasStoreSince = now
	f.wake()
}

// resolveRows returns the rows of a later epoch that are in force. The caller holds f.mu.
func (f *Follower) resolveRows(rows []messenger.StoreRow) []messenger.StoreRow {
	if f.isLasting {
		return rows // storeRows resolves them
	}
	out := make([]messenger.StoreRow, 0, len(rows))
	for _, next := range rows {
		known, isKnown := f.rows[next.Key]
		if row, isInForce := f.resolve(known, isKnown, next); isInForce {
			out = append(out, row)
		}
	}
	return out
}

// splitMissing returns the rows of a peer's copy that the store has, and those that it lacks but that may
// be written again.
func splitMissing(snapshot messenger.TableSnapshot) (stored, missing []messenger.StoreRow) {
	if len(snapshot.Missing) == 0 {
		return snapshot.Rows, nil
	}
	isMissing := make(map[string]bool, len(snapshot.Missing))
	for _, key := range snapshot.Missing {
		isMissing[key] = true
	}
	for _, row := range snapshot.Rows {
		if isMissing[row.Key] {
			missing = append(missing, row)
		} else {
			stored = append(stored, row)
		}
	}
	return stored, missing
}

// storeMissing gives a grace period to the rows that the store lacked at a version but that a peer still has,
// and returns those that are new here. before is the version of the copy until now: what it lacked by then was
// removed. The caller holds f.mu.
func (f *Follower) storeMissing(rows []messenger.StoreRow, before, at messenger.StoreVersion) []messenger.StoreRow {
	added := []messenger.StoreRow{}
	for _, row := range rows {
		known, isKnown := f.rows[row.Key]
		switch {
		case isKnown && known.StoreVersion().IsAfter(at):
			continue
		case !isKnown && !row.StoreVersion().IsAfter(before):
			continue
		case !isKnown:
			f.rows[row.Key] = row
			added = append(added, row)
		}
		f.expectReturn(row.Key)
	}
	return added
}

// expectReturn gives a grace period to a row, unless it is in one. The caller holds f.mu.
func (f *Follower) expectReturn(key string) {
	if _, isExpected := f.returnDeadlines[key]; !isExpected {
		f.returnDeadlines[key] = f.now().Add(ReturnGracePeriod)
		f.removed[key] = f.version
	}
}

// adoptValues has the resolver decide on the values in an older copy of a peer, under the versions that are
// known here: what is in force at the peer may be newer nevertheless.
func (f *Follower) adoptValues(rows []messenger.StoreRow) {
	f.applying.Lock()
	defer f.applying.Unlock()
	f.mu.Lock()
	changed := []messenger.StoreRow{}
	for _, row := range rows {
		known, isKnown := f.rows[row.Key]
		version := f.version
		if isKnown {
			version = known.StoreVersion().Max(row.StoreVersion()) // rows of late pages are after their table
		}
		row, isInForce := f.resolve(known, isKnown, row)
		if !isInForce {
			continue
		}
		row.Epoch, row.Version = version.Epoch, version.Number
		if !isKnown || !bytes.Equal(row.Value, known.Value) {
			changed = append(changed, row)
			f.rows[row.Key] = row
		}
	}
	f.mu.Unlock()
	f.deliver(changed, nil)
}

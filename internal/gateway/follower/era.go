package follower

import (
	"bytes"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// EraChange describes the first answer of a later era of the store.
type EraChange struct {
	// Before is the newest version of the era before; zero if this is the first answer of all.
	Before messenger.StoreVersion
	// After is the version in that answer.
	After messenger.StoreVersion
	// LatestBefore is the upper bound of the time by the store's clock of the era before, in
	// milliseconds, at the local time At; 0 if it is not known.
	LatestBefore int64
	At           time.Time
}

// WithResolver sets the function that decides, for each row in the first table of a later era, which
// row is in force: next, or one with its version and another value, since what the store came back with
// may be older than what this instance knows. It reports false for a row that no longer exists. By
// default next is in force.
func WithResolver(resolve func(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool)) Option {
	return func(f *Follower) { f.resolve = resolve }
}

// WithLastingRows is for a table whose rows are never removed, but may be missing in a later era until
// their writer has written them again. The resolver decides on each row that is not older than the known
// one, also in the same era: a peer's copy may have another value under the same version.
func WithLastingRows() Option { return func(f *Follower) { f.isLasting = true } }

// WithEraObserver sets the function that is called with the versions of the copy before and after it
// was read again in a later era. It must not call the follower.
func WithEraObserver(observe func(before, after messenger.StoreVersion)) Option {
	return func(f *Follower) { f.observeEra = observe }
}

func preferNext(_ messenger.StoreRow, _ bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	return next, true
}

// meetEra prepares for the first table of a later era: entries that it lacks may be written again, and
// no peer can know that they were removed. The caller holds f.mu.
func (f *Follower) meetEra(now time.Time, after messenger.StoreVersion) {
	f.observeEra(f.version, after)
	f.eraDeadline = now.Add(returnGracePeriod)
	f.returnDeadline = f.eraDeadline
	f.hasStoreSince = now
	f.wake()
}

// resolveRows returns the rows of a later era that are in force. The caller holds f.mu.
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

// withoutMissing returns the rows of a peer's copy that the store has. Those that the store lacks, but
// that may be written again, are stored if they are not known, and get a grace period. The caller holds
// f.mu.
func (f *Follower) withoutMissing(snapshot messenger.TableSnapshot, now time.Time) []messenger.StoreRow {
	if len(snapshot.Missing) == 0 {
		return snapshot.Rows
	}
	isMissing := make(map[string]bool, len(snapshot.Missing))
	for _, key := range snapshot.Missing {
		isMissing[key] = true
	}
	out := make([]messenger.StoreRow, 0, len(snapshot.Rows))
	for _, row := range snapshot.Rows {
		_, isKnown := f.rows[row.Key]
		if !isMissing[row.Key] || !isKnown {
			out = append(out, row)
		}
	}
	for key := range isMissing {
		if _, isDeferred := f.returnDeadlines[key]; !isDeferred {
			f.returnDeadlines[key] = now.Add(returnGracePeriod)
			f.removed[key] = f.version
		}
	}
	return out
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
			version = known.StoreVersion()
		}
		row.Era, row.Version = version.Era, version.Number
		if isKnown {
			row, _ = f.resolve(known, true, row)
		}
		if !isKnown || !bytes.Equal(row.Value, known.Value) {
			changed = append(changed, row)
			f.rows[row.Key] = row
		}
	}
	f.mu.Unlock()
	f.deliver(changed, nil)
}

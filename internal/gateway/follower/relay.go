package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// maxRememberedRemovals limits how many removals are kept for the instances that follow
// the table through this one.
const maxRememberedRemovals = 4096

// truncateHistory discards the history of removals if it has grown too long. The caller
// holds f.mu.
func (f *Follower) truncateHistory() {
	if len(f.removed) > maxRememberedRemovals {
		f.removed = map[string]messenger.StoreVersion{}
		f.historyStart = f.version
	}
}

// Since returns the changes after a version, for an instance that follows the table
// through this one. If there are none, it waits for the first one until ctx is done. The
// error is ErrHistoryTruncated, or ErrOutdated if that version is of a later epoch than the copy or the
// table has not been read yet.
func (f *Follower) Since(ctx context.Context, after messenger.StoreVersion) (messenger.TableChanges, error) {
	for {
		f.mu.Lock()
		changed := f.changed
		out, err := f.since(after)
		f.mu.Unlock()
		if err != nil || len(out.Rows) > 0 || len(out.Removed) > 0 {
			return out, err
		}
		select {
		case <-ctx.Done():
			f.mu.Lock()
			defer f.mu.Unlock()
			return f.since(after)
		case <-changed:
		}
	}
}

// since returns the changes after a version. The caller holds f.mu.
func (f *Follower) since(after messenger.StoreVersion) (messenger.TableChanges, error) {
	if f.version.IsZero() || after.Epoch > f.version.Epoch {
		return messenger.TableChanges{}, errors.Wrapf(ErrOutdated, "%s: copy of epoch %d", f.table, f.version.Epoch)
	}
	if after.IsBefore(f.historyStart) {
		return messenger.TableChanges{}, errors.Wrap(ErrHistoryTruncated, f.table)
	}
	version := f.version.Max(after)
	out := messenger.TableChanges{
		Proof: f.proof(), // before the rows, which are then at least as new
		Epoch: version.Epoch, Version: version.Number, Rows: []messenger.StoreRow{}, Removed: []string{},
		AgeMilliseconds: f.now().Sub(f.answeredAt).Milliseconds(),
	}
	for key, row := range f.rows {
		if _, isMissing := f.returnDeadlines[key]; row.StoreVersion().IsAfter(after) && !isMissing {
			out.Rows = append(out.Rows, row)
		}
	}
	for key, version := range f.removed {
		if version.IsAfter(after) {
			out.Removed = append(out.Removed, key)
		}
	}
	return out, nil
}

// ChangesFromPeer converts the changes that a peer relayed.
func ChangesFromPeer(in messenger.TableChanges) Changes {
	return Changes{
		Epoch: in.Epoch, Version: in.Version, Rows: in.Rows, Removed: in.Removed, Age: time.Duration(in.AgeMilliseconds) * time.Millisecond,
		Proof: ProofFromPeer(in.Proof),
	}
}

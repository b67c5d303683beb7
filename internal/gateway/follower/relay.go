package follower

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// mostRemovals bounds how many removals are remembered for instances that follow
// through this one.
const mostRemovals = 4096

// forgetRemovals moves the horizon up when too many are remembered. It is called
// with the lock held.
func (f *Follower) forgetRemovals() {
	if len(f.removed) > mostRemovals {
		f.removed = map[string]int64{}
		f.horizon = f.version
	}
}

// Since returns what has changed after a version, for an instance that follows the
// table through this one, as soon as there is a change or when ctx is done. The error
// is ErrHistoryGone.
func (f *Follower) Since(ctx context.Context, after int64) (messenger.TableChanges, error) {
	for {
		f.mu.Lock()
		news := f.news
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
		case <-news:
		}
	}
}

// since is called with the lock held.
func (f *Follower) since(after int64) (messenger.TableChanges, error) {
	if f.version == 0 || after < f.horizon {
		return messenger.TableChanges{}, errors.Wrap(ErrHistoryGone, f.table)
	}
	out := messenger.TableChanges{
		Version: max(f.version, after), Rows: []messenger.StoreRow{}, Removed: []string{},
		AgeMilliseconds: f.now().Sub(f.heardAt).Milliseconds(),
	}
	for key, row := range f.rows {
		if _, isMissing := f.lapsed[key]; row.Version > after && !isMissing {
			out.Rows = append(out.Rows, row)
		}
	}
	for key, version := range f.removed {
		if version > after {
			out.Removed = append(out.Removed, key)
		}
	}
	return out, nil
}

// ChangesOf returns what another instance passed on.
func ChangesOf(in messenger.TableChanges) Changes {
	return Changes{
		Version: in.Version, Rows: in.Rows, Removed: in.Removed, Age: time.Duration(in.AgeMilliseconds) * time.Millisecond,
	}
}

package leaser

import (
	"encoding/json"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// contend reads the row and acquires the lease if it has no other holder, was
// released, or has expired. Without a known service clock it has expired once the
// row has not changed for its TTL. A change counts from after the read that
// showed it: a contender may be paused before its read, while the holder renews.
func (l *Leaser) contend() error {
	row, record, err := l.read()
	if err != nil {
		return err
	}
	now := l.now()
	l.mu.Lock()
	if row.StoreVersion() != l.leaseVersion || l.changeSeenAt.IsZero() {
		l.changeSeenAt = now
	}
	l.leaseVersion = row.StoreVersion()
	l.record = record
	l.knownFence = max(l.knownFence, record.Fence)
	isFree := l.isFree(row, record, now)
	if isWrittenIn(record, row.StoreVersion()) && row.Epoch == l.epoch && !l.isOwn(record) {
		l.heldUntil = time.Time{} // a grant of an earlier epoch has been superseded
	}
	l.mu.Unlock()
	if !isFree {
		return nil
	}
	return l.acquire(row.StoreVersion(), record)
}

// isFree reports whether this instance may acquire the lease. The caller holds l.mu.
func (l *Leaser) isFree(row messenger.Row, record Record, now time.Time) bool {
	switch {
	case row.Epoch < l.epoch:
		return false // a late answer
	case row.Version == 0 && row.Epoch == 0:
		return true
	case !isWrittenIn(record, row.StoreVersion()):
		return l.hasNoSuccessor() || !now.Before(l.earlierEpochsEnd())
	}
	return record.Released || l.isOwn(record) || l.hasExpired(record) || !now.Before(l.changeSeenAt.Add(l.times.TTL))
}

// acquire writes the lease with the next fencing token. The deadline and the expiry in the row count from before
// the write, and the expiry from after the deadline.
func (l *Leaser) acquire(version messenger.StoreVersion, old Record) error {
	previousEndedAt := l.previousEnd(version, old, l.now())
	fence, err := l.get(leaseTable, fenceKeyOf(version.Epoch))
	if err != nil {
		return err
	}
	if fence.Epoch != version.Epoch {
		l.ObserveEpoch(fence.Epoch)
		return errors.Wrapf(errEpochChanged, "lease of epoch %d, fence of epoch %d", version.Epoch, fence.Epoch)
	}
	now := l.now()
	next := Record{Holder: l.instance, Incarnation: l.incarnation, Epoch: version.Epoch, Fence: l.nextFence(version.Epoch, fence), Lapses: l.expiry()}
	versions, err := l.writeAcquisition(next, version, fence.StoreVersion())
	if err != nil {
		return err
	}
	if versions[0].Epoch != version.Epoch {
		l.ObserveEpoch(versions[0].Epoch)
		return errors.Wrapf(errEpochChanged, "acquisition of epoch %d", version.Epoch)
	}
	l.mu.Lock()
	l.fenceVersion = versions[1]
	l.previousEndedAt = previousEndedAt
	l.isRefused = false
	l.mu.Unlock()
	l.recordGrant(now, next, versions[0])
	l.observe(Acquisition{Fence: next.Fence, Row: versions[0], Old: old, OldRow: version})
	return nil
}

// writeAcquisition writes the lease and the fence if neither row has changed, and returns their new versions.
func (l *Leaser) writeAcquisition(next Record, lease, fence messenger.StoreVersion) ([]messenger.StoreVersion, error) {
	key := fenceKeyOf(next.Epoch)
	value, err := json.Marshal(next.Fence)
	if err != nil {
		return nil, errors.Wrap(err, "encode fence")
	}
	conditions := []messenger.Condition{condition(leaseKey, lease), condition(key, fence)}
	versions, err := l.write(next, conditions, []messenger.Write{{Table: leaseTable, Key: key, Value: value}})
	if errors.Is(err, transactor.ErrUnknownOutcome) {
		return l.confirmAcquisition(next, err)
	}
	return versions, err
}

// expiry returns when a lease that is written now has certainly expired, in
// milliseconds of the table service's clock; 0 if that clock is not known.
func (l *Leaser) expiry() int64 {
	_, latest, ok := l.clock()
	if !ok {
		return 0
	}
	return latest + l.times.TTL.Milliseconds()
}

// hasExpired reports whether a record has expired by the table service's clock.
func (l *Leaser) hasExpired(record Record) bool {
	earliest, _, ok := l.clock()
	return ok && record.Lapses > 0 && earliest >= record.Lapses
}

// grantEnd returns when the grant of an old record ended, by this instance's
// clock. If the expiry or the service clock is not known, it returns now: the
// grant has ended by the time at which the lease is acquired.
func (l *Leaser) grantEnd(old Record, now time.Time) time.Time {
	earliest, _, ok := l.clock()
	if !ok || old.Lapses == 0 {
		return now
	}
	ended := now.Add(time.Duration(old.Lapses-earliest)*time.Millisecond - l.times.Margin)
	if ended.After(now) {
		return now
	}
	return ended
}

// confirmAcquisition reads the rows after an acquisition of unknown outcome, and
// returns their versions if the acquisition took effect.
func (l *Leaser) confirmAcquisition(next Record, cause error) ([]messenger.StoreVersion, error) {
	row, record, err := l.read()
	if err != nil || record != next || row.Epoch != next.Epoch {
		return nil, cause
	}
	fence, err := l.get(leaseTable, fenceKeyOf(next.Epoch))
	if err != nil || fence.Epoch != next.Epoch {
		return nil, cause
	}
	return []messenger.StoreVersion{row.StoreVersion(), fence.StoreVersion()}, nil
}

package leaser

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// errEpochChanged reports that the table service came back from a copy while the lease was written.
var errEpochChanged = errors.New("epoch of the table service has changed")

// ObserveEpoch records that the table service is in an epoch.
func (l *Leaser) ObserveEpoch(epoch int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if epoch <= l.epoch {
		return
	}
	l.epoch = epoch
	if l.isLastHolder() {
		l.nextReadAt = time.Time{}
	}
}

// IsLastHolder reports whether no later holder than this instance is known.
func (l *Leaser) IsLastHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLastHolder()
}

// isWrittenIn reports whether a record was written in the epoch of its row, so that what it says of its holder
// holds. Of a service without epochs it always does.
func isWrittenIn(record Record, row messenger.StoreVersion) bool {
	return row.Epoch == 0 || (row.Number > 0 && record.Epoch == row.Epoch)
}

// isLastHolder is IsLastHolder. The caller holds l.mu.
func (l *Leaser) isLastHolder() bool { return l.grant.Fence > 0 && l.grant.Fence >= l.knownFence }

// hasNoSuccessor reports whether no other instance can have acquired the lease since the last grant of this
// one, if its row is of an earlier epoch: all others wait a TTL, either after that grant or after they have
// seen the row that this instance saw before the TTL was over. The caller holds l.mu.
func (l *Leaser) hasNoSuccessor() bool {
	return l.grant.Fence > 0 && !l.released && l.changeSeenAt.Before(l.grantedAt.Add(l.times.TTL))
}

// earlierEpochsEnd returns from when this instance may acquire a lease whose row is of an earlier epoch. The grants
// of earlier epochs were written before it saw the row, and so was a grant of this epoch that a late write of an
// earlier one has replaced. An instance that was the last holder goes before the others, which would have to
// wait after its grant. The caller holds l.mu.
func (l *Leaser) earlierEpochsEnd() time.Time {
	end := l.changeSeenAt.Add(l.times.TTL)
	if l.isLastHolder() {
		return end
	}
	return end.Add(l.times.Margin)
}

// previousEnd returns when the grant of the previous holder ended, by this instance's clock; zero if there
// was none. It is called before the new grant is computed, while the clock of the table service is that of the
// epoch of the row.
func (l *Leaser) previousEnd(version messenger.StoreVersion, old Record, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	isCurrent := isWrittenIn(old, version)
	switch {
	case version.Number == 0 && l.knownFence == 0:
		return time.Time{} // no holder is known, and the grant of one that was lost has ended
	case isCurrent && l.isOwn(old) && old.Fence == l.grant.Fence, !isCurrent && (l.hasNoSuccessor() || l.isLastHolder()):
		return l.previousEndedAt // it goes on with its own grant
	case isCurrent:
		return l.grantEnd(old, now)
	}
	return earlier(now, l.changeSeenAt.Add(l.times.TTL-l.times.Margin))
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

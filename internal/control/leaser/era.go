package leaser

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// eraShift is the number of bits of a fencing token below the era.
	eraShift = 32
	// maxEra is the highest era that leads a fencing token: tokens are below 2^53, and so read exactly where
	// numbers are floating-point.
	maxEra = 1<<(53-eraShift) - 1
	// firstEra is the era of a table service that has never come back from a copy.
	firstEra = 1
	// refusalShift is the number of bits by which the step to the next token grows with each refusal, and
	// maxRefusalShift that of the longest step.
	refusalShift    = 3
	maxRefusalShift = 24
)

// errEraChanged reports that the table service came back from a copy while the lease was written.
var errEraChanged = errors.New("era of the table service has changed")

// MeetEra records that the table service is in an era.
func (l *Leaser) MeetEra(era int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if era <= l.era {
		return
	}
	l.era = era
	if l.isLastHolder() {
		l.nextReadAt = time.Time{}
	}
}

// NoteFence records a fencing token that another instance knows of.
func (l *Leaser) NoteFence(fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isFenceOf(fence, l.era) {
		l.knownFence = max(l.knownFence, fence)
	}
}

// KnownFence returns the highest fencing token that this instance has heard of.
func (l *Leaser) KnownFence() int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.knownFence
}

// NoteRefused records that a fencing token was refused as outdated. If the row still names this
// instance with that token, it acquires the lease anew with a higher one.
func (l *Leaser) NoteRefused(fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if fence != l.grant.Fence || l.isRefused {
		return
	}
	l.isRefused = true
	l.refusals++
}

// IsLastHolder reports whether no later holder than this instance is known.
func (l *Leaser) IsLastHolder() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.isLastHolder()
}

// isFenceOf reports whether a number may be a fencing token of an era or of an earlier one.
func isFenceOf(fence, era int64) bool { return fence >= 0 && fence>>eraShift <= min(era, maxEra) }

// isWrittenIn reports whether a record was written in the era of its row, so that what it says of its holder
// holds. Of a service without eras it always does.
func isWrittenIn(record Record, row messenger.StoreVersion) bool {
	return row.Era == 0 || (row.Number > 0 && record.Era == row.Era)
}

// isLastHolder is IsLastHolder. The caller holds l.mu.
func (l *Leaser) isLastHolder() bool { return l.grant.Fence > 0 && l.grant.Fence >= l.knownFence }

// isSurelyLast reports whether no other instance can have acquired the lease since the last grant of this
// one, if its row is of an earlier era: all others wait a TTL, either after that grant or after they have
// seen the row that this instance saw before the TTL was over. The caller holds l.mu.
func (l *Leaser) isSurelyLast() bool {
	return l.grant.Fence > 0 && !l.released && l.changeSeenAt.Before(l.grantedAt.Add(l.times.TTL))
}

// earlierErasEnd returns from when this instance may acquire a lease whose row is of an earlier era. The grants
// of earlier eras were written before it saw the row, and so was a grant of this era that a late write of an
// earlier one has replaced. An instance that was the last holder goes before the others, which would have to
// wait after its grant. The caller holds l.mu.
func (l *Leaser) earlierErasEnd() time.Time {
	end := l.changeSeenAt.Add(l.times.TTL)
	if l.isLastHolder() {
		return end
	}
	return end.Add(l.times.Margin)
}

// previousEnd returns when the grant of the previous holder ended, by this instance's clock; zero if there
// was none. It is called before the new grant is computed, while the clock of the table service is that of the
// era of the row.
func (l *Leaser) previousEnd(version messenger.StoreVersion, old Record, now time.Time) time.Time {
	l.mu.Lock()
	defer l.mu.Unlock()
	isCurrent := isWrittenIn(old, version)
	switch {
	case version.Number == 0 && version.Era <= firstEra && l.knownFence == 0:
		return time.Time{}
	case isCurrent && l.isOwn(old) && old.Fence == l.grant.Fence, !isCurrent && l.isLastHolder():
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

// fenceKeyOf returns the key of the fence row of an era. Each era that follows a copy has a row of its own, which a
// late write of an earlier era does not replace, so that no token of the era is given out twice.
func fenceKeyOf(era int64) string {
	if era <= firstEra {
		return fenceKey
	}
	return fenceKey + "-" + strconv.FormatInt(era, 10)
}

// nextFence returns a fencing token above all that are known: those of the lease row and of the fence row,
// either of which another writer may have spoiled, and those of this instance and of its peers.
func (l *Leaser) nextFence(era int64, fenceRow messenger.Row) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last int64
	if json.Unmarshal(fenceRow.Value, &last) != nil || !isFenceOf(last, era) {
		last = 0
	}
	last = max(l.knownFence, last, min(era, maxEra)<<eraShift)
	if next := last + l.refusalStep(); isFenceOf(next, era) {
		return next
	}
	return last + 1
}

// refusalStep returns by how much the next fencing token exceeds all that are known. It grows with each token that
// was refused, so that tokens far above are exceeded soon. The caller holds l.mu.
func (l *Leaser) refusalStep() int64 {
	if !l.isRefused {
		return 1
	}
	return 1 << min((l.refusals-1)*refusalShift, maxRefusalShift)
}

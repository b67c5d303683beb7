package leaser

import (
	"encoding/json"
	"strconv"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// epochShift is the number of bits of a fencing token below the epoch.
	epochShift = 32
	// maxEpoch is the highest epoch that leads a fencing token: tokens are below 2^53, and so read exactly where
	// numbers are floating-point.
	maxEpoch = 1<<(53-epochShift) - 1
	// refusalShift is the number of bits by which the step to the next token grows with each refusal, and
	// maxRefusalShift that of the longest step.
	refusalShift    = 3
	maxRefusalShift = 24
)

// NoteFence records a fencing token that another instance knows of.
func (l *Leaser) NoteFence(fence int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if isFenceOf(fence, l.epoch) {
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

// isFenceOf reports whether a number may be a fencing token of an epoch or of an earlier one.
func isFenceOf(fence, epoch int64) bool {
	return fence >= 0 && fence>>epochShift <= min(epoch, maxEpoch)
}

// fenceKeyOf returns the key of the fence row of an epoch. Each epoch that the service names has a row of its own, which a
// late write of an earlier epoch does not replace, so that no token of the epoch is given out twice.
func fenceKeyOf(epoch int64) string {
	if epoch == 0 {
		return fenceKey
	}
	return fenceKey + "-" + strconv.FormatInt(epoch, 10)
}

// nextFence returns a fencing token above all that are known: those of the lease row and of the fence row,
// either of which another writer may have spoiled, and those of this instance and of its peers.
func (l *Leaser) nextFence(epoch int64, fenceRow messenger.Row) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	var last int64
	if json.Unmarshal(fenceRow.Value, &last) != nil || !isFenceOf(last, epoch) {
		last = 0
	}
	last = max(l.knownFence, last, min(epoch, maxEpoch)<<epochShift)
	if next := last + l.refusalStep(); isFenceOf(next, epoch) {
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

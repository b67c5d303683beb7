package conductor

import (
	"context"
	"sync/atomic"
	"time"
)

// Numbers of the runs of a race.
const (
	firstRun = iota
	secondRun
	runCount
)

// race decides which of two runs of a request answers the caller.
type race struct {
	now      func() time.Time
	contexts [runCount]context.Context
	cancels  [runCount]context.CancelFunc
	// winner is the number of the run that answers, plus 1; 0 while there is none.
	winner atomic.Int32
	// isFirstEnded reports that the first run has ended.
	isFirstEnded atomic.Bool
	// isSecondRunning reports that the second run was sent and has not ended.
	isSecondRunning atomic.Bool
	claimedAt       atomic.Pointer[time.Time]
}

func newRace(ctx context.Context, now func() time.Time) *race {
	out := &race{now: now}
	for i := range out.contexts {
		out.contexts[i], out.cancels[i] = context.WithCancel(ctx)
	}
	return out
}

// claim reports whether a run answers the caller, which is true for the first one that claims
// it. The connection of the other run is closed.
func (r *race) claim(run int) bool {
	if !r.winner.CompareAndSwap(0, int32(run)+1) {
		return r.isWonBy(run)
	}
	now := r.now()
	r.claimedAt.Store(&now)
	r.cancels[runCount-1-run]()
	return true
}

func (r *race) isWonBy(run int) bool { return r.winner.Load() == int32(run)+1 }

// isOpen reports whether a second run can still win.
func (r *race) isOpen() bool { return r.winner.Load() == 0 && !r.isFirstEnded.Load() }

func (r *race) endFirst() { r.isFirstEnded.Store(true) }

func (r *race) cancelAll() {
	for _, cancel := range r.cancels {
		cancel()
	}
}

// claim reports whether this run answers the caller. It must be called before anything is
// written to the caller.
func (r *reply) claim() bool { return r.race == nil || r.race.claim(r.number) }

// canOtherWin reports whether the other run may still answer the caller.
func (r *reply) canOtherWin() bool {
	switch {
	case r.race == nil:
		return false
	case r.number == firstRun:
		return r.race.isSecondRunning.Load()
	default:
		return !r.race.isFirstEnded.Load()
	}
}

// isBeaten reports whether the other run answers the caller.
func (r *reply) isBeaten() bool {
	return r.race != nil && r.race.isWonBy(runCount-1-r.number)
}

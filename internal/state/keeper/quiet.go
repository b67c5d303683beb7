package keeper

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/state/pacer"
)

// pace holds back the requests of this instance to one incarnation of a target that has asked
// for quiet. Its successors of the same ID begin without.
type pace struct {
	incarnation LeavingMark

	mu    sync.Mutex
	pacer pacer.Pacer
}

// AskQuiet records that a target wants no requests of this instance until a deadline, and
// returns for how long it gets none; random spreads the return of the instances. It returns
// false if t is not the incarnation that is known now.
func (f *Fleet) AskQuiet(t *Target, now, until time.Time, random uint64) (quiet time.Duration, ok bool) {
	known := f.View().Targets[t.ID]
	if known == nil || known.OwnMark() != t.OwnMark() {
		return 0, false
	}
	p := t.newPace()
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.pacer.AskQuiet(now, until.Sub(now), random), true
}

// QuietUntil returns until when the target takes no request of this instance, and whether
// it takes none now. The time is now if it depends on the end of other requests.
func (t *Target) QuietUntil(now time.Time) (until time.Time, isQuiet bool) {
	p := t.ownPace()
	if p == nil {
		return time.Time{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	return now.Add(p.pacer.QuietFor(now)), p.isBlocked(now)
}

// IsQuiet reports whether the target has asked for quiet and the time has not passed.
func (t *Target) IsQuiet(now time.Time) bool {
	until, _ := t.QuietUntil(now)
	return until.After(now)
}

// BeginRequest reports whether the target takes a request now. If isReturn is set, the
// target has just begun to take requests again, and EndReturn must be called at the end.
func (t *Target) BeginRequest(now time.Time) (isReturn, ok bool) {
	p := t.ownPace()
	if p == nil {
		return false, true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.isBlocked(now) {
		return false, false
	}
	return p.pacer.BeginReturn(), true
}

// AllowMoreReturns raises the number of requests that may be in flight, after an answer to a
// request for which BeginRequest has set isReturn.
func (t *Target) AllowMoreReturns() {
	if p := t.ownPace(); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pacer.AllowMoreReturns()
	}
}

// EndReturn ends the count of a request for which BeginRequest has set isReturn.
func (t *Target) EndReturn() {
	if p := t.ownPace(); p != nil {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.pacer.EndReturn()
	}
}

// isBlocked reports whether the target takes no request now. The lock must be held.
func (p *pace) isBlocked(now time.Time) bool {
	return p.pacer.QuietFor(now) > 0 || p.pacer.IsReturnBlocked()
}

// ownPace returns the pace of this incarnation, or nil if it has not asked for quiet.
func (t *Target) ownPace() *pace {
	p := t.Counter.pace.Load()
	if p == nil || p.incarnation != t.OwnMark() {
		return nil
	}
	return p
}

// newPace returns the pace of this incarnation, which replaces that of an earlier one.
func (t *Target) newPace() *pace {
	for {
		known := t.Counter.pace.Load()
		if known != nil && known.incarnation == t.OwnMark() {
			return known
		}
		added := &pace{incarnation: t.OwnMark()}
		if t.Counter.pace.CompareAndSwap(known, added) {
			return added
		}
	}
}

package balancer

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/state/pacer"
)

const (
	// leavingCost is added to the cost of a target that has announced that it leaves, so that
	// any other target that takes a request is chosen before it.
	leavingCost = 1000.0
	// noticeTTL is how long after its deadlines what a target has announced is kept: its entry
	// can be missing from the target table for a while although it goes on.
	noticeTTL = time.Minute
	// shareTime is how long after its deadline peers are still told of a leave: by then a target
	// has ended, or each instance has its own answers of it.
	shareTime = 5 * time.Second
)

// notice is what an incarnation of a target has announced in its answers. The zero value
// means that it has announced nothing.
type notice struct {
	// start is the StartMilliseconds of the incarnation.
	start int64
	// leavesAt is when requests are no longer sent there; zero if the target does not leave.
	leavesAt time.Time
	// pace holds back requests of this instance if the target has asked for quiet.
	pace pacer.Pacer
}

// noticeOf returns what an incarnation of a target has announced. The lock must be held.
func (l *localLoad) noticeOf(t *registrar.Target) notice {
	if l.notice.start != t.StartMilliseconds {
		return notice{}
	}
	return l.notice
}

// noticeOf returns what a target has announced. The lock must be held.
func (b *Balancer) noticeOf(t *registrar.Target) notice {
	l := b.loads[t.ID]
	if l == nil {
		return notice{}
	}
	return l.noticeOf(t)
}

// changeNotice returns the notice of an incarnation of a target, to be changed. The notice of an
// earlier incarnation than the one that is known is not kept.
func (l *localLoad) changeNotice(t *registrar.Target) *notice {
	if t.StartMilliseconds < l.notice.start {
		return &notice{start: t.StartMilliseconds}
	}
	if l.notice.start != t.StartMilliseconds {
		l.notice = notice{start: t.StartMilliseconds}
	}
	return &l.notice
}

func (n notice) isLeaving() bool { return !n.leavesAt.IsZero() }

func (n notice) hasLeft(now time.Time) bool { return n.isLeaving() && !now.Before(n.leavesAt) }

// isLeaveShared reports whether peers are told that the target leaves.
func (n notice) isLeaveShared(now time.Time) bool {
	return n.isLeaving() && now.Before(n.leavesAt.Add(shareTime))
}

// isCurrent reports whether the notice may still matter.
func (n notice) isCurrent(now time.Time) bool {
	return now.Before(n.leavesAt.Add(noticeTTL)) || now.Before(n.pace.QuietUntil().Add(noticeTTL))
}

// AnnounceLeave records that a target has announced in an answer that it leaves and takes
// requests until a deadline. It reports whether that was not known. The earliest deadline
// counts. Peers learn it with the next change of the load of the target.
func (b *Balancer) AnnounceLeave(t *registrar.Target, leavesAt time.Time) (isNew bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.localLoad(t.ID).changeNotice(t)
	isNew = !n.isLeaving()
	if isNew || leavesAt.Before(n.leavesAt) {
		n.leavesAt = leavesAt
	}
	return isNew
}

// LeaveDeadline returns until when requests are sent to a target that has announced that it
// leaves, and which incarnation has; false if it has not, or so long ago that peers need not
// be told.
func (b *Balancer) LeaveDeadline(id string) (start int64, deadline time.Time, ok bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	if l == nil || !l.notice.isLeaveShared(b.now()) {
		return 0, time.Time{}, false
	}
	return l.notice.start, l.notice.leavesAt, true
}

// IsLeaving reports whether a target has announced in an answer that it leaves.
func (b *Balancer) IsLeaving(t *registrar.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.noticeOf(t).isLeaving()
}

// HasLeft reports whether a target has announced in an answer that it leaves, and takes no requests
// any more.
func (b *Balancer) HasLeft(t *registrar.Target) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.noticeOf(t).hasLeft(b.now())
}

// AskQuiet records that a target wants no requests of this instance for a time, and returns
// for how long it gets none. It gets a few at first then.
func (b *Balancer) AskQuiet(t *registrar.Target, delay time.Duration) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.localLoad(t.ID).changeNotice(t).pace.AskQuiet(b.now(), delay, b.random())
}

// QuietFor returns for how long a target wants no requests of this instance; 0 if it takes
// them.
func (b *Balancer) QuietFor(t *registrar.Target) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	n := b.noticeOf(t)
	return n.pace.QuietFor(b.now())
}

// countReturn counts a request to a target that has just begun to take requests again. The
// lock must be held.
func (t *Ticket) countReturn(l *localLoad) {
	if l.notice.start == t.Target.StartMilliseconds {
		t.isReturn = l.notice.pace.BeginReturn()
	}
}

// isCounted reports whether the notice counts the ticket as a return. The lock must be held.
func (t *Ticket) isCounted(l *localLoad) bool {
	return t.isReturn && l.notice.start == t.Target.StartMilliseconds
}

// endReturn ends the count of such a request. The lock must be held.
func (t *Ticket) endReturn(l *localLoad) {
	if t.isCounted(l) {
		l.notice.pace.EndReturn()
	}
}

// allowMoreReturns raises the bound after an answer to such a request. The lock must be held.
func (t *Ticket) allowMoreReturns(l *localLoad) {
	if t.isCounted(l) {
		l.notice.pace.AllowMoreReturns()
	}
}

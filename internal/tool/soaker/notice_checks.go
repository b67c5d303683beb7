package soaker

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// quietNoticeTime is how long an instance has to act on a refusal that asks for quiet.
	quietNoticeTime = 500 * time.Millisecond
	// maxQuietRequests is how many requests an instance may still send after that.
	maxQuietRequests = 2
)

// noticeKey identifies what an instance was told by a target.
type noticeKey struct{ instance, target string }

// quietNotice is a time of quiet that a target has named to an instance.
type quietNotice struct {
	at    time.Time
	until time.Time
	// requests is the number of requests after quietNoticeTime.
	requests int
}

// InstanceDisturbed records that an instance was stopped, started or paused, and so may not
// know what targets have told it.
func (c *Checker) InstanceDisturbed(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	isOfInstance := func(key noticeKey) bool { return key.instance == instance }
	maps.DeleteFunc(c.leaveSeenAt, func(key noticeKey, _ time.Time) bool { return isOfInstance(key) })
	maps.DeleteFunc(c.quiet, func(key noticeKey, _ *quietNotice) bool { return isOfInstance(key) })
	c.disturbedAt[instance] = c.now()
	c.forgetRestore(instance)
}

// TurnedAway records and checks a request that a target turned away because it wants none.
func (c *Checker) TurnedAway(away simulator.TurnedAway) {
	c.mu.Lock()
	defer c.mu.Unlock()
	s := c.sentRequest[away.Request]
	if s == nil {
		return // an order, or a question for the state
	}
	key := noticeKey{s.instance, away.Target}
	notice := c.quiet[key]
	isCalm := c.links.isCalm(away.Target, away.At, away.At)
	switch {
	case notice == nil || !away.At.Before(notice.until) || !isCalm:
		c.quiet[key] = &quietNotice{at: away.At, until: away.Until}
	case away.At.Sub(notice.at) > quietNoticeTime:
		notice.requests++
		if notice.requests > maxQuietRequests {
			c.add(TooSoon, "%s sent %s to %s, which had asked for quiet until %v later", s.instance, away.Request, away.Target, away.Until.Sub(away.At))
		}
	}
}

// checkLeave checks a run against the leave of its target that the instance has passed on. The
// lock must be held.
func (c *Checker) checkLeave(s *sentRequest, run simulator.Run) {
	at, ok := c.leaveSeenAt[noticeKey{s.instance, run.Target}]
	if ok && s.sentAt.After(at.Add(leaveTimeout)) {
		c.add(AfterLeave, "%s received %s, sent to %s %v after that had passed on that it leaves", run.Target, run.Request, s.instance, s.sentAt.Sub(at))
	}
}

// noteLeave records an answer that says that its target leaves: the one whose stamp it bears,
// since a stream that goes on at another target keeps the head of the first. What an earlier
// incarnation of the target has announced says nothing of this one. The lock must be held.
func (c *Checker) noteLeave(s *sentRequest, a simulator.Answer) {
	target, _, ok := strings.Cut(a.Stamp, ".")
	if !a.IsLeaving || !ok || !s.ranSince(target, c.returnedAt[target]) {
		return
	}
	key := noticeKey{s.instance, target}
	if _, ok := c.leaveSeenAt[key]; !ok {
		c.leaveSeenAt[key] = c.now()
	}
}

// ranSince reports whether a run of the request at a target began after a time.
func (s *sentRequest) ranSince(target string, since time.Time) bool {
	return slices.ContainsFunc(s.runs, func(run simulator.Run) bool { return run.Target == target && run.Began.After(since) })
}

// forgetNotices drops what a target has told to instances, at the start of a new incarnation.
// The lock must be held.
func (c *Checker) forgetNotices(target string) {
	maps.DeleteFunc(c.leaveSeenAt, func(key noticeKey, _ time.Time) bool { return key.target == target })
	maps.DeleteFunc(c.quiet, func(key noticeKey, _ *quietNotice) bool { return key.target == target })
}

package quarantiner_test

import (
	"slices"
	"strconv"
	"time"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// simRun is a run of a content at a target.
type simRun struct {
	content  *simContent
	instance *simInstance
	target   *simTarget
	place    quarantiner.Place
	isTrial  bool
	hasBegun bool
	ended    func(isLost bool)
}

// simTarget is a target that serves runs until it ends.
type simTarget struct {
	name        string
	incarnation int
	isUp        bool
	runs        []*simRun
}

// simEnd is the end of a target under some contents.
type simEnd struct {
	at       time.Time
	contents []*simContent
}

// begin begins a run, which ends by itself unless its target ends before.
func (s *simulation) begin(run *simRun) {
	if !run.target.isUp || strconv.Itoa(run.target.incarnation) != run.place.Incarnation {
		s.After(simHop, func() { run.ended(false) }) // refused connection: not run
		return
	}
	run.target.runs = append(run.target.runs, run)
	c := run.content
	if !run.isTrial && run.instance.knowsPeers && s.isInTouch(run.instance) && s.mustBeKnown(c) {
		c.lateRuns++
	}
	bad := c.badPart()
	if bad != nil {
		bad.runs = append(bad.runs, s.Now())
	}
	s.After(s.between(20*time.Millisecond, 100*time.Millisecond), func() {
		switch {
		case !slices.Contains(run.target.runs, run):
		case c.endsTargets || (bad != nil && !bad.isMidway):
			s.endByRun(run)
		case len(c.parts) > 0:
			run.hasBegun = true
			s.After(s.between(200*time.Millisecond, 1500*time.Millisecond), func() { s.finish(run, bad != nil) })
		default:
			s.finish(run, false)
		}
	})
}

// finish ends a run whole, or its target, unless the target has ended before.
func (s *simulation) finish(run *simRun, endsTarget bool) {
	at := slices.Index(run.target.runs, run)
	switch {
	case at < 0:
	case endsTarget:
		s.endByRun(run)
	default:
		run.target.runs = slices.Delete(run.target.runs, at, at+1)
		run.content.answered++
		run.ended(false)
	}
}

// endByRun ends the target of a run by its content.
func (s *simulation) endByRun(run *simRun) {
	c := run.content
	c.targetsLost++
	if bad := c.badPart(); bad != nil {
		bad.ends = append(bad.ends, s.Now())
	}
	if run.isTrial {
		c.trialsLost++
	} else {
		s.noteEnd(run.target)
	}
	if !run.isBesideOther() {
		c.clearEnds++
	}
	if c.clearEnds == 2 && c.secondEndAt.IsZero() {
		c.secondEndAt = s.Now()
	}
	s.endTarget(run.target, c)
}

// isBesideOther reports whether another run on the target of a run is a trial, or may have ended
// the target as well: the end is then held against that one.
func (r *simRun) isBesideOther() bool {
	return slices.ContainsFunc(r.target.runs, func(other *simRun) bool {
		return other.content != r.content && (other.isTrial || other.content.endsTargets)
	})
}

// endTarget ends a target with all runs there; another incarnation starts later. cause is nil
// if no run has ended it.
func (s *simulation) endTarget(target *simTarget, cause *simContent) {
	lost := target.runs
	target.runs, target.isUp = nil, false
	for _, run := range lost {
		if run.isTrial && run.content != cause {
			s.noteEndedTrial(run.content)
		}
		s.After(s.between(simHop/2, simHop), func() { run.ended(true) })
	}
	s.After(s.between(300*time.Millisecond, 2*time.Second), func() {
		target.incarnation++
		target.isUp = true
	})
}

// kill ends targets from outside, all at nearly the same time.
func (s *simulation) kill(targets []*simTarget) {
	for _, target := range targets {
		s.After(s.between(0, 50*time.Millisecond), func() {
			if !target.isUp {
				return
			}
			s.noteEnd(target)
			s.endTarget(target, nil)
		})
	}
}

// noteEnd records the end of a target.
func (s *simulation) noteEnd(target *simTarget) {
	end := simEnd{at: s.Now()}
	for _, run := range target.runs {
		end.contents = append(end.contents, run.content)
	}
	if len(end.contents) > 0 {
		s.ends = append(s.ends, end)
	}
}

// noteEndedTrial records that something else ends a trial, and whether it ends nothing else.
func (s *simulation) noteEndedTrial(c *simContent) {
	c.endedTrials++
	at := s.Now()
	s.After(simDoubt, func() {
		near := 0
		for _, end := range s.ends {
			if end.at.Sub(at).Abs() < simDoubt-10*simHop && !slices.Contains(end.contents, c) {
				near++
			}
		}
		if near == 0 {
			c.endedAlone++
		}
	})
}

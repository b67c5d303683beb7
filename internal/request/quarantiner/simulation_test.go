package quarantiner_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/scheduler"
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

// simPart is a part of prompts.
type simPart struct {
	name string
	// endsTargets is set if it ends the targets that begin to answer a request with it, or are in the
	// middle of the answer if isMidway is set, too.
	endsTargets, isMidway bool
	// ends holds when targets ended under it, and runs when runs of requests with it began.
	ends, runs []time.Time
	// convictedAt is when a request was first refused for good for it.
	convictedAt time.Time
}

// simContent is the content of requests that a caller sends again and again.
type simContent struct {
	fingerprint quarantiner.Fingerprint
	parts       []*simPart
	endsTargets bool
	// keptBack counts its sends that waited for a permit, or were refused.
	keptBack    int
	sentAt      time.Time
	targetsLost int
	trialsLost  int
	// clearEnds counts the targets that nothing else can have ended, secondEndAt is when the second
	// of them did, and lateRuns the number of its runs that began without a permit although all
	// instances had to know that.
	clearEnds      int
	secondEndAt    time.Time
	lateRuns       int
	sends          int
	answered       int
	refusedForGood int
	// endedTrials counts its trials that something else ended, and endedAlone those at whose time no
	// other target ended.
	endedTrials, endedAlone int
}

// simInstance is an instance with its real quarantiner.
type simInstance struct {
	number int
	isUp   bool
	q      *quarantiner.Quarantiner
	// starts counts its incarnations.
	starts int
	// isCut is set while it reaches no other instance, and healedAt is when it last did again.
	isCut    bool
	healedAt time.Time
	// knowsPeers is set once it has read the verdicts of a peer, or if it was there from the start.
	knowsPeers bool
	// reports holds what it has to tell examiners.
	reports []*simReport
}

type simReport struct {
	at       time.Time
	place    quarantiner.Place
	losses   []quarantiner.Loss
	informed map[[2]int]bool // by instance and incarnation
}

// simEnd is the end of a target under some contents.
type simEnd struct {
	at       time.Time
	contents []*simContent
}

// simulation plays callers, instances and targets in virtual time. The decisions are those of
// the real quarantiner; messages take time and can be lost.
type simulation struct {
	*scheduler.Scheduler
	t         *testing.T
	random    *rand.Rand
	until     time.Time
	instances []*simInstance
	targets   []*simTarget
	contents  []*simContent
	// lossShare is the share of verdicts that are lost on their way to a peer.
	lossShare float64
	// ends holds the ends of targets on which something ran, except by a trial of what ends targets.
	ends []simEnd
	// spreadTime is how long all instances may take to know of a suspect.
	spreadTime time.Duration
	// takeovers counts how often the examiner ended or an instance was cut off, and takenOverAt is when
	// one last was or came back.
	takeovers   int
	takenOverAt time.Time
}

const (
	simDoubt     = 500 * time.Millisecond
	simHop       = 2 * time.Millisecond
	simWait      = 50 * time.Millisecond
	simMaxWaits  = 10
	simMaxTrial  = 2 * time.Second
	simAttempts  = 2
	simHeartbeat = 250 * time.Millisecond
	// simStart is how long an instance that starts has heard from no peer.
	simStart = 100 * time.Millisecond
	// simFresh is how long a report is one that something follows from.
	simFresh = 2 * time.Second
)

func newSimulation(t *testing.T, seed uint64, instances, targets int) *simulation {
	s := &simulation{t: t, random: rand.New(rand.NewPCG(seed, 7)), Scheduler: scheduler.New(start), until: start.Add(20 * time.Second), spreadTime: 6 * simHop}
	for n := range instances {
		i := &simInstance{number: n}
		s.startInstance(i)
		i.knowsPeers = true
		s.instances = append(s.instances, i)
	}
	for n := range targets {
		s.targets = append(s.targets, &simTarget{name: fmt.Sprintf("t%d", n), isUp: true})
	}
	s.Every(simHeartbeat, s.exchange)
	return s
}

// traits returns the traits of requests with a content.
func (c *simContent) traits() []quarantiner.Trait {
	out := []quarantiner.Trait{quarantiner.ContentTrait(c.fingerprint)}
	for _, part := range c.parts {
		out = append(out, quarantiner.PartTrait("chat", part.name))
	}
	return out
}

// badPart returns the part of a content that ends targets, or nil.
func (c *simContent) badPart() *simPart {
	for _, part := range c.parts {
		if part.endsTargets {
			return part
		}
	}
	return nil
}

func (r *simReport) traits() []quarantiner.Trait {
	out := []quarantiner.Trait{}
	for _, l := range r.losses {
		out = append(out, l.Trait)
	}
	return out
}

// merge adds verdicts to what an instance knows, which objects to those that its answers refute.
func (s *simulation) merge(i *simInstance, verdicts []quarantiner.Verdict) {
	for _, objection := range i.q.Objections(s.Now(), i.q.MergeShared(s.Now(), verdicts)) {
		s.tellAnswer(i, []quarantiner.Trait{objection.Trait}, objection.At)
	}
}

// tellAnswer tells the examiner that a request with some traits was answered whole at a time.
func (s *simulation) tellAnswer(from *simInstance, traits []quarantiner.Trait, at time.Time) {
	examiner := s.examiners(from)[0]
	s.After(simHop, func() {
		if examiner.isUp {
			examiner.q.NoteAnswer(s.Now(), traits, at)
			s.spread(examiner)
		}
	})
}

func (s *simulation) startInstance(i *simInstance) {
	i.isUp = true
	i.starts++
	i.q = quarantiner.New(fmt.Sprintf("i%d", i.number), quarantiner.WithTrials())
	i.reports, i.knowsPeers = nil, false
	starts := i.starts
	s.After(simStart, func() {
		peers := slices.DeleteFunc(slices.Clone(s.instances), func(p *simInstance) bool { return p == i || !p.isUp })
		if i.starts == starts && len(peers) > 0 {
			s.merge(i, peers[s.random.IntN(len(peers))].q.Shared(s.Now()))
			i.knowsPeers = true
		}
	})
}

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

func (s *simulation) play() {
	for s.Now().Before(s.until) && s.Step() {
	}
}

// examiners returns the instances that examine as an instance sees it, the examiner first.
func (s *simulation) examiners(of *simInstance) []*simInstance {
	out := []*simInstance{}
	for _, i := range s.instances {
		if i.isUp && reaches(of, i) && len(out) < 2 {
			out = append(out, i)
		}
	}
	return out
}

// reaches reports whether a message of an instance reaches another one.
func reaches(from, to *simInstance) bool { return from == to || !from.isCut && !to.isCut }

// spread tells all instances the verdicts that an examiner has reached.
func (s *simulation) spread(from *simInstance) {
	changes := from.q.Changes(s.Now())
	if len(changes) == 0 {
		return
	}
	for _, to := range s.instances {
		if to == from || !reaches(from, to) || s.random.Float64() < s.lossShare {
			continue
		}
		s.After(s.between(simHop, 2*simHop), func() {
			if to.isUp {
				s.merge(to, changes)
			}
		})
	}
}

// exchange makes each instance compare its verdicts with those of its peers, and pass its reports
// on to new examiners.
func (s *simulation) exchange() {
	for _, i := range s.instances {
		if !i.isUp {
			continue
		}
		for _, peer := range s.instances {
			if peer.isUp && reaches(i, peer) && i.q.Digest(s.Now()) != peer.q.Digest(s.Now()) {
				s.merge(i, peer.q.Shared(s.Now()))
			}
		}
		for _, r := range i.reports {
			s.tell(i, r)
		}
	}
}

// tell passes a report on to the examiners that have not received it.
func (s *simulation) tell(from *simInstance, r *simReport) {
	for n, e := range s.examiners(from) {
		key := [2]int{e.number, e.starts}
		if r.informed[key] {
			continue
		}
		r.informed[key] = true
		if n > 0 || s.Now().Sub(r.at) > simFresh {
			e.q.KeepCrash(s.Now(), r.place, r.losses)
			continue
		}
		traits := r.traits()
		s.merge(e, from.q.VerdictsOn(s.Now(), traits))
		e.q.ReportCrash(s.Now(), r.place, r.losses)
		s.merge(from, e.q.VerdictsOn(s.Now(), traits))
		s.spread(e)
	}
}

// send sends a content once; done is called with the result of the send.
func (s *simulation) send(c *simContent, done func(isAnswered bool)) {
	live := slices.DeleteFunc(slices.Clone(s.instances), func(i *simInstance) bool { return !i.isUp })
	if len(live) == 0 {
		s.After(simWait, func() { done(false) })
		return
	}
	c.sends++
	s.attempt(c, live[s.random.IntN(len(live))], 0, 0, done)
}

func (s *simulation) attempt(c *simContent, i *simInstance, attempts, waits int, done func(isAnswered bool)) {
	up := slices.DeleteFunc(slices.Clone(s.targets), func(t *simTarget) bool { return !t.isUp })
	if !i.isUp || attempts >= simAttempts || waits > simMaxWaits || len(up) == 0 {
		s.After(simHop, func() { done(false) })
		return
	}
	target := up[s.random.IntN(len(up))]
	place := quarantiner.Place{Target: target.name, Incarnation: strconv.Itoa(target.incarnation)}
	traits := c.traits()
	if attempts == 0 && waits == 0 {
		i.q.CountRequest()
		for _, t := range traits[1:] {
			i.q.CountBearer(t)
		}
	}
	isSuspect, err := i.q.CheckAll(s.Now(), traits)
	if waits == 0 && (isSuspect || err != nil) {
		c.keptBack++
	}
	if errors.Is(err, quarantiner.ErrWait) {
		s.After(simWait, func() { s.attempt(c, i, attempts, waits+1, done) })
		return
	}
	if err != nil {
		c.refusedForGood++
		s.noteRefusal(c)
		s.After(simHop, func() { done(false) })
		return
	}
	run := &simRun{content: c, instance: i, target: target, place: place}
	run.ended = func(isLost bool) { s.onRunEnd(run, isLost, attempts, done) }
	if !isSuspect {
		s.begin(run)
		return
	}
	examiner := s.examiners(i)[0]
	starts := examiner.starts
	known := i.q.VerdictsOn(s.Now(), traits)
	s.After(simHop, func() { // the question reaches the examiner
		if examiner.isUp {
			s.merge(examiner, known)
		}
		isTrial, _ := examiner.q.CheckAll(s.Now(), traits)
		isPermitted := examiner.isUp && examiner.starts == starts &&
			examiner.q.BeginTrial(s.Now(), traits, place, s.Now().Add(simMaxTrial)) == nil
		var verdicts []quarantiner.Verdict
		if examiner.isUp {
			verdicts = examiner.q.VerdictsOn(s.Now(), traits)
		}
		s.After(simHop, func() { // the answer
			s.merge(i, verdicts)
			if !isPermitted {
				s.After(simWait, func() { s.attempt(c, i, attempts, waits+1, done) })
				return
			}
			run.isTrial = isTrial
			s.begin(run)
		})
	})
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

// noteRefusal records that requests with a part that ends targets are refused for good.
func (s *simulation) noteRefusal(c *simContent) {
	if bad := c.badPart(); bad != nil && bad.convictedAt.IsZero() {
		bad.convictedAt = s.Now()
	}
}

// isInTouch reports whether an instance must know what the others know.
func (s *simulation) isInTouch(i *simInstance) bool {
	return !i.isCut && s.Now().Sub(i.healedAt) > 2*simHeartbeat
}

// mustBeKnown reports whether all instances must know that a content is a suspect.
func (s *simulation) mustBeKnown(c *simContent) bool {
	isSettled := s.takeovers == 0 || s.Now().Sub(s.takenOverAt) > 2*simHeartbeat
	return !c.secondEndAt.IsZero() && s.Now().Sub(c.secondEndAt) > s.spreadTime && isSettled
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

// onRunEnd is what an instance does at the end of a run.
func (s *simulation) onRunEnd(run *simRun, isLost bool, attempts int, done func(isAnswered bool)) {
	c, i := run.content, run.instance
	if !i.isUp {
		done(false)
		return
	}
	isAnswered := !isLost && c.answered > 0 && !c.endsTargets && c.badPart() == nil
	if isLost {
		report := &simReport{at: s.Now(), place: run.place, losses: i.q.Losses(s.Now(), c.traits(), run.hasBegun), informed: map[[2]int]bool{}}
		i.reports = append(i.reports, report)
		s.After(simHop, func() {
			if i.isUp {
				s.tell(i, report)
			}
		})
		s.After(4*simHop, func() { s.attempt(c, i, attempts+1, 0, done) })
		return
	}
	traits := c.traits()
	if isAnswered {
		for _, t := range traits[1:] {
			i.q.RememberAnswer(s.Now(), t)
		}
	}
	examiner := s.examiners(i)[0]
	if run.isTrial {
		s.After(simHop, func() {
			if examiner.isUp {
				examiner.q.EndTrial(s.Now(), traits, run.place)
			}
		})
	}
	if isAnswered && (run.isTrial || attempts > 0 || i.q.IsAnyHeld(s.Now(), traits)) {
		s.tellAnswer(i, traits, s.Now())
	}
	done(isAnswered)
}

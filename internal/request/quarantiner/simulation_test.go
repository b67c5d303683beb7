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

func (s *simulation) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Float64()*float64(high-low))
}

func (s *simulation) play() {
	for s.Now().Before(s.until) && s.Step() {
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

// noteRefusal records that requests with a part that ends targets are refused for good.
func (s *simulation) noteRefusal(c *simContent) {
	if bad := c.badPart(); bad != nil && bad.convictedAt.IsZero() {
		bad.convictedAt = s.Now()
	}
}

// mustBeKnown reports whether all instances must know that a content is a suspect.
func (s *simulation) mustBeKnown(c *simContent) bool {
	isSettled := s.takeovers == 0 || s.Now().Sub(s.takenOverAt) > 2*simHeartbeat
	return !c.secondEndAt.IsZero() && s.Now().Sub(c.secondEndAt) > s.spreadTime && isSettled
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

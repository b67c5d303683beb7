package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

// fault is a kind of disturbance from outside. begin starts it and returns a description
// of what it affects and a function that ends it, nil if it needs no end.
type fault struct {
	name string
	// keepsTimeBounds reports that guarantees with a time bound still hold during the fault.
	keepsTimeBounds bool
	// notesItself reports that begin records when time bounds do not hold.
	notesItself bool
	begin       func(s *soak, random *rand.Rand) (what string, end func())
}

// pick returns a random element of a list.
func pick[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// faults lists all kinds; drawFault chooses among them with equal probability. The order
// matters for what a seed draws.
var faults = []fault{
	{name: "instance killed", begin: func(s *soak, random *rand.Rand) (string, func()) {
		p := pick(random, s.processes)
		s.kill(p)
		return p.name, func() { s.restart(p) }
	}},
	{name: "instance stopped", begin: func(s *soak, random *rand.Rand) (string, func()) {
		p := pick(random, s.processes)
		s.checker.InstanceEnds(p.name)
		go func() {
			p.stop(syscall.SIGTERM, stopTimeout)
			s.restart(p)
		}()
		return p.name, nil
	}},
	{name: "instance paused", begin: func(s *soak, random *rand.Rand) (string, func()) {
		p := pick(random, s.processes)
		p.signal(syscall.SIGSTOP)
		s.checker.InstanceDisturbed(p.name)
		return p.name, func() {
			s.checker.InstanceDisturbed(p.name)
			p.signal(syscall.SIGCONT)
		}
	}},
	{name: "instance reloads settings", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		p := pick(random, s.processes)
		p.signal(syscall.SIGHUP)
		return p.name, nil
	}},
	{name: "all instances killed", begin: func(s *soak, _ *rand.Rand) (string, func()) {
		s.killAll()
		return "all", s.restartAll
	}},
	{name: "link to the store disturbed", begin: func(s *soak, random *rand.Rand) (string, func()) {
		n := random.IntN(len(s.ways))
		link := pick(random, []Link{{StallForward: true, StallBackward: true}, {StallForward: true}, {StallBackward: true}, {Refuse: true}, {Delay: 300 * time.Millisecond}})
		s.ways[n].SetLink(link)
		return fmt.Sprintf("of %s %+v", s.processes[n].name, link), func() { s.ways[n].SetLink(Link{}) }
	}},
	{name: "connections to the store reset", begin: func(s *soak, random *rand.Rand) (string, func()) {
		n := random.IntN(len(s.ways))
		s.ways[n].Reset()
		return s.processes[n].name, nil
	}},
	{name: "store disturbed", begin: func(s *soak, random *rand.Rand) (string, func()) {
		f := pick(random, []simulator.Fault{
			{Status: http.StatusServiceUnavailable},
			{Status: http.StatusTooManyRequests},
			{Silent: true},
			{Reset: true},
			{Delay: 400 * time.Millisecond},
			{Lost: 0.5},
		})
		s.store.SetFault(f)
		return fmt.Sprintf("%+v", f), func() { s.store.SetFault(simulator.Fault{}) }
	}},
	{name: "store drops history", begin: func(s *soak, _ *rand.Rand) (string, func()) {
		s.store.DropHistory()
		return "all changes so far", nil
	}},
	{name: "target crashes", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		endDisturbance := s.checker.TargetDisturbed(t.target.ID)
		t.target.Crash()
		if random.IntN(2) == 0 {
			t.target.Heartbeat() // removes its entry at once
		}
		return t.target.ID, func() {
			s.restartTarget(t)
			endDisturbance()
		}
	}},
	{name: "target leaves", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		mark := s.lastDisturbance()
		t.target.Drain()
		if s.isUndisturbedSince(mark) && t.target.State() == "draining" {
			s.checker.TargetLeft(t.target.ID)
		}
		return t.target.ID, func() { s.replaceTarget(t) }
	}},
	{name: "target misbehaves", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		ways := pick(random, []simulator.TargetFault{
			{Fail: 0.5}, {Cut: 0.4}, {Lose: 0.4}, {Extra: 0.5}, {Late: 0.6, LateBy: 3 * time.Second}, {Dark: true},
		})
		endDisturbance := s.checker.TargetDisturbed(t.target.ID)
		t.target.SetTargetFault(ways)
		return fmt.Sprintf("%s %+v", t.target.ID, ways), func() {
			t.target.SetTargetFault(simulator.TargetFault{})
			endDisturbance()
		}
	}},
	{name: "link to a target disturbed", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		link := pick(random, []Link{{StallForward: true, StallBackward: true}, {StallForward: true}, {StallBackward: true}, {Refuse: true}, {Delay: 100 * time.Millisecond}})
		// Bytes that a stall holds back, a cancellation for example, reach the target late or
		// not at all.
		s.checker.Disturbed()
		endDisturbance := s.checker.LinkDisturbed(t.target.ID)
		t.target.RestartCount(stabilizationTime)
		t.proxy.SetLink(link)
		return fmt.Sprintf("%s %+v", t.target.ID, link), func() {
			t.proxy.SetLink(Link{})
			endDisturbance()
			t.target.RestartCount(stabilizationTime) // instances had no answers that name the limit
		}
	}},
	{name: "connections to a target reset", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		endDisturbance := s.checker.LinkDisturbed(t.target.ID)
		t.proxy.Reset()
		endDisturbance()
		return t.target.ID, nil
	}},
	{name: "target changes its limit", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		perSecond := pick(random, []float64{0, 0.5, 1, 2, 5, 20})
		if perSecond == 0 {
			t.target.LiftLimit()
			return t.target.ID + " names none", nil
		}
		t.target.SetLimit(perSecond, limitSettleTime)
		return fmt.Sprintf("%s names %g a second", t.target.ID, perSecond), nil
	}},
	{name: "target announces that it leaves", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		t.target.AnnounceLeave()
		return t.target.ID, func() { s.replaceTarget(t) }
	}},
	{name: "target asks for quiet", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		t := pick(random, s.targets)
		quiet := pick(random, []time.Duration{0, 300 * time.Millisecond, time.Second, 3 * time.Second})
		t.target.AskQuiet(quiet)
		return fmt.Sprintf("%s for %v", t.target.ID, quiet), nil
	}},
	{name: "request ends its targets", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		return s.beginCrashing(random, s.newContentCrash(random))
	}},
	{name: "part of prompts ends its targets", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		return s.beginCrashing(random, s.newPartCrash(random))
	}},
	{name: "manifest changes", keepsTimeBounds: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
		return s.changeManifest(random), nil
	}},
	restoreFault,
}

var restoreFault = fault{name: "store comes back from a copy", notesItself: true, begin: func(s *soak, random *rand.Rand) (string, func()) {
	return s.beginRestores(random)
}}

const (
	// minFaultDuration and maxFaultDuration bound the length of a disturbance, maxFaultGap
	// the time until the next one begins. With these values a few disturbances overlap.
	minFaultDuration = 300 * time.Millisecond
	maxFaultDuration = 4 * time.Second
	maxFaultGap      = 900 * time.Millisecond
	// phaseDuration is the length of a phase. In every second phase only faults that keep
	// the time bounds are drawn, so that guarantees with a time bound are checked too.
	phaseDuration = 8 * time.Second
)

// drawFault draws a fault that is allowed in the phase at a time since the start. restoreShare is the
// share of restores of the store beyond those that are drawn as any other fault.
func drawFault(random *rand.Rand, since time.Duration, restoreShare float64) fault {
	allowsAll := since/phaseDuration%2 == 0
	if allowsAll && restoreShare > 0 && random.Float64() < restoreShare {
		return restoreFault
	}
	for {
		f := pick(random, faults)
		if f.keepsTimeBounds || allowsAll {
			return f
		}
	}
}

// injectFaults starts faults at random times until the deadline, and returns once all of
// them have ended.
func (s *soak) injectFaults(random *rand.Rand, until time.Time) {
	start := time.Now()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Float64() * float64(maxFaultGap)))
		f := drawFault(random, time.Since(start), s.settings.RestoreShare)
		if !f.keepsTimeBounds && !f.notesItself {
			s.noteDisturbance()
		}
		what, end := f.begin(s, random)
		s.logf("%s: %s", f.name, what)
		if end == nil {
			continue
		}
		length := minFaultDuration + time.Duration(random.Float64()*float64(maxFaultDuration-minFaultDuration))
		s.activeFaults.Add(1)
		time.AfterFunc(length, func() {
			defer s.activeFaults.Done()
			if !f.keepsTimeBounds && !f.notesItself {
				s.noteDisturbance()
			}
			end()
			s.logf("ended: %s: %s", f.name, what)
		})
	}
	s.activeFaults.Wait()
	for _, t := range s.targets {
		t.target.LiftLimit()
	}
}

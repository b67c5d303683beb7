package soaker

import (
	"fmt"
	"math/rand/v2"
	"net/http"
	"syscall"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

// fault is a disturbance from outside. begin returns what was disturbed and what ends
// it; nil ends by itself.
type fault struct {
	name string
	// isCalming tells that promises with a time bound hold on during it.
	isCalming bool
	begin     func(w *world, random *rand.Rand) (what string, end func())
}

func one[T any](random *rand.Rand, list []T) T { return list[random.IntN(len(list))] }

// faults are all kinds; each is as likely as the others.
var faults = []fault{
	{name: "instance killed", begin: func(w *world, random *rand.Rand) (string, func()) {
		p := one(random, w.processes)
		p.end(syscall.SIGKILL, time.Second)
		return p.name, func() { w.restart(p) }
	}},
	{name: "instance stopped", begin: func(w *world, random *rand.Rand) (string, func()) {
		p := one(random, w.processes)
		go func() {
			p.end(syscall.SIGTERM, grace)
			w.restart(p)
		}()
		return p.name, nil
	}},
	{name: "instance paused", begin: func(w *world, random *rand.Rand) (string, func()) {
		p := one(random, w.processes)
		p.signal(syscall.SIGSTOP)
		return p.name, func() { p.signal(syscall.SIGCONT) }
	}},
	{name: "instance told of settings", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		p := one(random, w.processes)
		p.signal(syscall.SIGHUP)
		return p.name, nil
	}},
	{name: "all instances killed", begin: func(w *world, _ *rand.Rand) (string, func()) {
		for _, p := range w.processes {
			p.end(syscall.SIGKILL, time.Second)
		}
		return "all", func() {
			for _, p := range w.processes {
				w.restart(p)
			}
		}
	}},
	{name: "way to the store cut", begin: func(w *world, random *rand.Rand) (string, func()) {
		n := random.IntN(len(w.ways))
		link := one(random, []Link{{CutThere: true, CutBack: true}, {CutThere: true}, {CutBack: true}, {Refuse: true}, {Delay: 300 * time.Millisecond}})
		w.ways[n].Set(link)
		return fmt.Sprintf("of %s %+v", w.processes[n].name, link), func() { w.ways[n].Set(Link{}) }
	}},
	{name: "way to the store reset", begin: func(w *world, random *rand.Rand) (string, func()) {
		n := random.IntN(len(w.ways))
		w.ways[n].Reset()
		return w.processes[n].name, nil
	}},
	{name: "store disturbed", begin: func(w *world, random *rand.Rand) (string, func()) {
		f := one(random, []simulator.Fault{
			{Status: http.StatusServiceUnavailable},
			{Status: http.StatusTooManyRequests},
			{Silent: true},
			{Reset: true},
			{Delay: 400 * time.Millisecond},
			{Lost: 0.5},
		})
		w.store.SetFault(f)
		return fmt.Sprintf("%+v", f), func() { w.store.SetFault(simulator.Fault{}) }
	}},
	{name: "store forgets", begin: func(w *world, _ *rand.Rand) (string, func()) {
		w.store.DropHistory()
		return "its history", nil
	}},
	{name: "target crashes", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		t := one(random, w.targets)
		t.target.Crash()
		if random.IntN(2) == 0 {
			t.target.Heartbeat() // its entry goes at once
		}
		return t.target.ID, func() { w.restartTarget(t) }
	}},
	{name: "target leaves", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		t := one(random, w.targets)
		calm := w.calmSince()
		t.target.Drain()
		if w.isCalm(calm) && t.target.State() == "draining" {
			w.checker.Left(t.target.ID)
		}
		return t.target.ID, func() {
			t.target.Crash()
			w.restartTarget(t)
		}
	}},
	{name: "target misbehaves", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		t := one(random, w.targets)
		ways := one(random, []simulator.TargetFault{
			{Fail: 0.5}, {Cut: 0.4}, {Lose: 0.4}, {Extra: 0.5}, {Late: 0.6, LateBy: 3 * time.Second}, {Dark: true},
		})
		t.target.SetTargetFault(ways)
		return fmt.Sprintf("%s %+v", t.target.ID, ways), func() { t.target.SetTargetFault(simulator.TargetFault{}) }
	}},
	{name: "way to a target disturbed", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		t := one(random, w.targets)
		link := one(random, []Link{{CutThere: true, CutBack: true}, {CutThere: true}, {CutBack: true}, {Refuse: true}, {Delay: 100 * time.Millisecond}})
		// What a cut holds back reaches the target late, or not at all.
		w.checker.Disturbed()
		t.proxy.Set(link)
		return fmt.Sprintf("%s %+v", t.target.ID, link), func() { t.proxy.Set(Link{}) }
	}},
	{name: "way to a target reset", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		t := one(random, w.targets)
		t.proxy.Reset()
		return t.target.ID, nil
	}},
	{name: "manifest changes", isCalming: true, begin: func(w *world, random *rand.Rand) (string, func()) {
		return w.changeManifest(random), nil
	}},
}

const (
	// shortest and longest bound the length of a disturbance, and gap the time until the
	// next one begins, so that up to a handful overlap.
	shortest = 300 * time.Millisecond
	longest  = 4 * time.Second
	gap      = 900 * time.Millisecond
	// phase is the time for which all kinds are drawn, and then only those during which
	// promises with a time bound hold, so that these are checked too.
	phase = 8 * time.Second
)

// draw chooses a kind for a time since the start.
func draw(random *rand.Rand, since time.Duration) fault {
	for {
		f := one(random, faults)
		if f.isCalming || since/phase%2 == 0 {
			return f
		}
	}
}

// disturb begins disturbances at drawn times until the deadline, and ends them all.
func (w *world) disturb(random *rand.Rand, until time.Time) {
	start := time.Now()
	for time.Now().Before(until) {
		time.Sleep(time.Duration(random.Float64() * float64(gap)))
		f := draw(random, time.Since(start))
		if !f.isCalming {
			w.disturbed()
		}
		what, end := f.begin(w, random)
		w.tell("%s: %s", f.name, what)
		if end == nil {
			continue
		}
		length := shortest + time.Duration(random.Float64()*float64(longest-shortest))
		w.pending.Add(1)
		time.AfterFunc(length, func() {
			defer w.pending.Done()
			if !f.isCalming {
				w.disturbed()
			}
			end()
			w.tell("over: %s: %s", f.name, what)
		})
	}
	w.pending.Wait()
}

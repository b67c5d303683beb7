package soaker

import (
	"fmt"
	"math/rand/v2"
	"strings"
	"syscall"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// The bounds of a restore: how long the store is away, how old its copy is, and how long after the
	// return the operator and the targets write again.
	minAway      = 200 * time.Millisecond
	maxAway      = 3 * time.Second
	maxCopyAge   = 10 * time.Second
	minRewriting = 100 * time.Millisecond
	maxRewriting = 2 * time.Second
	// seriesShare is the share of restores with a second one within maxRestoreGap of the first return.
	seriesShare   = 0.35
	maxRestoreGap = 2 * time.Second
	// changeShare is the share of restores right before which the manifest changes.
	changeShare = 0.5
	// lossShare is the share of restores in which all instances are killed at once.
	lossShare   = 0.2
	minLossTime = 100 * time.Millisecond
	maxLossTime = 2 * time.Second
	// clockReset takes the store's clock back to its start.
	clockReset = -24 * time.Hour
	// restoreSettleTime is the time after the store's return from which guarantees with a time bound
	// hold again.
	restoreSettleTime = 3 * time.Second
)

func between(random *rand.Rand, least, most time.Duration) time.Duration {
	return least + time.Duration(random.Float64()*float64(most-least))
}

func drawRestore(random *rand.Rand) simulator.Restore {
	return simulator.Restore{
		Away: between(random, minAway, maxAway), CopyAge: between(random, 0, maxCopyAge), RewriteAfter: between(random, minRewriting, maxRewriting),
		Hold:      pick(random, []time.Duration{0, 100 * time.Millisecond}),
		ClockJump: pick(random, []time.Duration{0, clockReset, time.Hour}),
	}
}

// beginRestores plays one restore or two. The manifest may change right before, and all instances may be
// killed meanwhile. It returns a description and a function that returns once the writers have written
// again.
func (s *soak) beginRestores(random *rand.Rand) (what string, end func()) {
	first := drawRestore(random)
	restores, gap := []simulator.Restore{first}, between(random, 0, maxRestoreGap)
	if random.Float64() < seriesShare {
		restores = append(restores, drawRestore(random))
	}
	loss, lossTime := between(random, 0, first.Away+first.RewriteAfter), between(random, minLossTime, maxLossTime)
	losesAll := random.Float64() < lossShare
	text := []string{}
	if random.Float64() < changeShare {
		text = append(text, "manifest changes to "+s.changeManifest(random))
	}
	for _, d := range restores {
		text = append(text, fmt.Sprintf("away %v, copy of %v, written again after %v, held %v, clock %v", d.Away, d.CopyAge, d.RewriteAfter, d.Hold, d.ClockJump))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		s.playRestores(restores, gap)
	}()
	if losesAll {
		text = append(text, fmt.Sprintf("all instances killed after %v for %v", loss, lossTime))
		s.activeFaults.Go(func() { s.loseAll(loss, lossTime) })
	}
	return strings.Join(text, "; "), func() { <-done }
}

// playRestores plays restores one after the other and returns once the writers have written again.
func (s *soak) playRestores(restores []simulator.Restore, gap time.Duration) {
	rewritten := make(chan struct{}, len(restores))
	for n, d := range restores {
		if n > 0 {
			time.Sleep(gap)
		}
		s.playRestore(d, func() { rewritten <- struct{}{} })
	}
	for range restores {
		<-rewritten
	}
}

// playRestore plays a restore, after another one that is being played, and returns once the store is back.
func (s *soak) playRestore(d simulator.Restore, rewritten func()) {
	s.restoring.Lock()
	defer s.restoring.Unlock()
	s.noteRestore(d.Hold + d.Away)
	s.checker.RestoreBegan(s.activeInstances())
	until := time.Now().Add(d.Hold)
	d.Rewritten = func() {
		s.checker.RestoreEnded(until.Add(-d.CopyAge-d.Hold), until)
		s.logf("written again in the store")
		rewritten()
	}
	s.store.Restore(d)
	s.noteRestore(0)
	s.logf("the store is back")
}

// noteRestore records that the store goes away for a time, or comes back. Unlike other disturbances this does
// not change what instances know of targets.
func (s *soak) noteRestore(away time.Duration) {
	s.suspendTimeBounds(away + restoreSettleTime)
	s.checker.StoreRestored()
}

func (s *soak) activeInstances() []string {
	out := []string{}
	for _, p := range s.processes {
		if p.isActive() {
			out = append(out, p.name)
		}
	}
	return out
}

// loseAll kills all instances after a time, and starts them again later.
func (s *soak) loseAll(after, length time.Duration) {
	time.Sleep(after)
	s.noteDisturbance()
	s.killAll()
	time.Sleep(length)
	s.restartAll()
}

func (s *soak) kill(p *process) {
	s.checker.InstanceEnds(p.name)
	p.stop(syscall.SIGKILL, time.Second)
}

func (s *soak) killAll() {
	for _, p := range s.processes {
		s.kill(p)
	}
}

func (s *soak) restartAll() {
	for _, p := range s.processes {
		s.restart(p)
	}
}

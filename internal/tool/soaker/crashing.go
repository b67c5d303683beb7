package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// crashedTime is how long a target is down that a request has ended.
	crashedTime = 500 * time.Millisecond
	// maxCrashingCallers is how many callers send such a request, and meanCrashingPause the mean
	// time between two sends of one.
	maxCrashingCallers = 3
	meanCrashingPause  = 150 * time.Millisecond
	// crashingTime is how long they send it: beyond the end of a phase with disturbances of the
	// instances.
	crashingTime = 12 * time.Second
)

// beginCrashing makes some callers send a request again and again that ends each target that runs
// it. It returns a description and a function that ends this.
func (s *soak) beginCrashing(random *rand.Rand) (what string, end func()) {
	r := pick(random, s.routes)
	bad := content{route: r, body: fmt.Sprintf("ends targets %x", random.Uint64()), endsTargets: true}
	if len(r.models) > 0 {
		bad.model = pick(random, r.models)
	}
	for _, t := range s.targets {
		t.target.CrashOn(bad.body)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	n := 1 + random.IntN(maxCrashingCallers)
	for range n {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		callers.Go(func() { s.sendCrashing(ctx, callerRandom, bad) })
	}
	until := time.Now().Add(crashingTime)
	return fmt.Sprintf("%s, %d callers", r.Name, n), func() {
		time.Sleep(time.Until(until))
		cancel()
		callers.Wait()
		for _, t := range s.targets {
			t.target.StopCrashingOn(bad.body)
		}
	}
}

// sendCrashing sends a request to random instances until ctx is done.
func (s *soak) sendCrashing(ctx context.Context, random *rand.Rand, bad content) {
	for ctx.Err() == nil {
		caller := simulator.NewCaller()
		s.callers.sendOnce(context.Background(), caller, random, pick(random, s.processes).callerAddress, bad)
		caller.Close()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanCrashingPause)))
	}
}

// targetCrashed records that a run has ended its target, and restarts the target later.
func (s *soak) targetCrashed(run simulator.Run) {
	go func() {
		endDisturbance := s.checker.TargetDisturbed(run.Target)
		s.checker.TargetEnded(run.Cause, s.isUndisturbedSince(s.lastDisturbance()))
		time.Sleep(crashedTime)
		for _, t := range s.targets {
			if t.target.ID == run.Target {
				s.restartTarget(t)
			}
		}
		endDisturbance()
	}()
}

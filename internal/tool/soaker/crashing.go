package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
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
	// partCrashingTime is longer, as what is checked of a part begins contactTime after five ends.
	partCrashingTime = 20 * time.Second
)

// crash is a kind of requests that end each target that runs them.
type crash struct {
	description string
	// request returns the next request: the same each time, or another one with the same part.
	request func(random *rand.Rand) content
	// begin and stop make a target end on such requests, and serve them again.
	begin, stop func(*simulator.Target)
	length      time.Duration
}

// newContentCrash returns requests of one content.
func (s *soak) newContentCrash(random *rand.Rand) crash {
	r := pick(random, s.routes)
	bad := content{route: r, body: fmt.Sprintf("ends targets %x", random.Uint64()), parts: soundParts(random), endsTargets: true, key: s.keys.stable(random)}
	if len(r.models) > 0 {
		bad.model = pick(random, r.models)
	}
	return crash{
		description: r.Name, length: crashingTime, request: func(*rand.Rand) content { return bad },
		begin: func(t *simulator.Target) { t.CrashOn(bad.body) }, stop: func(t *simulator.Target) { t.StopCrashingOn(bad.body) },
	}
}

// newPartCrash returns requests that share a part of their prompts, and are not alike otherwise.
func (s *soak) newPartCrash(random *rand.Rand) crash {
	r := pick(random, s.routesWithModels())
	point := pick(random, []simulator.CrashPoint{simulator.AtAnswer, simulator.AfterHead, simulator.MidAnswer})
	part := fmt.Sprintf("bad%x", random.Uint32())
	return crash{
		description: fmt.Sprintf("%s, part %s, %s", r.Name, part, point), length: partCrashingTime,
		request: func(random *rand.Rand) content {
			return content{
				route: r, model: pick(random, r.models), body: fmt.Sprint(random.Uint64()),
				parts: append(soundParts(random), part), endsTargets: true, key: s.keys.stable(random),
			}
		},
		begin: func(t *simulator.Target) { t.CrashOnPart(part, point) }, stop: func(t *simulator.Target) { t.StopCrashingOnPart(part) },
	}
}

func (s *soak) routesWithModels() []route {
	return slices.DeleteFunc(slices.Clone(s.routes), func(r route) bool { return len(r.models) == 0 })
}

// beginCrashing makes some callers send requests again and again that end each target that runs
// them. It returns a description and a function that ends this.
func (s *soak) beginCrashing(random *rand.Rand, bad crash) (what string, end func()) {
	for _, t := range s.targets {
		bad.begin(t.target)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var callers sync.WaitGroup
	n := 1 + random.IntN(maxCrashingCallers)
	for range n {
		callerRandom := rand.New(rand.NewPCG(random.Uint64(), 3))
		callers.Go(func() { s.sendCrashing(ctx, callerRandom, bad) })
	}
	until := time.Now().Add(bad.length)
	return fmt.Sprintf("%s, %d callers", bad.description, n), func() {
		time.Sleep(time.Until(until))
		cancel()
		callers.Wait()
		for _, t := range s.targets {
			bad.stop(t.target)
		}
	}
}

// sendCrashing sends such requests to random instances until ctx is done.
func (s *soak) sendCrashing(ctx context.Context, random *rand.Rand, bad crash) {
	for ctx.Err() == nil {
		caller := simulator.NewCaller()
		s.callers.sendOnce(context.Background(), caller, random, pick(random, s.processes).callerAddress, bad.request(random))
		caller.Close()
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanCrashingPause)))
	}
}

// targetCrashed records that a run has ended its target, and restarts the target later.
func (s *soak) targetCrashed(run simulator.Run) {
	go func() {
		endDisturbance := s.checker.TargetDisturbed(run.Target)
		s.checker.TargetEnded(run, s.isUndisturbedSince(s.lastDisturbance()))
		time.Sleep(crashedTime)
		for _, t := range s.targets {
			if t.target.ID == run.Target {
				s.restartTarget(t)
			}
		}
		endDisturbance()
	}()
}

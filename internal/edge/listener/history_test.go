package listener_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/historian"
	"github.com/crocusring/crocusring/internal/fake/platformer"
)

const (
	callers        = 12
	sendsPerCaller = 8
	faults         = 25
	faultInterval  = 40 * time.Millisecond
	sendDeadline   = 3 * time.Second
	nodeCount      = 4
)

// TestHistoriesUnderFaults runs callers while random faults of all kinds are injected,
// and checks the answers that callers received against the executions at the targets.
func TestHistoriesUnderFaults(t *testing.T) {
	for _, seed := range []uint64{1, 2, 3} {
		t.Run(fmt.Sprintf("seed %d", seed), func(t *testing.T) {
			t.Parallel()
			checkHistory(t, seed)
		})
	}
}

func checkHistory(t *testing.T, seed uint64) {
	s := newSystem(t, assembler.WithNodes(nodeCount), assembler.WithServices(2), assembler.WithEngines(4, engineer.WithTokenInterval(2*time.Millisecond)))
	var group sync.WaitGroup
	for i := range callers {
		random := rand.New(rand.NewPCG(seed, uint64(i)))
		group.Go(func() { s.call(random, i) })
	}
	random := rand.New(rand.NewPCG(seed, callers))
	killAt, crashAt := random.IntN(faults), random.IntN(faults)
	for n := range faults {
		if n == killAt {
			s.Nodes[nodeCount-1].Kill()
		}
		if n == crashAt {
			// Only one crash: a request that ran on two targets crashed from another
			// cause cannot be distinguished from one that crashed both.
			s.Engines[random.IntN(len(s.Engines))].Crash()
		}
		s.injectFault(random)
		time.Sleep(faultInterval)
	}
	s.Platform.SetFault(platformer.Fault{})
	group.Wait()
	h := s.history()
	h.Crashes = crashes(h)
	assert.Empty(t, historian.Check(h))
	outcomes := map[string]int{}
	for _, send := range h.Sends {
		switch {
		case send.Ended:
			outcomes["whole"]++
		case send.NotRun:
			outcomes["not run"]++
		case send.Status == 0:
			outcomes["no answer"]++
		default:
			outcomes[fmt.Sprintf("%d %s", send.Status, send.Code)]++
		}
	}
	t.Logf("%d sends %v, %d executions", len(h.Sends), outcomes, len(h.Executions))
}

// call sends requests of all kinds to random instances, keyed ones up to three times.
func (s *system) call(random *rand.Rand, caller int) {
	address := func() string { return s.Nodes[random.IntN(nodeCount)].Address }
	for n := range sendsPerCaller {
		ctx, cancel := context.WithTimeout(s.t.Context(), sendDeadline)
		text := fmt.Sprintf("caller %d request %d", caller, n)
		switch random.IntN(4) {
		case 0:
			s.caller.Chat(ctx, address(), historian.Chat{Model: model, Prompt: text, Tokens: 40, Stream: true})
		case 1:
			s.caller.Chat(ctx, address(), historian.Chat{Model: model, Prompt: text, Tokens: 20})
		case 2:
			chat := historian.Chat{Model: model, Prompt: text, Tokens: 20, Stream: true, Key: s.key(random, caller, n)}
			for range 1 + random.IntN(2) {
				s.caller.Chat(ctx, address(), chat)
			}
		default:
			order := historian.ServiceRequest{Service: "orders", Path: "/cut?delay=5ms", Text: text, Key: s.key(random, caller, n)}
			for range 1 + random.IntN(3) {
				s.caller.ServiceRequest(ctx, address(), order)
			}
		}
		cancel()
	}
}

// key returns a key made by the caller or one that a live instance issued.
func (s *system) key(random *rand.Rand, caller, n int) string {
	if random.IntN(2) == 0 {
		return ownKey(caller*1000 + n)
	}
	return s.issueKey(s.Nodes[random.IntN(nodeCount-1)].Address)
}

// injectFault injects one random fault, or ends those of the platform.
func (s *system) injectFault(random *rand.Rand) {
	engine := s.Engines[random.IntN(len(s.Engines))]
	switch random.IntN(8) {
	case 0:
		engine.SetFault(engineer.Fault{CrossAnswers: 2})
	case 1:
		engine.SetFault(engineer.Fault{CutStreams: 2})
	case 2:
		engine.SetFault(engineer.Fault{ReadAndClose: 2})
	case 3:
		engine.SetFault(engineer.Fault{SilentConnections: true})
	case 4:
		s.Services[random.IntN(len(s.Services))].DropAnswers(2)
	case 5:
		s.Platform.SetFault(platformer.Fault{Down: true})
	case 6:
		s.Platform.SetFault(platformer.Fault{LoseAnswers: 4})
	default:
		s.Platform.SetFault(platformer.Fault{})
	}
}

package listener_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/historian"
)

// crashes returns a crash for each execution of a crashing request.
func crashes(h historian.History) []historian.Crash {
	prompts := map[string]string{}
	for _, s := range h.Sends {
		if s.Crashing {
			prompts[s.ID] = s.Prompt
		}
	}
	var list []historian.Crash
	for _, x := range h.Executions {
		if prompt, isBad := prompts[x.RequestID]; isBad {
			list = append(list, historian.Crash{Target: x.Target, Prompt: prompt})
		}
	}
	return list
}

// TestCrashingRequestIsQuarantinedAfterTwoCrashes guards against a request that crashes more than
// two targets: it is sent repeatedly, to one instance after the other, while other
// requests run. All instances must then refuse it for good.
func TestCrashingRequestIsQuarantinedAfterTwoCrashes(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithNodes(4), assembler.WithEngines(5, engineer.WithTokenInterval(5*time.Millisecond)))
	ctx, cancel := context.WithTimeout(t.Context(), 20*time.Second)
	defer cancel()
	var group sync.WaitGroup
	for i := range 20 {
		group.Go(func() {
			for n := range 3 {
				s.caller.Chat(ctx, s.Nodes[(i+n)%4].Address, historian.Chat{
					Model: model, Prompt: fmt.Sprintf("innocent %d %d", i, n), Tokens: 60, Stream: i%4 > 0,
				})
			}
		})
	}
	time.Sleep(100 * time.Millisecond)
	bad := historian.Chat{Model: model, Prompt: engineer.CrashMarker, Tokens: 5, Stream: true}
	for i := 0; ctx.Err() == nil; i++ {
		send := s.caller.Chat(ctx, s.Nodes[i%4].Address, bad)
		if send.Code == "Quarantined" {
			break
		}
		time.Sleep(20 * time.Millisecond)
	}
	for _, n := range s.Nodes {
		assert.Eventually(t, func() bool {
			send := s.caller.Chat(ctx, n.Address, bad)
			return send.Status == http.StatusUnprocessableEntity && !send.RetryAfter
		}, within, pollGap, "the answer is final")
	}
	group.Wait()
	h := s.history()
	h.Crashes = crashes(h)
	assert.Len(t, h.Crashes, 2)
	assert.Empty(t, historian.Check(h))
	for _, send := range h.Sends {
		if strings.HasPrefix(send.Prompt, "innocent") {
			assert.True(t, send.Ended, "%s: %d %s %d", send.Prompt, send.Status, send.Code, len(send.Got))
		}
	}
}

// TestACutConnectionIsNoCrash guards against a cut connection being counted as a crash
// that the request caused: two of the three engines each cut one connection.
func TestACutConnectionIsNoCrash(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithNodes(2), assembler.WithEngines(3))
	for _, e := range s.Engines[:2] {
		e.SetFault(engineer.Fault{ReadAndClose: 1})
	}
	for _, n := range s.Nodes {
		for range 4 {
			send := s.caller.Chat(t.Context(), n.Address, historian.Chat{Model: model, Prompt: "the same", Tokens: 5, Stream: true})
			assert.True(t, send.Ended, send.Code)
		}
	}
	assert.Empty(t, historian.Check(s.history()))
}

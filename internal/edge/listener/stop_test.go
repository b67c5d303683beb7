package listener_test

import (
	"context"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/historian"
)

// TestPlannedStopTakesNothingThatItCuts guards against requests that come late in a planned stop, are
// passed on and are cut at its end.
func TestPlannedStopTakesNothingThatItCuts(t *testing.T) {
	t.Parallel()
	const drainTime = 4 * time.Second
	s := newSystem(t, assembler.WithNodes(2), assembler.WithEngines(1, engineer.WithTokenInterval(10*time.Millisecond)), assembler.WithDrainTimeout(drainTime))
	stopping := s.Nodes[1]
	send := func(prompt string, tokens int, within time.Duration) historian.Send {
		ctx, cancel := context.WithTimeout(t.Context(), within)
		defer cancel()
		return s.caller.Chat(ctx, stopping.Address, historian.Chat{Model: model, Prompt: prompt, Tokens: tokens, Stream: true})
	}
	early := make(chan historian.Send, 1)
	go func() { early <- send("early", 200, 20*time.Second) }()
	time.Sleep(100 * time.Millisecond)
	stopping.Stop()
	time.Sleep(time.Second)
	began := time.Now()
	late := send("late", 2000, 20*time.Second)
	assert.Equal(t, "NotReady", late.Code, "its deadline is behind the end of the stop")
	assert.Less(t, time.Since(began), 500*time.Millisecond, "at once")
	assert.True(t, send("short", 1, time.Second).Ended, "what can end in time is served")
	assert.True(t, (<-early).Ended, "what was passed on gets its answer")
	require.Eventually(t, func() bool {
		select {
		case <-stopping.Done():
			return true
		default:
			return false
		}
	}, 2*drainTime, 20*time.Millisecond)
}

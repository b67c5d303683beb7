package test

import (
	"fmt"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// startLongStream starts a stream that runs for some seconds and returns a channel that
// receives the reply.
func (c *cluster) startLongStream(entry *process, model string) <-chan reply {
	const tokens = 800
	done := make(chan reply, 1)
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"long"}]}`, model, tokens)
	go func() { done <- c.sendWithin(30*time.Second, entry, "/v1/chat/completions", body, nil) }()
	return done
}

// TestPlannedStop sends SIGTERM to an instance under load. No request may fail, although
// callers use the address of the instance until their locate answer expires.
func TestPlannedStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, "--token-interval", "5ms")
	c.configure("oak")
	leaving := c.entries[0]
	stream := c.startLongStream(leaving, "oak")
	stopped := make(chan time.Time, 1)
	time.AfterFunc(2*time.Second, func() {
		leaving.signal(t, syscall.SIGTERM)
		at := time.Now()
		<-leaving.done
		stopped <- at
	})
	history := c.runCallers(8, 70, 200*time.Millisecond)

	assert.Empty(t, unanswered(history), "requests without a complete answer")
	assert.Empty(t, failedBeforeExpiry(history), "requests that failed before their addresses expired")
	assert.Empty(t, wrongExecutions(history, c.executions()))
	r := <-stream
	assert.True(t, r.isComplete(), "the stream that ran at the stop: %v %d", r.err, strings.Count(r.body, "data:"))
	at := <-stopped
	assert.Less(t, time.Since(at), 30*time.Second)
	assert.True(t, leaving.command.ProcessState.Success(), leaving.command.ProcessState.String())
}

// TestIdleStop checks that an instance stops soon if all locate answers with its address
// have expired, as no caller can still use it.
func TestIdleStop(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 1, 4)
	c.await("settings at no instance", func() bool { return len(c.locate(c.entries[1]).Addresses) == 4 })
	time.Sleep(11 * time.Second) // the lifetime of a locate answer plus a second
	at := time.Now()
	c.entries[0].signal(t, syscall.SIGTERM)
	c.assertLateRequestRedirected(c.entries[0])
	<-c.entries[0].done
	assert.Less(t, time.Since(at), 5*time.Second)
	assert.NotContains(t, c.locate(c.entries[1]).Addresses, c.entries[0].address)
}

// assertLateRequestRedirected sends requests to a stopping instance until one is refused
// as not run with the addresses of the other instances.
func (c *cluster) assertLateRequestRedirected(leaving *process) {
	c.t.Helper()
	for {
		r := c.chat(leaving, "oak", "late", nil)
		if !assert.NoError(c.t, r.err, "the instance stopped without redirecting a late request") {
			return
		}
		if refusal := r.refusal(c.t); refusal.Code == "NotReady" {
			assert.True(c.t, refusal.NotRun)
			assert.Len(c.t, refusal.Addresses, len(c.entries)-1)
			return
		}
		time.Sleep(pollInterval)
	}
}

package test

import (
	"encoding/json"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// drainDelay is the time after which a leaving target must not receive new requests.
	drainDelay = 3 * time.Second
	// listLag is how late the instance list of the platform is.
	listLag = time.Second
)

// getJSON gets and decodes an answer from a simulated process.
func (c *cluster) getJSON(url string, out any) {
	c.t.Helper()
	resp, err := c.client.Get(url)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(out))
}

// engineExecutions returns the executions that an engine recorded.
func (c *cluster) engineExecutions(engine *process) []engineer.Execution {
	c.t.Helper()
	var list []engineer.Execution
	c.getJSON("http://"+engine.address+"/fake/executions", &list)
	return list
}

// executionsAfter returns the executions that began after a time.
func executionsAfter(list []engineer.Execution, at time.Time) []engineer.Execution {
	return slices.DeleteFunc(slices.Clone(list), func(e engineer.Execution) bool { return !e.StartedAt.After(at) })
}

// resumedExecutions returns the executions that resumed a stream of another engine.
func resumedExecutions(list []engineer.Execution) []engineer.Execution {
	return slices.DeleteFunc(slices.Clone(list), func(e engineer.Execution) bool { return e.From == 0 })
}

// enginesHolding returns the engines that have loaded a model.
func (c *cluster) enginesHolding(model string) []*process {
	c.t.Helper()
	list := []*process{}
	for _, e := range c.engines {
		var report messenger.EngineReport
		c.getJSON("http://"+e.address+"/v1/report", &report)
		isLoaded := func(h messenger.EngineHolding) bool { return h.Model == model && h.State == "Loaded" }
		if slices.ContainsFunc(report.Holdings, isLoaded) {
			list = append(list, e)
		}
	}
	return list
}

func idsOf(list []*process) []string {
	ids := []string{}
	for _, p := range list {
		ids = append(ids, p.id)
	}
	return ids
}

// setListedState sets the state of an engine in the instance list of the platform.
func (c *cluster) setListedState(engine *process, state string) {
	c.t.Helper()
	c.register(engine.id, "Engine", engine.address, slices.Index(c.engines, engine), state)
}

// TestLeavingTarget checks that a planned stop of an engine loses no request, although the
// engine holds the only copy of one of the models and runs a stream for some seconds.
func TestLeavingTarget(t *testing.T) {
	t.Parallel()
	t.Run("the engine reports that it leaves", func(t *testing.T) {
		assertLeavingTarget(t, func(c *cluster, leaving *process) {
			c.get("http://" + leaving.address + "/fake/leaving")
		})
	})
	t.Run("only the list reports it", func(t *testing.T) {
		assertLeavingTarget(t, func(c *cluster, leaving *process) { c.setListedState(leaving, "Leaving") })
	})
	t.Run("the list reports it leaving and then live", func(t *testing.T) {
		assertLeavingTarget(t, func(c *cluster, leaving *process) {
			c.setListedState(leaving, "Leaving")
			time.AfterFunc(listLag, func() { c.setListedState(leaving, "Live") })
		})
	})
}

func assertLeavingTarget(t *testing.T, leave func(*cluster, *process)) {
	c := newLaggingCluster(t, listLag, 2, 2, "--token-interval", "5ms")
	c.configure("oak")
	leaving, other := c.configureSingleCopy("elm")
	var history []result
	var group sync.WaitGroup
	group.Go(func() { history = c.callTwoModels() })
	time.Sleep(time.Second)
	stream := c.startLongStream(c.entries[0], "elm")
	time.Sleep(time.Second)
	require.Equal(t, []string{leaving.id}, idsOf(c.enginesHolding("elm")))
	require.Empty(t, stream, "the stream is still running")
	leftAt := time.Now()
	leave(c, leaving)
	r := <-stream
	assert.True(t, r.isComplete(), "the stream that ran at the stop: %v", r.err)
	c.await("another copy", func() bool { return slices.Contains(c.enginesHolding("elm"), other) })
	time.Sleep(time.Until(leftAt.Add(2 * drainDelay)))
	assertNoNewWork(t, c, leaving, leftAt)
	assert.Empty(t, resumedExecutions(c.engineExecutions(other)), "streams resumed on the other engine")
	leaving.signal(t, syscall.SIGKILL)
	c.setListedState(leaving, "")
	group.Wait()
	assert.Empty(t, unanswered(history), "requests without a complete answer")
	assert.Empty(t, failedBeforeExpiry(history), "requests that failed before their addresses expired")
	assert.Empty(t, wrongExecutions(history, c.executions()))
}

// assertNoNewWork checks that the leaving engine ran requests before it left, and that
// none began later than drainDelay after that.
func assertNoNewWork(t *testing.T, c *cluster, leaving *process, leftAt time.Time) {
	t.Helper()
	list := c.engineExecutions(leaving)
	assert.NotEmpty(t, executionsAfter(list, leftAt.Add(-time.Second)), "executions before the stop")
	assert.Empty(t, executionsAfter(list, leftAt.Add(drainDelay)), "executions that began too late")
	last := list[len(list)-1].StartedAt.Sub(leftAt).Round(time.Millisecond)
	t.Logf("%d executions at the leaving engine, the last one began at %v", len(list), last)
}

// configureSingleCopy declares a model with at most one copy and returns the engine that
// holds it and the other engine.
func (c *cluster) configureSingleCopy(model string) (held, other *process) {
	c.t.Helper()
	c.post("http://"+c.entries[0].address+"/v1/settings", operatorCredential, messenger.ChangeRequest{Changes: []messenger.SettingChange{{
		Path: "/platform/models/" + model, Value: json.RawMessage(`{"Version":"v1","Bytes":1048576,"Copies":1,"MaximumCopies":1}`),
	}}})
	c.await("one copy of "+model, func() bool { return len(c.enginesHolding(model)) == 1 })
	held = c.enginesHolding(model)[0]
	for _, e := range c.entries {
		c.await(model+" at "+e.id, func() bool { return c.chat(e, model, "warm up", nil).isComplete() })
	}
	other = c.engines[0]
	if other == held {
		other = c.engines[1]
	}
	return held, other
}

// callTwoModels runs callers of the models oak and elm for some seconds and returns their
// histories.
func (c *cluster) callTwoModels() []result {
	const callers, count, pause = 8, 45, 150 * time.Millisecond
	var group sync.WaitGroup
	list := make([]*recorder, callers)
	for i := range callers {
		list[i] = newRecorder(c, i, []string{"oak", "elm"}[i%2])
		group.Go(func() { list[i].run(count, pause) })
	}
	group.Wait()
	history := []result{}
	for _, k := range list {
		history = append(history, k.results...)
	}
	return history
}

// restartEntry starts a new process for an entry instance, with the same ID at a new
// address, and returns it once it is ready. It does not stop the old process.
func (c *cluster) restartEntry(i int) *process {
	c.t.Helper()
	c.entries[i] = c.startEntry(i)
	c.entries = c.entries[:len(c.entries)-1]
	p := c.entries[i]
	c.await(p.id+" again", func() bool { return c.ready(p) && slices.Contains(c.locate(c.entries[0]).Addresses, p.address) })
	return p
}

// assertReplaced checks that callers receive the address of the current incarnation of an
// instance but not of the old one, and that the current one serves requests.
func (c *cluster) assertReplaced(t *testing.T, current, old *process) {
	t.Helper()
	addresses := c.locate(c.entries[0]).Addresses
	assert.Contains(t, addresses, current.address)
	assert.NotContains(t, addresses, old.address)
	assert.True(t, c.chat(current, "oak", "after the restart", nil).isComplete())
}

// TestRestartedInstance restarts an instance with the same ID at a new address. Callers must
// receive the new address only, also while the old process resumes and stops.
func TestRestartedInstance(t *testing.T) {
	t.Parallel()
	c := newLaggingCluster(t, listLag, 1, 3)
	c.configure("oak")
	const restarted = 1

	t.Run("after a planned stop", func(t *testing.T) {
		old := c.entries[restarted]
		old.signal(t, syscall.SIGTERM)
		<-old.done
		c.assertReplaced(t, c.restartEntry(restarted), old)
	})
	t.Run("after a kill", func(t *testing.T) {
		old := c.entries[restarted]
		old.signal(t, syscall.SIGKILL)
		<-old.done
		c.assertReplaced(t, c.restartEntry(restarted), old)
	})
	t.Run("the old incarnation was frozen, resumes and stops", func(t *testing.T) {
		old := c.entries[restarted]
		old.freeze(t)
		current := c.restartEntry(restarted)
		old.signal(t, syscall.SIGCONT)
		deadline := time.Now().Add(listLag)
		for time.Now().Before(deadline) {
			c.assertReplaced(t, current, old)
			time.Sleep(pollInterval)
		}
		old.signal(t, syscall.SIGTERM)
		for isRunning := true; isRunning; {
			select {
			case <-old.done:
				isRunning = false
			case <-time.After(pollInterval):
			}
			c.assertReplaced(t, current, old)
		}
	})
}

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
	// noNewWork is the time within which a leaving target gets no new work.
	noNewWork = 3 * time.Second
	listLag   = time.Second
)

// getJSON reads the answer of a stand-in.
func (c *cluster) getJSON(url string, out any) {
	c.t.Helper()
	resp, err := c.client.Get(url)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(out))
}

// starts returns the executions that an engine recorded.
func (c *cluster) starts(engine *process) []engineer.Execution {
	c.t.Helper()
	var list []engineer.Execution
	c.getJSON("http://"+engine.address+"/fake/executions", &list)
	return list
}

// startedAfter returns the executions that began later than a moment.
func startedAfter(list []engineer.Execution, at time.Time) []engineer.Execution {
	return slices.DeleteFunc(slices.Clone(list), func(e engineer.Execution) bool { return !e.StartedAt.After(at) })
}

// resumed returns the executions that went on with a stream begun elsewhere.
func resumed(list []engineer.Execution) []engineer.Execution {
	return slices.DeleteFunc(slices.Clone(list), func(e engineer.Execution) bool { return e.From == 0 })
}

// holders returns the engines that have loaded a model.
func (c *cluster) holders(model string) []*process {
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

// list puts an engine into the instance list in a state.
func (c *cluster) list(engine *process, state string) {
	c.t.Helper()
	c.register(engine.id, "Engine", engine.address, slices.Index(c.engines, engine), state)
}

// TestStoppedTarget stops an engine as planned while callers use it. It alone
// holds one of the models, and a stream of seconds runs there.
func TestStoppedTarget(t *testing.T) {
	t.Parallel()
	t.Run("the engine says that it leaves", func(t *testing.T) {
		assertStoppedTarget(t, func(c *cluster, leaving *process) {
			c.get("http://" + leaving.address + "/fake/leaving")
		})
	})
	t.Run("only the list says so", func(t *testing.T) {
		assertStoppedTarget(t, func(c *cluster, leaving *process) { c.list(leaving, "Leaving") })
	})
	t.Run("the list flaps", func(t *testing.T) {
		assertStoppedTarget(t, func(c *cluster, leaving *process) {
			c.list(leaving, "Leaving")
			time.AfterFunc(listLag, func() { c.list(leaving, "Live") })
		})
	})
}

func assertStoppedTarget(t *testing.T, leave func(*cluster, *process)) {
	c := newLaggingCluster(t, listLag, 2, 2, "--token-interval", "5ms")
	c.configure("oak")
	leaving, other := c.configureAlone("elm")
	var history []result
	var group sync.WaitGroup
	group.Go(func() { history = c.callTwoModels() })
	time.Sleep(time.Second)
	stream := c.longStream(c.entries[0], "elm")
	time.Sleep(time.Second)
	require.Equal(t, []string{leaving.id}, idsOf(c.holders("elm")))
	require.Empty(t, stream, "the stream runs")
	known := time.Now()
	leave(c, leaving)
	r := <-stream
	assert.True(t, r.whole(), "the stream that ran at the stop: %v", r.err)
	c.await("another copy", func() bool { return slices.Contains(c.holders("elm"), other) })
	time.Sleep(time.Until(known.Add(2 * noNewWork)))
	assertNoNewWork(t, c, leaving, known)
	assert.Empty(t, resumed(c.starts(other)), "streams that went on elsewhere")
	leaving.signal(t, syscall.SIGKILL)
	c.list(leaving, "")
	group.Wait()
	assert.Empty(t, unanswered(history), "requests without a whole answer")
	assert.Empty(t, turnedAway(history), "requests turned away")
	assert.Empty(t, misrun(history, c.executions()))
}

// assertNoNewWork checks that the leaving engine had work, and none that began
// too late.
func assertNoNewWork(t *testing.T, c *cluster, leaving *process, known time.Time) {
	t.Helper()
	list := c.starts(leaving)
	assert.NotEmpty(t, startedAfter(list, known.Add(-time.Second)), "the engine had work before the stop")
	assert.Empty(t, startedAfter(list, known.Add(noNewWork)), "executions that began too late")
	last := list[len(list)-1].StartedAt.Sub(known).Round(time.Millisecond)
	t.Logf("%d executions at the leaving engine, the last one began at %v", len(list), last)
}

// configureAlone declares a model that may have one copy and returns the engine that holds
// it and the other one.
func (c *cluster) configureAlone(model string) (held, other *process) {
	c.t.Helper()
	c.post("http://"+c.entries[0].address+"/v1/settings", operatorCredential, messenger.ChangeRequest{Changes: []messenger.SettingChange{{
		Path: "/platform/models/" + model, Value: json.RawMessage(`{"Version":"v1","Bytes":1048576,"Copies":1,"MaximumCopies":1}`),
	}}})
	c.await("one copy of "+model, func() bool { return len(c.holders(model)) == 1 })
	held = c.holders(model)[0]
	for _, e := range c.entries {
		c.await(model+" at "+e.id, func() bool { return c.chat(e, model, "warm up", nil).whole() })
	}
	other = c.engines[0]
	if other == held {
		other = c.engines[1]
	}
	return held, other
}

// callTwoModels runs callers of both models for some seconds.
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

// restart starts an entry instance again under its ID at a new address and
// returns it. The old process is not stopped.
func (c *cluster) restart(i int) *process {
	c.t.Helper()
	c.entries[i] = c.startEntry(i)
	c.entries = c.entries[:len(c.entries)-1]
	p := c.entries[i]
	c.await(p.id+" again", func() bool { return c.ready(p) && slices.Contains(c.locate(c.entries[0]).Addresses, p.address) })
	return p
}

// assertUsed checks that an instance is handed out, and not its old incarnation,
// and that it serves.
func (c *cluster) assertUsed(t *testing.T, now, old *process) {
	t.Helper()
	addresses := c.locate(c.entries[0]).Addresses
	assert.Contains(t, addresses, now.address)
	assert.NotContains(t, addresses, old.address)
	assert.True(t, c.chat(now, "oak", "after the restart", nil).whole())
}

// TestRestartedInstance starts an instance again under its ID at a new address.
func TestRestartedInstance(t *testing.T) {
	t.Parallel()
	c := newLaggingCluster(t, listLag, 1, 3)
	c.configure("oak")
	const restarted = 1

	t.Run("after a planned stop", func(t *testing.T) {
		old := c.entries[restarted]
		old.signal(t, syscall.SIGTERM)
		<-old.done
		c.assertUsed(t, c.restart(restarted), old)
	})
	t.Run("after a kill", func(t *testing.T) {
		old := c.entries[restarted]
		old.signal(t, syscall.SIGKILL)
		<-old.done
		c.assertUsed(t, c.restart(restarted), old)
	})
	t.Run("the old incarnation was frozen, goes on and stops", func(t *testing.T) {
		old := c.entries[restarted]
		old.freeze(t)
		now := c.restart(restarted)
		old.signal(t, syscall.SIGCONT)
		deadline := time.Now().Add(listLag)
		for time.Now().Before(deadline) {
			c.assertUsed(t, now, old)
			time.Sleep(pollEvery)
		}
		old.signal(t, syscall.SIGTERM)
		for isRunning := true; isRunning; {
			select {
			case <-old.done:
				isRunning = false
			case <-time.After(pollEvery):
			}
			c.assertUsed(t, now, old)
		}
	})
}

package test

import (
	"encoding/json"
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// declareVersion declares a new version of a model of one gibibyte that was declared count
// times before.
func (c *cluster) declareVersion(entry *process, model string, count int64) {
	c.t.Helper()
	c.post("http://"+entry.address+"/v1/settings", operatorCredential, messenger.ChangeRequest{Changes: []messenger.SettingChange{{
		Path: "/platform/models/" + model, Version: count,
		Value: json.RawMessage(fmt.Sprintf(`{"Version":"v%d","Bytes":1073741824,"Copies":2,"MaximumCopies":0}`, count+1)),
	}}})
}

// overcommit returns by how many bytes an engine reports that its memory was exceeded.
func (c *cluster) overcommit(engine *process) int64 {
	c.t.Helper()
	resp, err := c.client.Get("http://" + engine.address + "/v1/report")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var report messenger.EngineReport
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&report))
	return report.OvercommitBytes
}

// TestMemoryWithFrozenLeaseHolder freezes the lease holder while it places a new model
// version, and resumes it after its successor has placed others. No engine may be ordered
// to hold more than its memory.
func TestMemoryWithFrozenLeaseHolder(t *testing.T) {
	t.Parallel()
	const memory = "3758096384" // bytes; three models fit beside the prefix cache
	c := newCluster(t, 3, 4, "--memory", memory)
	models := []string{"oak", "elm", "ash"}
	c.configure(models...)
	for round := range int64(2) {
		frozen, others := c.leaseHolder()
		c.declareVersion(others[0], "oak", 1+round)
		time.Sleep(time.Duration(1+round) * 300 * time.Millisecond)
		frozen.freeze(t)
		c.await("a successor", func() bool { return c.status(others[0]).Holder != frozen.id })
		c.declareVersion(others[0], "elm", 1+round)
		c.await("elm", func() bool { return c.chat(others[0], "elm", "new version", nil).isComplete() })
		frozen.signal(t, syscall.SIGCONT)
		c.await("the former holder to report its successor", func() bool { return c.status(frozen).Holder != frozen.id })
	}
	for _, m := range models {
		c.await(m, func() bool { return c.chat(c.entries[0], m, "after all", nil).isComplete() })
	}
	for _, e := range c.engines {
		assert.Zero(t, c.overcommit(e), e.id)
	}
}

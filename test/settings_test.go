package test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// applyTimeout is the time within which every instance must apply an accepted change.
const applyTimeout = 3 * time.Second

// setFault makes the table service of the platform fail from now on.
func (c *cluster) setFault(f platformer.Fault) {
	c.t.Helper()
	c.post("http://"+c.platform.address+"/fake/fault", "", f)
}

// declareModel declares a model at an instance and returns the status and the answer.
func (c *cluster) declareModel(entry *process, model string) (int, messenger.ChangeAnswer) {
	c.t.Helper()
	body, err := json.Marshal(messenger.ChangeRequest{OperationID: "declare-" + model, Changes: []messenger.SettingChange{{
		Path: "/platform/models/" + model, Value: json.RawMessage(`{"Version":"v1","Bytes":1048576,"Copies":1,"MaximumCopies":0}`),
	}}})
	require.NoError(c.t, err)
	req, err := http.NewRequest(http.MethodPost, "http://"+entry.address+"/v1/settings", bytes.NewReader(body))
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorCredential)
	resp, err := c.client.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var answer messenger.ChangeAnswer
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&answer))
	return resp.StatusCode, answer
}

// revision returns the settings revision of an instance, or 0 if it does not answer.
func (c *cluster) revision(entry *process) int64 {
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.address+"/v1/status", http.NoBody)
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorCredential)
	resp, err := c.client.Do(req)
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	var answer messenger.StatusAnswer
	if json.NewDecoder(resp.Body).Decode(&answer) != nil {
		return 0
	}
	return answer.Revision
}

func (c *cluster) ready(entry *process) bool {
	return c.get("http://"+entry.address+"/readyz") == http.StatusOK
}

// assertApplied checks that instances reach a settings revision within applyTimeout.
func (c *cluster) assertApplied(revision int64, entries ...*process) {
	c.t.Helper()
	for _, e := range entries {
		assert.Eventually(c.t, func() bool { return c.revision(e) >= revision }, applyTimeout, pollInterval, e.id)
	}
}

// freeze stops a process with SIGSTOP and waits until all its threads have stopped, as
// sending the signal returns before that.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	require.Eventually(t, func() bool {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
		return err == nil && len(files) > 0 && !slices.ContainsFunc(files, isThreadRunning)
	}, applyTimeout, time.Millisecond)
}

// isThreadRunning reports whether the thread of a /proc stat file has not stopped.
func isThreadRunning(file string) bool {
	text, err := os.ReadFile(file)
	_, state, found := strings.Cut(string(text), ") ")
	return err != nil || !found || !strings.HasPrefix(state, "T")
}

// TestSettingsUnderFailure checks that each accepted change reaches all instances exactly
// once while the table service and instances fail, and that requests are served meanwhile.
func TestSettingsUnderFailure(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.configure("oak")
	last := c.revision(c.entries[0])

	t.Run("a change is applied by all instances", func(t *testing.T) {
		status, answer := c.declareModel(c.entries[1], "elm")
		require.Equal(t, http.StatusOK, status)
		c.assertApplied(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("an answer of the table service is lost", func(t *testing.T) {
		c.setFault(platformer.Fault{LoseAnswers: 1})
		status, answer := c.declareModel(c.entries[2], "ash")
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, last+1, answer.Revision)
		c.assertApplied(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("an instance is frozen", func(t *testing.T) {
		frozen := c.entries[3]
		frozen.freeze(t)
		status, answer := c.declareModel(c.entries[0], "bay")
		frozen.signal(t, syscall.SIGCONT)
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, []string{frozen.id}, answer.Pending)
		c.assertApplied(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("the table service is slow", func(t *testing.T) {
		c.setFault(platformer.Fault{Delay: 300 * time.Millisecond})
		status, answer := c.declareModel(c.entries[3], "yew")
		require.Equal(t, http.StatusOK, status)
		c.assertApplied(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("the table service is down", func(t *testing.T) {
		c.setFault(platformer.Fault{Down: true})
		time.Sleep(applyTimeout)
		status, _ := c.declareModel(c.entries[0], "fir")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		for _, e := range c.entries {
			assert.True(t, c.chat(e, "oak", "during the outage", nil).isComplete(), e.id)
		}
		late := c.startEntry(len(c.entries))
		c.await("an instance started during the outage", func() bool { return c.ready(late) })
		assert.Equal(t, last, c.revision(late), "it copies the settings of its peers")
		assert.True(t, c.chat(late, "oak", "started during the outage", nil).isComplete())
	})
	t.Run("the table service is available again", func(t *testing.T) {
		c.setFault(platformer.Fault{})
		status, answer := c.declareModel(c.entries[4], "fir")
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, last+1, answer.Revision, "the refused change has no effect")
		c.assertApplied(answer.Revision, c.entries...)
		last = answer.Revision
	})
}

// TestIsolatedInstanceRefuses freezes the platform and all other instances. The remaining
// instance must refuse requests as not run, and all must recover afterwards.
func TestIsolatedInstanceRefuses(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.configure("oak")
	last := c.revision(c.entries[0])
	isolated := c.entries[0]
	surrounding := append([]*process{c.platform}, c.entries[1:]...)
	for _, p := range surrounding {
		p.freeze(t)
	}
	time.Sleep(applyTimeout)
	r := c.chat(isolated, "oak", "cut off", nil)
	require.NoError(t, r.err)
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.True(t, r.refusal(t).NotRun)
	for _, p := range surrounding {
		p.signal(t, syscall.SIGCONT)
	}
	for _, e := range c.entries {
		c.await(fmt.Sprint(e.id, " to be ready again"), func() bool { return c.ready(e) })
		assert.GreaterOrEqual(t, c.revision(e), last)
	}
	status, _ := c.declareModel(isolated, "elm")
	assert.Equal(t, http.StatusOK, status)
}

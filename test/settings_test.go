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

// inForce is the time within which an accepted configuration is in force.
const inForce = 3 * time.Second

func (c *cluster) fault(f platformer.Fault) {
	c.t.Helper()
	c.post("http://"+c.platform.address+"/fake/fault", "", f)
}

// change declares a model and returns the status and the answer.
func (c *cluster) change(entry *process, model string) (int, messenger.ChangeAnswer) {
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

// assertInForce checks that instances reach a revision in time and keep it.
func (c *cluster) assertInForce(revision int64, entries ...*process) {
	c.t.Helper()
	for _, e := range entries {
		assert.Eventually(c.t, func() bool { return c.revision(e) >= revision }, inForce, pollEvery, e.id)
	}
}

// freeze stops a process and waits until each of its threads has stopped: the
// signal is sent before that.
func (p *process) freeze(t *testing.T) {
	t.Helper()
	p.signal(t, syscall.SIGSTOP)
	require.Eventually(t, func() bool {
		files, err := filepath.Glob(fmt.Sprintf("/proc/%d/task/*/stat", p.command.Process.Pid))
		return err == nil && len(files) > 0 && !slices.ContainsFunc(files, isRunning)
	}, inForce, time.Millisecond)
}

// isRunning reports whether the thread of a stat file has not stopped.
func isRunning(file string) bool {
	text, err := os.ReadFile(file)
	_, state, found := strings.Cut(string(text), ") ")
	return err != nil || !found || !strings.HasPrefix(state, "T")
}

// TestSettingsUnderFailure changes settings while the table service and
// instances fail.
func TestSettingsUnderFailure(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.configure("oak")
	last := c.revision(c.entries[0])

	t.Run("a change is in force everywhere", func(t *testing.T) {
		status, answer := c.change(c.entries[1], "elm")
		require.Equal(t, http.StatusOK, status)
		c.assertInForce(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("an answer of the table service is lost", func(t *testing.T) {
		c.fault(platformer.Fault{LoseAnswers: 1})
		status, answer := c.change(c.entries[2], "ash")
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, last+1, answer.Revision)
		c.assertInForce(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("an instance is frozen", func(t *testing.T) {
		frozen := c.entries[3]
		frozen.freeze(t)
		status, answer := c.change(c.entries[0], "bay")
		frozen.signal(t, syscall.SIGCONT)
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, []string{frozen.id}, answer.Pending)
		c.assertInForce(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("the table service is slow", func(t *testing.T) {
		c.fault(platformer.Fault{Delay: 300 * time.Millisecond})
		status, answer := c.change(c.entries[3], "yew")
		require.Equal(t, http.StatusOK, status)
		c.assertInForce(answer.Revision, c.entries...)
		last = answer.Revision
	})
	t.Run("the table service is down", func(t *testing.T) {
		c.fault(platformer.Fault{Down: true})
		time.Sleep(inForce)
		status, _ := c.change(c.entries[0], "fir")
		assert.Equal(t, http.StatusServiceUnavailable, status)
		for _, e := range c.entries {
			assert.True(t, c.chat(e, "oak", "during the outage", nil).whole(), e.id)
		}
		late := c.startEntry(len(c.entries))
		c.await("an instance started during the outage", func() bool { return c.ready(late) })
		assert.Equal(t, last, c.revision(late), "it takes the settings of its peers")
		assert.True(t, c.chat(late, "oak", "started during the outage", nil).whole())
	})
	t.Run("the table service is back", func(t *testing.T) {
		c.fault(platformer.Fault{})
		status, answer := c.change(c.entries[4], "fir")
		require.Equal(t, http.StatusOK, status)
		assert.Equal(t, last+1, answer.Revision, "the refused change left nothing")
		c.assertInForce(answer.Revision, c.entries...)
		last = answer.Revision
	})
}

// TestCutOffInstanceStops freezes everything around one instance.
func TestCutOffInstanceStops(t *testing.T) {
	c := newCluster(t, 1, 4)
	c.configure("oak")
	last := c.revision(c.entries[0])
	cut := c.entries[0]
	around := append([]*process{c.platform}, c.entries[1:]...)
	for _, p := range around {
		p.freeze(t)
	}
	time.Sleep(inForce)
	r := c.chat(cut, "oak", "cut off", nil)
	require.NoError(t, r.err)
	assert.Equal(t, http.StatusServiceUnavailable, r.status)
	assert.True(t, r.refusal(t).NotRun)
	for _, p := range around {
		p.signal(t, syscall.SIGCONT)
	}
	for _, e := range c.entries {
		c.await(fmt.Sprint(e.id, " to go on"), func() bool { return c.ready(e) })
		assert.GreaterOrEqual(t, c.revision(e), last)
	}
	status, _ := c.change(cut, "elm")
	assert.Equal(t, http.StatusOK, status)
}

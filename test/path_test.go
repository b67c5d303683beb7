package test

import (
	"encoding/json"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func (c *cluster) locate(entry *process) messenger.LocateAnswer {
	c.t.Helper()
	resp, err := c.client.Get("http://" + entry.address + "/v1/locate")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var answer messenger.LocateAnswer
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer
}

// TestRequestPath sends requests through the whole system, before and after an entry
// instance is killed.
func TestRequestPath(t *testing.T) {
	c := newCluster(t, 3, 4)
	c.configure("oak", "elm")

	t.Run("locate", func(t *testing.T) {
		answer := c.locate(c.entries[1])
		assert.Len(t, answer.Addresses, len(c.entries))
		assert.Equal(t, c.entries[1].address, answer.Addresses[0])
		assert.True(t, answer.Deadline.After(time.Now()))
		assert.NotEmpty(t, answer.Key)
	})
	t.Run("stream", func(t *testing.T) {
		assert.True(t, c.chat(c.entries[0], "oak", "trim order", nil).isComplete())
	})
	t.Run("a key used at two instances runs once", func(t *testing.T) {
		key := http.Header{"X-Request-Key": {c.locate(c.entries[2]).Key}}
		before := len(c.executions())
		first := c.send(c.entries[2], "/v1/services/orders/cut", "parcel 7", key)
		second := c.send(c.entries[3], "/v1/services/orders/cut", "parcel 7", key)
		require.NoError(t, first.err)
		assert.Equal(t, first.body, second.body)
		assert.Len(t, c.executions(), before+1)
	})
	t.Run("an instance is killed", func(t *testing.T) {
		killed := c.entries[0]
		key := http.Header{"X-Request-Key": {c.locate(killed).Key}}
		killed.signal(t, syscall.SIGKILL)
		<-killed.done
		for _, e := range c.entries[1:] {
			assert.True(t, c.chat(e, "elm", "after the kill", nil).isComplete())
		}
		c.await("removal of the killed instance from the addresses", func() bool {
			return len(c.locate(c.entries[1]).Addresses) == len(c.entries)-1
		})
		r := c.send(c.entries[1], "/v1/services/orders/cut", "parcel 8", key)
		assert.Equal(t, http.StatusBadGateway, r.status)
		assert.False(t, r.refusal(t).NotRun)
	})
}

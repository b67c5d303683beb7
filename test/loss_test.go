package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// notSentTo returns the requests without an attempt at an address.
func notSentTo(history []result, address string) []result {
	list := []result{}
	for _, r := range history {
		isSent := false
		for _, s := range r.attempts {
			isSent = isSent || s.address == address
		}
		if !isSent {
			list = append(list, r)
		}
	}
	return list
}

// ofKind returns the requests of one kind.
func ofKind(history []result, kind string) []result {
	list := []result{}
	for _, r := range history {
		if r.kind == kind {
			list = append(list, r)
		}
	}
	return list
}

// assertOnlyUnrepeatableLost checks that the loss of the instance at an address leaves only
// those requests without an answer that were sent there and must not be repeated.
func assertOnlyUnrepeatableLost(t *testing.T, c *cluster, history []result, address string) {
	t.Helper()
	unansweredRequests := unanswered(history)
	assert.Empty(t, notSentTo(unansweredRequests, address), "requests without an answer that were not sent to the lost instance")
	assert.Empty(t, ofKind(unansweredRequests, kindChat), "repeatable requests without an answer")
	assert.Empty(t, wrongExecutions(history, c.executions()))
	t.Logf("%d of %d requests without an answer, slowest %v", len(unansweredRequests), len(history), longestDuration(history).Round(time.Millisecond))
}

func (c *cluster) status(entry *process) messenger.StatusAnswer {
	c.t.Helper()
	req, err := http.NewRequest(http.MethodGet, "http://"+entry.address+"/v1/status", nil)
	require.NoError(c.t, err)
	req.Header.Set("Authorization", "Bearer "+operatorCredential)
	resp, err := c.client.Do(req)
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var answer messenger.StatusAnswer
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer
}

// leaseHolder returns the holder of the control lease and the other instances.
func (c *cluster) leaseHolder() (*process, []*process) {
	c.t.Helper()
	id := c.status(c.entries[0]).Holder
	var holder *process
	others := []*process{}
	for _, e := range c.entries {
		if e.id == id {
			holder = e
			continue
		}
		others = append(others, e)
	}
	require.NotNil(c.t, holder)
	return holder, others
}

// TestKilledInstance kills the lease holder under load. Its address must be withdrawn
// within 3 s, and only requests that it ran and that must not be repeated may be lost.
func TestKilledInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, "--token-interval", "2ms")
	c.configure("oak")
	killed, others := c.leaseHolder()
	time.AfterFunc(2*time.Second, func() {
		killed.signal(t, syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		assert.NotContains(t, c.locate(others[0]).Addresses, killed.address)
	})
	history := c.runCallers(8, 40, 200*time.Millisecond)
	assertOnlyUnrepeatableLost(t, c, history, killed.address)
}

// TestFrozenInstance freezes the process of the lease holder until its lease has expired,
// while settings change, and resumes it. It must not serve on stale settings or act as
// the holder then.
func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, "--token-interval", "2ms")
	c.configure("oak")
	frozen, others := c.leaseHolder()
	fence := c.status(frozen).Fence
	c.declareTeam("ver", 0)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(2 * time.Second)
		frozen.freeze(t)
		c.assertStaleSettingsRefused(frozen, others)
	})
	history := c.runCallers(8, 36, 200*time.Millisecond)
	group.Wait()
	assertOnlyUnrepeatableLost(t, c, history, frozen.address)
	c.await("the frozen instance to follow the new lease holder", func() bool {
		s := c.status(frozen)
		return s.Ready && s.Holder != frozen.id && s.Fence > fence
	})
	assert.Contains(t, c.locate(others[0]).Addresses, frozen.address, "the address is returned to callers again")
}

// assertStaleSettingsRefused replaces a team's credential while an instance is frozen and
// resumes the instance. No request that reaches the instance afterwards may be served
// with the old credential, nor may those that wait in its sockets when it resumes.
func (c *cluster) assertStaleSettingsRefused(frozen *process, others []*process) {
	c.t.Helper()
	const sends, freezeTime = 20, 9 * time.Second
	c.declareTeamAt(others[0], "ver", "another-credential", 1)
	resumeAt := time.Now().Add(freezeTime)
	var group sync.WaitGroup
	for i := range sends {
		group.Go(func() {
			time.Sleep(time.Until(resumeAt.Add(time.Duration(i-sends/2) * 100 * time.Millisecond)))
			header := http.Header{"Authorization": {"Bearer ver.secret-of-ver"}}
			r := c.send(frozen, "/v1/services/orders/stale", "stale", header)
			assert.NotEqual(c.t, http.StatusOK, r.status, "served with stale settings")
		})
	}
	time.Sleep(time.Until(resumeAt))
	frozen.signal(c.t, syscall.SIGCONT)
	group.Wait()
}

func (c *cluster) declareTeam(team string, version int64) {
	c.t.Helper()
	c.declareTeamAt(c.entries[0], team, team+".secret-of-"+team, version)
	for _, e := range c.entries {
		c.await(team+" at "+e.id, func() bool {
			return c.chat(e, "oak", "warm up", http.Header{"Authorization": {"Bearer " + team + ".secret-of-" + team}}).isComplete()
		})
	}
}

func (c *cluster) declareTeamAt(entry *process, team, credential string, version int64) {
	c.t.Helper()
	c.post("http://"+entry.address+"/v1/settings", operatorCredential, messenger.ChangeRequest{Changes: []messenger.SettingChange{{
		Path: "/platform/teams/" + team, Version: version, Value: json.RawMessage(fmt.Sprintf(
			`{"CredentialDigest":%q,"RequestsPerSecond":0,"Burst":0,"InFlight":0}`, digest(credential))),
	}}})
}

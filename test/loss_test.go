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

// notThrough returns the requests of which no send went to an address.
func notThrough(history []result, address string) []result {
	list := []result{}
	for _, r := range history {
		through := false
		for _, s := range r.sends {
			through = through || s.address == address
		}
		if !through {
			list = append(list, r)
		}
	}
	return list
}

// ofKind returns the requests of a kind.
func ofKind(history []result, kind string) []result {
	list := []result{}
	for _, r := range history {
		if r.kind == kind {
			list = append(list, r)
		}
	}
	return list
}

// assertLossCutsLittle checks what callers may see when the instance at address
// is lost: only what ran there and may not be repeated has no answer.
func assertLossCutsLittle(t *testing.T, c *cluster, history []result, address string) {
	t.Helper()
	cut := unanswered(history)
	assert.Empty(t, notThrough(cut, address), "requests without an answer that never were at the lost instance")
	assert.Empty(t, ofKind(cut, kindChat), "repeatable requests without an answer")
	assert.Empty(t, misrun(history, c.executions()))
	t.Logf("%d of %d requests without an answer, slowest %v", len(cut), len(history), slowest(history).Round(time.Millisecond))
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

// holder returns the control lease holder and the other instances.
func (c *cluster) holder() (*process, []*process) {
	c.t.Helper()
	id := c.status(c.entries[0]).Holder
	var held *process
	others := []*process{}
	for _, e := range c.entries {
		if e.id == id {
			held = e
			continue
		}
		others = append(others, e)
	}
	require.NotNil(c.t, held)
	return held, others
}

func TestKilledInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, "--token-interval", "2ms")
	c.configure("oak")
	killed, others := c.holder()
	time.AfterFunc(2*time.Second, func() {
		killed.signal(t, syscall.SIGKILL)
		time.Sleep(3 * time.Second)
		assert.NotContains(t, c.locate(others[0]).Addresses, killed.address)
	})
	history := c.runCallers(8, 40, 200*time.Millisecond)
	assertLossCutsLittle(t, c, history, killed.address)
}

// TestFrozenInstance stops the process of the lease holder for longer than the
// lease lives, while settings change, and lets it go on.
func TestFrozenInstance(t *testing.T) {
	t.Parallel()
	c := newCluster(t, 3, 4, "--token-interval", "2ms")
	c.configure("oak")
	frozen, others := c.holder()
	fence := c.status(frozen).Fence
	c.declareTeam("ver", 0)
	var group sync.WaitGroup
	group.Go(func() {
		time.Sleep(2 * time.Second)
		frozen.freeze(t)
		c.assertStaleIsRefused(frozen, others)
	})
	history := c.runCallers(8, 36, 200*time.Millisecond)
	group.Wait()
	assertLossCutsLittle(t, c, history, frozen.address)
	c.await("the frozen instance to follow the new lease holder", func() bool {
		s := c.status(frozen)
		return s.Ready && s.Holder != frozen.id && s.Fence > fence
	})
	assert.Contains(t, c.locate(others[0]).Addresses, frozen.address, "is handed out again")
}

// assertStaleIsRefused takes a team's credential away while an instance is
// frozen. Nothing that reaches the instance from then on may be served with it,
// also what waits in its sockets when it goes on.
func (c *cluster) assertStaleIsRefused(frozen *process, others []*process) {
	c.t.Helper()
	const sends, hold = 20, 9 * time.Second
	c.declareTeamAt(others[0], "ver", "another-credential", 1)
	thawAt := time.Now().Add(hold)
	var group sync.WaitGroup
	for i := range sends {
		group.Go(func() {
			time.Sleep(time.Until(thawAt.Add(time.Duration(i-sends/2) * 100 * time.Millisecond)))
			header := http.Header{"Authorization": {"Bearer ver.secret-of-ver"}}
			r := c.send(frozen, "/v1/services/orders/stale", "stale", header)
			assert.NotEqual(c.t, http.StatusOK, r.status, "served on stale settings")
		})
	}
	time.Sleep(time.Until(thawAt))
	frozen.signal(c.t, syscall.SIGCONT)
	group.Wait()
}

func (c *cluster) declareTeam(team string, version int64) {
	c.t.Helper()
	c.declareTeamAt(c.entries[0], team, team+".secret-of-"+team, version)
	for _, e := range c.entries {
		c.await(team+" at "+e.id, func() bool {
			return c.chat(e, "oak", "warm up", http.Header{"Authorization": {"Bearer " + team + ".secret-of-" + team}}).whole()
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

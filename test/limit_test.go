package test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	limitRate  = 100 // requests per second
	limitBurst = 50
)

// admission is a request that was let in at some moment from sentAt to endedAt.
type admission struct {
	sentAt  time.Time
	endedAt time.Time
}

// excessOf returns by how much admissions surely exceed the limit in the worst
// window: only those count that lie in the window as a whole.
func excessOf(admitted []admission, rate, burst float64) float64 {
	worst := 0.0
	for _, from := range admitted {
		ends := []time.Time{}
		for _, a := range admitted {
			if !a.sentAt.Before(from.sentAt) && a.sentAt.Before(from.sentAt.Add(3*time.Second)) {
				ends = append(ends, a.endedAt)
			}
		}
		slices.SortFunc(ends, time.Time.Compare)
		for i, end := range ends {
			window := end.Sub(from.sentAt).Seconds()
			worst = max(worst, float64(i+1)-rate*window-burst)
		}
	}
	return worst
}

func TestExcessOf(t *testing.T) {
	now := time.Now()
	admitted := make([]admission, limitBurst)
	for i := range admitted {
		admitted[i] = admission{sentAt: now, endedAt: now}
	}
	assert.Zero(t, excessOf(admitted, limitRate, limitBurst))
	assert.InDelta(t, 1, excessOf(append(admitted, admission{sentAt: now, endedAt: now}), limitRate, limitBurst), 1e-9)
	later := now.Add(time.Second / limitRate)
	assert.InDelta(t, 0, excessOf(append(admitted, admission{sentAt: now, endedAt: later}), limitRate, limitBurst), 1e-9)
}

// perSecond returns how many requests were let in during the second from a time on.
func perSecond(admitted []admission, from time.Time) int {
	n := 0
	for _, a := range admitted {
		if !a.endedAt.Before(from) && a.endedAt.Before(from.Add(time.Second)) {
			n++
		}
	}
	return n
}

// press sends count requests at each of the addresses from some senders, far more
// than the limit lets in, and returns those that were let in.
func (c *cluster) press(addresses []string, senders, count int) []admission {
	var mu sync.Mutex
	var group sync.WaitGroup
	admitted := []admission{}
	client := &http.Client{Timeout: time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: senders}}
	send := func(address string) {
		a := admission{sentAt: time.Now()}
		req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/services/orders/limit", nil)
		if err != nil {
			panic(err)
		}
		req.Header.Set("Authorization", "Bearer ver.secret-of-ver")
		resp, err := client.Do(req)
		if err != nil {
			return
		}
		resp.Body.Close()
		a.endedAt = time.Now()
		if resp.StatusCode == http.StatusOK {
			mu.Lock()
			defer mu.Unlock()
			admitted = append(admitted, a)
		}
	}
	for range senders {
		for _, address := range addresses {
			group.Go(func() {
				for range count {
					send(address)
					time.Sleep(10 * time.Millisecond)
				}
			})
		}
	}
	group.Wait()
	return admitted
}

func (c *cluster) declareLimit(rate, burst int) {
	c.t.Helper()
	c.post("http://"+c.entries[0].address+"/v1/settings", operatorCredential, messenger.ChangeRequest{Changes: []messenger.SettingChange{{
		Path: "/platform/teams/ver", Value: json.RawMessage(fmt.Sprintf(
			`{"CredentialDigest":%q,"RequestsPerSecond":%d,"Burst":%d,"InFlight":0}`,
			digest("ver.secret-of-ver"), rate, burst)),
	}}})
}

// TestLimitsAfterLoss uses a team's limit up at one instance, then at all, and
// kills one of four.
func TestLimitsAfterLoss(t *testing.T) {
	for _, lostHolder := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder lost %v", lostHolder), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 4)
			c.configure("oak")
			c.declareLimit(limitRate, limitBurst)
			holder, others := c.holder()
			lost := others[0]
			if lostHolder {
				lost = holder
			}
			one := c.press([]string{others[1].address}, 4, 600)
			start := one[len(one)-1].endedAt.Add(-2500 * time.Millisecond)
			atOne := (perSecond(one, start) + perSecond(one, start.Add(time.Second))) / 2
			assert.Greater(t, atOne, limitRate*85/100, "per second at one instance")

			addresses := []string{}
			for _, e := range c.entries {
				addresses = append(addresses, e.address)
			}
			var lostAt time.Time
			time.AfterFunc(4*time.Second, func() {
				lost.signal(t, syscall.SIGKILL)
				lostAt = time.Now()
			})
			all := c.press(addresses, 1, 1700)
			const most = 16 * time.Second
			recovered := time.Duration(0)
			for recovered < most && perSecond(all, lostAt.Add(recovered)) < limitRate*95/100 {
				recovered += 250 * time.Millisecond
			}
			excess := excessOf(all, limitRate, limitBurst)
			t.Logf("at one instance %d per second of %d; whole limit %v after the loss; largest excess %.0f",
				atOne, limitRate, recovered, excess)
			assert.Less(t, recovered, most)
			assert.Zero(t, excess)
		})
	}
}

// TestSmallLimitOverInstances uses a limit of one request a second up at all of
// four instances, then at each alone.
func TestSmallLimitOverInstances(t *testing.T) {
	t.Parallel()
	const rate, burst = 1, 1
	c := newCluster(t, 1, 4)
	c.configure("oak")
	c.declareLimit(rate, burst)
	addresses := []string{}
	for _, e := range c.entries {
		addresses = append(addresses, e.address)
	}
	admitted := c.press(addresses, 1, 1500)
	t.Logf("at all instances: %d let in", len(admitted))
	assert.Greater(t, len(admitted), 5)
	for _, address := range addresses {
		one := c.press([]string{address}, 1, 800)
		t.Logf("at one instance: %d let in", len(one))
		assert.NotEmpty(t, one)
		admitted = append(admitted, one...)
	}
	assert.LessOrEqual(t, excessOf(admitted, rate, burst), 1e-9)
}

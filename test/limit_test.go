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

// admission is a request that was admitted at an unknown time between sentAt and endedAt.
type admission struct {
	sentAt  time.Time
	endedAt time.Time
}

// limitExcess returns by how many requests the admissions exceed the limit in the worst
// window. As the time of admission is not known exactly, a window counts only admissions
// that lie in it entirely. The requests of a window were sent within 3 s.
func limitExcess(admitted []admission, rate, burst float64) float64 {
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

func TestLimitExcess(t *testing.T) {
	now := time.Now()
	admitted := make([]admission, limitBurst)
	for i := range admitted {
		admitted[i] = admission{sentAt: now, endedAt: now}
	}
	assert.Zero(t, limitExcess(admitted, limitRate, limitBurst))
	assert.InDelta(t, 1, limitExcess(append(admitted, admission{sentAt: now, endedAt: now}), limitRate, limitBurst), 1e-9)
	later := now.Add(time.Second / limitRate)
	assert.InDelta(t, 0, limitExcess(append(admitted, admission{sentAt: now, endedAt: later}), limitRate, limitBurst), 1e-9)
}

// admittedWithinSecond returns how many requests were admitted in the second after from.
func admittedWithinSecond(admitted []admission, from time.Time) int {
	n := 0
	for _, a := range admitted {
		if !a.endedAt.Before(from) && a.endedAt.Before(from.Add(time.Second)) {
			n++
		}
	}
	return n
}

// sendOverLimit sends count requests from each sender to each of the addresses, far more
// than the limit allows, and returns those that were admitted.
func (c *cluster) sendOverLimit(addresses []string, senders, count int) []admission {
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

// TestLimitAfterInstanceLoss exhausts a team's limit at one instance, then at all four, and
// kills one of them. The survivors must take over its share without exceeding the limit.
func TestLimitAfterInstanceLoss(t *testing.T) {
	for _, lostHolder := range []bool{false, true} {
		t.Run(fmt.Sprintf("holder lost %v", lostHolder), func(t *testing.T) {
			t.Parallel()
			c := newCluster(t, 1, 4)
			c.configure("oak")
			c.declareLimit(limitRate, limitBurst)
			leaseHolder, others := c.leaseHolder()
			lost := others[0]
			if lostHolder {
				lost = leaseHolder
			}
			admittedAtOne := c.sendOverLimit([]string{others[1].address}, 4, 600)
			start := admittedAtOne[len(admittedAtOne)-1].endedAt.Add(-2500 * time.Millisecond)
			atOne := (admittedWithinSecond(admittedAtOne, start) + admittedWithinSecond(admittedAtOne, start.Add(time.Second))) / 2
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
			admittedAtAll := c.sendOverLimit(addresses, 1, 1700)
			const maxRecovery = 16 * time.Second
			recovered := time.Duration(0)
			for recovered < maxRecovery && admittedWithinSecond(admittedAtAll, lostAt.Add(recovered)) < limitRate*95/100 {
				recovered += 250 * time.Millisecond
			}
			excess := limitExcess(admittedAtAll, limitRate, limitBurst)
			t.Logf("at one instance %d per second of %d; whole limit %v after the loss; largest excess %.0f",
				atOne, limitRate, recovered, excess)
			assert.Less(t, recovered, maxRecovery)
			assert.Zero(t, excess)
		})
	}
}

// TestSmallLimitAcrossInstances exhausts a limit of one request per second at all of four
// instances, then at each alone. The limit must hold and stay usable at every instance.
func TestSmallLimitAcrossInstances(t *testing.T) {
	t.Parallel()
	const rate, burst = 1, 1
	c := newCluster(t, 1, 4)
	c.configure("oak")
	c.declareLimit(rate, burst)
	addresses := []string{}
	for _, e := range c.entries {
		addresses = append(addresses, e.address)
	}
	admitted := c.sendOverLimit(addresses, 1, 1500)
	t.Logf("at all instances: %d admitted", len(admitted))
	assert.Greater(t, len(admitted), 5)
	for _, address := range addresses {
		admittedAtOne := c.sendOverLimit([]string{address}, 1, 800)
		t.Logf("at one instance: %d admitted", len(admittedAtOne))
		assert.NotEmpty(t, admittedAtOne)
		admitted = append(admitted, admittedAtOne...)
	}
	assert.LessOrEqual(t, limitExcess(admitted, rate, burst), 1e-9)
}

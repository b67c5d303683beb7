package budgeter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// clock is a manual clock.
type clock struct{ now time.Time }

func (c *clock) read() time.Time { return c.now }

func newTest(c *clock, ratio, slack float64, instanceCount int) *Budgeter {
	b := New(ratio, slack, 10*time.Second)
	b.now, b.start = c.read, c.now
	b.SetInstances(instanceCount)
	return b
}

// countAllowed returns how many of a number of attempted retries the budget allows.
func countAllowed(b *Budgeter, tries int) int {
	n := 0
	for range tries {
		if b.AllowRetry("s") {
			n++
		}
	}
	return n
}

func TestSlackIsDividedAmongInstances(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	const slack = 40
	sum := 0
	for range 4 {
		sum += countAllowed(newTest(c, 0.2, slack, 4), 100)
	}
	assert.Positive(t, sum)
	assert.LessOrEqual(t, float64(sum), float64(slack))
}

func TestRetriesExpireWithWindow(t *testing.T) {
	c := &clock{now: time.Unix(100, 0)}
	b := newTest(c, 0, 10, 1)
	first := countAllowed(b, 100)
	assert.Zero(t, countAllowed(b, 100))
	c.now = c.now.Add(5 * time.Second)
	assert.Zero(t, countAllowed(b, 100))
	c.now = c.now.Add(6100 * time.Millisecond)
	assert.Equal(t, first, countAllowed(b, 100))
}

func TestServicesHaveSeparateBudgets(t *testing.T) {
	b := newTest(&clock{now: time.Unix(100, 0)}, 0, 10, 1)
	countAllowed(b, 100)
	assert.True(t, b.AllowRetry("other"))
}

// TestRetryStorm simulates four instances whose targets fail most requests: in every
// window the retries of all instances together must stay within the limit.
func TestRetryStorm(t *testing.T) {
	const ratio, slack, instanceCount = 0.2, 56, 4
	for seed := range uint64(5) {
		random := rand.New(rand.NewPCG(seed, 1))
		c := &clock{now: time.Unix(100, 0)}
		instances := []*Budgeter{}
		for range instanceCount {
			instances = append(instances, newTest(c, ratio, slack, instanceCount))
		}
		requests, retries := []time.Time{}, []time.Time{}
		for range 30_000 {
			c.now = c.now.Add(time.Duration(random.IntN(4)) * time.Millisecond)
			b := instances[random.IntN(instanceCount)]
			b.CountRequest("s")
			requests = append(requests, c.now)
			for range 3 {
				if random.Float64() < 0.8 && b.AllowRetry("s") {
					retries = append(retries, c.now)
				}
			}
		}
		from, first := 0, 0
		for i, at := range retries {
			for retries[from].Before(at.Add(-10 * time.Second)) {
				from++
			}
			for first < len(requests) && requests[first].Before(at.Add(-10*time.Second)) {
				first++
			}
			last := first
			for last < len(requests) && !requests[last].After(at) {
				last++
			}
			assert.LessOrEqual(t, float64(i-from+1), ratio*float64(last-first)+slack)
		}
		assert.Greater(t, len(retries), len(requests)/10, "the budget is used")
	}
}

// TestSlackWaitsForNumberOfInstances guards against instances that start together and each
// use the whole slack, until they learn how many share it.
func TestSlackWaitsForNumberOfInstances(t *testing.T) {
	const instances, slack = 8, 40
	c := &clock{now: time.Unix(100, 0)}
	sum := 0
	for range instances {
		b := New(0.2, slack, 10*time.Second)
		b.now, b.start = c.read, c.now
		sum += countAllowed(b, 100)
		b.SetInstances(instances)
		sum += countAllowed(b, 100)
	}
	assert.LessOrEqual(t, sum, slack)
	assert.Positive(t, sum)
}

// requireWithinLimit asserts that in each window that ends with one of some events there are
// at most share times as many of them as of requests in the window and a time before, plus slack.
func requireWithinLimit(t *testing.T, events, requests []time.Time, before time.Duration, share, slack float64) {
	t.Helper()
	const length = 10 * time.Second
	from, first, last := 0, 0, 0
	for i, at := range events {
		for events[from].Before(at.Add(-length)) {
			from++
		}
		for first < len(requests) && requests[first].Before(at.Add(-length-before)) {
			first++
		}
		for last < len(requests) && !requests[last].After(at) {
			last++
		}
		require.LessOrEqual(t, float64(i-from+1), share*float64(last-first)+slack)
	}
}

// TestHedgesStayInTheirShare guards against too many second runs over all instances together, in
// bursts, pauses, and while instances start, and against those that take the room of retries.
func TestHedgesStayInTheirShare(t *testing.T) {
	const share, ratio, slack, instanceCount = 0.05, 0.2, 56, 4
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 2))
		c := &clock{now: time.Unix(100, 0)}
		instances, twins := []*Budgeter{}, []*Budgeter{}
		for range instanceCount {
			instances = append(instances, newTest(c, ratio, slack, instanceCount))
			twins = append(twins, newTest(c, ratio, slack, instanceCount))
		}
		var requests, hedges, both []time.Time
		for range 20_000 {
			pause := time.Duration(random.IntN(4)) * time.Millisecond
			if random.IntN(500) == 0 {
				pause = time.Duration(random.IntN(12_000)) * time.Millisecond
			}
			c.now = c.now.Add(pause)
			n := random.IntN(instanceCount)
			if random.IntN(4000) == 0 {
				instances[n], twins[n] = newTest(c, ratio, slack, instanceCount), newTest(c, ratio, slack, instanceCount)
			}
			instances[n].CountRequest("s")
			twins[n].CountRequest("s")
			requests = append(requests, c.now)
			if random.IntN(2) == 0 && instances[n].AllowHedge("s", share) {
				hedges, both = append(hedges, c.now), append(both, c.now)
			}
			if random.IntN(3) == 0 {
				isAllowed := instances[n].AllowRetry("s")
				require.Equal(t, twins[n].AllowRetry("s"), isAllowed, "retries do not depend on second runs")
				if isAllowed {
					both = append(both, c.now)
				}
			}
		}
		requireWithinLimit(t, hedges, requests, 10*time.Second, share, 0)
		requireWithinLimit(t, both, requests, 0, ratio, slack)
		assert.Greater(t, len(hedges), len(requests)/100, "the share is used")
	}
}

func TestNoHedgesWithoutShareOrRequests(t *testing.T) {
	b := newTest(&clock{now: time.Unix(100, 0)}, 0.2, 100, 1)
	assert.False(t, b.AllowHedge("s", 1), "no requests")
	for range 100 {
		b.CountRequest("s")
	}
	assert.False(t, b.AllowHedge("s", 0))
	assert.True(t, b.AllowHedge("s", 1))
	assert.False(t, b.AllowHedge("other", 1))
}

// TestHedgesStayInTheirShareOfTheSameWindow is stricter where the rate varies without pauses.
func TestHedgesStayInTheirShareOfTheSameWindow(t *testing.T) {
	const share, instanceCount = 0.05, 8
	for seed := range uint64(20) {
		random := rand.New(rand.NewPCG(seed, 3))
		c := &clock{now: time.Unix(100, 0)}
		instances := []*Budgeter{}
		for range instanceCount {
			instances = append(instances, newTest(c, 0.2, 200, instanceCount))
		}
		var requests, hedges []time.Time
		for range 20_000 {
			c.now = c.now.Add(time.Duration(random.IntN(6)) * time.Millisecond)
			b := instances[random.IntN(instanceCount)]
			b.CountRequest("s")
			requests = append(requests, c.now)
			if b.AllowHedge("s", share) {
				hedges = append(hedges, c.now)
			}
		}
		requireWithinLimit(t, hedges, requests, 0, share, 0)
		assert.Greater(t, len(hedges), len(requests)/50, "the share is used")
	}
}

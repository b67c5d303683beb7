package budgeter

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
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

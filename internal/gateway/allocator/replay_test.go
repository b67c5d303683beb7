package allocator_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// burst is the load pattern that the allocator addresses: a service that is busy for two fifths
// of the time, whose load swings and comes in clumps, with an overload for some seconds and
// callers that repeat at once.
func burst(seed uint64, usesAllocator bool) scenario {
	return scenario{
		seed: seed, usesAllocator: usesAllocator, length: 24 * time.Second, overload: 1.7, burstFrom: 8 * time.Second,
		burstTo: 13 * time.Second, repeatingShare: 0.3,
	}
}

// compare runs a scenario with today's choice and with the allocator.
func compare(t *testing.T, seed uint64, change func(*scenario)) (alone, allocated result) {
	t.Helper()
	results := [2]result{}
	for i := range results {
		s := burst(seed, i == 1)
		change(&s)
		results[i] = run(s)
	}
	t.Log("alone:    ", results[0])
	t.Log("allocated:", results[1])
	return results[0], results[1]
}

// TestReplay guards against targets that reject requests because instances choose by late loads.
func TestReplay(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			alone, allocated := compare(t, seed, func(*scenario) {})
			assert.LessOrEqual(t, 10*allocated.rejected, alone.rejected)
			assert.Greater(t, allocated.onTime, alone.onTime)
			assert.LessOrEqual(t, 4*allocated.late, alone.late)
			assert.LessOrEqual(t, allocated.unserved, alone.unserved+alone.callers/200)
			assert.Zero(t, allocated.idleRefusals)
		})
	}
}

// TestReplayOfFaults guards against faults of targets and of the allocator that cost more than
// today's choice does.
func TestReplayOfFaults(t *testing.T) {
	scenarios := map[string]func(*scenario){
		"slow target":             func(s *scenario) { s.hasSlowTarget = true },
		"failing target":          func(s *scenario) { s.failingShare = 0.3 },
		"lost target":             func(s *scenario) { s.targetLostAt = 9 * time.Second },
		"allocator lost in burst": func(s *scenario) { s.allocatorLostAt = 9 * time.Second },
		"two allocators":          func(s *scenario) { s.splitAt = 9 * time.Second },
	}
	for name, change := range scenarios {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(2) {
				alone, allocated := compare(t, seed, change)
				assert.LessOrEqual(t, 10*allocated.rejected, alone.rejected)
				assert.Greater(t, allocated.onTime, alone.onTime)
				assert.LessOrEqual(t, allocated.failed, alone.failed+alone.failed/10)
			}
		})
	}
}

func (r result) servedShare(account string, rank int) float64 {
	c := caller{account: account, rank: rank}
	return float64(r.served[c.label()]) / float64(r.offered[c.label()])
}

// TestReplayOfAccounts guards against an account that starves the others: one of eight sends as
// much as ten of them.
func TestReplayOfAccounts(t *testing.T) {
	describe := func(random *rand.Rand, c *caller) {
		c.account = fmt.Sprintf("a%d", max(random.IntN(17)-9, 0))
	}
	alone, allocated := compare(t, 1, func(s *scenario) {
		s.describe = describe
		s.length, s.burstTo = 14*time.Second, 14*time.Second
	})
	for i := 1; i < 8; i++ {
		account := fmt.Sprintf("a%d", i)
		t.Log(account, alone.servedShare(account, 0), allocated.servedShare(account, 0))
		assert.Greater(t, allocated.servedShare(account, 0), 0.99, account)
	}
	t.Log("a0", alone.servedShare("a0", 0), allocated.servedShare("a0", 0))
	assert.Greater(t, allocated.servedShare("a0", 0), 0.7)
}

// TestReplayOfRanks guards against a rank that gets nothing while there is an overload.
func TestReplayOfRanks(t *testing.T) {
	_, allocated := compare(t, 1, func(s *scenario) {
		s.describe = func(random *rand.Rand, c *caller) { c.rank = random.IntN(10) }
		s.length, s.burstTo, s.overload = 20*time.Second, 20*time.Second, 2
	})
	previous := 1.0
	for rank := range 10 {
		share := allocated.servedShare("", rank)
		t.Log(rank, share)
		assert.Greater(t, share, 0.05, "rank %d", rank)
		assert.LessOrEqual(t, share, previous+0.05, "rank %d", rank)
		previous = share
	}
	assert.Greater(t, allocated.servedShare("", 0), 0.98)
}

// TestReplayOfReturns guards against callers that come back when told and find no slot, while new
// ones do.
func TestReplayOfReturns(t *testing.T) {
	_, allocated := compare(t, 1, func(s *scenario) { s.repeatingShare = 0.5 })
	assert.Greater(t, allocated.returned, 50)
	assert.GreaterOrEqual(t, float64(allocated.returnedServed), 0.98*float64(allocated.returned))
}

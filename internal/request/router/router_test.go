package router_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

// newTargets returns one target for each reported number of running requests.
func newTargets(running ...int) []*keeper.Target {
	targets := make([]*keeper.Target, 0, len(running))
	for i, n := range running {
		t := &keeper.Target{ID: fmt.Sprintf("target-%04d", i), DataCentre: "dc-1", Counter: &keeper.Counter{}}
		t.Running = n
		t.ReportedAt = now
		targets = append(targets, t)
	}
	return targets
}

// requirePick requires that the target want is chosen whatever the seed.
func requirePick(t *testing.T, want string, targets []*keeper.Target, ask router.Query) {
	t.Helper()
	for seed := range uint64(50) {
		ask.Seed = seed * 977
		got, err := router.Pick(now, targets, ask)
		require.NoError(t, err)
		require.Equal(t, want, got.ID, "seed %d", ask.Seed)
	}
}

func TestPick(t *testing.T) {
	ask := router.Query{DataCentre: "dc-1"}
	t.Run("the least loaded target", func(t *testing.T) {
		requirePick(t, "target-0001", newTargets(5, 1, 4), ask)
	})
	t.Run("own requests sent since the report are added", func(t *testing.T) {
		targets := newTargets(2, 1)
		targets[1].Counter.InFlight.Store(4)
		requirePick(t, "target-0000", targets, ask)
	})
	t.Run("own requests in the report are counted once", func(t *testing.T) {
		targets := newTargets(3, 4)
		targets[1].Counter.InFlight.Store(2)
		targets[1].Counter.InFlightAtReport.Store(4)
		requirePick(t, "target-0001", targets, ask)
	})
	t.Run("peers are assumed to send as many requests as this instance", func(t *testing.T) {
		targets := newTargets(5, 6)
		targets[0].Counter.InFlight.Store(2)
		withPeers := ask
		withPeers.Peers = 3
		requirePick(t, "target-0001", targets, withPeers)
	})
	t.Run("a stale report is ignored", func(t *testing.T) {
		targets := newTargets(9, 1)
		targets[0].ReportedAt = now.Add(-time.Minute)
		requirePick(t, "target-0000", targets, ask)
	})
	t.Run("the own data centre is preferred at equal load", func(t *testing.T) {
		targets := newTargets(2, 2, 2)
		targets[0].DataCentre, targets[2].DataCentre = "dc-2", "dc-3"
		requirePick(t, "target-0001", targets, ask)
	})
	t.Run("leaving and excluded targets are not chosen", func(t *testing.T) {
		targets := newTargets(0, 1, 2)
		targets[0].Leaving = true
		excluding := ask
		excluding.Excluded = []string{"target-0001"}
		requirePick(t, "target-0002", targets, excluding)
		excluding.Excluded = append(excluding.Excluded, "target-0002")
		_, err := router.Pick(now, targets, excluding)
		require.ErrorIs(t, err, router.ErrNoTarget)
	})
	t.Run("no candidates", func(t *testing.T) {
		_, err := router.Pick(now, nil, ask)
		require.ErrorIs(t, err, router.ErrNoTarget)
	})
}

func TestPickCached(t *testing.T) {
	ask := router.Query{DataCentre: "dc-1", Cached: [2]string{"target-0002"}}
	t.Run("a cached prompt outweighs a small difference", func(t *testing.T) {
		requirePick(t, "target-0002", newTargets(2, 2, 4), ask)
	})
	t.Run("a cached prompt does not outweigh a large one", func(t *testing.T) {
		requirePick(t, "target-0000", newTargets(2, 3, 9), ask)
	})
	t.Run("among many candidates", func(t *testing.T) {
		many := newTargets(make([]int, 500)...)
		ask.Cached[0] = "target-0321"
		requirePick(t, "target-0321", many, ask)
	})
}

func TestPickDeadline(t *testing.T) {
	targets := newTargets(8, 8)
	for _, target := range targets {
		target.Queued = 10
	}
	ask := router.Query{DataCentre: "dc-1", WaitPerRequest: 100 * time.Millisecond, Deadline: now.Add(500 * time.Millisecond)}
	t.Run("too late", func(t *testing.T) {
		_, err := router.Pick(now, targets, ask)
		require.ErrorIs(t, err, router.ErrTooLate)
	})
	t.Run("in time", func(t *testing.T) {
		ask.Deadline = now.Add(2 * time.Second)
		_, err := router.Pick(now, targets, ask)
		require.NoError(t, err)
	})
	t.Run("a high priority overtakes the queue", func(t *testing.T) {
		ask.Deadline = now.Add(500 * time.Millisecond)
		ask.Priority = 1
		_, err := router.Pick(now, targets, ask)
		require.NoError(t, err)
	})
}

// TestPickSpreads checks that choices made from the same reports are spread, and
// do not all fall on the one target with the least reported load.
func TestPickSpreads(t *testing.T) {
	running := make([]int, 100)
	for i := range running {
		running[i] = 1
	}
	running[42] = 0
	targets := newTargets(running...)
	chosen := map[string]int{}
	for seed := range uint64(1000) {
		target, err := router.Pick(now, targets, router.Query{DataCentre: "dc-1", Seed: seed * 7919})
		require.NoError(t, err)
		chosen[target.ID]++
	}
	assert.Less(t, chosen["target-0042"], 150)
	assert.Greater(t, len(chosen), 90)
}

func BenchmarkPick(b *testing.B) {
	for _, n := range []int{2, 10, 100, 1000} {
		running := make([]int, n)
		for i := range running {
			running[i] = i % 17
		}
		targets := newTargets(running...)
		ask := router.Query{
			DataCentre: "dc-1", Cached: [2]string{targets[n/2].ID, targets[n-1].ID}, Excluded: []string{"target-0001"},
			Peers: 3, WaitPerRequest: time.Millisecond, Deadline: now.Add(time.Second),
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				ask.Seed += 0x9e3779b97f4a7c15
				if _, err := router.Pick(now, targets, ask); err != nil {
					b.Fatal(err)
				}
			}
		})
	}
}

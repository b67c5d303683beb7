package orderer

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/time/rate"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const halfEngineBytes = 450 // two models of this size fill an engine

// scenario is a testCluster with one engine, in which the test supplies the moves of
// the planner.
type scenario struct {
	*testCluster
	t *testing.T
	e *fakeEngine
}

func newScenario(t *testing.T, fencing bool) *scenario {
	t.Helper()
	s := &scenario{testCluster: newTestCluster(fencing), t: t}
	s.e = s.engines[0]
	s.engines = s.engines[:1]
	s.catalog = keeper.NewCatalog()
	s.catalog.Revision = 1
	s.takeOver(true)
	s.ticks(4)
	t.Cleanup(func() {
		s.stop()
		assert.Empty(t, s.violations)
	})
	return s
}

// plan makes the planner return the same moves in each tick.
func (s *scenario) plan(kind planner.Kind, models ...string) {
	s.holder.orderer.plan = func(planner.Input) []planner.Move {
		moves := []planner.Move{}
		for _, m := range models {
			moves = append(moves, planner.Move{Kind: kind, Target: s.e.id, Name: keeper.Name{Model: m}, Bytes: halfEngineBytes})
		}
		return moves
	}
}

// move plans a move and runs enough ticks for it to take effect if it is allowed.
func (s *scenario) move(kind planner.Kind, model string) {
	s.plan(kind, model)
	s.ticks(30)
	s.holder.orderer.plan = noMoves
}

func noMoves(planner.Input) []planner.Move { return nil }

func (s *scenario) ticks(n int) {
	for range n {
		s.tick()
	}
}

// pauseBeforeSend lets the holder record a move, pauses it before it sends the order,
// and makes a new process the holder.
func (s *scenario) pauseBeforeSend(kind planner.Kind, model string) *testHolder {
	s.t.Helper()
	s.plan(kind, model)
	s.step(s.holder) // up to the transaction
	s.step(s.holder) // up to the order
	require.True(s.t, s.holder.midTick)
	paused := s.holder
	s.takeOver(false)
	s.holder.orderer.plan = noMoves
	return paused
}

func (s *scenario) assertHolds(models ...string) {
	s.t.Helper()
	assert.Len(s.t, s.e.holdings, len(models))
	for _, m := range models {
		assert.Contains(s.t, s.e.holdings, keeper.Name{Model: m})
	}
}

func withAndWithoutFencing(t *testing.T, test func(t *testing.T, fencing bool)) {
	t.Helper()
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", fencing), func(t *testing.T) { test(t, fencing) })
	}
}

// TestDuplicateAfterUnload fills the memory again while a duplicate of the load of an
// unloaded name is in flight: the late duplicate must not overcommit the memory.
func TestDuplicateAfterUnload(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		s := newScenario(t, fencing)
		s.move(planner.Load, "a")
		s.move(planner.Load, "b")
		load := messenger.EngineOrder{ID: "engine-0.1", Kind: commander.Load, Model: "a", Bytes: halfEngineBytes, Fence: 2 * fencesPerHolder}
		s.plan(planner.Unload, "a")
		for len(s.e.holdings) == 2 {
			s.tick()
		}
		s.e.delayed = append(s.e.delayed, timedOrder{order: load, at: s.now.Add(2 * time.Second)})
		s.move(planner.Load, "c")
		s.move(planner.Load, "c")
		s.ticks(40)
	})
}

// TestPausedLoad has a paused holder send a load after its successor has filled the
// memory, before and after the engine restarts.
func TestPausedLoad(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		for _, restarts := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("%d restarts", restarts), func(t *testing.T) {
				s := newScenario(t, fencing)
				paused := s.pauseBeforeSend(planner.Load, "a")
				s.ticks(20)
				s.move(planner.Unload, "a")
				s.move(planner.Load, "b")
				s.move(planner.Load, "c")
				for range restarts {
					s.e.restart(s.now)
					s.ticks(20)
				}
				s.move(planner.Load, "b")
				s.plan(planner.Load, "c")
				if restarts == 0 {
					s.step(s.holder)
					s.step(s.holder)
					s.e.restart(s.now)
				}
				s.step(paused)
				for s.holder.midTick {
					s.step(s.holder)
				}
				s.ticks(40)
			})
		}
	})
}

// TestPausedUnload pauses a holder before it sends an unload that it has recorded:
// its successor must not count the copy as reliable.
func TestPausedUnload(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		s := newScenario(t, fencing)
		s.move(planner.Load, "a")
		s.plan(planner.Unload, "a")
		for !s.holder.midTick || s.holder.orderer.ledgers[s.e.id].findEntry(keeper.Name{Model: "a"}).State != Unloading {
			if s.step(s.holder); !s.holder.midTick {
				s.advanceTime(tickTime)
			}
		}
		paused := s.holder
		s.takeOver(false)
		s.holder.orderer.plan = noMoves
		s.ticks(2)
		l := s.holder.orderer.ledgers[s.e.id]
		assert.False(t, l.isReliable(keeper.Name{Model: "a"}))
		s.ticks(40)
		s.step(paused)
		assert.NotContains(t, s.e.holdings, keeper.Name{Model: "a"})
	})
}

// TestRestartBeforeSend restarts the engine, which forgets its highest fencing token,
// before two loads are recorded, or between recording and sending them, while a
// paused holder still has a load to send.
func TestRestartBeforeSend(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		for _, isReported := range []bool{false, true} {
			t.Run(fmt.Sprintf("restart reported %t", isReported), func(t *testing.T) {
				s := newScenario(t, fencing)
				paused := s.pauseBeforeSend(planner.Load, "a")
				s.ticks(20)
				s.move(planner.Unload, "a")
				if isReported {
					s.e.restart(s.now)
					s.ticks(3)
				}
				s.holder.orderer.modelLoadLimiter = rate.NewLimiter(rate.Inf, 1)
				s.plan(planner.Load, "b", "c")
				s.step(s.holder)
				s.step(s.holder)
				if !isReported {
					s.e.restart(s.now)
				}
				s.step(paused)
				for s.holder.midTick {
					s.step(s.holder)
				}
				s.ticks(40)
			})
		}
	})
}

// TestReliableCopy checks that a loaded copy is not reliable while an open unload may
// remove it.
func TestReliableCopy(t *testing.T) {
	name := keeper.Name{Model: "a"}
	l := &Ledger{
		Incarnation: "2", Entries: []Entry{{Name: name, State: Held}}, Sends: []Send{{Kind: planner.Unload, Name: name}},
	}
	for _, c := range []struct {
		checksFencing bool
		refusedBy     string
		reliable      bool
	}{{true, "", false}, {true, "1", false}, {true, "2", true}, {false, "2", false}} {
		l.checksFencing, l.Sends[0].RefusedBy = c.checksFencing, c.refusedBy
		assert.Equal(t, c.reliable, l.isReliable(name), "%+v", c)
	}
}

// TestSenderEnded checks which evidence shows that the sender of an order sends no
// more.
func TestSenderEnded(t *testing.T) {
	by := sender{instance: "entry-1", process: "new"}
	send := Send{Instance: "entry-2", Process: "old", Fence: 3*fencesPerHolder + 7}
	for name, c := range map[string]struct {
		instance string
		reported *keeper.Instance
		ended    bool
	}{
		"own earlier process": {"entry-1", nil, true},
		"never reported":      {"entry-2", nil, false},
		"same fence":          {"entry-2", &keeper.Instance{Incarnation: "old", QuietFence: 3}, false},
		"later fence":         {"entry-2", &keeper.Instance{Incarnation: "old", QuietFence: 4}, true},
		"other process":       {"entry-2", &keeper.Instance{Incarnation: "new", QuietFence: 4}, false},
		"replaced":            {"entry-2", &keeper.Instance{Incarnation: "new", Retired: []string{"old"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			send.Instance = c.instance
			assert.Equal(t, c.ended, senderEnded(send, by, c.reported))
		})
	}
}

// TestOlderReport gives a new holder a report that it requested before it read the
// ledgers, and that predates a restart which its predecessor had recorded.
func TestOlderReport(t *testing.T) {
	withAndWithoutFencing(t, func(t *testing.T, fencing bool) {
		s := newScenario(t, fencing)
		old := s.holder.fleet.View().Targets[s.e.id].Report
		s.e.restart(s.now)
		s.move(planner.Load, "a")
		s.move(planner.Load, "b")
		s.takeOver(true)
		old.ReportedAt = s.now
		s.holder.fleet.ChangeTarget(s.e.id, func(t *keeper.Target) { t.Report = old })
		s.plan(planner.Load, "c")
		for range 2 { // the rate limit allows no load in the first tick
			for s.step(s.holder); s.holder.midTick; {
				s.step(s.holder)
			}
			s.now = s.now.Add(time.Second)
		}
		s.ticks(10)
		s.assertHolds("a", "b")
	})
}

// TestLoadLimits checks the limits on loads that are in flight and that begin per
// second.
func TestLoadLimits(t *testing.T) {
	for _, c := range []struct {
		adapter   string
		startedAt []time.Duration
	}{
		{"", []time.Duration{0, 500 * time.Millisecond, time.Second}},
		{"adapter", []time.Duration{0, 0, 0, 0, 0}},
	} {
		t.Run(c.adapter, func(t *testing.T) {
			s := newScenario(t, true)
			s.holder.orderer.limits.ModelLoads = 3
			s.holder.orderer.limits.AdapterLoads = 5
			s.holder.orderer.limits.OrderTimeout = time.Hour
			s.holder.orderer.modelLoadLimiter = rate.NewLimiter(2, 1)
			start := s.now
			startedAt := []time.Duration{}
			s.holder.orderer.order = func(string, messenger.EngineOrder) error {
				startedAt = append(startedAt, s.now.Sub(start))
				return nil
			}
			s.holder.orderer.plan = func(planner.Input) []planner.Move {
				moves := []planner.Move{}
				for i := range 8 {
					name := keeper.Name{Model: fmt.Sprint(i), Adapter: c.adapter}
					moves = append(moves, planner.Move{Kind: planner.Load, Target: s.e.id, Name: name, Bytes: 1})
				}
				return moves
			}
			s.ticks(20)
			assert.Equal(t, c.startedAt, startedAt)
		})
	}
}

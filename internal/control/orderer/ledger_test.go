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

const half = 450 // bytes; two such names fill an engine

// scene is a world in which the planner's moves are given by the test, on one engine.
type scene struct {
	*world
	t *testing.T
	e *engine
}

func newScene(t *testing.T, checks bool) *scene {
	t.Helper()
	s := &scene{world: newWorld(checks), t: t}
	s.e = s.engines[0]
	s.engines = s.engines[:1]
	s.catalog = keeper.NewCatalog()
	s.catalog.Revision = 1
	s.takeOver(true)
	s.ticks(4)
	t.Cleanup(func() {
		s.stop()
		assert.Empty(t, s.faults)
	})
	return s
}

// plan makes the holder ask for moves in each tick.
func (s *scene) plan(kind planner.Kind, models ...string) {
	s.holder.orderer.plan = func(planner.Input) []planner.Move {
		moves := []planner.Move{}
		for _, m := range models {
			moves = append(moves, planner.Move{Kind: kind, Target: s.e.id, Name: keeper.Name{Model: m}, Bytes: half})
		}
		return moves
	}
}

// move plans a move and passes time until it has taken effect, if it may.
func (s *scene) move(kind planner.Kind, model string) {
	s.plan(kind, model)
	s.ticks(30)
	s.holder.orderer.plan = noMoves
}

func noMoves(planner.Input) []planner.Move { return nil }

func (s *scene) ticks(n int) {
	for range n {
		s.tick()
	}
}

// pauseBeforeSend lets the holder record a move and pauses it before it sends.
func (s *scene) pauseBeforeSend(kind planner.Kind, model string) *process {
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

func (s *scene) assertHolds(models ...string) {
	s.t.Helper()
	assert.Len(s.t, s.e.holdings, len(models))
	for _, m := range models {
		assert.Contains(s.t, s.e.holdings, keeper.Name{Model: m})
	}
}

func eachKind(t *testing.T, test func(t *testing.T, checks bool)) {
	t.Helper()
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", checks), func(t *testing.T) { test(t, checks) })
	}
}

// TestDuplicateAfterUnload fills memory again while a duplicate of an unloaded
// name's load is under way.
func TestDuplicateAfterUnload(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		s := newScene(t, checks)
		s.move(planner.Load, "a")
		s.move(planner.Load, "b")
		load := messenger.EngineOrder{ID: "engine-0.1", Kind: commander.Load, Model: "a", Bytes: half, Fence: 2 * fencesPerHolder}
		s.plan(planner.Unload, "a")
		for len(s.e.holdings) == 2 {
			s.tick()
		}
		s.e.parcels = append(s.e.parcels, parcel{order: load, at: s.now.Add(2 * time.Second)})
		s.move(planner.Load, "c")
		s.move(planner.Load, "c")
		s.ticks(40)
	})
}

// TestPausedLoad has a paused holder send a load after its successor filled the
// memory, before and after the engine restarts.
func TestPausedLoad(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		for _, restarts := range []int{0, 1, 2} {
			t.Run(fmt.Sprintf("%d restarts", restarts), func(t *testing.T) {
				s := newScene(t, checks)
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

// TestPausedUnload has a paused holder keep an unload in hand: its successor does
// not rely on the copy.
func TestPausedUnload(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		s := newScene(t, checks)
		s.move(planner.Load, "a")
		s.plan(planner.Unload, "a")
		for !s.holder.midTick || s.holder.orderer.ledgers[s.e.id].find(keeper.Name{Model: "a"}).State != Unloading {
			if s.step(s.holder); !s.holder.midTick {
				s.pass(tickTime)
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

// TestRestartBeforeSend restarts the engine, which forgets its highest fence,
// between the record and the send of two loads, or before their record, while a
// paused holder has a load in hand.
func TestRestartBeforeSend(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		for _, known := range []bool{false, true} {
			t.Run(fmt.Sprintf("restart known %t", known), func(t *testing.T) {
				s := newScene(t, checks)
				paused := s.pauseBeforeSend(planner.Load, "a")
				s.ticks(20)
				s.move(planner.Unload, "a")
				if known {
					s.e.restart(s.now)
					s.ticks(3)
				}
				s.holder.orderer.weights = rate.NewLimiter(rate.Inf, 1)
				s.plan(planner.Load, "b", "c")
				s.step(s.holder)
				s.step(s.holder)
				if !known {
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

// TestReliableCopy checks that a held copy which an open unload may take away is
// not relied upon.
func TestReliableCopy(t *testing.T) {
	name := keeper.Name{Model: "a"}
	l := &Ledger{
		Incarnation: "2", Entries: []Entry{{Name: name, State: Held}}, Sends: []Send{{Kind: planner.Unload, Name: name}},
	}
	for _, c := range []struct {
		checks    bool
		refusedBy string
		reliable  bool
	}{{true, "", false}, {true, "1", false}, {true, "2", true}, {false, "2", false}} {
		l.checks, l.Sends[0].RefusedBy = c.checks, c.refusedBy
		assert.Equal(t, c.reliable, l.isReliable(name), "%+v", c)
	}
}

// TestHasEnded checks what shows that the sender of an order sends no more.
func TestHasEnded(t *testing.T) {
	by := sender{instance: "entry-1", process: "new"}
	send := Send{Instance: "entry-2", Process: "old", Fence: 3*fencesPerHolder + 7}
	for name, c := range map[string]struct {
		instance string
		heard    *keeper.Instance
		ended    bool
	}{
		"own earlier process": {"entry-1", nil, true},
		"never heard":         {"entry-2", nil, false},
		"same fence":          {"entry-2", &keeper.Instance{Incarnation: "old", QuietFence: 3}, false},
		"later fence":         {"entry-2", &keeper.Instance{Incarnation: "old", QuietFence: 4}, true},
		"other process":       {"entry-2", &keeper.Instance{Incarnation: "new", QuietFence: 4}, false},
		"replaced":            {"entry-2", &keeper.Instance{Incarnation: "new", Retired: []string{"old"}}, true},
	} {
		t.Run(name, func(t *testing.T) {
			send.Instance = c.instance
			assert.Equal(t, c.ended, hasEnded(send, by, c.heard))
		})
	}
}

// TestOlderReport gives a successor a report that it asked for before it read the
// ledgers, from before a restart that its predecessor knew of.
func TestOlderReport(t *testing.T) {
	eachKind(t, func(t *testing.T, checks bool) {
		s := newScene(t, checks)
		old := s.holder.fleet.View().Targets[s.e.id].Report
		s.e.restart(s.now)
		s.move(planner.Load, "a")
		s.move(planner.Load, "b")
		s.takeOver(true)
		old.ReportedAt = s.now
		s.holder.fleet.ChangeTarget(s.e.id, func(t *keeper.Target) { t.Report = old })
		s.plan(planner.Load, "c")
		for range 2 { // the first tick has no load in hand
			for s.step(s.holder); s.holder.midTick; {
				s.step(s.holder)
			}
			s.now = s.now.Add(time.Second)
		}
		s.ticks(10)
		s.assertHolds("a", "b")
	})
}

// TestPace bounds the loads that are in flight and that begin in a second.
func TestPace(t *testing.T) {
	for _, c := range []struct {
		adapter string
		begun   []time.Duration
	}{
		{"", []time.Duration{0, 500 * time.Millisecond, time.Second}},
		{"adapter", []time.Duration{0, 0, 0, 0, 0}},
	} {
		t.Run(c.adapter, func(t *testing.T) {
			s := newScene(t, true)
			s.holder.orderer.limits.WeightLoads = 3
			s.holder.orderer.limits.AdapterLoads = 5
			s.holder.orderer.limits.OrderWait = time.Hour
			s.holder.orderer.weights = rate.NewLimiter(2, 1)
			start := s.now
			begun := []time.Duration{}
			s.holder.orderer.order = func(string, messenger.EngineOrder) error {
				begun = append(begun, s.now.Sub(start))
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
			assert.Equal(t, c.begun, begun)
		})
	}
}

package foreman

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	historySlots  = 2
	historySteps  = 5
	historyFaults = 1
	// firstEvents is the number of events that a history may begin with: two adapters to load, a
	// takeover, the target table, a status, and time that passes.
	firstEvents     = 6
	randomHistories = 400
	randomSteps     = 60
	randomFaults    = 25
	// runTime is the longest run that an unload waits for.
	runTime = 12 * time.Second
)

// chooser returns a number from 0 to n-1.
type chooser func(n int) int

// everyChoice calls play with choosers that together make every sequence of choices that begins
// with first.
func everyChoice(first int, play func(choose chooser)) {
	made, limits := []int{first}, []int{first + 1}
	for {
		position := 0
		play(func(n int) int {
			if position == len(made) {
				made, limits = append(made, 0), append(limits, n)
			}
			position++
			return made[position-1]
		})
		made, limits = made[:position], limits[:position]
		for len(made) > 0 && made[len(made)-1] == limits[len(limits)-1]-1 {
			made, limits = made[:len(made)-1], limits[:len(limits)-1]
		}
		if len(made) == 0 {
			return
		}
		made[len(made)-1]++
	}
}

// orderHistory is a target with few adapter slots, and two instances that hold the lease in
// turn. Orders may stay without an answer and be executed later, reports may be outdated, and
// the target table and the status of the other instance arrive at any time.
type orderHistory struct {
	choose     chooser
	faultsLeft int
	target     *engine
	// before is the target's state before its latest order, which a report may still show.
	before   State
	table    *registrar.Registrar
	foremen  []*Foreman
	holder   int
	fence    int64
	late     []Order
	adapters int
	steps    []string
	// unloading holds the adapters whose unload waits for a run, each with the deadline of the run.
	// The target answers a further unload as done, and reports the adapter until the run has ended.
	unloading map[string]time.Time
	// canUse lets adapters be used by runs.
	canUse bool
	// canReacquire lets the holder take the lease anew, with a higher token.
	canReacquire bool
	// futureOrders counts the orders with more accepted orders than the target had accepted.
	futureOrders int
}

func newOrderHistory(choose chooser, adapters, faults int) *orderHistory {
	h := &orderHistory{choose: choose, faultsLeft: faults, adapters: adapters, fence: 1, table: registrar.New(), unloading: map[string]time.Time{}}
	h.target = &engine{models: map[string]bool{"m0": true}, adapters: map[string]bool{}, inUse: map[string]bool{}}
	for i := range historySlots {
		h.target.adapters[fmt.Sprintf("m0/a%d", i)] = true
	}
	h.before = h.report()
	h.table.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s", Engine: &registrar.Engine{
		Slots: 8, WeightMegabytes: targetMegabytes, MaxAdapters: historySlots, LoadsPerSecond: 100,
		Models: map[string]registrar.Model{"m0": {Name: "m0", Megabytes: modelMegabytes, AdapterMegabytes: 60}},
	}}}})
	for i := range 2 {
		calls := Callbacks{Order: h.order, State: h.state, Limit: noLimit, Grant: func() (Grant, bool) {
			return Grant{Fence: h.fence}, h.holder == i
		}}
		f := New(fmt.Sprintf("i%d", i), calls, Bounds{Window: time.Second, Handover: 600 * time.Millisecond}, h.table, balancer.New(), tallier.New(), logr.Discard())
		for name := range h.target.adapters {
			f.addOverlay(&registrar.Target{ID: "t0"}, Order{Model: "m0", Adapter: strings.TrimPrefix(name, "m0/")})
		}
		h.foremen = append(h.foremen, f)
	}
	h.publish()
	return h
}

func (h *orderHistory) note(format string, args ...any) {
	h.steps = append(h.steps, fmt.Sprintf(format, args...))
}

// mayFail returns one of n outcomes of a call; 0, no fault, once all faults are used up.
func (h *orderHistory) mayFail(n int) int {
	if h.faultsLeft == 0 {
		return 0
	}
	outcome := h.choose(n)
	if outcome > 0 {
		h.faultsLeft--
	}
	return outcome
}

// publish updates the target table.
func (h *orderHistory) publish() {
	h.table.Update(func(targets map[string]*registrar.Target) {
		targets["t0"] = &registrar.Target{ID: "t0", Service: "s", Slots: 8, StartMilliseconds: 1, Holdings: h.report().Holdings}
	})
}

func (h *orderHistory) report() State {
	held := registrar.Holding{Model: "m0"}
	for _, name := range slices.Sorted(maps.Keys(h.target.adapters)) {
		held.Adapters = append(held.Adapters, strings.TrimPrefix(name, "m0/"))
	}
	return State{Orders: h.target.acceptedOrders, Holdings: []registrar.Holding{held}}
}

func (h *orderHistory) state(*registrar.Target) (State, error) {
	if h.before.Orders < h.target.acceptedOrders && h.mayFail(2) == 1 {
		h.note("outdated report %v", h.before)
		return h.before, nil
	}
	return h.report(), nil
}

func (h *orderHistory) execute(o Order) (bool, error) {
	before := h.report()
	if o.ExpectedOrders > h.target.acceptedOrders {
		h.futureOrders++
	}
	name := o.Model + "/" + o.Adapter
	if o.IsUnload && h.isUnloading(name) && o.ExpectedOrders == before.Orders {
		h.note("order %s unload expects %d: already unloading", o.Adapter, o.ExpectedOrders)
		return true, nil
	}
	done, err := h.target.execute(o)
	if o.IsUnload && err == nil && !done {
		h.unloading[name] = time.Now().Add(runTime)
	}
	if h.target.acceptedOrders > before.Orders {
		h.before = before
	}
	h.note("order %s unload %v expects %d: done %v, %v", o.Adapter, o.IsUnload, o.ExpectedOrders, done, err)
	return done, err
}

func (h *orderHistory) order(_ *registrar.Target, o Order) (bool, error) {
	switch h.mayFail(3) {
	case 1:
		h.note("order %s unload %v expects %d: late", o.Adapter, o.IsUnload, o.ExpectedOrders)
		h.late = append(h.late, o)
		return false, ErrUnknownOutcome
	case 2:
		_, _ = h.execute(o) // refused or accepted: the answer is lost
		h.note("its answer is lost")
		return false, ErrUnknownOutcome
	default:
		return h.execute(o)
	}
}

// step makes one of the events that are possible.
func (h *orderHistory) step(t *testing.T) {
	f := h.foremen[h.holder]
	var events []func()
	for i := historySlots; i < h.adapters; i++ {
		events = append(events, func() {
			h.note("i%d ensures a%d", h.holder, i)
			_, err := ensureAdapter(t, f, fmt.Sprintf("a%d", i))
			h.note("%v", err)
		})
	}
	events = append(events, func() {
		h.holder, h.fence = 1-h.holder, h.fence+1
		h.note("i%d takes over", h.holder)
		h.foremen[h.holder].Tick()
	}, func() {
		h.note("table")
		h.publish()
		f.Tick()
	}, func() {
		h.note("status")
		for _, o := range f.balancer.Overlays() {
			h.foremen[1-h.holder].balancer.Overlay(o)
		}
	}, func() {
		h.note("time")
		time.Sleep(time.Duration(1+h.choose(2)*9) * time.Second)
		h.endRuns()
		f.Tick()
	})
	if h.canReacquire {
		events = append(events, func() {
			h.fence++
			h.note("i%d takes the lease anew", h.holder)
			f.Tick()
		})
	}
	for _, name := range slices.Sorted(maps.Keys(h.target.adapters)) {
		if h.isUnloading(name) || !h.target.inUse[name] && h.canUse {
			events = append(events, func() { h.toggleRun(name) })
		}
	}
	for i := range h.late {
		events = append(events, func() {
			o := h.late[i]
			h.late = slices.Delete(h.late, i, i+1)
			h.note("late")
			_, _ = h.execute(o) // refused or accepted: no answer is sent
		})
	}
	events[h.choose(len(events))]()
	synctest.Wait()
}

// toggleRun starts a run that uses an adapter, or ends one that its unload waits for.
func (h *orderHistory) toggleRun(name string) {
	h.target.inUse[name] = !h.target.inUse[name]
	h.note("run with %s: %v", name, h.target.inUse[name])
	if h.isUnloading(name) {
		delete(h.unloading, name)
		delete(h.target.adapters, name)
	}
}

func (h *orderHistory) isUnloading(name string) bool {
	_, ok := h.unloading[name]
	return ok
}

// endRuns ends the runs past their deadlines.
func (h *orderHistory) endRuns() {
	for name, deadline := range h.unloading {
		if time.Now().After(deadline) {
			h.toggleRun(name)
		}
	}
}

func (h *orderHistory) overfilled() bool { return len(h.target.adapters) > historySlots }

// assertHistoryHolds plays a history and fails if an order was accepted for which there was no
// room, or bore a number of accepted orders that the target had not reached.
func assertHistoryHolds(t *testing.T, h *orderHistory, steps int) bool {
	for range steps {
		h.step(t)
		if h.overfilled() || h.futureOrders > 0 {
			return assert.Fail(t, "order without room, or ahead of its target", "%s", strings.Join(h.steps, "\n"))
		}
	}
	return true
}

// TestNoHistoryOverfillsATarget guards against orders that meet the number of accepted orders of
// a state that they were not decided on, in every history of a few steps.
func TestNoHistoryOverfillsATarget(t *testing.T) {
	for first := range firstEvents {
		t.Run(fmt.Sprint(first), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(t *testing.T) {
				isSound := true
				everyChoice(first, func(choose chooser) {
					isSound = isSound && assertHistoryHolds(t, newOrderHistory(choose, historySlots+2, historyFaults), historySteps)
				})
			})
		})
	}
}

// TestNoRandomHistoryOverfillsATarget is the same with long histories with many faults.
func TestNoRandomHistoryOverfillsATarget(t *testing.T) {
	for seed := range uint64(randomHistories) {
		isSound := true
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 9))
			h := newOrderHistory(random.IntN, historySlots+4, randomFaults)
			h.canUse = seed%2 == 1
			isSound = assertHistoryHolds(t, h, randomSteps)
		})
		require.True(t, isSound, "seed %d", seed)
	}
}

// TestNoReacquisitionOverfillsATarget guards against a holder that forgets orders when it takes the lease anew, as it
// does after a restore of the store and after a refused token.
func TestNoReacquisitionOverfillsATarget(t *testing.T) {
	for seed := range uint64(randomHistories) {
		isSound := true
		synctest.Test(t, func(t *testing.T) {
			random := rand.New(rand.NewPCG(seed, 57))
			h := newOrderHistory(random.IntN, historySlots+4, randomFaults)
			h.canUse, h.canReacquire = seed%2 == 1, true
			isSound = assertHistoryHolds(t, h, randomSteps)
		})
		require.True(t, isSound, "seed %d", seed)
	}
}

// TestUnloadThatFindsNothingIsNoOrder guards against an order to load beyond the adapter slots: an
// unload answered as done, of an adapter that was unloaded before, was counted as accepted, and
// the order of the earlier holder for the freed slot was executed after it.
func TestUnloadThatFindsNothingIsNoOrder(t *testing.T) {
	c, _, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	e.addAdapters("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	c.publish(f.registry)
	delete(e.adapters, "m0/x0") // by the earlier holder; the table does not show it yet
	e.acceptedOrders++
	late := Order{Model: "m0", Adapter: "x4", ExpectedOrders: e.acceptedOrders, Fence: 1}
	order := f.calls.Order
	f.calls.Order = func(target *registrar.Target, o Order) (bool, error) {
		if o.IsUnload {
			return order(target, o)
		}
		return false, errors.Wrap(ErrNotAccepted, "refused")
	}
	_, err := ensureAdapter(t, f, "a1")
	require.Error(t, err)
	f.calls.Order = order
	_, err = e.execute(late)
	require.NoError(t, err)
	f.targetState(f.registry.View().Targets["t0"]).backoffUntil = time.Time{}
	_, _ = ensureAdapter(t, f, "a1") // refused or served
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

package foreman

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	modelMegabytes  = 70_000.0
	targetMegabytes = 200_000.0
	places          = 4
)

// engine is a target that takes orders as the platform's targets do: at the number
// of orders that the order expects, and some of them late and without an answer.
type engine struct {
	mu       sync.Mutex
	orders   int64
	fence    int64
	models   map[string]bool
	adapters map[string]bool
	inUse    map[string]bool
	late     []Order
	crashed  bool
	// inHand tells that the engine takes no order, since it has another one in hand.
	inHand bool
	// loading is a model on its way, which the engine tells nobody.
	loading string
	// coming are the adapters that are on their way.
	coming map[string]bool
}

// hold makes the engine hold adapters, each named as model/adapter.
func (e *engine) hold(names ...string) {
	for _, name := range names {
		e.adapters[name] = true
	}
}

func (e *engine) take(o Order) (done bool, err error) {
	switch {
	case o.Fence < e.fence:
		return false, ErrFenced
	case e.inHand, o.ExpectedOrders != e.orders, e.loading != "" && o.Adapter == "":
		return false, ErrBusy
	}
	e.fence = o.Fence
	name := o.Model + "/" + o.Adapter
	switch {
	case o.Adapter != "" && o.IsUnload:
		if !e.adapters[name] {
			return true, nil
		}
		e.orders++
		if e.inUse[name] {
			return false, nil
		}
		delete(e.adapters, name)
		return true, nil
	case o.Adapter != "":
		if e.adapters[name] {
			return true, nil
		}
		e.orders++
		e.adapters[name] = true
	case o.IsUnload:
		e.orders++
		if !e.inUse[o.Model] {
			delete(e.models, o.Model)
		}
	default:
		e.orders++
		e.models[o.Model] = true
	}
	e.crashed = e.crashed || len(e.adapters) > places || float64(len(e.models))*modelMegabytes > targetMegabytes
	return false, nil
}

// world has engines behind a foreman that holds the lease.
type world struct {
	mu      sync.Mutex
	random  *rand.Rand
	engines map[string]*engine
	lateOf  float64 // the share of orders that are carried out late
	grant   bool
	fence   int64
}

func newWorld(seed uint64, n int) (*world, *registrar.Registrar, *Foreman) {
	w := &world{random: rand.New(rand.NewPCG(seed, 3)), engines: map[string]*engine{}, grant: true, fence: 1}
	r := registrar.New()
	models := map[string]registrar.Model{}
	for i := range 4 {
		name := fmt.Sprintf("m%d", i)
		models[name] = registrar.Model{Name: name, Megabytes: modelMegabytes, AdapterMegabytes: 60}
	}
	r.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s", Engine: &registrar.Engine{
		Slots: 8, WeightMegabytes: targetMegabytes, AdapterPlaces: places, LoadsPerSecond: 100, Models: models,
	}}}})
	for i := range n {
		w.engines[fmt.Sprintf("t%d", i)] = &engine{
			models: map[string]bool{"m0": true}, adapters: map[string]bool{}, inUse: map[string]bool{},
		}
	}
	f := New("here", Calls{Order: w.order, State: w.state, Grant: w.mayOrder},
		Bounds{Window: time.Second, Handover: 600 * time.Millisecond}, r, balancer.New(), tallier.New(), logr.Discard())
	w.publish(r)
	return w, r, f
}

// publish makes the target table tell what the engines hold.
func (w *world) publish(r *registrar.Registrar) {
	r.Update(func(targets map[string]*registrar.Target) {
		for id, e := range w.engines {
			e.mu.Lock()
			t := &registrar.Target{ID: id, Service: "s", Slots: 8, Born: 1}
			for m := range e.models {
				h := registrar.Holding{Model: m}
				for a := range e.adapters {
					if a[:2] == m {
						h.Adapters = append(h.Adapters, a[3:])
					}
				}
				t.Holdings = append(t.Holdings, h)
			}
			e.mu.Unlock()
			targets[id] = t
		}
	})
}

func (w *world) mayOrder() (Grant, bool) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return Grant{Fence: w.fence}, w.grant
}

func (w *world) order(t *registrar.Target, o Order) (bool, error) {
	w.mu.Lock()
	isLate := w.random.Float64() < w.lateOf
	w.mu.Unlock()
	e := w.engines[t.ID]
	e.mu.Lock()
	defer e.mu.Unlock()
	if isLate {
		e.late = append(e.late, o)
		return false, ErrUnknownOutcome
	}
	return e.take(o)
}

func (w *world) state(t *registrar.Target) (State, error) {
	e := w.engines[t.ID]
	e.mu.Lock()
	defer e.mu.Unlock()
	s := State{Orders: e.orders, Busy: e.loading != ""}
	for m := range e.models {
		h := registrar.Holding{Model: m}
		for a := range e.adapters {
			switch {
			case a[:2] != m:
			case e.coming[a]:
				s.Coming = append(s.Coming, placer.AdapterKey{Model: m, Adapter: a[3:]})
			default:
				h.Adapters = append(h.Adapters, a[3:])
			}
		}
		s.Holdings = append(s.Holdings, h)
	}
	return s, nil
}

// carryOutLate carries out the orders that are late.
func (w *world) carryOutLate() {
	for _, e := range w.engines {
		e.mu.Lock()
		for _, o := range e.late {
			_, _ = e.take(o) // refused or taken: nobody hears of it
		}
		e.late = nil
		e.mu.Unlock()
	}
}

// move begins a move and gives its order.
func (f *Foreman) move(move placer.Move) {
	f.mu.Lock()
	o := f.begin(move)
	f.mu.Unlock()
	f.giveMove(o)
}

func ensure(t *testing.T, f *Foreman, adapter string) (string, error) {
	t.Helper()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	return f.EnsureAdapter(ctx, "s", "m0", adapter)
}

func TestOldFenceEndsTheTerm(t *testing.T) {
	w, _, f := newWorld(1, 1)
	w.engines["t0"].fence = 9
	_, err := ensure(t, f, "a1")
	require.ErrorIs(t, err, ErrFenced)
	assert.False(t, f.IsHolder())
	_, err = ensure(t, f, "a1")
	require.ErrorIs(t, err, ErrNotHolder)
	w.fence = 10
	_, err = ensure(t, f, "a1")
	assert.NoError(t, err)
}

func TestWithoutTheLeaseNoOrder(t *testing.T) {
	w, _, f := newWorld(1, 1)
	w.grant = false
	_, err := ensure(t, f, "a1")
	require.ErrorIs(t, err, ErrNotHolder)
	f.Tick()
	assert.Zero(t, w.engines["t0"].orders)
}

func TestUnreachableTargetRests(t *testing.T) {
	_, _, f := newWorld(1, 1)
	calls := 0
	f.calls.State = func(*registrar.Target) (State, error) {
		calls++
		return State{}, errors.Wrap(ErrNotTaken, "refused")
	}
	_, err := ensure(t, f, "a1")
	require.Error(t, err)
	_, err = ensure(t, f, "a2")
	require.ErrorIs(t, err, ErrNoPlace)
	assert.Equal(t, 1, calls)
}

// TestEarlierIncarnation checks that an older view does not make what is known of a
// target's later incarnation be forgotten.
func TestEarlierIncarnation(t *testing.T) {
	_, r, f := newWorld(1, 1)
	before := r.View().Targets["t0"]
	after := *before
	after.Born++
	f.mu.Lock()
	defer f.mu.Unlock()
	f.site(&after).arrive(placer.AdapterKey{Model: "m0", Adapter: "a1"}, time.Now().Add(time.Minute))
	assert.Len(t, f.site(before).coming, 1)
	assert.Len(t, f.site(&after).coming, 1)
	later := after
	later.Born++
	assert.Empty(t, f.site(&later).coming)
}

package foreman

import (
	"sync/atomic"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

func TestMissingModelsAreLoaded(t *testing.T) {
	w, r, f := newWorld(1, 4)
	require.Eventually(t, func() bool {
		f.Tick()
		w.publish(r)
		held := map[string]bool{}
		for _, e := range w.engines {
			e.mu.Lock()
			for m := range e.models {
				held[m] = true
			}
			e.mu.Unlock()
		}
		return len(held) == 4
	}, 5*time.Second, 5*time.Millisecond)
	for _, e := range w.engines {
		assert.False(t, e.crashed)
	}
}

// TestLoadOfAnEarlierHolder replays a takeover while a target still loads what the
// holder before had ordered, and the target table tells of it late.
func TestLoadOfAnEarlierHolder(t *testing.T) {
	w, _, f := newWorld(1, 1)
	now := time.Now()
	f.now = func() time.Time { return now }
	e := w.engines["t0"]
	e.models["m1"] = true
	e.orders = 3
	e.loading = "m2"
	w.publish(f.registry)
	order := Order{Model: "m3"}
	target := f.registry.View().Targets["t0"]
	give := func() error {
		f.mu.Lock()
		d := f.decide(target)
		f.mu.Unlock()
		_, err := f.give(d, order)
		return err
	}
	for range 3 {
		require.ErrorIs(t, give(), ErrBusy)
	}
	e.loading = ""
	e.models["m2"] = true
	require.ErrorIs(t, give(), ErrBusy, "the target tells of a model that the table does not show")
	f.mu.Lock()
	state := f.state(f.registry.View(), f.registry.View().Service("s"), f.tally.Total())
	f.mu.Unlock()
	assert.True(t, state.Sites[0].Models["m2"])
	assert.False(t, e.crashed)
}

// TestLoadsOfAnEarlierHolder checks that the loads which a holder before may have begun
// count for as long as they lie within the window.
func TestLoadsOfAnEarlierHolder(t *testing.T) {
	w, r, f := newWorld(1, 4)
	now := time.Now()
	f.now = func() time.Time { return now }
	w.fence = 2
	loads := func() int {
		f.Tick()
		f.mu.Lock()
		defer f.mu.Unlock()
		return f.loadsLeft(r.View().Service("s").Engine)
	}
	assert.LessOrEqual(t, loads(), 0)
	now = now.Add(500 * time.Millisecond)
	assert.Positive(t, loads())
}

// TestLoadThatTakesLong replays a model that loads for longer than a lost order is
// waited for, while an adapter is asked for that would fill its room.
func TestLoadThatTakesLong(t *testing.T) {
	w, r, f := newWorld(1, 1)
	start := time.Now()
	var passed atomic.Int64
	clock := func() time.Time { return start.Add(time.Duration(passed.Load())) }
	f.now = clock
	f.balancer = balancer.New(balancer.WithClock(clock))
	manifest := r.View().Manifest
	for name, model := range manifest.Services["s"].Engine.Models {
		model.AdapterMegabytes = modelMegabytes / 2
		manifest.Services["s"].Engine.Models[name] = model
	}
	e := w.engines["t0"]
	target := r.View().Targets["t0"]
	f.move(placer.Move{Target: target, Model: "m1"})
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.orders == 1
	}, time.Second, time.Millisecond)
	passed.Store(int64(20 * time.Second))
	f.settle(r.View())
	for _, adapter := range []string{"a1", "a2"} {
		_, _ = ensure(t, f, adapter)
	}
	assert.LessOrEqual(t, len(e.adapters), 1, "the second one has no room beside the model")
}

// TestUnloadOfAModelThatTheTableNeverTold replays a takeover while the target table is
// late: a model is known from its target alone, and nothing is loaded in its place before
// it is known to be gone.
func TestUnloadOfAModelThatTheTableNeverTold(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	f.beginTerm(r.View())
	e.models["m1"] = true
	e.inUse["m1"] = true
	target := r.View().Targets["t0"]
	f.mu.Lock()
	f.site(target).arrive(placer.AdapterKey{Model: "m1"}, time.Now().Add(time.Minute))
	f.mu.Unlock()
	f.move(placer.Move{Target: target, Model: "m1", Unload: true, For: "m2"})
	ordered := func(n int64) func() bool {
		return func() bool {
			e.mu.Lock()
			defer e.mu.Unlock()
			return e.orders == n
		}
	}
	require.Eventually(t, ordered(1), time.Second, time.Millisecond)
	for range 5 {
		f.Tick()
	}
	assert.Never(t, ordered(2), 50*time.Millisecond, time.Millisecond)
	assert.False(t, e.crashed)
	e.models["m1"] = true
	w.publish(r)
	f.Tick()
	delete(e.models, "m1")
	w.publish(r)
	f.Tick()
	require.Eventually(t, ordered(2), time.Second, time.Millisecond, "the table has told of its end")
	assert.False(t, e.crashed)
}

// TestUnloadAtOnce replays an unload that is done before the next look at the table: the
// load that it makes room for follows at once.
func TestUnloadAtOnce(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.models["m1"] = true
	w.publish(r)
	f.Tick() // begins the term
	f.move(placer.Move{Target: r.View().Targets["t0"], Model: "m1", Unload: true, For: "m2"})
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return !e.models["m1"]
	}, time.Second, time.Millisecond)
	w.publish(r)
	f.Tick()
	require.Eventually(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.models["m2"]
	}, time.Second, time.Millisecond)
}

// TestFailedOrderOfBefore replays an order that fails after another one has taken its
// place: the later one stays open.
func TestFailedOrderOfBefore(t *testing.T) {
	_, r, f := newWorld(1, 1)
	target := r.View().Targets["t0"]
	f.calls.Order = func(*registrar.Target, Order) (bool, error) { return false, errors.Wrap(ErrNotTaken, "refused") }
	f.mu.Lock()
	d := f.decide(target)
	later := &openOrder{order: Order{Model: "m2"}}
	d.site.open = later
	f.mu.Unlock()
	f.carryOut(placer.Move{Target: target, Model: "m1"}, d, &openOrder{order: Order{Model: "m1"}})
	assert.Same(t, later, d.site.open)
}

// TestMoveOfAnEarlierTerm replays a holder that is frozen between an unload and the load
// that it makes room for; another one fills the room before it holds the lease again.
func TestMoveOfAnEarlierTerm(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.models["m1"] = true
	e.inUse["m1"] = true // the unload waits
	w.publish(r)
	f.Tick() // begins the first term
	f.move(placer.Move{Target: r.View().Targets["t0"], Model: "m1", Unload: true, For: "m2"})
	taken := func() int64 {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.orders
	}
	require.Eventually(t, func() bool { return taken() == 1 }, time.Second, time.Millisecond)
	e.models = map[string]bool{"m0": true, "m3": true}
	e.orders = 3
	w.publish(r)
	w.mu.Lock()
	w.fence = 2
	w.mu.Unlock()
	for range 5 {
		f.Tick()
	}
	assert.Never(t, func() bool { return taken() > 3 }, 50*time.Millisecond, time.Millisecond)
	assert.False(t, e.crashed)
}

// TestRoomThatIsGone checks that a load for which room was made is given up where the
// target turns out to hold something else there.
func TestRoomThatIsGone(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.models = map[string]bool{"m0": true, "m3": true}
	w.publish(r)
	f.Tick()
	f.mu.Lock()
	f.site(r.View().Targets["t0"]).next = "m2"
	f.mu.Unlock()
	for range 5 {
		f.Tick()
	}
	assert.Never(t, func() bool {
		e.mu.Lock()
		defer e.mu.Unlock()
		return e.orders > 0
	}, 50*time.Millisecond, time.Millisecond)
	f.mu.Lock()
	defer f.mu.Unlock()
	assert.Empty(t, f.site(r.View().Targets["t0"]).next, "the target is free for other moves")
}

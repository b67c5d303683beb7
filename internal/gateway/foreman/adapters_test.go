package foreman

import (
	"fmt"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

func TestAdapterInUseKeepsItsPlace(t *testing.T) {
	w, _, f := newWorld(1, 1)
	e := w.engines["t0"]
	for i := range places {
		name := fmt.Sprintf("m0/x%d", i)
		e.adapters[name] = true
		e.inUse[name] = true
	}
	w.publish(f.registry)
	_, err := ensure(t, f, "a1")
	require.Error(t, err)
	assert.False(t, e.crashed)
}

func TestConcurrentLoadsShareThePlaces(t *testing.T) {
	for seed := range uint64(20) {
		w, _, f := newWorld(seed, 2)
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { _, _ = ensure(t, f, fmt.Sprintf("a%d", i)) })
		}
		group.Wait()
		for id, e := range w.engines {
			assert.False(t, e.crashed, "seed %d: %s holds %v", seed, id, e.adapters)
		}
	}
}

// TestLateOrders replays orders that are carried out late and without an answer,
// while many adapters are asked for.
func TestLateOrders(t *testing.T) {
	for seed := range uint64(20) {
		w, r, f := newWorld(seed, 2)
		w.lateOf = 0.3
		for i := range 15 {
			_, _ = ensure(t, f, fmt.Sprintf("a%d", i)) // some fail, which is told to the caller
			if i%3 == 0 {
				w.carryOutLate()
			}
			if i%5 == 0 {
				w.publish(r)
			}
		}
		w.carryOutLate()
		for id, e := range w.engines {
			assert.False(t, e.crashed, "seed %d: %s holds %v", seed, id, e.adapters)
		}
	}
}

// TestLateTargetTable replays a store that carries out the writes of targets seconds
// late, so that the table does not show what was loaded.
func TestLateTargetTable(t *testing.T) {
	w, _, f := newWorld(1, 1)
	late := atomic.Int64{}
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(late.Load())) }
	f.now = clock
	f.balancer = balancer.New(balancer.WithClock(clock))
	w.publish(f.registry)
	for i := range places {
		_, err := ensure(t, f, fmt.Sprintf("a%d", i))
		require.NoError(t, err)
	}
	late.Store(int64(6 * time.Second))
	_, _ = ensure(t, f, "a9") // there may be no place for it
	assert.False(t, w.engines["t0"].crashed)
}

// TestLateOrderOfAnEarlierHolder replays an order of a holder before that a target
// carries out after the new holder has asked what it holds.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	t.Run("told as held", func(t *testing.T) {
		w, _, f := newWorld(1, 1)
		e := w.engines["t0"]
		e.hold("m0/x0", "m0/x1", "m0/x2")
		w.publish(f.registry)
		f.site(f.registry.View().Targets["t0"]).orders = e.orders
		e.orders++
		e.hold("m0/x9")
		_, _ = ensure(t, f, "a1") // refused or served
		assert.False(t, e.crashed, "it holds %v", e.adapters)
	})
	t.Run("told as coming", func(t *testing.T) {
		w, _, f := newWorld(1, 1)
		e := w.engines["t0"]
		e.hold("m0/x0", "m0/x1", "m0/x2")
		w.publish(f.registry)
		e.orders++
		e.hold("m0/x9")
		e.coming = map[string]bool{"m0/x9": true}
		_, _ = ensure(t, f, "a1") // refused or served
		assert.False(t, e.crashed, "it holds %v", e.adapters)
	})
}

// TestRefusalDoesNotFreeAPlace replays a request that a target refuses for want of an
// adapter while that is loaded, so that the refusal comes after the target table.
func TestRefusalDoesNotFreeAPlace(t *testing.T) {
	w, _, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.hold("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	w.publish(f.registry)
	f.balancer.Overlay(balancer.Overlay{Target: "t0", Model: "m0", Adapter: "x3", Since: time.Now()})
	_, err := ensure(t, f, "a1")
	require.Error(t, err)
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestAdapterThatTheTableNeverTold replays a takeover while the target table is late:
// an adapter in use is known from the target alone, and its unload has to wait.
func TestAdapterThatTheTableNeverTold(t *testing.T) {
	w, _, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.hold("m0/x0", "m0/x1", "m0/x2")
	w.publish(f.registry)
	e.orders = 7
	e.hold("m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	for range 6 {
		_, _ = ensure(t, f, "a1") // there is no place for it
		f.settle(f.registry.View())
	}
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestEvictionAtOnce replays the same for an adapter whose request has just ended.
func TestEvictionAtOnce(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.hold("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	w.publish(r)
	_, err := ensure(t, f, "a1")
	require.Error(t, err)
	delete(e.adapters, "m0/x0")
	w.publish(r)
	f.settle(r.View())
	_, err = ensure(t, f, "a1")
	assert.NoError(t, err)
}

// TestAdapterThatComesBackSoon replays an adapter that is unloaded for another one and
// loaded again before the target table has told of the unload, and a request that was
// refused for want of it in between.
func TestAdapterThatComesBackSoon(t *testing.T) {
	w, r, f := newWorld(1, 1)
	e := w.engines["t0"]
	e.hold("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	w.publish(r)
	_, err := ensure(t, f, "a1")
	require.NoError(t, err)
	require.NotContains(t, e.adapters, "m0/x0", "the first of those that nobody asks for goes")
	between := map[string]bool{"m0/a1": true, "m0/x1": true, "m0/x2": true, "m0/x3": true}
	_, err = ensure(t, f, "x0")
	require.NoError(t, err)
	f.balancer.Overlay(balancer.Overlay{Target: "t0", Model: "m0", Adapter: "x0", Since: time.Now()})
	f.settle(r.View())
	held := e.adapters
	e.adapters = between // the table tells of what was held between the two orders
	w.publish(r)
	e.adapters = held
	f.settle(r.View())
	_, _ = ensure(t, f, "a2") // there may be no place for it
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestBusyTargetIsPassedOver replays an adapter that is asked for while the least loaded
// target that holds its model has another order in hand.
func TestBusyTargetIsPassedOver(t *testing.T) {
	w, _, f := newWorld(1, 2)
	w.engines["t0"].inHand = true
	w.publish(f.registry)
	target, err := ensure(t, f, "a1")
	require.NoError(t, err)
	assert.Equal(t, "t1", target)
}

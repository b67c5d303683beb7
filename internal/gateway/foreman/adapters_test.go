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
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

func TestAdapterInUseKeepsItsSlot(t *testing.T) {
	c, _, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	for i := range maxAdapters {
		name := fmt.Sprintf("m0/x%d", i)
		e.adapters[name] = true
		e.inUse[name] = true
	}
	c.publish(f.registry)
	_, err := ensureAdapter(t, f, "a1")
	require.Error(t, err)
	assert.False(t, e.crashed)
}

func TestConcurrentLoadsShareSlots(t *testing.T) {
	for seed := range uint64(20) {
		c, _, f := newTestCluster(seed, 2)
		var group sync.WaitGroup
		for i := range 12 {
			group.Go(func() { _, _ = ensureAdapter(t, f, fmt.Sprintf("a%d", i)) })
		}
		group.Wait()
		for id, e := range c.engines {
			assert.False(t, e.crashed, "seed %d: %s holds %v", seed, id, e.adapters)
		}
	}
}

// TestLateOrders checks that orders carried out late and without a response never make a
// target exceed its adapter slots while many adapters are requested.
func TestLateOrders(t *testing.T) {
	for seed := range uint64(20) {
		c, r, f := newTestCluster(seed, 2)
		c.lateShare = 0.3
		for i := range 15 {
			_, _ = ensureAdapter(t, f, fmt.Sprintf("a%d", i)) // some fail, which the caller learns from the error
			if i%3 == 0 {
				c.executeLateOrders()
			}
			if i%5 == 0 {
				c.publish(r)
			}
		}
		c.executeLateOrders()
		for id, e := range c.engines {
			assert.False(t, e.crashed, "seed %d: %s holds %v", seed, id, e.adapters)
		}
	}
}

// TestLateTargetTable checks that adapters missing from the target table still count. The
// store delays the targets' writes by seconds, so that the table does not show the loads.
func TestLateTargetTable(t *testing.T) {
	c, _, f := newTestCluster(1, 1)
	elapsed := atomic.Int64{}
	start := time.Now()
	clock := func() time.Time { return start.Add(time.Duration(elapsed.Load())) }
	f.now = clock
	f.balancer = balancer.New(balancer.WithClock(clock))
	c.publish(f.registry)
	for i := range maxAdapters {
		_, err := ensureAdapter(t, f, fmt.Sprintf("a%d", i))
		require.NoError(t, err)
	}
	elapsed.Store(int64(6 * time.Second))
	_, _ = ensureAdapter(t, f, "a9") // there may be no slot for it
	assert.False(t, c.engines["t0"].crashed)
}

// TestLateOrderOfAnEarlierHolder checks that an order of the previous holder which a target
// carries out only after the new holder has queried its state does not overfill it.
func TestLateOrderOfAnEarlierHolder(t *testing.T) {
	t.Run("reported as held", func(t *testing.T) {
		c, _, f := newTestCluster(1, 1)
		e := c.engines["t0"]
		e.addAdapters("m0/x0", "m0/x1", "m0/x2")
		c.publish(f.registry)
		f.targetState(f.registry.View().Targets["t0"]).orders.learn(State{Orders: e.acceptedOrders}, time.Now())
		e.acceptedOrders++
		e.addAdapters("m0/x9")
		_, _ = ensureAdapter(t, f, "a1") // refused or served
		assert.False(t, e.crashed, "it holds %v", e.adapters)
	})
	t.Run("reported as loading", func(t *testing.T) {
		c, _, f := newTestCluster(1, 1)
		e := c.engines["t0"]
		e.addAdapters("m0/x0", "m0/x1", "m0/x2")
		c.publish(f.registry)
		e.acceptedOrders++
		e.addAdapters("m0/x9")
		e.loadingAdapters = map[string]bool{"m0/x9": true}
		_, _ = ensureAdapter(t, f, "a1") // refused or served
		assert.False(t, e.crashed, "it holds %v", e.adapters)
	})
}

// TestRefusalDoesNotFreeASlot checks that a request refused for lack of an adapter does
// not free the adapter's slot. The refusal predates the end of the load but arrives after
// the target table shows it.
func TestRefusalDoesNotFreeASlot(t *testing.T) {
	c, _, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	e.addAdapters("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	c.publish(f.registry)
	f.balancer.Overlay(balancer.Overlay{Target: "t0", Model: "m0", Adapter: "x3", Since: time.Now()})
	_, err := ensureAdapter(t, f, "a1")
	require.Error(t, err)
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestUnlistedAdapter checks that an adapter in use keeps its slot until it is unloaded,
// although it is known only from the target's own report because the target table lags at
// a change of holder.
func TestUnlistedAdapter(t *testing.T) {
	c, _, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	e.addAdapters("m0/x0", "m0/x1", "m0/x2")
	c.publish(f.registry)
	e.acceptedOrders = 7
	e.addAdapters("m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	for range 6 {
		_, _ = ensureAdapter(t, f, "a1") // there is no slot for it
		f.reconcile(f.registry.View())
	}
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestEvictedAdapterFreesItsSlot checks that the slot of an adapter whose last request has
// ended right after its eviction can be used once the table shows the unload.
func TestEvictedAdapterFreesItsSlot(t *testing.T) {
	c, r, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	e.addAdapters("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	for name := range e.adapters {
		e.inUse[name] = true
	}
	c.publish(r)
	_, err := ensureAdapter(t, f, "a1")
	require.Error(t, err)
	delete(e.adapters, "m0/x0")
	c.publish(r)
	f.reconcile(r.View())
	_, err = ensureAdapter(t, f, "a1")
	assert.NoError(t, err)
}

// TestAdapterReloadedSoon checks that an adapter which is unloaded for another one and
// loaded again before the target table shows the unload still occupies its slot, also
// after a request was refused for lack of it in between.
func TestAdapterReloadedSoon(t *testing.T) {
	c, r, f := newTestCluster(1, 1)
	e := c.engines["t0"]
	e.addAdapters("m0/x0", "m0/x1", "m0/x2", "m0/x3")
	c.publish(r)
	_, err := ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	require.NotContains(t, e.adapters, "m0/x0", "the first adapter without demand is evicted")
	between := map[string]bool{"m0/a1": true, "m0/x1": true, "m0/x2": true, "m0/x3": true}
	_, err = ensureAdapter(t, f, "x0")
	require.NoError(t, err)
	f.balancer.Overlay(balancer.Overlay{Target: "t0", Model: "m0", Adapter: "x0", Since: time.Now()})
	f.reconcile(r.View())
	held := e.adapters
	e.adapters = between // the table shows what was held between the two orders
	c.publish(r)
	e.adapters = held
	f.reconcile(r.View())
	_, _ = ensureAdapter(t, f, "a2") // there may be no slot for it
	assert.False(t, e.crashed, "it holds %v", e.adapters)
}

// TestBusyTargetIsPassedOver checks that an adapter is loaded at another target if the
// least loaded one that holds its model is busy with another order.
func TestBusyTargetIsPassedOver(t *testing.T) {
	c, _, f := newTestCluster(1, 2)
	c.engines["t0"].isBusy = true
	c.publish(f.registry)
	target, err := ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	assert.Equal(t, "t1", target)
}

// TestAdapterAtLimitedTargetIsLoadedElsewhere guards against requests for an adapter that are
// refused since the only target with it names a limit, although another one has room for it.
func TestAdapterAtLimitedTargetIsLoadedElsewhere(t *testing.T) {
	c, _, f := newTestCluster(1, 2)
	c.engines["t0"].adapters["m0/a1"] = true
	c.publish(f.registry)
	target, err := ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	require.Equal(t, "t0", target)
	f.calls.Limit = func(target *registrar.Target) *float64 {
		if perSecond := 1.0; target.ID == "t0" {
			return &perSecond
		}
		return nil
	}
	target, err = ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	assert.Equal(t, "t1", target)
}

// TestAdapterAtLeavingTargetIsLoadedElsewhere guards against requests for an adapter that fail
// when the only target with it has left, although another one had room for it.
func TestAdapterAtLeavingTargetIsLoadedElsewhere(t *testing.T) {
	c, r, f := newTestCluster(1, 2)
	c.engines["t0"].adapters["m0/a1"] = true
	c.publish(f.registry)
	f.balancer.AnnounceLeave(r.View().Targets["t0"], time.Now().Add(time.Minute))
	target, err := ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	assert.Equal(t, "t1", target)
}

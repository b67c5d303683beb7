package conductor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// setupModel starts a server with the route /model/, whose only target is an engine that
// holds no model yet. expect stands for the holder of the lease on orders, which says
// when the engine will hold it.
func setupModel(t *testing.T, x *target, expect func() (time.Duration, error)) (*httptest.Server, *registrar.Registrar) {
	t.Helper()
	server, r, _ := setupModelConductor(t, x, expect)
	return server, r
}

func setupModelConductor(t *testing.T, x *target, expect func() (time.Duration, error)) (*httptest.Server, *registrar.Registrar, *conductor.Conductor) {
	t.Helper()
	r := registrar.New()
	engine := &registrar.Engine{Slots: 4, CacheTokens: 1 << 20, Models: map[string]registrar.Model{"m": {Name: "m"}}}
	r.SetManifest(&registrar.Manifest{
		Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s", Engine: engine}},
		Routes: []*registrar.Route{{
			Host: "h.example", Prefix: "/model/", Kind: registrar.Unsafe, MaxAttempts: 1, TimeoutMilliseconds: 9000,
			LatencyGoalMilliseconds: 200, Backends: []registrar.Backend{{Service: "s", Weight: 1}},
		}},
	})
	setHoldings(r, x.address)
	c := conductor.New(headers, r, balancer.New(), newBudget(),
		conductor.WithTimeUntilServed(func(context.Context, string, string) (time.Duration, error) { return expect() }))
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return server, r, c
}

func setHoldings(r *registrar.Registrar, address string, models ...string) {
	r.Update(func(table map[string]*registrar.Target) {
		engine := &registrar.Target{ID: "t0", Service: "s", Address: address, Slots: 4}
		for _, model := range models {
			engine.Holdings = append(engine.Holdings, registrar.Holding{Model: model})
		}
		table["t0"] = engine
	})
}

func TestModelThatNoTargetServes(t *testing.T) {
	t.Run("the request waits for a model that is expected soon", func(t *testing.T) {
		x := newTarget(t, ok)
		server, r := setupModel(t, x, func() (time.Duration, error) { return 200 * time.Millisecond, nil })
		time.AfterFunc(300*time.Millisecond, func() { setHoldings(r, x.address, "m") })
		response, body, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		assert.Equal(t, "done", body)
	})
	t.Run("for a model that is expected later the caller is told when to retry", func(t *testing.T) {
		server, _ := setupModel(t, newTarget(t, ok), func() (time.Duration, error) { return 5 * time.Second, nil })
		began := time.Now()
		response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.InDelta(t, 5.5, after, 0.6)
		assert.Less(t, time.Since(began), 500*time.Millisecond, "at once")
	})
	t.Run("for an overdue model the caller is not told to retry at once", func(t *testing.T) {
		server, _ := setupModel(t, newTarget(t, ok), func() (time.Duration, error) { return -time.Second, nil })
		response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
		require.NoError(t, err)
		assert.GreaterOrEqual(t, after, 0.3)
	})
	t.Run("a request for a model that is not expected is refused at once", func(t *testing.T) {
		server, _ := setupModel(t, newTarget(t, ok), func() (time.Duration, error) { return 0, balancer.ErrNoModel })
		began := time.Now()
		response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.Less(t, time.Since(began), 500*time.Millisecond, "at once")
	})
	t.Run("requests for one model share a call", func(t *testing.T) {
		var asked atomic.Int64
		server, _ := setupModel(t, newTarget(t, ok), func() (time.Duration, error) {
			asked.Add(1)
			return 5 * time.Second, nil
		})
		for range 10 {
			_, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
			require.NoError(t, err)
		}
		assert.EqualValues(t, 1, asked.Load())
	})
}

// TestWaitEndsWhenInstanceStops guards against a request that waits for a model through a
// stop of the instance: it must be refused as not run as soon as the instance accepts no
// more requests.
func TestWaitEndsWhenInstanceStops(t *testing.T) {
	server, _, c := setupModelConductor(t, newTarget(t, ok), func() (time.Duration, error) { return 1500 * time.Millisecond, nil })
	time.AfterFunc(200*time.Millisecond, func() { c.Stop(time.Now(), time.Now().Add(time.Second)) })
	began := time.Now()
	response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	assert.Less(t, time.Since(began), time.Second)
}

// setupAdapter starts a server with the route /model/, whose only target is an engine
// that holds model m and no adapter. ensure stands for the holder of the lease on orders,
// which loads the adapter or fails to.
func setupAdapter(t *testing.T, x *target, ensure func(*balancer.Balancer) error) *httptest.Server {
	t.Helper()
	_, r, _ := setupModelConductor(t, x, nil)
	setHoldings(r, x.address, "m")
	b := balancer.New()
	c := conductor.New(headers, r, b, newBudget(),
		conductor.WithAdapterLoader(func(context.Context, string, string, string) error { return ensure(b) }))
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return server
}

// TestAdapterLoadIsRetried guards against a single attempt to have an adapter loaded: the
// target may be carrying out another order at first. The request must be served once the
// target accepts the order.
func TestAdapterLoadIsRetried(t *testing.T) {
	x := newTarget(t, ok)
	var asked atomic.Int64
	server := setupAdapter(t, x, func(b *balancer.Balancer) error {
		if asked.Add(1) < 3 {
			return balancer.ErrNoAdapter
		}
		b.Overlay(balancer.Overlay{Target: "t0", Model: "m", Adapter: "a", Held: true, Since: time.Now()})
		return nil
	})
	_, body, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m/a")
	require.NoError(t, err)
	assert.Equal(t, "done", body)
	assert.EqualValues(t, 3, asked.Load())
}

// TestWaitLeavesTimeForTheAnswer guards against a wait that lasts until the deadline of a
// request with little time left: the caller must receive the refusal while it still waits
// for an answer.
func TestWaitLeavesTimeForTheAnswer(t *testing.T) {
	const left = 800 * time.Millisecond
	server := setupAdapter(t, newTarget(t, ok), func(*balancer.Balancer) error { return balancer.ErrNoAdapter })
	began := time.Now()
	response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m/a", "Test-Deadline", "800")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.Less(t, time.Since(began), left*3/4)
}

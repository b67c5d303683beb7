package conductor_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// permits grants what remains at each target, and blocks the target for a time after that.
type permits struct {
	mu         sync.Mutex
	left       map[string]int
	blockedFor time.Duration
	asked      []string
}

func (p *permits) acquire(_ context.Context, target *registrar.Target) error {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.asked = append(p.asked, target.ID)
	if p.left[target.ID] == 0 {
		return &limiter.DeniedError{RetryIn: p.blockedFor}
	}
	p.left[target.ID]--
	return nil
}

// blocked reports targets without permits as blocked once they have been asked for.
func (p *permits) blocked(target string) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	if left, ok := p.left[target]; ok && left == 0 && len(p.asked) > 0 {
		return p.blockedFor
	}
	return 0
}

func (p *permits) grant(target string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.left[target]++
}

// setupLimited is like setup with targets that need permits.
func setupLimited(t *testing.T, p *permits, targets ...*target) *httptest.Server {
	t.Helper()
	r := registrar.New()
	routes := []*registrar.Route{}
	for prefix, kind := range map[string]registrar.Kind{"/safe/": registrar.Safe, "/resume/": registrar.Streaming} {
		routes = append(routes, &registrar.Route{
			Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: 3, Resumable: true, TimeoutMilliseconds: 2000,
			LatencyGoalMilliseconds: 400, Backends: []registrar.Backend{{Service: "s", Weight: 1}},
		})
	}
	r.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}, Routes: routes})
	r.Update(func(table map[string]*registrar.Target) {
		for i, x := range targets {
			id := fmt.Sprintf("t%d", i)
			table[id] = &registrar.Target{ID: id, Service: "s", Address: x.address, Slots: 4}
		}
	})
	known := limiter.New(limiter.Member{}, 1)
	c := conductor.New(headers, r, balancer.New(balancer.WithLimits(p.blocked)), newBudget(),
		conductor.WithLimiter(known, p.acquire))
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return server
}

// TestEverySendNeedsPermit guards against a way to a target past its limit: a first send, a
// retry after a failure and the resumption of a stream each need a permit of the target
// that they go to.
func TestEverySendNeedsPermit(t *testing.T) {
	fail := func(w net.Conn, r *http.Request, _ int) bool {
		return answer(w, r, http.StatusInternalServerError, "no")
	}
	breakOff := func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 3, 2) }
	for name, c := range map[string]struct {
		path   string
		script func(net.Conn, *http.Request, int) bool
	}{
		"retry":              {"/safe/x", fail},
		"retry after a cut":  {"/safe/x", cut},
		"resumed stream":     {"/resume/x", breakOff},
		"retry of a refusal": {"/safe/x", notRun},
	} {
		t.Run(name, func(t *testing.T) {
			one, two := newTarget(t, c.script), newTarget(t, c.script)
			p := &permits{left: map[string]int{"t0": 1, "t1": 1}, blockedFor: time.Minute}
			server := setupLimited(t, p, one, two)
			_, _, _ = send(t, server, http.MethodPost, c.path, "b") // every target fails
			assert.Len(t, p.asked, 2)
			assert.Equal(t, 2, one.requests()+two.requests())
		})
	}
}

func TestDeniedTargetIsReplacedByAnother(t *testing.T) {
	one, two := newTarget(t, ok), newTarget(t, ok)
	p := &permits{left: map[string]int{"t0": 0, "t1": 9}, blockedFor: time.Minute}
	server := setupLimited(t, p, one, two)
	for range 5 {
		got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, got.StatusCode)
	}
	assert.Zero(t, one.requests())
}

// TestRequestBeyondLimitIsRefusedAtOnce guards against a request that waits for its deadline
// although it is known that its target takes nothing before.
func TestRequestBeyondLimitIsRefusedAtOnce(t *testing.T) {
	only := newTarget(t, ok)
	p := &permits{left: map[string]int{"t0": 0}, blockedFor: 3 * time.Second}
	server := setupLimited(t, p, only)
	began := time.Now()
	got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
	require.NoError(t, err)
	assert.Less(t, time.Since(began), 150*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
	after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, after, 3.0)
	assert.Zero(t, only.requests())
}

// TestRequestWaitsForPermitThatIsDueSoon checks that a request waits for a permit that comes
// in time for it.
func TestRequestWaitsForPermitThatIsDueSoon(t *testing.T) {
	only := newTarget(t, ok)
	p := &permits{left: map[string]int{"t0": 0}, blockedFor: 60 * time.Millisecond}
	server := setupLimited(t, p, only)
	time.AfterFunc(60*time.Millisecond, func() { p.grant("t0") })
	got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
}

// TestAdapterAtLimitedTargetIsRequestedElsewhere guards against a request for an adapter that
// is refused since the only target with it is at its limit, although another target holds
// the model.
func TestAdapterAtLimitedTargetIsRequestedElsewhere(t *testing.T) {
	limited, other := newTarget(t, ok), newTarget(t, ok)
	r := registrar.New()
	r.SetManifest(&registrar.Manifest{
		Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s", Engine: &registrar.Engine{Slots: 4, CacheTokens: 10_000}}},
		Routes: []*registrar.Route{{
			Host: "h.example", Prefix: "/model/", Kind: registrar.Safe, MaxAttempts: 1, TimeoutMilliseconds: 2000, LatencyGoalMilliseconds: 400,
			Backends: []registrar.Backend{{Service: "s", Weight: 1}},
		}},
	})
	r.Update(func(table map[string]*registrar.Target) {
		for id, adapters := range map[string][]string{"t0": {"a"}, "t1": {}} {
			table[id] = &registrar.Target{ID: id, Service: "s", Slots: 4, Holdings: []registrar.Holding{{Model: "m", Adapters: adapters}}}
		}
		table["t0"].Address, table["t1"].Address = limited.address, other.address
	})
	p := &permits{left: map[string]int{"t0": 0, "t1": 9}, blockedFor: time.Minute}
	b := balancer.New(balancer.WithLimits(p.blocked))
	c := conductor.New(headers, r, b, newBudget(), conductor.WithLimiter(limiter.New(limiter.Member{}, 1), p.acquire),
		conductor.WithAdapterLoader(func(context.Context, string, string, string) error {
			b.Overlay(balancer.Overlay{Target: "t1", Model: "m", Adapter: "a", Held: true, Since: time.Now()})
			return nil
		}))
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	got, _, err := send(t, server, http.MethodPost, "/model/x", "b", "Test-Model", "m/a")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Equal(t, 1, other.requests())
	assert.Zero(t, limited.requests())
}

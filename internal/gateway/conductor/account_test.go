package conductor_test

import (
	"context"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// accounts is a conductor whose manifest has the account east, with a key.
type accounts struct {
	registry      *registrar.Registrar
	server        *httptest.Server
	isUnconfirmed atomic.Bool
}

func (a *accounts) setKey(version int64, key string) {
	route := func(prefix string, kind registrar.Kind, attempts int) *registrar.Route {
		return &registrar.Route{
			Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, TimeoutMilliseconds: 2000, LatencyGoalMilliseconds: 200,
			Priority: 1, Backends: []registrar.Backend{{Service: "s", Weight: 1}},
		}
	}
	a.registry.SetManifest(&registrar.Manifest{
		Version: version, Services: map[string]*registrar.Service{"s": {Name: "s"}},
		Routes: []*registrar.Route{route("/safe/", registrar.Safe, 3), route("/unsafe/", registrar.Unsafe, 1)},
		Accounts: map[string]*registrar.Account{
			"east": {Name: "east", Keys: []registrar.KeyDigest{registrar.DigestKey(key)}, Priority: 1},
		},
	})
}

func setupAccounts(t *testing.T, targets []*target, options ...conductor.Option) *accounts {
	t.Helper()
	a := &accounts{registry: registrar.New()}
	a.setKey(1, "k")
	a.registry.Update(func(table map[string]*registrar.Target) {
		for i, x := range targets {
			id := string(rune('a' + i))
			table[id] = &registrar.Target{ID: id, Service: "s", Address: x.address, Slots: 4}
		}
	})
	options = append(options, conductor.WithCurrency(func() (bool, bool) {
		isConfirmed := !a.isUnconfirmed.Load()
		return isConfirmed, isConfirmed
	}))
	a.server = httptest.NewUnstartedServer(conductor.New(headers, a.registry, balancer.New(), newBudget(), options...))
	a.server.Config.ConnContext = conductor.ConnContext
	a.server.Start()
	t.Cleanup(a.server.Close)
	return a
}

// TestKeyIsCheckedBeforeEachSend guards against requests that were accepted with a key and are sent
// although it has been removed, or cannot be checked any more, in between.
func TestKeyIsCheckedBeforeEachSend(t *testing.T) {
	for name, c := range map[string]struct {
		disturb func(a *accounts)
		status  int
	}{
		"removed":     {func(a *accounts) { a.setKey(2, "other") }, http.StatusUnauthorized},
		"unconfirmed": {func(a *accounts) { a.isUnconfirmed.Store(true) }, http.StatusServiceUnavailable},
	} {
		t.Run(name+" between two attempts", func(t *testing.T) {
			var a *accounts
			once := &sync.Once{}
			refuseFirst := func(w net.Conn, r *http.Request, n int) bool {
				once.Do(func() { c.disturb(a) })
				return notRun(w, r, n)
			}
			x, y := newTarget(t, refuseFirst), newTarget(t, refuseFirst)
			a = setupAccounts(t, []*target{x, y})
			response, _, err := send(t, a.server, "POST", "/unsafe/x", "b", "Test-Credential", "key k")
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, 1, x.requests()+y.requests())
		})
		t.Run(name+" while a permit is asked for", func(t *testing.T) {
			var a *accounts
			x := newTarget(t, ok)
			a = setupAccounts(t, []*target{x}, conductor.WithLimiter(limiter.New(limiter.Member{}, 1), func(context.Context, *registrar.Target) error {
				c.disturb(a)
				return nil
			}))
			response, _, err := send(t, a.server, "POST", "/unsafe/x", "b", "Test-Credential", "key k")
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Zero(t, x.requests())
		})
		t.Run(name+" while it waits for a target", func(t *testing.T) {
			a := setupAccounts(t, nil)
			time.AfterFunc(50*time.Millisecond, func() { c.disturb(a) })
			began := time.Now()
			response, _, err := send(t, a.server, "POST", "/unsafe/x", "b", "Test-Credential", "key k")
			require.NoError(t, err)
			assert.Contains(t, []int{c.status, http.StatusServiceUnavailable}, response.StatusCode)
			assert.Less(t, time.Since(began), time.Second)
		})
		t.Run(name+" after a run that may have happened promises nothing", func(t *testing.T) {
			var a *accounts
			x := newTarget(t, func(net.Conn, *http.Request, int) bool {
				c.disturb(a)
				return false
			})
			a = setupAccounts(t, []*target{x})
			response, _, err := send(t, a.server, "POST", "/safe/x", "b", "Test-Credential", "key k")
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			assert.Equal(t, 1, x.requests())
		})
	}
}

// TestAccountsBeginUnderWay guards against a credential that reaches a target because accounts were
// declared after the request had been accepted.
func TestAccountsBeginUnderWay(t *testing.T) {
	var a *accounts
	x := newTarget(t, ok)
	a = setupAccounts(t, []*target{x}, conductor.WithLimiter(limiter.New(limiter.Member{}, 1), func(context.Context, *registrar.Target) error {
		a.setKey(3, "k")
		return nil
	}))
	a.registry.SetManifest(&registrar.Manifest{Version: 2, Services: a.registry.View().Manifest.Services, Routes: a.registry.View().Manifest.Routes})
	response, _, err := send(t, a.server, "POST", "/unsafe/x", "b", "Test-Credential", "key k", "Test-Account", "west")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Empty(t, x.seen[0].Header.Get("Test-Credential"))
	assert.Equal(t, "east", x.seen[0].Header.Get("Test-Account"))
}

// TestBodyOfUnknownSenderIsNotRead guards against callers without a key that have an instance hold
// their bodies.
func TestBodyOfUnknownSenderIsNotRead(t *testing.T) {
	a := setupAccounts(t, []*target{newTarget(t, ok)})
	conn, err := net.Dial("tcp", a.server.Listener.Addr().String())
	require.NoError(t, err)
	defer conn.Close()
	_, err = conn.Write([]byte("POST /safe/ HTTP/1.1\r\nHost: h.example\r\nContent-Length: 1000000\r\n\r\nbegin"))
	require.NoError(t, err)
	require.NoError(t, conn.SetReadDeadline(time.Now().Add(time.Second)))
	head := make([]byte, len("HTTP/1.1 401"))
	_, err = conn.Read(head)
	require.NoError(t, err)
	assert.Equal(t, "HTTP/1.1 401", string(head))
}

// TestContentNamesAccountNotKey guards against fingerprints that depend on a key: they are passed on,
// and a request must stay the same when its account changes its key.
func TestContentNamesAccountNotKey(t *testing.T) {
	contentOf := func(key string) quarantiner.Fingerprint {
		q := &quarantine{isSuspect: true}
		a := setupAccounts(t, []*target{newTarget(t, ok)}, q.option())
		a.setKey(2, key)
		_, _, err := send(t, a.server, "POST", "/safe/x", "b", "Test-Credential", "key "+key)
		require.NoError(t, err)
		runs := q.snapshot().ended
		require.NotEmpty(t, runs)
		require.NotZero(t, runs[0].Content)
		return runs[0].Content
	}
	assert.Equal(t, contentOf("first"), contentOf("second"))
}

package conductor_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/breaker"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

var headers = conductor.Headers{
	RequestID: "Test-Id", Deadline: "Test-Deadline", Stamp: "Test-Stamp", ExpectInstance: "Test-Expect",
	NotRun: "Test-Not-Run", LastEvent: "Test-Last", Model: "Test-Model", Tokens: "Test-Tokens", Prefix: "Test-Prefix",
	Priority: "Test-Priority", Reserved: []string{"Test-Hold", "Test-Priority", "Test-Expect"},
	Leaving: "Test-Leaving", RetryAfter: "Retry-After",
	Credential: "Test-Credential", AccountName: "Test-Account", Content: []string{"Test-Content"},
	MisdirectedStatus: http.StatusMisdirectedRequest, ConvictedStatus: http.StatusBadRequest,
	ParseLeaving: func(v string) bool { return v == "1" },
	ParseRetryAfter: func(v string) (time.Duration, bool) {
		seconds, err := strconv.ParseFloat(v, 64)
		return time.Duration(seconds * float64(time.Second)), err == nil
	},
	ParseCredential: func(v string) (string, bool) { key, ok := strings.CutPrefix(v, "key "); return key, ok && key != "" },
	ParseModel:      func(v string) (string, string) { m, a, _ := strings.Cut(v, "/"); return m, a },
	ParseTokens:     func(string) (int, int) { return 100, 10 },
	ParsePrefix:     func(v string) []string { return strings.Split(v, ",") },
}

// target is a TCP server that calls a script for each request. The script writes the raw
// answer; the connection is closed if it returns false.
type target struct {
	address string
	mu      sync.Mutex
	seen    []*http.Request
	bodies  []string
	closed  chan struct{}
	// listener is closed to end the target.
	listener net.Listener
	// resetsNew makes the target reset new connections.
	resetsNew atomic.Bool
}

func newTarget(t testing.TB, script func(w net.Conn, r *http.Request, n int) (keep bool)) *target {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	x := &target{address: ln.Addr().String(), closed: make(chan struct{}, 16), listener: ln}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			if x.resetsNew.Load() {
				breaker.ResetOnClose(conn)
				conn.Close()
				continue
			}
			go x.serve(conn, script)
		}
	}()
	return x
}

func (x *target) serve(conn net.Conn, script func(net.Conn, *http.Request, int) bool) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	for {
		r, err := http.ReadRequest(reader)
		if err != nil {
			x.closed <- struct{}{}
			return
		}
		body, _ := io.ReadAll(r.Body)
		x.mu.Lock()
		x.seen = append(x.seen, r)
		x.bodies = append(x.bodies, string(body))
		n := len(x.seen)
		x.mu.Unlock()
		if !script(conn, r, n) {
			return
		}
	}
}

func (x *target) requests() int {
	x.mu.Lock()
	defer x.mu.Unlock()
	return len(x.seen)
}

// answer writes a complete answer of a target.
func answer(w net.Conn, r *http.Request, status int, body string) bool {
	fmt.Fprintf(w, "HTTP/1.1 %d X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: %d\r\n\r\n%s",
		status, r.Header.Get("Test-Id"), len(body), body)
	return true
}

func ok(w net.Conn, r *http.Request, _ int) bool { return answer(w, r, http.StatusOK, "done") }

func notRun(w net.Conn, r *http.Request, _ int) bool {
	fmt.Fprintf(w, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"))
	return true
}

func cut(net.Conn, *http.Request, int) bool { return false }

// stream writes the events from an ID to the last one. It breaks off in the middle of
// event cutAt.
func stream(w net.Conn, r *http.Request, from, last, cutAt int) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n",
		r.Header.Get("Test-Id"))
	for i := from; i <= last; i++ {
		event := fmt.Sprintf("id: %d\ndata: piece %d\n\n", i, i)
		if i == cutAt {
			fmt.Fprintf(w, "%x\r\n%s", len(event), event[:8])
			return false
		}
		fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
	}
	fmt.Fprint(w, "0\r\n\r\n")
	return true
}

// setup starts a server with the routes /safe/, /unsafe/, /stream/ and /resume/, and with
// /long/, /long-stream/ and /late/ (two attempts), which have a long timeout. All are served by targets; without
// targets there is no manifest.
func setup(t *testing.T, targets ...*target) *httptest.Server {
	t.Helper()
	server := httptest.NewUnstartedServer(newConductor(targets))
	server.Config.ConnContext = conductor.ConnContext
	server.Start()
	t.Cleanup(server.Close)
	return server
}

func newConductor(targets []*target, options ...conductor.Option) *conductor.Conductor {
	r := registrar.New()
	route := func(prefix string, kind registrar.Kind, attempts int, isResumable bool) *registrar.Route {
		return &registrar.Route{
			Host: "h.example", Prefix: prefix, Kind: kind, MaxAttempts: attempts, Resumable: isResumable,
			TimeoutMilliseconds: 400, LatencyGoalMilliseconds: 200, Backends: []registrar.Backend{{Service: "s", Weight: 1}},
		}
	}
	long := func(prefix string, kind registrar.Kind) *registrar.Route {
		out := route(prefix, kind, 1, false)
		out.TimeoutMilliseconds = 30_000
		return out
	}
	late := long("/late/", registrar.Safe)
	late.MaxAttempts = 2
	if len(targets) > 0 {
		r.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}, Routes: []*registrar.Route{
			route("/safe/", registrar.Safe, 2, false), route("/unsafe/", registrar.Unsafe, 1, false),
			route("/stream/", registrar.Streaming, 1, false), route("/resume/", registrar.Streaming, 2, true),
			long("/long/", registrar.Safe), long("/long-stream/", registrar.Streaming), late, route("/unsafe-two/", registrar.Unsafe, 2, false),
		}})
	}
	r.Update(func(table map[string]*registrar.Target) {
		for i, x := range targets {
			id := fmt.Sprintf("t%d", i)
			table[id] = &registrar.Target{ID: id, Service: "s", Address: x.address, Slots: 4}
		}
	})
	return conductor.New(headers, r, balancer.New(), newBudget(), options...)
}

// newBudget returns the retry budget of a single instance.
func newBudget() *budgeter.Budgeter {
	b := budgeter.New(0.2, 50, 10*time.Second)
	b.SetInstances(1)
	return b
}

// received is an answer as the caller received it.
type received struct {
	StatusCode int
	Header     http.Header
}

func send(t testing.TB, server *httptest.Server, method, path, body string, more ...string) (received, string, error) {
	t.Helper()
	r, err := http.NewRequestWithContext(t.Context(), method, server.URL+path, strings.NewReader(body))
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Test-Id", "id-1")
	r.Header.Set("Test-Deadline", "3000")
	for i := 0; i+1 < len(more); i += 2 {
		r.Header.Set(more[i], more[i+1])
	}
	response, err := http.DefaultTransport.RoundTrip(r)
	if err != nil {
		return received{}, "", err
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	return received{StatusCode: response.StatusCode, Header: response.Header}, string(text), err
}

func TestRequestIsForwardedUnchanged(t *testing.T) {
	x := newTarget(t, ok)
	server := setup(t, x)
	response, body, err := send(t, server, "POST", "/unsafe/a%2Fb//c/../d?q=1&q=%20", "payload",
		"Foreign", "kept", "Test-Hold", "stolen", "Connection", "Named", "Named", "dropped")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "done", body)
	assert.Equal(t, "s", response.Header.Get("Test-Stamp"))
	seen := x.seen[0]
	assert.Equal(t, "/unsafe/a%2Fb//c/../d?q=1&q=%20", seen.RequestURI)
	assert.Equal(t, "payload", x.bodies[0])
	assert.Equal(t, "h.example", seen.Host)
	assert.Equal(t, "kept", seen.Header.Get("Foreign"))
	assert.Equal(t, "t0", seen.Header.Get("Test-Expect"))
	assert.Empty(t, seen.Header.Get("Test-Hold"))
	assert.Empty(t, seen.Header.Get("Named"))
	assert.Empty(t, seen.Header.Get("Content-Type"), "none was sent")
	assert.Regexp(t, `^(400|39\d|38\d)$`, seen.Header.Get("Test-Deadline"), "the time left until the route's timeout")
}

func TestSmuggledRequestIsNotForwarded(t *testing.T) {
	x := newTarget(t, ok)
	server := setup(t, x)
	for name, head := range map[string]string{
		"two lengths":    "Content-Length: 4\r\nContent-Length: 5\r\n",
		"space in name":  "Content-Length : 4\r\n",
		"unknown coding": "Transfer-Encoding: xchunked\r\nContent-Length: 4\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			conn, err := net.Dial("tcp", server.Listener.Addr().String())
			require.NoError(t, err)
			defer conn.Close()
			fmt.Fprintf(conn, "POST /unsafe/ HTTP/1.1\r\nHost: h.example\r\nTest-Id: i\r\n%s\r\nabcdGET /safe/ HTTP/1.1\r\nHost: h.example\r\n\r\n", head)
			response, err := http.ReadResponse(bufio.NewReader(conn), nil)
			require.NoError(t, err)
			response.Body.Close()
			assert.GreaterOrEqual(t, response.StatusCode, 400)
			assert.Zero(t, x.requests())
		})
	}
}

func TestNoManifestOrNoRoute(t *testing.T) {
	response, _, err := send(t, setup(t), "GET", "/safe/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	response, _, err = send(t, setup(t, newTarget(t, ok)), "GET", "/none/", "")
	require.NoError(t, err)
	assert.Equal(t, http.StatusNotFound, response.StatusCode)
}

func TestWhichRequestsAreRetried(t *testing.T) {
	const safe, unsafe = "/safe/", "/unsafe/"
	failing := func(w net.Conn, r *http.Request, _ int) bool { return answer(w, r, 500, "sorry") }
	for name, c := range map[string]struct {
		path   string
		script func(net.Conn, *http.Request, int) bool
		status int
		sends  int // over both targets
	}{
		"unsafe, refused as not run": {unsafe, notRun, 503, 2},
		"unsafe, cut":                {unsafe, cut, 502, 1},
		"unsafe, failed":             {unsafe, failing, 500, 1},
		"safe, cut":                  {safe, cut, 502, 2},
		"safe, failed twice":         {safe, failing, 500, 2},
	} {
		t.Run(name, func(t *testing.T) {
			x, y := newTarget(t, c.script), newTarget(t, c.script)
			response, _, err := send(t, setup(t, x, y), "POST", c.path, "b")
			require.NoError(t, err)
			assert.Equal(t, c.status, response.StatusCode)
			assert.Equal(t, c.sends, x.requests()+y.requests())
			if c.status == 503 {
				assert.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		})
	}
	t.Run("safe, failed once", func(t *testing.T) {
		var mu sync.Mutex
		n := 0
		once := func(w net.Conn, r *http.Request, _ int) bool {
			mu.Lock()
			n++
			isFirst := n == 1
			mu.Unlock()
			if isFirst {
				return answer(w, r, 500, "sorry")
			}
			return answer(w, r, 200, "done")
		}
		_, body, err := send(t, setup(t, newTarget(t, once), newTarget(t, once)), "GET", safe, "")
		require.NoError(t, err)
		assert.Equal(t, "done", body)
	})
}

func TestInvalidAnswersAreNotRelayed(t *testing.T) {
	for name, text := range map[string]string{
		"another id": "HTTP/1.1 200 X\r\nTest-Id: other\r\nTest-Stamp: s\r\nContent-Length: 2\r\n\r\nno",
		"no stamp":   "HTTP/1.1 200 X\r\nTest-Id: id-1\r\nContent-Length: 2\r\n\r\nno",
		"no answer":  "what\r\n\r\n",
		"too short":  "HTTP/1.1 200 X\r\nTest-Id: id-1\r\nTest-Stamp: s\r\nContent-Length: 9\r\n\r\nno",
	} {
		t.Run(name, func(t *testing.T) {
			x := newTarget(t, func(w net.Conn, _ *http.Request, _ int) bool {
				fmt.Fprint(w, text)
				return false
			})
			response, _, err := send(t, setup(t, x), "POST", "/unsafe/", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusBadGateway, response.StatusCode)
			assert.Empty(t, response.Header.Get("Test-Stamp"))
		})
	}
	t.Run("an extra answer is not taken for that of the next request", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
			text := "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 5\r\n\r\n"
			id := r.Header.Get("Test-Id")
			fmt.Fprintf(w, text+"first"+text+"extra", id, id)
			return true
		})
		server := setup(t, x)
		for i := range 5 {
			_, body, err := send(t, server, "POST", "/unsafe/", "b", "Test-Id", fmt.Sprint(i))
			require.NoError(t, err)
			assert.Equal(t, "first", body)
		}
	})
	t.Run("nor is an extra answer that arrives later", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
			answer(w, r, 200, "first")
			time.Sleep(time.Millisecond)
			answer(w, r, 200, "extra")
			return true
		})
		server := setup(t, x)
		for i := range 50 {
			_, body, err := send(t, server, "POST", "/unsafe/", "b", "Test-Id", fmt.Sprint(i))
			require.NoError(t, err)
			assert.Equal(t, "first", body)
		}
	})
	t.Run("nor is an extra answer that precedes the right one", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, n int) bool {
			if n > 1 {
				fmt.Fprint(w, "HTTP/1.1 200 X\r\nTest-Id: 1\r\nTest-Stamp: s\r\nContent-Length: 5\r\n\r\nextra")
			}
			return answer(w, r, 200, "own")
		})
		server := setup(t, x)
		for i := range 5 {
			_, body, err := send(t, server, "POST", "/unsafe/", "b", "Test-Id", fmt.Sprint(i+1))
			require.NoError(t, err)
			assert.Equal(t, "own", body, i)
		}
	})
}

func TestTargetThatDoesNotAnswer(t *testing.T) {
	x := newTarget(t, func(net.Conn, *http.Request, int) bool {
		time.Sleep(3 * time.Second)
		return false
	})
	began := time.Now()
	response, _, err := send(t, setup(t, x), "POST", "/unsafe/", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusGatewayTimeout, response.StatusCode)
	assert.WithinDuration(t, began.Add(400*time.Millisecond), time.Now(), 300*time.Millisecond, "the route's timeout")
}

func events(first, last int) string {
	var b strings.Builder
	for i := first; i <= last; i++ {
		fmt.Fprintf(&b, "id: %d\ndata: piece %d\n\n", i, i)
	}
	return b.String()
}

func TestStreams(t *testing.T) {
	whole := func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 5, 0) }
	t.Run("whole", func(t *testing.T) {
		_, body, err := send(t, setup(t, newTarget(t, whole)), "POST", "/stream/", "b")
		require.NoError(t, err)
		assert.Equal(t, events(1, 5), body)
	})
	t.Run("a stream that is cut and cannot be resumed does not look complete", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 5, 3) })
		_, body, err := send(t, setup(t, x, newTarget(t, whole)), "POST", "/stream/", "b")
		if err == nil {
			assert.Equal(t, events(1, 5), body, "the other target was chosen")
		} else {
			assert.Equal(t, events(1, 2), body)
		}
	})
	t.Run("resumed after the last complete event", func(t *testing.T) {
		var mu sync.Mutex
		n := 0
		script := func(w net.Conn, r *http.Request, _ int) bool {
			mu.Lock()
			n++
			isFirst := n == 1
			mu.Unlock()
			if isFirst {
				return stream(w, r, 1, 5, 4)
			}
			assert.Equal(t, "3", r.Header.Get("Test-Last"))
			return stream(w, r, 4, 5, 0)
		}
		response, body, err := send(t, setup(t, newTarget(t, script), newTarget(t, script)), "POST", "/resume/", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		assert.Equal(t, events(1, 5), body)
	})
}

func TestCallerDisconnectClosesTargetConnection(t *testing.T) {
	for _, path := range []string{"/unsafe/", "/stream/"} {
		t.Run(path, func(t *testing.T) {
			x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
				if path == "/stream/" {
					fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n", r.Header.Get("Test-Id"))
				}
				return true // the server reads the next request, and so detects the closed connection
			})
			server := setup(t, x)
			ctx, cancel := context.WithCancel(t.Context())
			r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+path, strings.NewReader("b"))
			require.NoError(t, err)
			r.Host = "h.example"
			r.Header.Set("Test-Id", "id-1")
			go func() {
				response, err := http.DefaultTransport.RoundTrip(r)
				if err == nil {
					_, _ = io.Copy(io.Discard, response.Body)
					response.Body.Close()
				}
			}()
			require.Eventually(t, func() bool { return x.requests() == 1 }, time.Second, time.Millisecond)
			cancel()
			select {
			case <-x.closed:
			case <-time.After(300 * time.Millisecond):
				t.Error("the connection to the target is still open")
			}
		})
	}
}

package connector_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/fake/responder"
)

// startServer starts a server that sends the raw answer listed for a path, or nothing
// if none is listed, and counts its open connections.
func startServer(t *testing.T, answers map[string]string) (string, *atomic.Int64) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { ln.Close() })
	open := &atomic.Int64{}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			open.Add(1)
			go func() {
				defer open.Add(-1)
				defer conn.Close()
				reader := bufio.NewReader(conn)
				for {
					req, err := http.ReadRequest(reader)
					if err != nil {
						return
					}
					_, _ = io.WriteString(conn, answers[req.URL.Path])
				}
			}()
		}
	}()
	return ln.Addr().String(), open
}

func do(ctx context.Context, pool *connector.Pool, method, path string, limit, until time.Duration) (string, error) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(method)
	req.Header.SetHost("target")
	req.Header.SetRequestURI(path)
	now := time.Now()
	answer, err := pool.Do(connector.Call{Request: req, Context: ctx, FirstByte: now.Add(limit), AnswerDeadline: now.Add(until)})
	if err != nil {
		return "", err
	}
	defer answer.Close()
	body, err := io.ReadAll(answer)
	return string(body), err
}

const okAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

func TestSilenceAndDeadlineAreDistinguished(t *testing.T) {
	const short, long = 50 * time.Millisecond, 5 * time.Second
	address, open := startServer(t, map[string]string{"/": okAnswer})
	// warm returns a pool with one idle connection.
	warm := func(t *testing.T) *connector.Pool {
		pool := connector.New(address)
		_, err := do(t.Context(), pool, "GET", "/", long, long)
		require.NoError(t, err)
		return pool
	}
	t.Run("the deadline of a request does not invalidate the pool", func(t *testing.T) {
		pool := warm(t)
		require.EqualValues(t, 1, open.Load())
		req := &fasthttp.Request{}
		req.Header.SetHost("target")
		req.Header.SetRequestURI("/silent")
		now := time.Now()
		_, err := pool.Do(connector.Call{Request: req, Fresh: true, FirstByte: now.Add(short), AnswerDeadline: now.Add(short)})
		assert.ErrorIs(t, err, connector.ErrDeadline)
		assert.Eventually(t, func() bool { return open.Load() == 1 }, long, time.Millisecond, "its own connection is closed")
		_, err = do(t.Context(), pool, "GET", "/", long, long)
		assert.NoError(t, err)
		assert.EqualValues(t, 1, open.Load(), "the pooled connection was used")
		pool.Invalidate()
		assert.Eventually(t, func() bool { return open.Load() == 0 }, long, time.Millisecond)
	})
	t.Run("silence invalidates the pooled connections, but the target stays usable", func(t *testing.T) {
		pool := warm(t)
		req := &fasthttp.Request{}
		req.Header.SetHost("target")
		req.Header.SetRequestURI("/silent")
		now := time.Now()
		_, err := pool.Do(connector.Call{Request: req, Fresh: true, FirstByte: now.Add(short), AnswerDeadline: now.Add(long)})
		assert.ErrorIs(t, err, connector.ErrSilent)
		assert.Eventually(t, func() bool { return open.Load() == 0 }, long, time.Millisecond, "all are closed")
		body, err := do(t.Context(), pool, "GET", "/", long, long)
		assert.NoError(t, err)
		assert.Equal(t, "ok", body)
		pool.Invalidate()
	})
	t.Run("a passed deadline sends nothing", func(t *testing.T) {
		_, err := do(t.Context(), connector.New(address), "GET", "/", 0, 0)
		assert.ErrorIs(t, err, connector.ErrNotSent)
	})
}

func TestContextCancelsCallAtOnce(t *testing.T) {
	address, open := startServer(t, map[string]string{"/half": "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nok"})
	for _, path := range []string{"/silent", "/half"} {
		t.Run(path, func(t *testing.T) {
			ctx, cancel := context.WithCancel(context.Background())
			time.AfterFunc(20*time.Millisecond, cancel)
			_, err := do(ctx, connector.New(address), "GET", path, time.Minute, time.Minute)
			assert.ErrorIs(t, err, connector.ErrCanceled)
			assert.Eventually(t, func() bool { return open.Load() == 0 }, time.Second, time.Millisecond)
		})
	}
	t.Run("before the start", func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		_, err := do(ctx, connector.New(address), "GET", "/", time.Minute, time.Minute)
		assert.ErrorIs(t, err, connector.ErrNotSent)
	})
}

func TestAnswersWithoutABodyEndAtTheirHead(t *testing.T) {
	address, open := startServer(t, map[string]string{
		"/204": "HTTP/1.1 204 No Content\r\n\r\n", "/304": "HTTP/1.1 304 Not Modified\r\nContent-Length: 7\r\n\r\n",
		"/head": "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\n",
	})
	pool := connector.New(address)
	for path, method := range map[string]string{"/204": "POST", "/304": "GET", "/head": "HEAD"} {
		body, err := do(t.Context(), pool, method, path, time.Second, time.Second)
		assert.NoError(t, err, path)
		assert.Empty(t, body)
	}
	assert.EqualValues(t, 1, open.Load(), "one connection served all")
}

func TestReadAfterEndOfAnswer(t *testing.T) {
	address, _ := startServer(t, map[string]string{
		"/": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	})
	req := &fasthttp.Request{}
	req.Header.SetHost("target")
	req.Header.SetRequestURI("/")
	answer, err := connector.New(address).Do(connector.Call{
		Request: req, FirstByte: time.Now().Add(time.Second), AnswerDeadline: time.Now().Add(time.Second),
	})
	require.NoError(t, err)
	defer answer.Close()
	body, err := io.ReadAll(answer)
	require.NoError(t, err)
	assert.Equal(t, "ok", string(body))
	n, err := answer.Read(make([]byte, 1))
	assert.Zero(t, n)
	assert.ErrorIs(t, err, io.EOF)
}

func TestUnusedConnectionsAreClosed(t *testing.T) {
	const within = 5 * time.Second
	address, open := startServer(t, map[string]string{"/": okAnswer})
	pools := connector.NewPools()
	_, err := do(t.Context(), pools.For(address), "GET", "/", within, within)
	require.NoError(t, err)
	pools.Prune(time.Now())
	require.EqualValues(t, 1, open.Load(), "a connection that was just used stays")
	pools.Prune(time.Now().Add(time.Hour))
	assert.Eventually(t, func() bool { return open.Load() == 0 }, within, time.Millisecond)
	body, err := do(t.Context(), pools.For(address), "GET", "/", within, within)
	require.NoError(t, err)
	assert.Equal(t, "ok", body)
}

// TestPruneWhileInUse guards against a Prune that removes a pool while its only
// connection is in use: the connection must be reused for the next request.
func TestPruneWhileInUse(t *testing.T) {
	const within = 5 * time.Second
	address, open := startServer(t, map[string]string{"/": okAnswer})
	pools := connector.NewPools()
	req := &fasthttp.Request{}
	req.Header.SetHost("target")
	req.Header.SetRequestURI("/")
	until := time.Now().Add(within)
	answer, err := pools.For(address).Do(connector.Call{Request: req, FirstByte: until, AnswerDeadline: until})
	require.NoError(t, err)
	pools.Prune(time.Now())
	_, err = io.Copy(io.Discard, answer)
	require.NoError(t, err)
	answer.Close()
	_, err = do(t.Context(), pools.For(address), "GET", "/", within, within)
	require.NoError(t, err)
	assert.EqualValues(t, 1, open.Load(), "the connection is used again")
}

// TestKeepAliveOfTheTarget checks that a pooled connection expires before the target
// closes it.
func TestKeepAliveOfTheTarget(t *testing.T) {
	const within = 5 * time.Second
	for header, idle := range map[string]time.Duration{
		"Keep-Alive: timeout=10\r\n":         9 * time.Second,
		"Keep-Alive: max=100, timeout=1\r\n": 500 * time.Millisecond,
		"Keep-Alive: odd\r\n":                15 * time.Second,
		"":                                   15 * time.Second,
	} {
		t.Run(header, func(t *testing.T) {
			address, open := startServer(t, map[string]string{"/": "HTTP/1.1 200 OK\r\n" + header + "Content-Length: 2\r\n\r\nok"})
			pools := connector.NewPools()
			_, err := do(t.Context(), pools.For(address), "GET", "/", within, within)
			require.NoError(t, err)
			pools.Prune(time.Now().Add(idle - 100*time.Millisecond))
			require.EqualValues(t, 1, open.Load())
			pools.Prune(time.Now().Add(idle))
			assert.Eventually(t, func() bool { return open.Load() == 0 }, within, time.Millisecond)
		})
	}
}

// TestCutBodyIsNotComplete guards against taking the end of a connection for the end of a
// body with a length or chunks, at every position of the cut.
func TestCutBodyIsNotComplete(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nConnection: close\r\n"
	for name, answer := range map[string]string{
		"length": head + "Content-Length: 12\r\n\r\ndata: one\n\n\n",
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n5\r\ndata:\r\n6\r\n one\n\n\r\n0\r\n\r\n",
	} {
		for _, ending := range responder.Endings {
			t.Run(fmt.Sprintf("%s, %v", name, ending), func(t *testing.T) {
				target, err := responder.New("", ending)
				require.NoError(t, err)
				defer target.Close()
				pool := connector.New(target.Address)
				for cutAt := range len(answer) {
					target.SetText(answer[:cutAt])
					body, err := do(t.Context(), pool, "GET", "/", time.Second, time.Second)
					require.ErrorIs(t, err, connector.ErrCut, "cut after %q, read %q", answer[:cutAt], body)
				}
				target.SetText(answer)
				_, err = do(t.Context(), pool, "GET", "/", time.Second, time.Second)
				assert.NoError(t, err, "all of it was sent")
			})
		}
	}
}

// TestWithdrawnCallSendsNothing guards against a request that is sent over a connection that took so
// long to make that its target is not to be sent anything any more.
func TestWithdrawnCallSendsNothing(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	received := make(chan int, 1)
	go func() {
		conn, err := ln.Accept()
		if err != nil {
			return
		}
		defer conn.Close()
		n, _ := io.Copy(io.Discard, conn)
		received <- int(n)
	}()
	request := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(request)
	deadline := time.Now().Add(time.Second)
	_, err = connector.New(ln.Addr().String()).Do(connector.Call{
		Request: request, FirstByte: deadline, AnswerDeadline: deadline, IsWithdrawn: func() bool { return true },
	})
	require.ErrorIs(t, err, connector.ErrNotSent)
	require.ErrorIs(t, err, connector.ErrWithdrawn)
	assert.Zero(t, <-received)
}

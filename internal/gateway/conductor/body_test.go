package conductor_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
)

// guarded is a server whose connections are guarded, in front of one target.
type guarded struct {
	address string
	budget  *guarder.Budget
	target  *target
	// refused is the last cause for which a body was refused.
	refused atomic.Value
}

func newGuarded(t *testing.T, budgetBytes int64) *guarded {
	t.Helper()
	g := &guarded{budget: guarder.NewBudget(budgetBytes), target: newTarget(t, ok)}
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	require.NoError(t, err)
	observe := conductor.WithBodyObserver(func(cause guarder.Cause) { g.refused.Store(cause) })
	server := httptest.NewUnstartedServer(newConductor([]*target{g.target}, observe))
	server.Listener.Close()
	server.Listener = guarder.New(g.budget, 100).Wrap(ln)
	server.Config.ConnContext = conductor.ConnContext
	server.Config.ConnState = guarder.HTTPState
	server.Start()
	t.Cleanup(server.Close)
	g.address = ln.Addr().String()
	return g
}

// open sends the head of a request and a part of its body.
func (g *guarded) open(t *testing.T, framing, part string) net.Conn {
	t.Helper()
	conn, err := net.Dial("tcp4", g.address)
	require.NoError(t, err)
	t.Cleanup(func() { conn.Close() })
	go func() {
		_, _ = fmt.Fprintf(conn, "POST /long/x HTTP/1.1\r\nHost: h.example\r\nTest-Id: i\r\nTest-Deadline: 20000\r\n%s\r\n\r\n", framing)
		_, _ = io.WriteString(conn, part)
	}()
	return conn
}

func assertStatus(t *testing.T, conn net.Conn, want int) {
	t.Helper()
	_ = conn.SetReadDeadline(time.Now().Add(20 * time.Second))
	response, err := http.ReadResponse(bufio.NewReader(conn), nil)
	if !assert.NoError(t, err) {
		return
	}
	defer response.Body.Close()
	assert.Equal(t, want, response.StatusCode)
	if want == http.StatusServiceUnavailable {
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
	}
}

const megabyte = 1 << 20

// TestBodies guards against bodies that take more memory than there is, and against refusals
// whose status says the wrong thing: 408 and 503 promise that the request was not run.
func TestBodies(t *testing.T) {
	t.Run("a body that stops gets 408", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 100*megabyte)
		assertStatus(t, g.open(t, "Content-Length: 10", "12345"), http.StatusRequestTimeout)
		assert.Equal(t, conductor.BodyTooSlow, g.refused.Load())
		assert.Zero(t, g.target.requests())
	})
	t.Run("a chunked body that stops short of its end gets 408", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 100*megabyte)
		assertStatus(t, g.open(t, "Transfer-Encoding: chunked", "3\r\nabc\r\n"), http.StatusRequestTimeout)
		assert.Zero(t, g.target.requests())
	})
	t.Run("a body over the limit gets 413", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 100*megabyte)
		assertStatus(t, g.open(t, "Content-Length: 100000000", ""), http.StatusRequestEntityTooLarge)
		chunk := fmt.Sprintf("%x\r\n%s\r\n", megabyte, strings.Repeat("x", megabyte))
		assertStatus(t, g.open(t, "Transfer-Encoding: chunked", strings.Repeat(chunk, 9)), http.StatusRequestEntityTooLarge)
		assert.Zero(t, g.target.requests())
	})
	t.Run("a body for which there is no memory gets 503", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 4*megabyte)
		assertStatus(t, g.open(t, "Content-Length: 3145728", ""), http.StatusServiceUnavailable)
		assert.Equal(t, conductor.BodyNoMemory, g.refused.Load())
		assert.Zero(t, g.target.requests())
	})
	t.Run("a stalled body makes room for one that arrives", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 10*megabyte)
		stalled := g.open(t, "Content-Length: 4194304", "x")
		require.Eventually(t, func() bool { return g.budget.Used(guarder.Reading) > 4*megabyte }, time.Second, time.Millisecond)
		time.Sleep(300 * time.Millisecond)
		assertStatus(t, g.open(t, "Content-Length: 4194304", strings.Repeat("x", 4*megabyte)), http.StatusOK)
		assertStatus(t, stalled, http.StatusServiceUnavailable)
	})
	t.Run("a chunked body arrives whole, and its memory is released", func(t *testing.T) {
		t.Parallel()
		g := newGuarded(t, 100*megabyte)
		body := strings.Repeat("0123456789", 100_000)
		chunk := fmt.Sprintf("%x\r\n%s\r\n0\r\n\r\n", len(body), body)
		conn := g.open(t, "Transfer-Encoding: chunked", chunk)
		assertStatus(t, conn, http.StatusOK)
		assert.Equal(t, []string{body}, g.target.bodies)
		conn.Close()
		assert.Eventually(t, func() bool { return g.budget.Used(guarder.Reading)+g.budget.Used(guarder.Relaying) == 0 }, 5*time.Second, time.Millisecond)
	})
}

package conductor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
)

// slotGiver decides on asks for slots by a script.
type slotGiver struct {
	script func(ctx context.Context, ask conductor.SlotAsk, number int) (target string, err error)

	mu       sync.Mutex
	asks     []conductor.SlotAsk
	released []string
}

func (g *slotGiver) acquire(ctx context.Context, ask conductor.SlotAsk) (*balancer.Grant, error) {
	g.mu.Lock()
	g.asks = append(g.asks, ask)
	number := len(g.asks)
	g.mu.Unlock()
	target, err := g.script(ctx, ask, number)
	if err != nil {
		return nil, err
	}
	return &balancer.Grant{Target: target, AllocatorID: 1, Release: func(bool) {
		g.mu.Lock()
		defer g.mu.Unlock()
		g.released = append(g.released, target)
	}}, nil
}

func (g *slotGiver) asked() []conductor.SlotAsk {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.asks
}

func (g *slotGiver) releases() []string {
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.released
}

func (g *slotGiver) option(isScarce bool) conductor.Option {
	return conductor.WithSlots(conductor.Slots{IsScarce: func(string) bool { return isScarce }, Acquire: g.acquire})
}

func always(target string) func(context.Context, conductor.SlotAsk, int) (string, error) {
	return func(context.Context, conductor.SlotAsk, int) (string, error) { return target, nil }
}

func serveSlots(t *testing.T, g *slotGiver, targets []*target, more ...conductor.Option) (*conductor.Conductor, *httptest.Server) {
	t.Helper()
	c := newConductor(targets, append(more, g.option(true))...)
	server := httptest.NewServer(c)
	t.Cleanup(server.Close)
	return c, server
}

func TestSlotNamesTheTarget(t *testing.T) {
	one, two := newTarget(t, ok), newTarget(t, ok)
	g := &slotGiver{script: always("t1")}
	_, server := serveSlots(t, g, []*target{one, two})
	for range 5 {
		got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, got.StatusCode)
	}
	assert.Zero(t, one.requests())
	assert.Equal(t, 5, two.requests())
	assert.Len(t, g.releases(), 5)
	first, second := g.asked()[0], g.asked()[1]
	assert.NotZero(t, first.Content)
	assert.Equal(t, first.Content, second.Content, "the same request again")
	assert.Equal(t, 200*time.Millisecond, first.Goal.Sub(first.Arrived))
	assert.Equal(t, first.Goal, first.LatestStart)
}

// TestServiceWithRoomIsNotAskedFor guards against messages for requests that need no slot.
func TestServiceWithRoomIsNotAskedFor(t *testing.T) {
	g := &slotGiver{script: always("t0")}
	server := httptest.NewServer(newConductor([]*target{newTarget(t, ok)}, g.option(false)))
	t.Cleanup(server.Close)
	got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Empty(t, g.asked())
}

// TestSlotIsRefused guards against a caller that waits although its request cannot be served in
// time, and against a Retry-After that does not tell when it can.
func TestSlotIsRefused(t *testing.T) {
	x := newTarget(t, ok)
	g := &slotGiver{script: func(context.Context, conductor.SlotAsk, int) (string, error) {
		return "", &conductor.SlotRefusedError{Reason: "backlog", RetryIn: 500 * time.Millisecond}
	}}
	_, server := serveSlots(t, g, []*target{x})
	began := time.Now()
	got, _, err := send(t, server, http.MethodPost, "/unsafe/x", "b")
	require.NoError(t, err)
	assert.Less(t, time.Since(began), 150*time.Millisecond)
	assert.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
	after, err := strconv.ParseFloat(got.Header.Get("Retry-After"), 64)
	require.NoError(t, err)
	assert.GreaterOrEqual(t, after, 0.5)
	assert.LessOrEqual(t, after, 0.6)
	assert.Zero(t, x.requests())
	assert.Len(t, g.asked(), 1)
}

func TestWithoutAllocatorTheInstanceChooses(t *testing.T) {
	x := newTarget(t, ok)
	g := &slotGiver{script: func(context.Context, conductor.SlotAsk, int) (string, error) { return "", conductor.ErrNoAllocator }}
	_, server := serveSlots(t, g, []*target{x})
	got, _, err := send(t, server, http.MethodPost, "/unsafe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Equal(t, 1, x.requests())
}

// TestSlotAtUnusableTarget guards against a request that is sent where its slot is, although the
// instance knows better, and against one that asks for ever.
func TestSlotAtUnusableTarget(t *testing.T) {
	one := newTarget(t, ok)
	g := &slotGiver{script: always("gone")}
	_, server := serveSlots(t, g, []*target{one})
	got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Equal(t, 1, one.requests())
	assert.Equal(t, []string{"gone", "gone"}, g.releases())
}

// TestRetryAvoidsTargets guards against slots at targets that have failed the request.
func TestRetryAvoidsTargets(t *testing.T) {
	one, two := newTarget(t, notRun), newTarget(t, ok)
	g := &slotGiver{script: func(_ context.Context, ask conductor.SlotAsk, _ int) (string, error) {
		if strings.Join(ask.Avoid, "") == "t0" {
			return "t1", nil
		}
		return "t0", nil
	}}
	_, server := serveSlots(t, g, []*target{one, two})
	got, _, err := send(t, server, http.MethodPost, "/safe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Equal(t, []string{"t0", "t1"}, g.releases())
}

// TestSlotOfDeniedTarget guards against a slot that is kept while the limit of its target allows
// no request.
func TestSlotOfDeniedTarget(t *testing.T) {
	one, two := newTarget(t, ok), newTarget(t, ok)
	p := &permits{left: map[string]int{"t0": 0, "t1": 9}, blockedFor: time.Minute}
	g := &slotGiver{script: func(_ context.Context, _ conductor.SlotAsk, number int) (string, error) {
		if number == 1 {
			return "t0", nil
		}
		return "t1", nil
	}}
	_, server := serveSlots(t, g, []*target{one, two}, conductor.WithLimiter(newLimiter(), p.acquire))
	got, _, err := send(t, server, http.MethodPost, "/unsafe/x", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, got.StatusCode)
	assert.Zero(t, one.requests())
	assert.Equal(t, []string{"t0", "t1"}, g.releases())
}

// TestEndWhileWaitingForSlot guards against requests that are sent after their caller has left or
// their instance has begun to stop.
func TestEndWhileWaitingForSlot(t *testing.T) {
	t.Run("the caller leaves", func(t *testing.T) {
		x := newTarget(t, ok)
		left := make(chan error, 1)
		g := &slotGiver{script: func(ctx context.Context, _ conductor.SlotAsk, _ int) (string, error) {
			<-ctx.Done()
			left <- ctx.Err()
			return "t0", nil // it was granted at the same time
		}}
		_, server := serveSlots(t, g, []*target{x})
		ctx, cancel := context.WithTimeout(t.Context(), 50*time.Millisecond)
		defer cancel()
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+"/long/x", nil)
		require.NoError(t, err)
		r.Host = "h.example"
		r.Header.Set("Test-Id", "id-1")
		r.Header.Set("Test-Deadline", "20000")
		response, err := http.DefaultTransport.RoundTrip(r)
		if err == nil {
			response.Body.Close()
		}
		require.Error(t, err)
		require.ErrorIs(t, <-left, context.Canceled)
		assert.Eventually(t, func() bool { return len(g.releases()) == 1 }, time.Second, time.Millisecond)
		assert.Zero(t, x.requests())
	})
	t.Run("the instance stops", func(t *testing.T) {
		x := newTarget(t, ok)
		waiting, decide := make(chan bool), make(chan bool)
		g := &slotGiver{script: func(context.Context, conductor.SlotAsk, int) (string, error) {
			waiting <- true
			<-decide
			return "t0", nil
		}}
		c, server := serveSlots(t, g, []*target{x})
		go func() {
			<-waiting
			c.Stop(time.Now(), time.Now().Add(time.Minute))
			decide <- true
		}()
		got, _, err := send(t, server, http.MethodPost, "/unsafe/x", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, got.StatusCode)
		assert.Zero(t, x.requests())
		assert.Equal(t, []string{"t0"}, g.releases())
	})
}

func newLimiter() *limiter.Limiter { return limiter.New(limiter.Member{}, 1) }

// TestKeyIsRemovedWhileWaitingForSlot guards against requests that are sent with a key that was
// removed while they waited, and against slots that they keep.
func TestKeyIsRemovedWhileWaitingForSlot(t *testing.T) {
	x := newTarget(t, ok)
	var a *accounts
	g := &slotGiver{script: func(context.Context, conductor.SlotAsk, int) (string, error) {
		a.setKey(2, "other")
		return "a", nil
	}}
	a = setupAccounts(t, []*target{x}, g.option(true))
	got, _, err := send(t, a.server, http.MethodPost, "/unsafe/x", "b", "Test-Credential", "key k")
	require.NoError(t, err)
	assert.Equal(t, http.StatusUnauthorized, got.StatusCode)
	assert.Zero(t, x.requests())
	assert.Equal(t, []string{"a"}, g.releases())
	assert.Equal(t, "east", g.asked()[0].Account)
	assert.Equal(t, 4, g.asked()[0].Rank)
}

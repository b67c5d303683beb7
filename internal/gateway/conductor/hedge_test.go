package conductor_test

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// hedgeCounts counts the events of second runs.
type hedgeCounts struct {
	mu     sync.Mutex
	counts map[conductor.HedgeEvent]int
}

func (h *hedgeCounts) add(event conductor.HedgeEvent) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.counts[event]++
}

func (h *hedgeCounts) of(event conductor.HedgeEvent) int {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.counts[event]
}

// hedgeTest is a server that hedges, with two targets. first is the script of the first target
// that gets a request, second that of the other one.
type hedgeTest struct {
	conductor *conductor.Conductor
	server    *httptest.Server
	targets   []*target
	counts    *hedgeCounts

	mu    sync.Mutex
	order []int
}

type script func(x *hedgeTest, w net.Conn, r *http.Request) bool

// newHedgeTest prepares the times of all routes, and the budget.
func newHedgeTest(t *testing.T, share float64, scripts [2]script, more ...conductor.Option) *hedgeTest {
	t.Helper()
	x := &hedgeTest{counts: &hedgeCounts{counts: map[conductor.HedgeEvent]int{}}}
	for i := range 2 {
		x.targets = append(x.targets, newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
			if r.Header.Get("Test-Id") == "warm" {
				return answer(w, r, http.StatusOK, "warm")
			}
			return scripts[x.rankOf(i)](x, w, r)
		}))
	}
	h := hedger.New(share)
	for _, prefix := range []string{"/safe/", "/unsafe/", "/stream/", "/resume/", "/late/", "/unsafe-two/"} {
		for range 100 {
			h.Observe(time.Now(), hedger.Route{Host: "h.example", Prefix: prefix, Service: "s"}, 30*time.Millisecond)
		}
	}
	x.conductor = newConductor(x.targets, append(more, conductor.WithHedger(h, x.counts.add))...)
	x.server = httptest.NewUnstartedServer(x.conductor)
	x.server.Config.ConnContext = conductor.ConnContext
	x.server.Start()
	t.Cleanup(x.server.Close)
	for range 20 { // requests that earn the share
		_, _, err := send(t, x.server, http.MethodPost, "/unsafe/x", "", "Test-Id", "warm")
		require.NoError(t, err)
	}
	return x
}

// rankOf returns 0 for the target that is asked first, and 1 for the other.
func (x *hedgeTest) rankOf(target int) int {
	x.mu.Lock()
	defer x.mu.Unlock()
	for rank, known := range x.order {
		if known == target {
			return rank
		}
	}
	x.order = append(x.order, target)
	return len(x.order) - 1
}

// runs returns the requests that the targets got beside those of the preparation.
func (x *hedgeTest) runs() int { return x.targets[0].requests() + x.targets[1].requests() - 20 }

func (x *hedgeTest) get(t *testing.T, path string) (received, string, error) {
	t.Helper()
	return send(t, x.server, http.MethodPost, path, "b")
}

// silent answers nothing until its connection is closed.
func silent(_ *hedgeTest, w net.Conn, _ *http.Request) bool {
	_, _ = w.Read(make([]byte, 1))
	return false
}

func after(d time.Duration, then script) script {
	return func(x *hedgeTest, w net.Conn, r *http.Request) bool {
		time.Sleep(d)
		return then(x, w, r)
	}
}

// afterOther waits until both targets have the request, and a little longer.
func afterOther(then script) script {
	return func(x *hedgeTest, w net.Conn, r *http.Request) bool {
		for until := time.Now().Add(time.Second); x.runs() < 2 && time.Now().Before(until); {
			time.Sleep(time.Millisecond)
		}
		time.Sleep(30 * time.Millisecond)
		return then(x, w, r)
	}
}

func says(status int, body string) script {
	return func(_ *hedgeTest, w net.Conn, r *http.Request) bool { return answer(w, r, status, body) }
}

func streams(last, cutAt int) script {
	return func(_ *hedgeTest, w net.Conn, r *http.Request) bool { return stream(w, r, 1, last, cutAt) }
}

// halfAnswer ends its connection within the answer.
func halfAnswer(_ *hedgeTest, w net.Conn, r *http.Request) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Test-Id"))
	return false
}

const allShare = 1

func TestHedgeFirstGoodAnswerCounts(t *testing.T) {
	for name, c := range map[string]struct {
		path    string
		scripts [2]script
		status  int
		body    string
		won     int
	}{
		"first is silent":            {"/safe/x", [2]script{silent, says(200, "two")}, 200, "two", 1},
		"second is silent":           {"/safe/x", [2]script{afterOther(says(200, "one")), silent}, 200, "one", 0},
		"second is broken":           {"/safe/x", [2]script{afterOther(says(200, "one")), halfAnswer}, 200, "one", 0},
		"second fails":               {"/safe/x", [2]script{afterOther(says(200, "one")), says(500, "bad")}, 200, "one", 0},
		"second fails at length":     {"/safe/x", [2]script{afterOther(says(200, "one")), says(500, strings.Repeat("b", 100<<10))}, 200, "one", 0},
		"second refuses":             {"/safe/x", [2]script{afterOther(says(200, "one")), func(_ *hedgeTest, w net.Conn, r *http.Request) bool { return notRun(w, r, 0) }}, 200, "one", 0},
		"first breaks late":          {"/safe/x", [2]script{afterOther(halfAnswer), after(80*time.Millisecond, says(200, "two"))}, 200, "two", 1},
		"both fail":                  {"/safe/x", [2]script{afterOther(says(500, "one")), says(500, "two")}, 500, "one", 0},
		"both are cut":               {"/safe/x", [2]script{afterOther(halfAnswer), halfAnswer}, 502, "", 0},
		"stream, first is silent":    {"/resume/x", [2]script{silent, streams(3, 0)}, 200, "piece 3", 1},
		"stream, second breaks soon": {"/resume/x", [2]script{afterOther(streams(3, 0)), streams(3, 1)}, 200, "piece 3", 0},
	} {
		t.Run(name, func(t *testing.T) {
			x := newHedgeTest(t, allShare, c.scripts)
			got, body, err := x.get(t, c.path)
			require.NoError(t, err)
			assert.Equal(t, c.status, got.StatusCode)
			assert.Contains(t, body, c.body)
			assert.Equal(t, 2, x.runs(), "never beyond the two attempts of the route")
			assert.Equal(t, 1, x.counts.of(conductor.HedgeSent))
			assert.Equal(t, c.won, x.counts.of(conductor.HedgeWon))
			assertNoLoad(t, x)
		})
	}
}

// assertNoLoad guards against tickets of the losing run that are never ended.
func assertNoLoad(t *testing.T, x *hedgeTest) {
	t.Helper()
	assert.Eventually(t, func() bool { return x.conductor.Active() == 0 }, 2*time.Second, time.Millisecond)
}

// TestHedgeLoserIsCancelled guards against a target that goes on with a run that nobody needs,
// and that is then blamed for it.
func TestHedgeLoserIsCancelled(t *testing.T) {
	closed := make(chan struct{}, 100)
	x := newHedgeTest(t, allShare, [2]script{func(x *hedgeTest, w net.Conn, r *http.Request) bool {
		silent(x, w, r)
		closed <- struct{}{}
		return false
	}, says(200, "two")})
	for range 3 {
		start := time.Now()
		_, body, err := x.get(t, "/safe/x")
		require.NoError(t, err)
		assert.Equal(t, "two", body)
		assert.Less(t, time.Since(start), 350*time.Millisecond, "the loser is not waited for")
	}
	<-closed
}

// TestHedgeNever guards against second runs where they may do harm.
func TestHedgeNever(t *testing.T) {
	late := after(100*time.Millisecond, says(200, "one"))
	suspect := conductor.Quarantine{
		IsEmpty: func() bool { return false }, Arrived: func(string, []string) {},
		Check:      func([]quarantiner.Trait) (bool, error) { return true, nil },
		BeginTrial: func(context.Context, conductor.Run) error { return nil }, EndRun: func(conductor.Run, bool) {},
		Lost: func(context.Context, conductor.Run) bool { return false }, Refused: func(error) {},
		Silent: func(conductor.Run, time.Time) {},
	}
	for name, c := range map[string]struct {
		path    string
		share   float64
		options []conductor.Option
	}{
		"unsafe":                {path: "/unsafe/x", share: allShare},
		"unsafe, two attempts":  {path: "/unsafe-two/x", share: allShare},
		"stream not resumable":  {path: "/stream/x", share: allShare},
		"share is zero":         {path: "/safe/x", share: 0},
		"share is used up":      {path: "/safe/x", share: 0.01},
		"suspect":               {path: "/safe/x", share: allShare, options: []conductor.Option{conductor.WithQuarantine(suspect)}},
		"slots are handed out":  {path: "/safe/x", share: allShare, options: []conductor.Option{(&slotGiver{script: never}).option(true)}},
		"the first answer soon": {path: "/safe/fast", share: allShare},
	} {
		t.Run(name, func(t *testing.T) {
			first := late
			if c.path == "/safe/fast" {
				first = says(200, "one")
			}
			if c.path == "/stream/x" {
				first = after(100*time.Millisecond, streams(2, 0))
			}
			x := newHedgeTest(t, c.share, [2]script{first, says(200, "two")}, c.options...)
			got, _, err := x.get(t, c.path)
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, got.StatusCode)
			assert.Equal(t, 1, x.runs())
			assert.Zero(t, x.counts.of(conductor.HedgeSent))
		})
	}
	t.Run("the instance stops", func(t *testing.T) {
		x := newHedgeTest(t, allShare, [2]script{func(x *hedgeTest, w net.Conn, r *http.Request) bool {
			x.conductor.Stop(time.Now(), time.Now().Add(time.Second)) // before the second run is due
			return late(x, w, r)
		}, says(200, "two")})
		_, body, err := x.get(t, "/safe/x")
		require.NoError(t, err)
		assert.Equal(t, "one", body)
		assert.Equal(t, 1, x.runs())
	})
}

func never(context.Context, conductor.SlotAsk, int) (string, error) {
	return "", conductor.ErrNoAllocator
}

// TestHedgeBothAtOnce guards against answers that are joined of two runs when both targets
// answer at the same time.
func TestHedgeBothAtOnce(t *testing.T) {
	const size = 20 << 10
	one, two := strings.Repeat("1", size), strings.Repeat("2", size+1)
	at := func(body string) script {
		return func(_ *hedgeTest, w net.Conn, r *http.Request) bool {
			time.Sleep(time.Until(time.Now().Truncate(40 * time.Millisecond).Add(40 * time.Millisecond)))
			return answer(w, r, http.StatusOK, body)
		}
	}
	x := newHedgeTest(t, allShare, [2]script{at(one), at(two)})
	for range 20 {
		_, body, err := x.get(t, "/safe/x")
		require.NoError(t, err)
		assert.True(t, body == one || body == two, "length %d", len(body))
	}
}

// TestHedgeCallerLeaves guards against runs that go on when the caller has disconnected.
func TestHedgeCallerLeaves(t *testing.T) {
	x := newHedgeTest(t, allShare, [2]script{silent, silent})
	ctx, cancel := context.WithTimeout(t.Context(), 100*time.Millisecond)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, x.server.URL+"/safe/x", nil)
	require.NoError(t, err)
	r.Host = "h.example"
	r.Header.Set("Test-Id", "id-1")
	response, err := http.DefaultTransport.RoundTrip(r)
	if err == nil {
		response.Body.Close()
	}
	require.Error(t, err)
	assertNoLoad(t, x)
	assert.Equal(t, 2, x.runs())
}

// TestHedgedStreamResumesWithinAttempts guards against a third run when the winner of two is cut.
func TestHedgedStreamResumesWithinAttempts(t *testing.T) {
	x := newHedgeTest(t, allShare, [2]script{silent, streams(4, 3)})
	_, body, err := x.get(t, "/resume/x")
	assert.True(t, err != nil || !strings.Contains(body, "piece 4"), "the answer is cut")
	assert.Equal(t, 2, x.runs())
}

// TestHedgeLoserIsNoEvidence guards against a run that is given up for the other one and then
// counts as the silence or the end of its target.
func TestHedgeLoserIsNoEvidence(t *testing.T) {
	evidence := make(chan string, 10)
	quarantine := conductor.Quarantine{
		IsEmpty: func() bool { return true }, Arrived: func(string, []string) {}, EndRun: func(conductor.Run, bool) {}, Refused: func(error) {},
		Lost: func(context.Context, conductor.Run) bool {
			evidence <- "lost"
			return false
		},
		Silent: func(conductor.Run, time.Time) { evidence <- "silent" },
	}
	half := func(_ *hedgeTest, w net.Conn, r *http.Request) bool {
		fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 100\r\n\r\nhalf", r.Header.Get("Test-Id"))
		return silent(nil, w, r)
	}
	for name, loser := range map[string]script{"no head": silent, "half an answer": half} {
		t.Run(name, func(t *testing.T) {
			x := newHedgeTest(t, allShare, [2]script{loser, after(700*time.Millisecond, says(200, "two"))}, conductor.WithQuarantine(quarantine))
			_, body, err := x.get(t, "/late/x")
			require.NoError(t, err)
			assert.Equal(t, "two", body)
			assert.Empty(t, evidence)
		})
	}
}

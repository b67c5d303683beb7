package conductor_test

import (
	"context"
	"fmt"
	"io"
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
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// quarantine answers the questions of a conductor as it is told, and records what it reports.
type quarantine struct {
	mu        sync.Mutex
	isSuspect bool
	// verdict is the answer to Check, and trial that to BeginTrial.
	verdict error
	trial   error
	// convictAfter is the number of lost runs from which on contents are convicted; 0 for never.
	convictAfter int
	checked      [][]quarantiner.Trait
	lost         []conductor.Run
	silent       []conductor.Run
	ended        []conductor.Run
	answered     int
	refused      int
}

func (q *quarantine) option() conductor.Option {
	return conductor.WithQuarantine(conductor.Quarantine{
		IsEmpty: func() bool { return false }, Check: q.check, BeginTrial: q.beginTrial, EndRun: q.endRun, Lost: q.noteLost,
		Silent: q.noteSilent, Refused: q.noteRefused, Arrived: func(string, []string) {},
	})
}

func (q *quarantine) check(traits []quarantiner.Trait) (bool, error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.checked = append(q.checked, traits)
	return q.isSuspect, q.verdict
}

func (q *quarantine) beginTrial(context.Context, conductor.Run) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.trial
}

func (q *quarantine) endRun(run conductor.Run, isAnswered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.ended = append(q.ended, run)
	if isAnswered {
		q.answered++
	}
}

func (q *quarantine) noteLost(_ context.Context, run conductor.Run) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.lost = append(q.lost, run)
	if q.convictAfter > 0 && len(q.lost) >= q.convictAfter {
		q.verdict = quarantiner.ErrConvicted
	}
	return true
}

func (q *quarantine) noteSilent(run conductor.Run, _ time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.silent = append(q.silent, run)
}

func (q *quarantine) noteRefused(error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.refused++
}

// snapshot returns what was reported so far.
func (q *quarantine) snapshot() *quarantine {
	q.mu.Lock()
	defer q.mu.Unlock()
	return &quarantine{checked: q.checked, lost: q.lost, silent: q.silent, ended: q.ended, answered: q.answered, refused: q.refused}
}

func setupQuarantine(t *testing.T, q *quarantine, targets ...*target) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newConductor(targets, q.option()))
	t.Cleanup(server.Close)
	return server
}

// TestWhatMakesRequestsTheSame guards against a resend that counts as another request, and
// against two requests that count as one.
func TestWhatMakesRequestsTheSame(t *testing.T) {
	q := &quarantine{}
	server := setupQuarantine(t, q, newTarget(t, ok))
	contentOf := func(method, path, body string, more ...string) quarantiner.Fingerprint {
		t.Helper()
		_, _, err := send(t, server, method, path, body, more...)
		require.NoError(t, err)
		checked := q.snapshot().checked
		return checked[len(checked)-1][0].Fingerprint
	}
	first := contentOf("POST", "/safe/a?q=1", "body")
	for name, f := range map[string]quarantiner.Fingerprint{
		"another ID":       contentOf("POST", "/safe/a?q=1", "body", "Test-Id", "id-2"),
		"another deadline": contentOf("POST", "/safe/a?q=1", "body", "Test-Deadline", "900"),
		"a resumed stream": contentOf("POST", "/safe/a?q=1", "body", "Test-Last", "7"),
		"what we drop":     contentOf("POST", "/safe/a?q=1", "body", "Test-Hold", "x"),
	} {
		assert.Equal(t, first, f, name)
	}
	for name, f := range map[string]quarantiner.Fingerprint{
		"method":  contentOf("PUT", "/safe/a?q=1", "body"),
		"path":    contentOf("POST", "/safe/b?q=1", "body"),
		"query":   contentOf("POST", "/safe/a?q=2", "body"),
		"body":    contentOf("POST", "/safe/a?q=1", "bodY"),
		"account": contentOf("POST", "/safe/a?q=1", "body", "Test-Credential", "other"),
		"model":   contentOf("POST", "/safe/a?q=1", "body", "Test-Content", "other"),
	} {
		assert.NotEqual(t, first, f, name)
	}
}

// TestPartsOfPromptsAreNamedInBounds guards against lists of parts that cost much memory, or that give
// one part several names.
func TestPartsOfPromptsAreNamedInBounds(t *testing.T) {
	q := &quarantine{}
	server := setupQuarantine(t, q, newTarget(t, ok))
	long := strings.Repeat("x", 10_000)
	_, _, err := send(t, server, "POST", "/safe/a", "body", "Test-Prefix", "a,b,a,,"+long+","+long)
	require.NoError(t, err)
	names := []string{}
	for _, trait := range q.snapshot().checked[0][1:] {
		assert.Equal(t, quarantiner.Part, trait.Kind)
		names = append(names, trait.Name)
	}
	require.Len(t, names, 3)
	assert.Equal(t, []string{"a", "b"}, names[:2])
	assert.Less(t, len(names[2]), 100)
}

func TestConvictedRequestIsRefusedForGood(t *testing.T) {
	x := newTarget(t, ok)
	q := &quarantine{isSuspect: true, verdict: quarantiner.ErrConvicted}
	server := setupQuarantine(t, q, x)
	for _, path := range []string{"/safe/a", "/unsafe/a", "/stream/a", "/resume/a"} {
		began := time.Now()
		response, body, err := send(t, server, "POST", path, "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusBadRequest, response.StatusCode)
		assert.Empty(t, response.Header.Get("Retry-After"), "it need not come back")
		assert.Contains(t, body, quarantiner.ErrConvicted.Error())
		assert.Less(t, time.Since(began), 100*time.Millisecond)
	}
	assert.Zero(t, x.requests())
	assert.Equal(t, 4, q.snapshot().refused)
}

// TestRequestConvictedUnderWayIsNotSentAgain guards against the retries of the very send whose
// run convicts a request.
func TestRequestConvictedUnderWayIsNotSentAgain(t *testing.T) {
	targets := []*target{newTarget(t, cut), newTarget(t, cut), newTarget(t, cut)}
	q := &quarantine{convictAfter: 1}
	response, _, err := send(t, setupQuarantine(t, q, targets...), "POST", "/safe/a", "b")
	require.NoError(t, err)
	assert.Equal(t, http.StatusBadRequest, response.StatusCode)
	assert.Equal(t, 1, targets[0].requests()+targets[1].requests()+targets[2].requests())
	lost := q.snapshot().lost
	require.Len(t, lost, 1)
	assert.NotEmpty(t, lost[0].Target.ID)
	t.Run("a stream that has begun is cut, not ended", func(t *testing.T) {
		half := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 9, 3) })
		q := &quarantine{convictAfter: 1}
		_, _, err := send(t, setupQuarantine(t, q, half, half), "POST", "/resume/a", "b")
		assert.Error(t, err)
	})
}

func TestSuspectWaitsForItsTurn(t *testing.T) {
	t.Run("and is refused as not run if that takes too long", func(t *testing.T) {
		x := newTarget(t, ok)
		q := &quarantine{isSuspect: true, trial: quarantiner.ErrWait}
		response, _, err := send(t, setupQuarantine(t, q, x), "POST", "/unsafe/a", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		assert.Zero(t, x.requests())
	})
	t.Run("and runs then", func(t *testing.T) {
		x := newTarget(t, ok)
		q := &quarantine{isSuspect: true, trial: quarantiner.ErrWait}
		server := setupQuarantine(t, q, x)
		time.AfterFunc(70*time.Millisecond, func() {
			q.mu.Lock()
			defer q.mu.Unlock()
			q.trial = nil
		})
		response, _, err := send(t, server, "POST", "/unsafe/a", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		seen := q.snapshot()
		require.Len(t, seen.ended, 1)
		assert.True(t, seen.ended[0].IsTrial)
		assert.Equal(t, 1, seen.answered)
	})
}

// TestWhichAnswersClearSuspect guards against a suspect that is cleared by a target that did not
// run it, and against one that never is since its answer is no success.
func TestWhichAnswersClearSuspect(t *testing.T) {
	for status, want := range map[int]int{200: 1, 204: 1, 404: 1, 409: 1, 500: 0, 504: 0} {
		q := &quarantine{isSuspect: true}
		x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool { return answer(w, r, status, "") })
		_, _, err := send(t, setupQuarantine(t, q, x), "POST", "/unsafe/a", "b")
		require.NoError(t, err)
		assert.Equal(t, want, q.snapshot().answered, status)
		assert.Len(t, q.snapshot().ended, 1)
	}
}

// TestOnlyCutConnectionsAreLosses guards against blaming requests for targets that are silent,
// turn them away, fail or answer wrongly.
func TestOnlyCutConnectionsAreLosses(t *testing.T) {
	whole := func(w net.Conn, r *http.Request, _ int) bool { return answer(w, r, http.StatusOK, "done") }
	half := func(w net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(w, "HTTP/1.1 200 X\r\nTest-Id: id-1\r\nTest-Stamp: s\r\nContent-Length: 9\r\n\r\nhalf")
		return false
	}
	unframed := func(w net.Conn, _ *http.Request, _ int) bool {
		fmt.Fprint(w, "HTTP/1.1 200 X\r\nTest-Id: id-1\r\nTest-Stamp: s\r\n\r\nid: 1\nda")
		return false
	}
	silent := func(net.Conn, *http.Request, int) bool {
		time.Sleep(time.Second)
		return false
	}
	for name, x := range map[string]struct {
		path     string
		script   func(net.Conn, *http.Request, int) bool
		lost     int
		hasBegun bool
	}{
		"no answer":          {"/unsafe/a", cut, 1, false},
		"half an answer":     {"/unsafe/a", half, 1, true},
		"half a stream":      {"/stream/a", func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 9, 3) }, 1, true},
		"no whole event":     {"/stream/a", func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 9, 1) }, 1, false},
		"an unframed stream": {"/stream/a", unframed, 1, false},
		"whole":              {"/unsafe/a", whole, 0, false},
		"refused":            {"/unsafe/a", notRun, 0, false},
		"failed":             {"/unsafe/a", func(w net.Conn, r *http.Request, _ int) bool { return answer(w, r, 500, "") }, 0, false},
		"silent":             {"/unsafe/a", silent, 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			q := &quarantine{}
			_, _, _ = send(t, setupQuarantine(t, q, newTarget(t, x.script)), "POST", x.path, "b")
			lost := q.snapshot().lost
			require.Len(t, lost, x.lost)
			for _, run := range lost {
				assert.Equal(t, x.hasBegun, run.HasBegun)
			}
		})
	}
}

// TestSilentRunsAreNoted guards against targets that end in silence and are held against nobody, and
// against blaming requests whose caller left a target that went on.
func TestSilentRunsAreNoted(t *testing.T) {
	halfStream := func(pause time.Duration) func(w net.Conn, r *http.Request, _ int) bool {
		return func(w net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\n\r\n", r.Header.Get("Test-Id"))
			for i := 1; i < 20; i++ {
				if _, err := fmt.Fprint(w, events(i, i)); err != nil {
					break
				}
				time.Sleep(pause)
			}
			return false
		}
	}
	silent := func(net.Conn, *http.Request, int) bool {
		time.Sleep(3 * time.Second)
		return false
	}
	for name, c := range map[string]struct {
		path   string
		script func(net.Conn, *http.Request, int) bool
		leave  time.Duration
		silent int
	}{
		"before the answer":                {"/long/a", silent, 700 * time.Millisecond, 1},
		"in a stream":                      {"/long-stream/a", halfStream(2 * time.Second), 700 * time.Millisecond, 1},
		"the caller leaves at once":        {"/long/a", silent, 100 * time.Millisecond, 0},
		"the caller leaves a sound stream": {"/long-stream/a", halfStream(50 * time.Millisecond), 700 * time.Millisecond, 0},
	} {
		t.Run(name, func(t *testing.T) {
			q := &quarantine{}
			server := setupQuarantine(t, q, newTarget(t, c.script))
			ctx, cancel := context.WithTimeout(t.Context(), c.leave)
			defer cancel()
			request, err := http.NewRequestWithContext(ctx, http.MethodPost, server.URL+c.path, strings.NewReader("b"))
			require.NoError(t, err)
			request.Host = "h.example"
			request.Header.Set("Test-Id", "id-1")
			if response, err := http.DefaultClient.Do(request); err == nil {
				_, _ = io.Copy(io.Discard, response.Body)
				response.Body.Close()
			}
			time.Sleep(50 * time.Millisecond)
			assert.Len(t, q.snapshot().silent, c.silent)
			assert.Empty(t, q.snapshot().lost)
		})
	}
}

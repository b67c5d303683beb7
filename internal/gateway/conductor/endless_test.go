package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
)

const (
	// maxSentBytes is how much a target may send before it is cut off, including the
	// buffers of both sockets.
	maxSentBytes = 16 << 20
	// endlessLimitBytes ends a test whose target is not cut off.
	endlessLimitBytes = 4 * conductor.MaxAnswerBytes
	// cutTimeout is how long a test waits for its target to be cut off, and maxRequests
	// how many requests it sends until that target has received one.
	cutTimeout  = 20 * time.Second
	maxRequests = 64
)

// endless is a target that writes a head and then the same piece repeatedly until it is
// cut off.
type endless struct {
	head, piece string
	// pause is the time between two pieces.
	pause time.Duration
	// sentBytes receives the number of bytes sent once the target is cut off.
	sentBytes chan int
}

func (e *endless) script(w net.Conn, r *http.Request, _ int) bool {
	head := strings.ReplaceAll(e.head, "ID", r.Header.Get("Test-Id"))
	sent, _ := fmt.Fprint(w, head)
	for sent < endlessLimitBytes {
		n, err := fmt.Fprint(w, e.piece)
		sent += n
		if err != nil {
			break
		}
		time.Sleep(e.pause)
	}
	e.sentBytes <- sent
	return false
}

// waitCutOff waits until the target is cut off and returns how many bytes it sent.
func (e *endless) waitCutOff(t *testing.T) int {
	t.Helper()
	select {
	case n := <-e.sentBytes:
		return n
	case <-time.After(cutTimeout):
		require.Fail(t, "the target was not cut off")
		return 0
	}
}

// TestEndlessAnswersAreCutOff guards against targets that send an endless head or body.
// Each must be cut off after a bounded number of bytes, and the caller must get a final
// answer that does not claim that its request was not run.
func TestEndlessAnswersAreCutOff(t *testing.T) {
	const stamped = "HTTP/1.1 200 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\n"
	const chunked = "Transfer-Encoding: chunked\r\n\r\n"
	long := strings.Repeat("x", 4000)
	for name, c := range map[string]struct{ path, head, piece string }{
		"head":                     {"/unsafe/", stamped, "X-Junk: " + long + "\r\n"},
		"head without lines":       {"/unsafe/", "HTTP/1.1 200 ", long},
		"empty lines":              {"/unsafe/", "", strings.Repeat("\r\n", 1000)},
		"interim answers":          {"/unsafe/", "", strings.Repeat("HTTP/1.1 102 X\r\n\r\n", 100)},
		"body of another":          {"/unsafe/", "HTTP/1.1 200 X\r\nTest-Id: other\r\nTest-Stamp: s\r\n" + chunked, "fa0\r\n" + long + "\r\n"},
		"body without stamp":       {"/unsafe/", "HTTP/1.1 200 X\r\nTest-Id: ID\r\n" + chunked, "fa0\r\n" + long + "\r\n"},
		"chunk extension":          {"/unsafe/", stamped + chunked + "5;", long},
		"event":                    {"/stream/", stamped + chunked, "fa0\r\n" + long + "\r\n"},
		"event of a resumable one": {"/resume/", stamped + chunked, "fa0\r\n" + long + "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			e := &endless{head: c.head, piece: c.piece, sentBytes: make(chan int, 4)}
			server := setup(t, newTarget(t, e.script))
			response, _, err := send(t, server, http.MethodPost, c.path, "body")
			require.NoError(t, err)
			assert.Contains(t, []int{http.StatusBadGateway, http.StatusGatewayTimeout}, response.StatusCode)
			assert.Less(t, e.waitCutOff(t), maxSentBytes)
		})
	}
}

// TestEndlessRefusalIsCutOff guards against a target whose refusal has an endless body:
// the request, which was not run, must be sent to another target at once.
func TestEndlessRefusalIsCutOff(t *testing.T) {
	const head = "HTTP/1.1 503 X\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, e := range map[string]*endless{
		"fast": {head: head, piece: "fa0\r\n" + strings.Repeat("x", 4000) + "\r\n"},
		"slow": {head: head, piece: "1\r\nx\r\n", pause: 10 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			e.sentBytes = make(chan int, maxRequests)
			x := newTarget(t, e.script)
			server := setup(t, x, newTarget(t, ok))
			for n := 0; n < maxRequests && x.requests() == 0; n++ { // the target is picked at random
				_, body, err := send(t, server, http.MethodPost, "/safe/", "")
				require.NoError(t, err)
				assert.Equal(t, "done", body)
			}
			assert.Less(t, e.waitCutOff(t), maxSentBytes)
		})
	}
}

// TestEndlessAnswerBodyIsCutOff guards against an answer body that never ends: the
// connection to the caller must be aborted, so that the answer does not look complete.
func TestEndlessAnswerBodyIsCutOff(t *testing.T) {
	e := &endless{
		head:  "HTTP/1.1 200 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n",
		piece: "fa0\r\n" + strings.Repeat("x", 4000) + "\r\n", sentBytes: make(chan int, 4),
	}
	_, body, err := send(t, setup(t, newTarget(t, e.script)), http.MethodPost, "/long/", "")
	require.Error(t, err)
	assert.NotEmpty(t, body)
	assert.LessOrEqual(t, len(body), conductor.MaxAnswerBytes)
	assert.Less(t, e.waitCutOff(t), 2*conductor.MaxAnswerBytes)
}

// TestSlowStreams checks streams whose bytes arrive slowly. A stream of complete events
// must be relayed however slow it is; one that sends single bytes that form no event must
// be cut off.
func TestSlowStreams(t *testing.T) {
	const head = "HTTP/1.1 200 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nTransfer-Encoding: chunked\r\n\r\n"
	t.Run("complete events", func(t *testing.T) {
		t.Parallel()
		script := func(w net.Conn, r *http.Request, _ int) bool {
			fmt.Fprint(w, strings.ReplaceAll(head, "ID", r.Header.Get("Test-Id")))
			for i := 1; i <= 4; i++ {
				event := events(i, i)
				fmt.Fprintf(w, "%x\r\n%s\r\n", len(event), event)
				time.Sleep(1800 * time.Millisecond)
			}
			fmt.Fprint(w, "0\r\n\r\n")
			return true
		}
		_, body, err := send(t, setup(t, newTarget(t, script)), http.MethodPost, "/long-stream/", "", "Test-Deadline", "20000")
		require.NoError(t, err)
		assert.Equal(t, events(1, 4), body)
	})
	t.Run("single bytes", func(t *testing.T) {
		t.Parallel()
		e := &endless{
			head: head + fmt.Sprintf("%x\r\n%s\r\n", len(events(1, 1)), events(1, 1)), piece: "1\r\nx\r\n",
			pause: 50 * time.Millisecond, sentBytes: make(chan int, 4),
		}
		began := time.Now()
		_, body, err := send(t, setup(t, newTarget(t, e.script)), http.MethodPost, "/long-stream/", "", "Test-Deadline", "20000")
		require.Error(t, err)
		assert.Equal(t, events(1, 1), body)
		assert.Less(t, time.Since(began), 6*time.Second)
	})
}

package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const firstEvents = "id: 1\ndata: piece 1\n\nid: 2\ndata: piece 2\n\n"

// raw returns a script that writes a raw answer with the ID of the request, and closes the
// connection.
func raw(format string, args ...any) func(net.Conn, *http.Request, int) bool {
	return func(w net.Conn, r *http.Request, _ int) bool {
		_, _ = w.Write([]byte(strings.ReplaceAll(fmt.Sprintf(format, args...), "ID", r.Header.Get("Test-Id"))))
		return false
	}
}

// withBody returns a raw answer whose body has a length.
func withBody(status int, contentType, body string) func(net.Conn, *http.Request, int) bool {
	return raw("HTTP/1.1 %d X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nContent-Type: %s\r\nContent-Length: %d\r\n\r\n%s",
		status, contentType, len(body), body)
}

// TestBrokenOffStreamGoesOnOnlyWithItsContinuation guards against the text of an error, or the
// end of another answer, in the middle or at the end of a stream that has begun.
func TestBrokenOffStreamGoesOnOnlyWithItsContinuation(t *testing.T) {
	const events = "text/event-stream"
	first := func(w net.Conn, r *http.Request, _ int) bool { return stream(w, r, 1, 9, 3) }
	for name, next := range map[string]func(net.Conn, *http.Request, int) bool{
		"an error":                          withBody(500, "text/plain", "error: no such model\n\n"),
		"an error in the form of an event":  withBody(500, events, "id: 3\ndata: error\n\n"),
		"a refusal":                         notRun,
		"a refusal with a text":             raw("HTTP/1.1 503 X\r\nTest-Id: ID\r\nTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy"),
		"a misdirection":                    raw("HTTP/1.1 421 X\r\nTest-Id: ID\r\nContent-Length: 4\r\n\r\ngone"),
		"a redirection":                     withBody(302, "text/plain", "elsewhere\n\n"),
		"no content":                        raw("HTTP/1.1 204 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\n\r\n"),
		"a part":                            withBody(206, events, "id: 3\ndata: piece 3\n\n"),
		"a success that is no stream":       withBody(200, "application/json", "{\"error\":\"x\"}\n\n"),
		"a success that is empty":           withBody(200, events, ""),
		"an empty one in chunks":            raw("HTTP/1.1 200 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
		"an empty one that is closed":       raw("HTTP/1.1 200 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nContent-Type: text/event-stream\r\n\r\n"),
		"an event without an ID":            withBody(200, events, "event: error\ndata: no such model\n\n"),
		"the stream from its start":         withBody(200, events, firstEvents+"id: 3\ndata: piece 3\n\n"),
		"the last event again":              withBody(200, events, "id: 2\ndata: piece 2\n\nid: 3\ndata: piece 3\n\n"),
		"an answer without a stamp":         raw("HTTP/1.1 200 X\r\nTest-Id: ID\r\nContent-Length: 22\r\n\r\nid: 3\ndata: piece 3\n\n"),
		"an answer to another request":      raw("HTTP/1.1 200 X\r\nTest-Id: other\r\nTest-Stamp: s\r\nContent-Length: 22\r\n\r\nid: 3\ndata: piece 3\n\n"),
		"bytes that are no answer":          raw("error: no such model\r\n\r\n"),
		"a head without its end":            raw("HTTP/1.1 500 X\r\nTest-Id: ID\r\n"),
		"nothing":                           cut,
		"an interim head and then an error": raw("HTTP/1.1 100 X\r\n\r\nHTTP/1.1 500 X\r\nTest-Id: ID\r\nTest-Stamp: s\r\nContent-Length: 5\r\n\r\nerror"),
	} {
		t.Run(name, func(t *testing.T) {
			script := func(w net.Conn, r *http.Request, n int) bool {
				if r.Header.Get("Test-Last") == "" {
					return first(w, r, n)
				}
				return next(w, r, n)
			}
			response, body, err := send(t, setup(t, newTarget(t, script), newTarget(t, script)), "POST", "/resume/x", "b")
			assert.Equal(t, http.StatusOK, response.StatusCode)
			assert.Equal(t, firstEvents, body, "what was whole, and nothing else")
			assert.Error(t, err, "it does not look complete")
		})
	}
	t.Run("its continuation", func(t *testing.T) {
		script := func(w net.Conn, r *http.Request, n int) bool {
			if r.Header.Get("Test-Last") == "" {
				return first(w, r, n)
			}
			return stream(w, r, 3, 9, 0)
		}
		_, body, err := send(t, setup(t, newTarget(t, script), newTarget(t, script)), "POST", "/resume/x", "b")
		require.NoError(t, err)
		assert.True(t, strings.HasPrefix(body, firstEvents))
		assert.Equal(t, 9, strings.Count(body, "data: piece"))
	})
}

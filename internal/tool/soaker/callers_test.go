package soaker

import (
	"context"
	"io"
	"maps"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/platform/simulator"
)

// TestSameContentIsSentAlike: the prompt of a request had another ID each time it was sent, so that
// no instance could see that one request ended one engine after the other.
func TestSameContentIsSentAlike(t *testing.T) {
	engine := content{route: route{Route: simulator.Route{Prefix: "/talk/"}}, model: "m1", body: "ends targets 1", parts: []string{"a1", "d1"}}
	other := engine
	other.body = "ends targets 2"
	first := received(t, engine.call("1"))
	assert.Equal(t, first, received(t, engine.call("2")), "the same content, sent again")
	assert.NotEqual(t, first, received(t, other.call("3")), "another content")
}

// received returns the headers that a call sends, but for the one that is its ID.
func received(t *testing.T, call simulator.Call) http.Header {
	t.Helper()
	var headers http.Header
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body) // the headers matter alone
		headers = r.Header.Clone()
	}))
	defer server.Close()
	caller := simulator.NewCaller()
	defer caller.Close()
	answer := caller.Do(context.Background(), strings.TrimPrefix(server.URL, "http://"), call)
	require.NoError(t, answer.Err)
	maps.DeleteFunc(headers, func(_ string, values []string) bool { return values[0] == call.ID })
	return headers
}

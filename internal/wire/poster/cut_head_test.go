package poster_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/responder"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// callForValue sends a call to a server that answers with a text and ends the connection.
func callForValue(t *testing.T, text string) (value bool, err error) {
	t.Helper()
	server, err := responder.New(text, responder.Close)
	require.NoError(t, err)
	defer server.Close()
	var out struct{ Value bool }
	err = poster.New().Do(poster.Call{Method: http.MethodPost, URL: "http://" + server.Address, Out: &out, Deadline: time.Now().Add(2 * time.Second)})
	return out.Value, err
}

// TestCutHeadIsNoAnswer guards against a target that stops within the head of its answer to an order,
// which has no body, or behind interim heads, and whose caller takes the order for accepted.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const accepted = "HTTP/1.1 202 Accepted\r\nContent-Length: 0\r\nX-More: m\r\n\r\n"
	for end := range len(accepted) {
		server, err := responder.New(accepted[:end], responder.Close)
		require.NoError(t, err)
		err = poster.New().Do(poster.Call{Method: http.MethodPost, URL: "http://" + server.Address, In: struct{}{}, Deadline: time.Now().Add(2 * time.Second)})
		assert.ErrorIs(t, err, poster.ErrNoAnswer, accepted[:end])
		server.Close()
	}
	for _, interim := range []string{"HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n", "HTTP/1.1 102 Processing\r\n\r\n"} {
		text := interim + "HTTP/1.1 200 OK\r\nContent-Length: 14\r\n\r\n{\"Value\":true}"
		for end := range len(text) {
			value, err := callForValue(t, text[:end])
			assert.Error(t, err, text[:end])
			assert.False(t, value)
		}
		value, err := callForValue(t, text)
		require.NoError(t, err, interim)
		assert.True(t, value)
	}
}

package conductor_test

import (
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

// TestRequestsThatComeBack replays a model whose only copy is full for half a second: a
// request that may be on time is told to come back, and one that did waits for its place.
func TestRequestsThatComeBack(t *testing.T) {
	const slots = 4
	x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
		time.Sleep(600 * time.Millisecond)
		return answer(w, r, http.StatusOK, "done")
	})
	server, r := setupModel(t, x, func() (time.Duration, error) { return 0, balancer.ErrNoModel })
	setHoldings(r, x.address, "m")
	for range slots {
		go func() { _, _, _ = send(t, server, "POST", "/model/", "b", "Test-Model", "m", "Test-Deadline", "9000") }()
	}
	require.Eventually(t, func() bool { return x.requests() == slots }, time.Second, time.Millisecond)
	response, _, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m", "Test-Deadline", "9000")
	require.NoError(t, err)
	assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	assert.NotEmpty(t, response.Header.Get("Retry-After"))
	response, body, err := send(t, server, "POST", "/model/", "b", "Test-Model", "m", "Test-Deadline", "7000")
	require.NoError(t, err)
	assert.Equal(t, http.StatusOK, response.StatusCode)
	assert.Equal(t, "done", body)
}

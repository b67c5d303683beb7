package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
)

const drainTime = 400 * time.Millisecond

// setupDraining is like setup with a time that leaving targets take requests.
func setupDraining(t *testing.T, targets ...*target) *httptest.Server {
	t.Helper()
	server := httptest.NewServer(newConductor(targets, conductor.WithDrainTime(drainTime)))
	t.Cleanup(server.Close)
	return server
}

// leaving answers as a target that leaves does.
func leaving(w net.Conn, r *http.Request, _ int) bool {
	fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nTest-Leaving: 1\r\nContent-Length: 4\r\n\r\ndone", r.Header.Get("Test-Id"))
	return true
}

// TestTargetThatAnnouncesItsLeaveGetsNothingAfterItsDrainTime guards against requests to a target
// whose answers say that it leaves, while its entry in the target table does not.
func TestTargetThatAnnouncesItsLeaveGetsNothingAfterItsDrainTime(t *testing.T) {
	t.Run("another target is preferred at once", func(t *testing.T) {
		x, y := newTarget(t, leaving), newTarget(t, ok)
		server := setupDraining(t, x, y)
		for n := 0; n < 100 && x.requests() == 0; n++ {
			_, _, err := send(t, server, "GET", "/safe/", "")
			require.NoError(t, err)
		}
		require.Equal(t, 1, x.requests())
		for range 20 {
			_, _, err := send(t, server, "GET", "/safe/", "")
			require.NoError(t, err)
		}
		assert.Equal(t, 1, x.requests())
	})
	t.Run("without another one it serves until its drain time has passed", func(t *testing.T) {
		x := newTarget(t, leaving)
		server := setupDraining(t, x)
		_, _, err := send(t, server, "POST", "/unsafe/", "b")
		require.NoError(t, err)
		began := time.Now()
		response, _, err := send(t, server, "POST", "/unsafe/", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
		time.Sleep(time.Until(began.Add(drainTime)))
		response, _, err = send(t, server, "POST", "/unsafe/", "b")
		require.NoError(t, err)
		assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
		assert.NotEmpty(t, response.Header.Get("Retry-After"))
		assert.Equal(t, 2, x.requests())
	})
	t.Run("a stream that has begun ends there", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
			fmt.Fprintf(w, "HTTP/1.1 200 X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nTest-Leaving: 1\r\nConnection: close\r\n\r\n", r.Header.Get("Test-Id"))
			for i := 1; i <= 6; i++ {
				fmt.Fprint(w, events(i, i))
				time.Sleep(drainTime / 4)
			}
			return false
		})
		_, body, err := send(t, setupDraining(t, x), "POST", "/long-stream/", "b")
		require.NoError(t, err)
		assert.Equal(t, events(1, 6), body)
	})
}

// quietFor refuses as a target does that wants no requests for a time, of any form.
func quietFor(value string) func(w net.Conn, r *http.Request, n int) bool {
	return func(w net.Conn, r *http.Request, _ int) bool {
		fmt.Fprintf(w, "HTTP/1.1 503 X\r\nTest-Id: %s\r\nTest-Not-Run: 1\r\nRetry-After: %s\r\nContent-Length: 0\r\n\r\n", r.Header.Get("Test-Id"), value)
		return true
	}
}

// TestTargetThatAsksForQuietGetsNothing guards against requests to a target before the time that
// it has named in a refusal.
func TestTargetThatAsksForQuietGetsNothing(t *testing.T) {
	t.Run("its requests go to another target", func(t *testing.T) {
		x, y := newTarget(t, quietFor("30")), newTarget(t, ok)
		server := setup(t, x, y)
		for range 30 {
			response, _, err := send(t, server, "POST", "/unsafe/", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, response.StatusCode)
		}
		assert.LessOrEqual(t, x.requests(), 1)
	})
	t.Run("without another one they are refused at once, with the time to come back", func(t *testing.T) {
		x := newTarget(t, quietFor("2.5"))
		server := setup(t, x)
		for range 5 {
			began := time.Now()
			response, _, err := send(t, server, "POST", "/unsafe/", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
			assert.Less(t, time.Since(began), 100*time.Millisecond)
			seconds, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64)
			require.NoError(t, err)
			if x.requests() == 1 {
				assert.Less(t, seconds, 4.0)
			}
		}
		assert.Equal(t, 1, x.requests())
	})
	t.Run("after that time it serves again", func(t *testing.T) {
		x := newTarget(t, func(w net.Conn, r *http.Request, n int) bool {
			if n == 1 {
				return quietFor("0.1")(w, r, n)
			}
			return ok(w, r, n)
		})
		server := setup(t, x)
		_, _, err := send(t, server, "POST", "/unsafe/", "b")
		require.NoError(t, err)
		require.Eventually(t, func() bool {
			response, _, err := send(t, server, "POST", "/unsafe/", "b")
			return err == nil && response.StatusCode == http.StatusOK
		}, 2*time.Second, 10*time.Millisecond)
	})
	for _, value := range []string{"0", "soon", ""} {
		t.Run("no time: "+value, func(t *testing.T) {
			x := newTarget(t, quietFor(value))
			server := setup(t, x)
			for range 3 {
				_, _, err := send(t, server, "POST", "/unsafe/", "b")
				require.NoError(t, err)
			}
			assert.Equal(t, 3, x.requests())
		})
	}
}

// BenchmarkRequest measures a request to a target that announces nothing, while nothing is
// suspected.
func BenchmarkRequest(b *testing.B) {
	for name, prompt := range map[string]string{"plain": "", "prompt": "5c1e07a2,91bd3f06,e4402b7d"} {
		b.Run(name, func(b *testing.B) {
			c := newConductor([]*target{newTarget(b, ok)})
			r := httptest.NewRequest(http.MethodGet, "http://h.example/safe/", nil)
			r.Header.Set("Test-Id", "id-1")
			r.Header.Set("Test-Deadline", "3000")
			if prompt != "" {
				r.Header.Set("Test-Prefix", prompt)
			}
			b.ReportAllocs()
			for b.Loop() {
				c.ServeHTTP(httptest.NewRecorder(), r)
			}
		})
	}
}

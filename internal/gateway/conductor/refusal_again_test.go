package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRefusalSentAgainIsNotTheNextAnswer guards against "not run" for a request that runs, and
// against a second run of it, since a target wrote an earlier refusal once more on a kept
// connection.
func TestRefusalSentAgainIsNotTheNextAnswer(t *testing.T) {
	refusal := func(status int, id string) string {
		head := ""
		if id != "" {
			head = "Test-Id: " + id + "\r\n"
		}
		return fmt.Sprintf("HTTP/1.1 %d X\r\n%sTest-Not-Run: 1\r\nContent-Length: 4\r\n\r\nbusy", status, head)
	}
	for name, x := range map[string]struct {
		status int
		hasID  bool
		// delay is when the refusal comes once more, from the next request on.
		delay time.Duration
	}{
		"in front of the next answer":     {503, true, 0},
		"long before it":                  {503, true, 30 * time.Millisecond},
		"a misdirection":                  {421, true, 0},
		"too many requests":               {429, true, 0},
		"a refusal without an ID":         {503, false, 0},
		"a misdirection without an ID":    {421, false, 0},
		"a refusal without an ID, delays": {503, false, 30 * time.Millisecond},
	} {
		for _, path := range []string{"/unsafe/x", "/safe/x", "/stream/x", "/resume/x"} {
			t.Run(name+" "+path, func(t *testing.T) {
				var mu sync.Mutex
				ran := map[string]int{}
				script := func(w net.Conn, r *http.Request, _ int) bool {
					id := r.Header.Get("Test-Id")
					if id == "first" {
						_, _ = fmt.Fprint(w, refusal(x.status, id))
						return true
					}
					mu.Lock()
					ran[id]++
					mu.Unlock()
					earlier := ""
					if x.hasID {
						earlier = "first"
					}
					_, _ = fmt.Fprint(w, refusal(x.status, earlier))
					time.Sleep(x.delay)
					return answer(w, r, http.StatusOK, "id: 1\ndata: done\n\n")
				}
				server := setup(t, newTarget(t, script))
				_, _, err := send(t, server, "POST", path, "b", "Test-Id", "first")
				require.NoError(t, err)
				response, _, err := send(t, server, "POST", path, "b", "Test-Id", "second")
				require.NoError(t, err)
				mu.Lock()
				defer mu.Unlock()
				if ran["second"] > 0 {
					for _, status := range []int{408, 421, 429, 503} {
						assert.NotEqual(t, status, response.StatusCode, "it has run")
					}
				}
				if path == "/unsafe/x" || path == "/stream/x" {
					assert.LessOrEqual(t, ran["second"], 1)
				}
			})
		}
	}
}

package conductor_test

import (
	"fmt"
	"net"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestTargetThatStopsWithinItsHeadGivesNoAnswer guards against callers that get a success with an
// empty body from a target that closed within the head of its answer.
func TestTargetThatStopsWithinItsHeadGivesNoAnswer(t *testing.T) {
	for _, path := range []string{"/safe/a", "/unsafe/a", "/stream/a", "/resume/a"} {
		for _, f := range []framing{byLength, byChunks, byClose} {
			t.Run(path[1:5]+" "+string(f), func(t *testing.T) {
				whole := rawAnswer{framing: f, pieces: eventPieces(1, 3), cutAt: -1}
				for end := range len(whole.head("id-1")) {
					x := newTarget(t, func(w net.Conn, r *http.Request, _ int) bool {
						fmt.Fprint(w, whole.head(r.Header.Get("Test-Id"))[:end])
						return false
					})
					response, body, err := send(t, setup(t, x), "POST", path, "b")
					require.NoError(t, err)
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, "cut at %d: %q", end, body)
					assert.Equal(t, 1, x.requests())
				}
			})
		}
	}
}

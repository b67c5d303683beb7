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

// TestOddStatusIsNoAnswer guards against an answer of a target whose status HTTP does not define, such as
// 000, and that reaches its caller as a success.
func TestOddStatusIsNoAnswer(t *testing.T) {
	const interim = "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	for _, status := range []string{"000", "099", "600", "999"} {
		for _, before := range []string{"", interim} {
			odd := func(w net.Conn, r *http.Request, _ int) bool {
				fmt.Fprintf(w, "%sHTTP/1.1 %s X\r\nTest-Id: %s\r\nTest-Stamp: s\r\nContent-Length: 4\r\n\r\nodd!", before, status, r.Header.Get("Test-Id"))
				return true
			}
			for _, path := range []string{"/safe/", "/unsafe/", "/stream/"} {
				t.Run(strings.Join([]string{status, before, path}, " "), func(t *testing.T) {
					response, body, err := send(t, setup(t, newTarget(t, odd)), "POST", path, "b")
					require.NoError(t, err)
					assert.Equal(t, http.StatusBadGateway, response.StatusCode, body)
					assert.Empty(t, response.Header.Get("Test-Stamp"))
				})
			}
		}
	}
}

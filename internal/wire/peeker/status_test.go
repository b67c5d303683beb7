package peeker

import (
	"testing"

	"github.com/stretchr/testify/assert"
)

// TestOddStatusIsNone guards against status lines whose status HTTP does not define, such as 000, and that
// are taken for a success.
func TestOddStatusIsNone(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 200 OK": 200, "HTTP/1.0 404 Not": 404, "HTTP/1.1 100 \r\n": 100, "HTTP/1.1 599\r\n": 599, "HTTP/1.1 204\n\n": 204,
	} {
		status, err := ParseStatus([]byte(line))
		assert.NoError(t, err, line)
		assert.Equal(t, want, status, line)
	}
	for _, line := range []string{
		"HTTP/1.1 000 OK", "HTTP/1.1 099 OK", "HTTP/1.1 600 OK", "HTTP/1.1 999 OK", "HTTP/1.1 2000 K", "HTTP/1.1 20 OK ", "HTTP/1.1 +20 OK",
		"HTTP/1.1 -20 OK", "HTTP/1.1  200 O", "HTTP/2.0 200 OK", "HTTP/1.x 200 OK", "http/1.1 200 OK", "200 OK and more", "\r\nHTTP/1.1 200",
	} {
		_, err := ParseStatus([]byte(line))
		assert.ErrorIs(t, err, ErrNoStatus, line)
	}
}

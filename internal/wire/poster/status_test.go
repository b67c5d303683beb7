package poster_test

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/poster"
)

// TestOddStatusIsNoAnswer guards against an answer of the store, a peer or a target whose status HTTP does
// not define, such as 000, and that is taken for a success.
func TestOddStatusIsNoAnswer(t *testing.T) {
	const rest = " X\r\nContent-Length: 14\r\n\r\n{\"Value\":true}"
	for _, interim := range []string{"", "HTTP/1.1 100 Continue\r\n\r\n", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"} {
		for _, status := range []string{"000", "099", "600", "999", "2000", "20"} {
			value, err := callForValue(t, interim+"HTTP/1.1 "+status+rest)
			assert.ErrorIs(t, err, poster.ErrNoAnswer, "%q status %s", interim, status)
			assert.False(t, value)
		}
		value, err := callForValue(t, interim+"HTTP/1.1 200"+rest)
		require.NoError(t, err, interim)
		assert.True(t, value)
	}
}

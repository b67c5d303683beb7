package guarder

import (
	"bufio"
	"bytes"
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
)

// FuzzHeadMeter guards against a head whose end the meter sees elsewhere than the server: what
// follows a head must not count, and all of an accepted head must.
func FuzzHeadMeter(f *testing.F) {
	for _, seed := range []string{
		"GET / HTTP/1.1\r\nHost: h\r\n\r\nrest", "\r\n\r\n", "GET / HTTP/1.1\nHost: h\n\nrest\n\n", "\n\r\nGET / HTTP/1.1\r\n", "a\r\r\n\r\n",
		"GET / HTTP/1.0\r\n\r\n",
	} {
		f.Add([]byte(seed), 3)
	}
	f.Fuzz(func(t *testing.T, text []byte, cut int) {
		var whole, parts headMeter
		whole.add(text)
		at := max(0, min(cut, len(text)))
		parts.add(text[:at])
		parts.add(text[at:])
		assert.Equal(t, whole, parts, "the parts in which a head arrives make no difference")
		assert.LessOrEqual(t, whole.bytes, len(text))
		assert.LessOrEqual(t, whole.lines, whole.bytes)
		reader := bufio.NewReader(bytes.NewReader(text))
		if _, err := http.ReadRequest(reader); err == nil {
			read := len(text) - reader.Buffered()
			assert.True(t, whole.isDone, "the server has read a whole head")
			assert.LessOrEqual(t, whole.bytes, read, "nothing behind the head counts")
			assert.True(t, len(text) > 4096 || whole.bytes == read, "all of the head counts")
		}
	})
}

package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// blockingWriter is a writer that blocks until the channel open is closed.
type blockingWriter struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *blockingWriter) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

// TestWriteDoesNotBlock checks that Write does not block when the reader of
// the log stops reading, and that the log then reports the dropped lines.
func TestWriteDoesNotBlock(t *testing.T) {
	g := &blockingWriter{open: make(chan struct{})}
	r := New(g)
	began := time.Now()
	const lines = 3 * maxBufferedLines
	for range lines {
		_, err := r.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Less(t, time.Since(began), 2*time.Second)
	close(g.open)
	r.Close(time.Now().Add(5 * time.Second))
	kept := strings.Count(g.text.String(), "line\n")
	assert.GreaterOrEqual(t, kept, maxBufferedLines)
	assert.Less(t, kept, lines)
	assert.Contains(t, g.text.String(), `"msg":"log lines dropped"`)
}

func TestCloseReturnsAtDeadline(t *testing.T) {
	r := New(&blockingWriter{open: make(chan struct{})})
	_, _ = r.Write([]byte("line\n"))
	began := time.Now()
	r.Close(began.Add(50 * time.Millisecond))
	assert.Less(t, time.Since(began), time.Second)
}

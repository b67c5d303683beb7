package recorder

import (
	"bytes"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// gate is a writer that blocks until it is opened.
type gate struct {
	open chan struct{}
	mu   sync.Mutex
	text bytes.Buffer
}

func (g *gate) Write(p []byte) (int, error) {
	<-g.open
	g.mu.Lock()
	defer g.mu.Unlock()
	return g.text.Write(p)
}

func TestReaderThatStoppedStopsNobody(t *testing.T) {
	g := &gate{open: make(chan struct{})}
	r := New(g)
	began := time.Now()
	const lines = 3 * mostLines
	for range lines {
		_, err := r.Write([]byte("line\n"))
		assert.NoError(t, err)
	}
	assert.Less(t, time.Since(began), 2*time.Second)
	close(g.open)
	r.Close(time.Now().Add(5 * time.Second))
	kept := strings.Count(g.text.String(), "line\n")
	assert.GreaterOrEqual(t, kept, mostLines)
	assert.Less(t, kept, lines)
	assert.Contains(t, g.text.String(), `"msg":"log lines dropped"`)
}

func TestCloseDoesNotWaitForever(t *testing.T) {
	r := New(&gate{open: make(chan struct{})})
	_, _ = r.Write([]byte("line\n"))
	began := time.Now()
	r.Close(began.Add(50 * time.Millisecond))
	assert.Less(t, time.Since(began), time.Second)
}

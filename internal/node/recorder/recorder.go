// Package recorder writes log lines without blocking the code that logs. Lines pass
// through a bounded buffer; if it is full, lines are dropped, and the log reports how
// many.
package recorder

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// ErrorText returns the text of an error for a field of a log line, empty for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// maxBufferedLines bounds the buffer. Full, it takes 1.2 MB at 300 bytes a line.
const maxBufferedLines = 4096

// Recorder is an io.Writer for whole log lines. The zero value is not usable; see New.
type Recorder struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a recorder that writes to out, which may block.
func New(out io.Writer) *Recorder {
	r := &Recorder{lines: make(chan []byte, maxBufferedLines), done: make(chan struct{})}
	go r.run(out)
	return r
}

// Write queues one line, or drops it if the buffer is full. It never blocks and never
// fails.
func (r *Recorder) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Close waits until the buffered lines are written, at most until the deadline. Write
// must not be called after Close.
func (r *Recorder) Close(deadline time.Time) {
	close(r.lines)
	select {
	case <-r.done:
	case <-time.After(time.Until(deadline)):
	}
}

func (r *Recorder) run(out io.Writer) {
	defer close(r.done)
	for line := range r.lines {
		if _, err := out.Write(line); err != nil {
			// The error cannot be logged anywhere; the line counts as dropped.
			r.dropped.Add(1)
			continue
		}
		r.reportDropped(out)
	}
}

// reportDropped writes a log line with the number of lines dropped since the last such
// report.
func (r *Recorder) reportDropped(out io.Writer) {
	n := r.dropped.Swap(0)
	if n == 0 {
		return
	}
	line := fmt.Sprintf("{\"time\":%q,\"level\":\"INFO\",\"msg\":\"log lines dropped\",\"count\":%d}\n",
		time.Now().UTC().Format(time.RFC3339Nano), n)
	if _, err := io.WriteString(out, line); err != nil {
		r.dropped.Add(n)
	}
}

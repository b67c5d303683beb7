// Package recorder writes log lines without ever making their writer wait: lines go
// through a bounded buffer, and those that find it full are dropped and counted.
package recorder

import (
	"fmt"
	"io"
	"sync/atomic"
	"time"
)

// ErrorText returns the text of an error as the field of a line; empty for nil.
func ErrorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// mostLines bounds the buffer; at 300 bytes a line it takes 1.2 MB when full.
const mostLines = 4096

// Recorder is a writer of whole lines. The zero value is not usable; see New.
type Recorder struct {
	lines   chan []byte
	dropped atomic.Int64
	done    chan struct{}
}

// New returns a recorder in front of a writer that may block.
func New(out io.Writer) *Recorder {
	r := &Recorder{lines: make(chan []byte, mostLines), done: make(chan struct{})}
	go r.run(out)
	return r
}

// Write takes one line. It never waits and never fails.
func (r *Recorder) Write(line []byte) (int, error) {
	select {
	case r.lines <- append([]byte(nil), line...):
	default:
		r.dropped.Add(1)
	}
	return len(line), nil
}

// Close writes what the buffer holds, but not past the deadline. Nothing may be
// written after it.
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
			// There is nowhere to tell of it; the line counts as dropped.
			r.dropped.Add(1)
			continue
		}
		r.tellDropped(out)
	}
}

// tellDropped writes how many lines were dropped since it was last told.
func (r *Recorder) tellDropped(out io.Writer) {
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

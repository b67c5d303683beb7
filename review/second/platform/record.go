package main

import (
	"bufio"
	"fmt"
	"os"
	"sync"
	"time"
)

// record is the text file of what was sent, answered and run.
type record struct {
	mu      sync.Mutex
	began   time.Time
	file    *os.File
	out     *bufio.Writer
	isEnded bool
}

func newRecord(path string) (*record, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &record{began: time.Now(), file: file, out: bufio.NewWriter(file)}, nil
}

// addf adds a line with the seconds since the start.
func (r *record) addf(format string, values ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.isEnded {
		return
	}
	_, _ = fmt.Fprintf(r.out, "%8.3f ", time.Since(r.began).Seconds())
	_, _ = fmt.Fprintf(r.out, format+"\n", values...)
}

// seconds returns a moment as seconds since the start.
func (r *record) seconds(at time.Time) float64 { return at.Sub(r.began).Seconds() }

func (r *record) close() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.isEnded = true
	_ = r.out.Flush()
	_ = r.file.Close()
}

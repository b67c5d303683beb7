// Package historian records what callers sent and got and what targets ran, and
// checks the promises of the system on the record afterwards.
package historian

import (
	"slices"
	"sync"
)

// Send is one send of a request by a caller, and what came back.
type Send struct {
	// ID names the send, Key the request; a request without a key is sent once.
	ID  string
	Key string
	// Prompt is the content of the request. Crashing tells that it crashes each
	// target that runs it.
	Prompt     string
	Crashing   bool
	Repeatable bool

	// Status is that of the answer; 0 if no head of an answer came.
	Status   int
	AnswerID string
	// Want is the whole answer, Got what came of it, in parts that are numbered
	// by their place.
	Want []string
	Got  []string
	// Ended tells that the answer came to its end marker.
	Ended bool
	// Code is that of a refusal. NotRun tells that the refusal says so.
	Code   string
	NotRun bool
	// RetryAfter tells that the refusal says when to come back.
	RetryAfter bool
}

// Execution is one start of a request at a target.
type Execution struct {
	Target      string
	Incarnation string
	RequestID   string
	Key         string
	From        int
}

// Crash is one crash of a target by a request.
type Crash struct {
	Target string
	Prompt string
}

// History is what happened in one run.
type History struct {
	Sends      []Send
	Executions []Execution
	Crashes    []Crash
}

// Recorder collects a history. Its methods may be called concurrently.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// New returns an empty recorder.
func New() *Recorder { return &Recorder{} }

// Sent adds a send that has ended.
func (r *Recorder) Sent(s Send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Sends = append(r.history.Sends, s)
}

// Crashed adds a crash.
func (r *Recorder) Crashed(c Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Crashes = append(r.history.Crashes, c)
}

// History returns what was recorded so far. What targets ran is known to them
// alone and is left for the caller to add.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Sends:   slices.Clone(r.history.Sends),
		Crashes: slices.Clone(r.history.Crashes),
	}
}

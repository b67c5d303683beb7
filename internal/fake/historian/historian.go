// Package historian records the requests that callers send, the answers that they
// receive and the executions on targets, and checks the guarantees of the system on
// the recorded history.
package historian

import (
	"slices"
	"sync"
)

// Send is one send of a request by a caller, with its answer.
type Send struct {
	// ID identifies the send.
	ID string
	// Key identifies the request over several sends; a request without a key is sent once.
	Key string
	// Prompt is the content of the request.
	Prompt string
	// Crashing reports that the request crashes each target that runs it.
	Crashing bool
	// Repeatable reports that the request may run more than once.
	Repeatable bool

	// Status is the status of the answer; 0 if no response header was received.
	Status   int
	AnswerID string
	// Want is the complete expected answer, in parts.
	Want []string
	// Got is the received answer, in parts.
	Got []string
	// Ended reports that the answer was received up to its end marker.
	Ended bool
	// Code is the code of a refusal.
	Code string
	// NotRun reports that the refusal says that the request was not run.
	NotRun bool
	// RetryAfter reports that the refusal says when to retry.
	RetryAfter bool
}

// Execution is one start of a request on a target.
type Execution struct {
	Target      string
	Incarnation string
	RequestID   string
	Key         string
	// From is the index of the first token to send; it is not 0 for a resumed stream.
	From int
}

// Crash is one crash of a target by a request.
type Crash struct {
	Target string
	Prompt string
}

// History contains the events of one test run.
type History struct {
	Sends      []Send
	Executions []Execution
	Crashes    []Crash
}

// Recorder collects a history. Its methods are safe for concurrent use.
type Recorder struct {
	mu      sync.Mutex
	history History
}

// New returns an empty recorder.
func New() *Recorder { return &Recorder{} }

// Sent records a send that has ended.
func (r *Recorder) Sent(s Send) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Sends = append(r.history.Sends, s)
}

// Crashed records a crash.
func (r *Recorder) Crashed(c Crash) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.history.Crashes = append(r.history.Crashes, c)
}

// History returns a copy of the history recorded so far, without executions: the
// targets record these, and the test adds them.
func (r *Recorder) History() History {
	r.mu.Lock()
	defer r.mu.Unlock()
	return History{
		Sends:   slices.Clone(r.history.Sends),
		Crashes: slices.Clone(r.history.Crashes),
	}
}

package dispatcher

import (
	"github.com/go-faster/errors"
)

var (
	// ErrNotRun reports that no target ran any part of the request.
	ErrNotRun = errors.New("request was not run")
	// ErrMayHaveRun reports that a target may have run the request or a part of it.
	ErrMayHaveRun = errors.New("outcome of request unknown")
	// ErrDeadlinePassed reports that the deadline of the request has passed.
	ErrDeadlinePassed = errors.New("deadline of request passed")
	// ErrCanceled reports that the caller canceled the request.
	ErrCanceled = errors.New("request canceled by its caller")
)

// FailureError is the final result of a request without a complete answer. It
// matches either ErrNotRun or ErrMayHaveRun, and its cause.
type FailureError struct {
	// Ran is set if a target may have run any part of the request.
	Ran bool
	// Repeatable is set if the request may be sent again even if it has run.
	Repeatable bool
	Cause      error
}

func (e *FailureError) Error() string { return e.outcome().Error() + ": " + e.Cause.Error() }

func (e *FailureError) outcome() error {
	if e.Ran {
		return ErrMayHaveRun
	}
	return ErrNotRun
}

// Is reports whether target is the outcome, ErrNotRun or ErrMayHaveRun.
func (e *FailureError) Is(target error) bool { return target == e.outcome() }

// Unwrap returns the cause.
func (e *FailureError) Unwrap() error { return e.Cause }

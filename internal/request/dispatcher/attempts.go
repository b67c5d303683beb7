package dispatcher

import (
	"context"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/observer"
	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// attempts is the history of the attempts to run one request.
type attempts struct {
	repeatable bool

	count int
	// tried lists the IDs of the targets that are not to be chosen again.
	tried []string
	// disconnected lists the targets in tried that keep running although the
	// connection failed. They are tried again when no other target is left.
	disconnected []string
	// current is the target that runs the request now.
	current atomic.Pointer[keeper.Target]
	// suspectWaitUntil is when a suspect stops waiting for other suspects to finish,
	// and moveWaitUntil when a request stops waiting for a new copy of a model whose
	// holders are leaving. They are zero before the wait begins.
	suspectWaitUntil time.Time
	moveWaitUntil    time.Time
	// notice is what the target announces in its answer to the present attempt.
	notice observer.Notice
	// isReturn is set if the present attempt counts at a target that has just begun to take
	// requests again.
	isReturn bool
	// asksQuiet is set if the target has asked for quiet in its answer to the last attempt.
	asksQuiet bool
	// ran is set once a target may have run any part of the request.
	ran     bool
	lastErr error
}

// failure returns the *FailureError for the attempts so far.
func (a *attempts) failure() error {
	cause := a.lastErr
	if cause == nil {
		cause = router.ErrNoTarget
	}
	return &FailureError{Ran: a.ran, Repeatable: a.repeatable, Cause: cause}
}

// recordFailure records a failed attempt on a target and reports whether another
// attempt may follow. A target that has asked for quiet may be tried again after it.
func (a *attempts) recordFailure(target string, err error) bool {
	a.count++
	a.lastErr = err
	if !a.asksQuiet {
		a.tried = append(a.tried, target)
	}
	if !isNotRun(err) {
		a.ran = true
	}
	if a.ran && !a.repeatable {
		return false
	}
	if errors.Is(err, connector.ErrCanceled) {
		a.lastErr = ErrCanceled
		return false
	}
	return a.count < maxAttempts
}

// isNotRun reports whether an attempt ended with certainty that nothing was run.
func isNotRun(err error) bool {
	return errors.Is(err, connector.ErrNotSent) || errors.Is(err, streamer.ErrRefused)
}

// checkActive returns ErrCanceled or ErrDeadlinePassed for a request that was canceled or
// has passed its deadline, or nil.
func checkActive(ctx context.Context, now, deadline time.Time) error {
	if ctx != nil && ctx.Err() != nil {
		return ErrCanceled
	}
	if !now.Before(deadline) {
		return ErrDeadlinePassed
	}
	return nil
}

// pickFailure returns the failure of a request for which picking a target failed
// with err. The error of an earlier attempt is a better cause than ErrNoTarget.
func (a *attempts) pickFailure(err error) error {
	if a.lastErr == nil || !errors.Is(err, router.ErrNoTarget) {
		a.lastErr = err
	}
	return a.failure()
}

func isRejected(err error) bool {
	var rejected *streamer.RejectedError
	return errors.As(err, &rejected)
}

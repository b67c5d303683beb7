package dispatcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// hedgeDivisor divides the time left until the deadline; the quotient is how long
// a request waits for an answer before it is also sent to a second target.
const hedgeDivisor = 4

// result is the answer to a request that is not streamed, or its error.
type result struct {
	body []byte
	err  error
}

// Unary runs a request whose answer is not streamed. The error is a *FailureError
// or a *streamer.RejectedError.
//
// A connection that went silent cannot be distinguished from an answer that takes
// long. A request that may be repeated is therefore hedged: without an answer after
// some time it is also sent to a second target. The first answer is returned and
// the other run is canceled.
func (d *Dispatcher) Unary(job *Job) ([]byte, error) {
	first := &attempts{repeatable: job.Repeatable}
	if !job.Repeatable {
		return d.runUnary(job, first)
	}
	parent := job.Context
	if parent == nil {
		parent = context.Background()
	}
	ctx, cancel := context.WithCancel(parent)
	defer cancel()
	copied := *job
	copied.Context = ctx
	results := make(chan result, 2)
	run := func(a *attempts) {
		body, err := d.runUnary(&copied, a)
		results <- result{body, err}
	}
	go run(first)
	now := d.now()
	timer := time.NewTimer(max(d.firstByteTimeout, job.Deadline.Sub(now)/hedgeDivisor))
	defer timer.Stop()
	select {
	case r := <-results:
		return r.body, r.err
	case <-timer.C:
	}
	second := &attempts{repeatable: true}
	if target := first.current.Load(); target != nil {
		second.tried = append(second.tried, target.ID)
	}
	go run(second)
	return firstAnswer(<-results, results)
}

// firstAnswer returns the first of two results that is an answer or a rejection.
// If both are failures, it returns one that matches ErrMayHaveRun if there is one.
func firstAnswer(first result, results <-chan result) ([]byte, error) {
	if first.err == nil || isRejected(first.err) {
		return first.body, first.err
	}
	other := <-results
	if other.err == nil || isRejected(other.err) {
		return other.body, other.err
	}
	if errors.Is(other.err, ErrMayHaveRun) {
		return nil, other.err
	}
	return nil, first.err
}

// runUnary runs the request on one target after another until it is answered.
func (d *Dispatcher) runUnary(job *Job, a *attempts) ([]byte, error) {
	for {
		target, err := d.pick(job, a)
		if err != nil {
			return nil, a.pickFailure(err)
		}
		call := d.call(job, target, a, 0)
		// The head of an answer that is not streamed arrives together with its body.
		call.FirstByte = job.Deadline
		// A pooled connection may have gone silent unnoticed.
		call.Fresh = true
		body, err := d.engines.Unary(target.Address, call)
		if err == nil {
			a.allowMoreReturns(target)
		}
		d.endAttempt(target, job, a, err)
		if err == nil || isRejected(err) {
			d.quarantiner.Clear(d.now(), job.Fingerprint)
			return body, err
		}
		if !a.recordFailure(target.ID, err) {
			return nil, a.failure()
		}
	}
}

package dispatcher

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

// hedgeShare is the part of the time left after which a second target is asked.
const hedgeShare = 4

// result is how the run of a request that is answered in one piece ended.
type result struct {
	body []byte
	err  error
}

// Whole runs a request that is answered in one piece. The error is a *FailureError
// or a *streamer.RejectedError.
//
// Nothing tells a long answer from a connection that went silent. A request that
// may be repeated is therefore sent to a second target if there is no answer
// after some time; the first answer counts and the other run is cancelled.
func (d *Dispatcher) Whole(job *Job) ([]byte, error) {
	first := &attempts{repeatable: job.Repeatable}
	if !job.Repeatable {
		return d.whole(job, first)
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
		body, err := d.whole(&copied, a)
		results <- result{body, err}
	}
	go run(first)
	now := d.now()
	timer := time.NewTimer(max(d.firstByte, job.Deadline.Sub(now)/hedgeShare))
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

// firstAnswer returns the first of two results that is an answer. If there is
// none, the request ran if either says so.
func firstAnswer(one result, results <-chan result) ([]byte, error) {
	if one.err == nil || isRejected(one.err) {
		return one.body, one.err
	}
	other := <-results
	if other.err == nil || isRejected(other.err) {
		return other.body, other.err
	}
	if errors.Is(other.err, ErrUnknown) {
		return nil, other.err
	}
	return nil, one.err
}

// whole runs the request on one target after the other.
func (d *Dispatcher) whole(job *Job, a *attempts) ([]byte, error) {
	for {
		target, err := d.pick(job, a)
		if err != nil {
			return nil, a.giveUp(err)
		}
		call := d.call(job, target, 0)
		// The head of an answer in one piece comes with its body.
		call.FirstByte = job.Deadline
		// A pooled connection may have gone silent, which would not be noticed.
		call.Fresh = true
		body, err := d.engines.Whole(target.Address, call)
		d.leave(target, job, a, err)
		if err == nil || isRejected(err) {
			d.quarantiner.Clear(d.now(), job.Fingerprint)
			return body, err
		}
		if !a.note(target.ID, err) {
			return nil, a.failure()
		}
	}
}

package conductor

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/node/recorder"
)

const (
	// expectTimeout bounds the call that asks the holder of the lease on orders when a
	// model will be served.
	expectTimeout = 600 * time.Millisecond
	// expectationTTL is how long an answer that a model will be served is cached, and
	// failedExpectationTTL how long an answer that it will not be, or a failed call.
	expectationTTL       = time.Second
	failedExpectationTTL = 300 * time.Millisecond
	// maxModelDelay is how long after its expected time a model is still waited for.
	maxModelDelay = 600 * time.Millisecond
)

// Callers abandon a stream that sends no event for the longest of minAbandonTime,
// abandonAimFactor times the route's target latency, and abandonPauseFactor times the
// route's longest pause between events.
const (
	minAbandonTime     = 2 * time.Second
	abandonAimFactor   = 4
	abandonPauseFactor = 8
	// abandonMarginShare is the share of that time that is kept in reserve: a request
	// waits for its model for the rest of it only.
	abandonMarginShare = 0.1
)

// ModelExpectedError is balancer.ErrNoModel for a model that is expected to be served,
// but too late for the request to wait for it.
type ModelExpectedError struct {
	In time.Duration
}

func (e *ModelExpectedError) Error() string {
	return fmt.Sprintf("%v: expected in %d ms", balancer.ErrNoModel, e.In.Milliseconds())
}

// Is reports whether target is balancer.ErrNoModel.
func (e *ModelExpectedError) Is(target error) bool { return target == balancer.ErrNoModel }

// expectations caches when the models that no target serves now will be served.
type expectations struct {
	mu      sync.Mutex
	byModel map[modelKey]*expectation
}

type modelKey struct{ service, model string }

// expectation is the answer of the holder of the lease on orders. servedAt and err are
// set once done is closed.
type expectation struct {
	done chan struct{}
	// expiresAt is when the holder must be asked again; zero while the call is running.
	expiresAt time.Time
	servedAt  time.Time
	err       error
}

// expectedAt returns when a model will be served. Concurrent requests for the same model
// share one call to the holder of the lease.
func (c *Conductor) expectedAt(ctx context.Context, key modelKey) (time.Time, error) {
	c.modelExpectations.mu.Lock()
	e := c.modelExpectations.byModel[key]
	if e == nil || (!e.expiresAt.IsZero() && c.now().After(e.expiresAt)) {
		e = &expectation{done: make(chan struct{})}
		c.modelExpectations.byModel[key] = e
		go c.queryExpectation(key, e)
	}
	c.modelExpectations.mu.Unlock()
	select {
	case <-e.done:
		return e.servedAt, e.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

func (c *Conductor) queryExpectation(key modelKey, e *expectation) {
	ctx, cancel := context.WithTimeout(context.Background(), expectTimeout)
	defer cancel()
	in, err := c.expectModel(ctx, key.service, key.model)
	now := c.now()
	ttl := expectationTTL
	if err != nil {
		ttl = failedExpectationTTL
	}
	c.log.Info("model expected", "service", key.service, "model", key.model, "inMilliseconds", in.Milliseconds(), "error", recorder.ErrorText(err))
	c.modelExpectations.mu.Lock()
	e.servedAt, e.err, e.expiresAt = now.Add(in), err, now.Add(ttl)
	c.modelExpectations.mu.Unlock()
	close(e.done)
}

// prune drops expired expectations.
func (e *expectations) prune(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, x := range e.byModel {
		if !x.expiresAt.IsZero() && now.After(x.expiresAt) {
			delete(e.byModel, key)
		}
	}
}

// modelWaitDeadline returns the time until which a request waits for a model, a little
// before its caller abandons it.
func (q *request) modelWaitDeadline() time.Time {
	return q.capWait(q.arrived.Add(time.Duration((1 - abandonMarginShare) * float64(q.abandonedAfter()))))
}

// abandonedAfter returns how long callers wait for an event before they abandon a stream.
func (q *request) abandonedAfter() time.Duration {
	const millisecond = time.Millisecond
	return max(minAbandonTime, abandonAimFactor*time.Duration(q.route.AimMilliseconds)*millisecond,
		abandonPauseFactor*time.Duration(q.route.PauseMilliseconds)*millisecond)
}

// checkModelWait returns nil if a request whose model no target holds may wait for the
// model, and otherwise an error with the reason.
func (c *Conductor) checkModelWait(ctx context.Context, q *request) error {
	at, err := c.expectedAt(ctx, modelKey{q.service, q.demand.Model})
	if err != nil {
		return errors.Wrap(balancer.ErrNoModel, err.Error())
	}
	now := c.now()
	if at.After(q.modelWaitDeadline()) || now.After(at.Add(maxModelDelay)) {
		return &ModelExpectedError{In: max(at.Sub(now), 0)}
	}
	return nil
}

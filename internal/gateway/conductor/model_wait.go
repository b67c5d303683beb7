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
	// estimateTimeout bounds the call that asks the holder of the lease on orders when a
	// model will be served.
	estimateTimeout = 600 * time.Millisecond
	// estimateTTL is how long an answer that a model will be served is cached, and
	// failedEstimateTTL is how long an answer that it will not be, or a failed call.
	estimateTTL       = time.Second
	failedEstimateTTL = 300 * time.Millisecond
	// maxModelDelay is how long after its expected time a model is still waited for.
	maxModelDelay = 600 * time.Millisecond
)

// Callers abandon a stream that sends no event for the longest of minAbandonTime,
// abandonLatencyFactor times the route's latency goal, and abandonGapFactor times the
// route's goal for the longest gap between events.
const (
	minAbandonTime       = 2 * time.Second
	abandonLatencyFactor = 4
	abandonGapFactor     = 8
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

// estimateCache caches the estimates of when the models that no target serves now will be
// served.
type estimateCache struct {
	mu      sync.Mutex
	byModel map[modelKey]*servingEstimate
}

type modelKey struct{ service, model string }

// servingEstimate is the answer of the holder of the lease on orders. servedAt and err are
// set once done is closed.
type servingEstimate struct {
	done chan struct{}
	// expiresAt is when the holder must be asked again; zero while the call is running.
	expiresAt time.Time
	servedAt  time.Time
	err       error
}

// expectedAt returns when a model will be served. Concurrent requests for the same model
// share one call to the holder of the lease.
func (c *Conductor) expectedAt(ctx context.Context, key modelKey) (time.Time, error) {
	c.servingEstimates.mu.Lock()
	e := c.servingEstimates.byModel[key]
	if e == nil || (!e.expiresAt.IsZero() && c.now().After(e.expiresAt)) {
		e = &servingEstimate{done: make(chan struct{})}
		c.servingEstimates.byModel[key] = e
		go c.queryEstimate(key, e)
	}
	c.servingEstimates.mu.Unlock()
	select {
	case <-e.done:
		return e.servedAt, e.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

func (c *Conductor) queryEstimate(key modelKey, e *servingEstimate) {
	ctx, cancel := context.WithTimeout(context.Background(), estimateTimeout)
	defer cancel()
	in, err := c.timeUntilServed(ctx, key.service, key.model)
	now := c.now()
	ttl := estimateTTL
	if err != nil {
		ttl = failedEstimateTTL
	}
	c.log.Info("model expected", "service", key.service, "model", key.model, "inMilliseconds", in.Milliseconds(), "error", recorder.ErrorText(err))
	c.servingEstimates.mu.Lock()
	e.servedAt, e.err, e.expiresAt = now.Add(in), err, now.Add(ttl)
	c.servingEstimates.mu.Unlock()
	close(e.done)
}

// prune drops expired estimates.
func (e *estimateCache) prune(now time.Time) {
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
	return max(minAbandonTime, abandonLatencyFactor*time.Duration(q.route.LatencyGoalMilliseconds)*millisecond,
		abandonGapFactor*time.Duration(q.route.EventGapGoalMilliseconds)*millisecond)
}

// checkModelWait returns nil if a request whose model no target holds should wait for the
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

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
	// expectTimeout bounds how long the holder of the lease on orders is asked when a
	// model will be served.
	expectTimeout = 600 * time.Millisecond
	// expectLife and unexpectedLife are how long its word counts, that a model is coming
	// or is not.
	expectLife     = time.Second
	unexpectedLife = 300 * time.Millisecond
	// latePatience is how long after its time a model that is coming is waited for.
	latePatience = 600 * time.Millisecond
)

// Callers leave a stream that brings nothing for the longest of these.
const (
	abandonLeast  = 2 * time.Second
	abandonAims   = 4
	abandonPauses = 8
	// abandonMargin is the share of that time that is not waited for.
	abandonMargin = 0.1
)

// ExpectedError is balancer.ErrNoModel where the model is known to come, too late for
// the request to wait for it.
type ExpectedError struct {
	In time.Duration
}

func (e *ExpectedError) Error() string {
	return fmt.Sprintf("%v: expected in %d ms", balancer.ErrNoModel, e.In.Milliseconds())
}

// Is reports whether target is balancer.ErrNoModel.
func (e *ExpectedError) Is(target error) bool { return target == balancer.ErrNoModel }

// expectations hold when models that no target serves will be served.
type expectations struct {
	mu    sync.Mutex
	known map[modelKey]*expectation
}

type modelKey struct{ service, model string }

// expectation is the word of the holder of the lease; it is there once done is closed.
type expectation struct {
	done chan struct{}
	// until is the deadline after which it is asked again.
	until time.Time
	at    time.Time
	err   error
}

// expect returns when a model will be served. Requests that ask at the same time share
// one question.
func (c *Conductor) expect(ctx context.Context, key modelKey) (time.Time, error) {
	c.expected.mu.Lock()
	e := c.expected.known[key]
	if e == nil || (!e.until.IsZero() && c.now().After(e.until)) {
		e = &expectation{done: make(chan struct{})}
		c.expected.known[key] = e
		go c.ask(key, e)
	}
	c.expected.mu.Unlock()
	select {
	case <-e.done:
		return e.at, e.err
	case <-ctx.Done():
		return time.Time{}, ctx.Err()
	}
}

func (c *Conductor) ask(key modelKey, e *expectation) {
	ctx, cancel := context.WithTimeout(context.Background(), expectTimeout)
	defer cancel()
	in, err := c.expectModel(ctx, key.service, key.model)
	now := c.now()
	life := expectLife
	if err != nil {
		life = unexpectedLife
	}
	c.log.Info("model expected", "service", key.service, "model", key.model, "inMilliseconds", in.Milliseconds(), "error", recorder.ErrorText(err))
	c.expected.mu.Lock()
	e.at, e.err, e.until = now.Add(in), err, now.Add(life)
	c.expected.mu.Unlock()
	close(e.done)
}

// forget drops what is known of models that were not asked for lately.
func (e *expectations) forget(now time.Time) {
	e.mu.Lock()
	defer e.mu.Unlock()
	for key, x := range e.known {
		if !x.until.IsZero() && now.After(x.until) {
			delete(e.known, key)
		}
	}
}

// modelPatience returns the deadline until which a request may wait for a model: its
// caller leaves after that.
func (q *request) modelPatience() time.Time {
	return q.leavingTime(q.arrived.Add(time.Duration((1 - abandonMargin) * float64(q.abandonedAfter()))))
}

// abandonedAfter returns after how long without an event callers leave a stream.
func (q *request) abandonedAfter() time.Duration {
	const millisecond = time.Millisecond
	return max(abandonLeast, abandonAims*time.Duration(q.route.AimMilliseconds)*millisecond,
		abandonPauses*time.Duration(q.route.PauseMilliseconds)*millisecond)
}

// awaitModel reports, for a request that no target can run for want of its model,
// whether it may wait for that; with an error that says why not.
func (c *Conductor) awaitModel(ctx context.Context, q *request) error {
	at, err := c.expect(ctx, modelKey{q.service, q.demand.Model})
	if err != nil {
		return errors.Wrap(balancer.ErrNoModel, err.Error())
	}
	now := c.now()
	if at.After(q.modelPatience()) || now.After(at.Add(latePatience)) {
		return &ExpectedError{In: max(at.Sub(now), 0)}
	}
	return nil
}

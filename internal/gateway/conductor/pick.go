package conductor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

const (
	// maxAdapterWait is how long a request waits for its adapter to be loaded.
	maxAdapterWait = 1500 * time.Millisecond
	// adapterRetryInterval is the time between two attempts of a request to have its
	// adapter loaded. A target that is carrying out another order may accept one soon,
	// but each adapter that is loaded can evict another one.
	adapterRetryInterval = 500 * time.Millisecond
	// fullWaitShare is the share of the route's latency goal that a request waits for a
	// free slot while every target is full.
	fullWaitShare = 0.5
	// maxWaitShare is the largest share of the time until its deadline that a request
	// waits for a target, whatever the cause.
	maxWaitShare = 0.5
	// maxPickInterval is the longest time between two attempts to pick a target.
	maxPickInterval = 50 * time.Millisecond
)

// pickTarget picks a target, and waits for one where waiting can help.
func (c *Conductor) pickTarget(ctx context.Context, q *request) (*balancer.Ticket, error) {
	var adapterRetryAt time.Time
	for {
		if err := c.checkStop(q); err != nil {
			return nil, err
		}
		if err := c.checkAccount(q); err != nil {
			return nil, err
		}
		changed, freed := c.registry.Changed(), c.balancer.CapacityFreed()
		ticket, isPicked, err := c.pickAndBegin(ctx, q)
		switch {
		case err == nil:
			return ticket, nil
		case errors.Is(err, quarantiner.ErrConvicted), isFinalSlotError(err), isAccountError(err):
			return nil, err
		case errors.Is(err, quarantiner.ErrWait):
			if err := c.waitForTrial(ctx, q, err); err != nil {
				return nil, err
			}
			continue
		case isPicked:
			continue // the balancer leaves the target out until it allows a request
		}
		c.noteShort(q, err)
		if c.isRefusing() {
			return nil, errStopping
		}
		if q.needsAdapter(err) && !c.now().Before(adapterRetryAt) {
			err := c.requestAdapter(ctx, q)
			adapterRetryAt = c.now().Add(adapterRetryInterval)
			if err == nil {
				continue
			}
		}
		if errors.Is(err, balancer.ErrNoModel) {
			c.modelWait(q.demand)
			if err := c.checkModelWait(ctx, q); err != nil {
				return nil, err
			}
		}
		if !c.now().Add(limitWait(err)).Before(q.waitDeadline(err)) {
			return nil, err
		}
		if !c.waitForChange(ctx, q, changed, freed) {
			return nil, err
		}
	}
}

// needsAdapter reports whether a request has no target, for a reason, that the load of its
// adapter at another target can give it.
func (q *request) needsAdapter(reason error) bool {
	return errors.Is(reason, balancer.ErrNoAdapter) || (q.demand.Adapter != "" && limitWait(reason) > 0)
}

func (c *Conductor) requestAdapter(ctx context.Context, q *request) error {
	ctx, cancel := context.WithDeadline(ctx, q.waitDeadline(balancer.ErrNoAdapter))
	defer cancel()
	err := c.ensureAdapter(ctx, q.service, q.demand.Model, q.demand.Adapter)
	if err != nil {
		c.log.Info("adapter not served", "request", q.id, "model", q.demand.Model, "adapter", q.demand.Adapter, "error", err.Error())
	}
	return err
}

// waitDeadline returns the time until which the request waits for a target after an
// attempt to pick one failed for a reason.
func (q *request) waitDeadline(reason error) time.Time {
	limit := q.arrived
	switch {
	case errors.Is(reason, balancer.ErrNoModel):
		return q.modelWaitDeadline()
	case errors.Is(reason, balancer.ErrNoAdapter):
		limit = limit.Add(maxAdapterWait)
	case errors.Is(reason, balancer.ErrFull):
		limit = limit.Add(time.Duration(fullWaitShare*float64(q.route.LatencyGoalMilliseconds)) * time.Millisecond)
	}
	return q.capWait(limit)
}

// capWait returns t, or an earlier time that leaves the target enough time to run the
// request, and the caller enough time to receive a refusal.
func (q *request) capWait(t time.Time) time.Time {
	longest := time.Duration(maxWaitShare * float64(q.deadline.Sub(q.arrived)))
	return q.arrived.Add(min(t.Sub(q.arrived), longest))
}

// capAtDeadline returns t, or the deadline of the request if that is earlier.
func (q *request) capAtDeadline(t time.Time) time.Time {
	if t.After(q.deadline) {
		return q.deadline
	}
	return t
}

// waitForChange blocks until another attempt to pick a target may succeed; it returns
// false if the request ended.
func (c *Conductor) waitForChange(ctx context.Context, q *request, changed, freed <-chan struct{}) bool {
	timer := time.NewTimer(min(maxPickInterval, q.deadline.Sub(c.now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-freed:
	case <-timer.C:
	}
	return true
}

// pickAndBegin picks a target once. The error is that of choose, of the limit of the target, or
// one of beginRun; isPicked reports whether there was a target.
func (c *Conductor) pickAndBegin(ctx context.Context, q *request) (ticket *balancer.Ticket, isPicked bool, err error) {
	ticket, err = c.choose(ctx, q)
	if err != nil {
		return nil, errors.Is(err, errSlotUnused), err
	}
	err = c.beginRun(ctx, q, ticket.Target)
	if err == nil {
		err = c.acquirePermit(ctx, ticket.Target)
		if err == nil {
			err = c.checkAccount(q) // a permit can be long in coming
		}
		if err != nil {
			c.cancelRun(q)
		}
	}
	if err != nil {
		ticket.End(balancer.Abandoned)
		return nil, true, err
	}
	return ticket, true, nil
}

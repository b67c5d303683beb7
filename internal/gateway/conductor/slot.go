package conductor

import (
	"context"
	"encoding/binary"
	"fmt"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

// maxUnusedSlots is the number of slots that a request does not use, since their targets take no
// request by what this instance knows, before it chooses a target without the allocator.
const maxUnusedSlots = 2

var (
	// ErrNoAllocator means that no allocator answers, so that the instance chooses by itself.
	ErrNoAllocator = errors.New("no allocator answers")
	// errSlotUnused means that the target of a slot takes no request.
	errSlotUnused = errors.New("target of the slot takes no request")
)

// SlotRefusedError means that an allocator has refused a request.
type SlotRefusedError struct {
	Reason string
	// RetryIn is the time in which the requests that wait will have been served.
	RetryIn time.Duration
}

func (e *SlotRefusedError) Error() string { return fmt.Sprintf("no slot granted: %s", e.Reason) }

// SlotAsk describes a request that needs a slot of a service.
type SlotAsk struct {
	Service string
	Rank    int
	// Account is the name of the client account; empty without one.
	Account string
	Arrived time.Time
	// Goal is when the request should have ended; zero if its route has no latency goal.
	Goal time.Time
	// LatestStart is when it is no longer worth starting.
	LatestStart time.Time
	Deadline    time.Time
	// Content identifies a request that a caller sends again.
	Content int64
	// Avoid holds the IDs of targets that are not to be used.
	Avoid []string
}

// Slots holds the functions by which requests get slots of services that an allocator hands out.
type Slots struct {
	// IsScarce reports whether an allocator hands out the slots of a service.
	IsScarce func(service string) bool
	// Acquire waits for a slot. The error is ErrNoAllocator, a SlotRefusedError or that of ctx.
	Acquire func(ctx context.Context, ask SlotAsk) (*balancer.Grant, error)
}

func noSlots() Slots {
	return Slots{
		IsScarce: func(string) bool { return false },
		Acquire:  func(context.Context, SlotAsk) (*balancer.Grant, error) { return nil, ErrNoAllocator },
	}
}

// WithSlots sets the functions by which requests get slots. By default each request chooses its
// target without them.
func WithSlots(slots Slots) Option { return func(c *Conductor) { c.slots = slots } }

// choose returns a target with the request counted there. It waits for a slot if an allocator
// hands out those of the service.
func (c *Conductor) choose(ctx context.Context, q *request) (*balancer.Ticket, error) {
	r := q.balancerRequest()
	if q.demand.Model != "" || q.unusedSlots >= maxUnusedSlots || !c.slots.IsScarce(q.service) {
		return c.balancer.Pick(c.registry.View(), r)
	}
	avoid, err := c.balancer.Unusable(c.registry.View(), r)
	if err != nil {
		return nil, err
	}
	grant, err := c.slots.Acquire(ctx, c.slotAsk(q, avoid))
	if errors.Is(err, ErrNoAllocator) {
		return c.balancer.Pick(c.registry.View(), r)
	}
	if err != nil {
		return nil, err
	}
	return c.useSlot(ctx, q, r, grant)
}

func (q *request) balancerRequest() balancer.Request {
	return balancer.Request{
		Service: q.service, Model: q.demand.Model, Adapter: q.demand.Adapter, PromptTokens: q.demand.PromptTokens,
		Tokens: q.demand.Tokens, MaxEventGapMilliseconds: float64(q.route.EventGapGoalMilliseconds), Affinity: q.affinity, Excluded: q.excluded,
	}
}

// useSlot counts a request at the target of its slot, or releases the slot if the request or the
// target cannot use it any more.
func (c *Conductor) useSlot(ctx context.Context, q *request, r balancer.Request, grant *balancer.Grant) (*balancer.Ticket, error) {
	err := ctx.Err()
	if err == nil {
		err = c.checkStop(q)
	}
	if err != nil {
		grant.Release(false)
		return nil, err
	}
	r.Grant = grant
	ticket, err := c.balancer.Pick(c.registry.View(), r)
	if err != nil {
		grant.Release(false)
		q.unusedSlots++
		c.log.V(1).Info("slot not used", "request", q.id, "target", grant.Target, "error", err.Error())
		return nil, errors.Wrap(errSlotUnused, err.Error())
	}
	return ticket, nil
}

func (c *Conductor) slotAsk(q *request, avoid []string) SlotAsk {
	ask := SlotAsk{
		Service: q.service, Rank: q.rank, Arrived: q.arrived, LatestStart: q.capWait(q.deadline), Deadline: q.deadline, Avoid: avoid,
	}
	if goal := time.Duration(q.route.LatencyGoalMilliseconds) * time.Millisecond; goal > 0 {
		ask.Goal = q.arrived.Add(goal)
		ask.LatestStart = q.capWait(ask.Goal)
	}
	if q.account != nil {
		ask.Account = q.account.Name
	}
	content := c.contentOf(q)
	ask.Content = int64(binary.LittleEndian.Uint32(content[:]))
	return ask
}

// isFinalSlotError reports whether a request that gets no slot is not to wait for one.
func isFinalSlotError(err error) bool {
	var refused *SlotRefusedError
	return errors.As(err, &refused) || errors.Is(err, errStopping) ||
		errors.Is(err, context.Canceled) || errors.Is(err, context.DeadlineExceeded)
}

// delayAfterBacklog returns the delay after which to retry a request that was refused for the
// requests that wait before it.
func (q *request) delayAfterBacklog(wait time.Duration) time.Duration {
	wait = max(wait, minRetryDelay)
	jitter := knownWaitJitter * float64(wait) * spreadOf(q.id)
	return wait + time.Duration(jitter)
}

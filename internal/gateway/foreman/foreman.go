// Package foreman sends load and unload orders to targets while this instance holds
// the lease on orders. Each order carries the target's incarnation, the fencing token
// of the lease and the number of orders that the target had accepted when the order
// was decided. A target accepts an order only if that number matches, so of all orders
// decided on the same state at most one takes effect, even if orders arrive late or
// more than once. No other record of orders is kept.
package foreman

import (
	"context"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
	"github.com/crocusring/crocusring/internal/node/recorder"
)

var (
	// ErrNotHolder reports that this instance may not send orders now.
	ErrNotHolder = errors.New("not the holder of the lease on orders")
	// ErrBusy reports that the target is carrying out another order or has accepted
	// a different number of orders than expected; the order had no effect.
	ErrBusy = errors.New("target is busy or has accepted other orders")
	// ErrFenced reports that the target has seen a higher fencing token; the order
	// had no effect.
	ErrFenced = errors.New("order has an outdated fencing token")
	// ErrNotAccepted reports that the target did not accept the order.
	ErrNotAccepted = errors.New("order not accepted")
	// ErrUnknownOutcome reports that the target may have accepted the order, or may
	// still accept it.
	ErrUnknownOutcome = errors.New("outcome of order unknown")
	// ErrNoCapacity reports that no target has a slot for an adapter, or that no target
	// is going to load a model.
	ErrNoCapacity = errors.New("no place for the adapter")
)

// Order tells a target to load or unload a model or an adapter.
type Order struct {
	Model string
	// Adapter is empty if the order is about the model itself.
	Adapter  string
	IsUnload bool
	// ExpectedOrders is the number of orders that the target must have accepted
	// before this one.
	ExpectedOrders int64
	Holder         string
	Fence          int64
}

// State is the state that a target reports.
type State struct {
	// Orders is the number of orders that the target has accepted.
	Orders   int64
	Busy     bool
	Holdings []registrar.Holding
	// LoadingAdapters lists the adapters that are being loaded; each occupies an adapter
	// slot already.
	LoadingAdapters []placer.AdapterKey
}

// QuietError is an ErrNotAccepted of a target that wants no requests of this instance for a
// time.
type QuietError struct {
	RetryAfter time.Duration
}

func (e *QuietError) Error() string {
	return errors.Wrapf(ErrNotAccepted, "target asks for quiet for %d ms", e.RetryAfter.Milliseconds()).Error()
}

// Is reports whether target is ErrNotAccepted.
func (e *QuietError) Is(target error) bool { return target == ErrNotAccepted }

// Grant is the right to send orders.
type Grant struct {
	Fence int64
}

// Callbacks are the functions through which a Foreman reaches targets and the lease.
type Callbacks struct {
	// Order sends an order. It returns done if the effect of the order is already in
	// place, and a nil error without done if the target accepted the order and is
	// carrying it out. Otherwise the error is one of those above.
	Order func(target *registrar.Target, order Order) (done bool, err error)
	State func(target *registrar.Target) (State, error)
	// Grant returns the right to send orders, or false if this instance lacks it.
	Grant func() (Grant, bool)
	// Fenced receives each fencing token that a target has refused as outdated; nil for none.
	Fenced func(fence int64)
	// Limit returns the number of requests a second that a target takes, or nil if it names
	// no limit.
	Limit func(target *registrar.Target) *float64
}

// Bounds limit the loads from the weight store.
type Bounds struct {
	// Window is the period over which the number of loads is limited.
	Window time.Duration
	// Handover is the minimum time between the end of one holder's right to send
	// orders and the first order of the next holder.
	Handover time.Duration
}

// Foreman sends orders to targets to carry out the placement. The zero value is not
// usable; see New.
type Foreman struct {
	holder   string
	calls    Callbacks
	bounds   Bounds
	registry *registrar.Registrar
	balancer *balancer.Balancer
	tally    *tallier.Tallier
	log      logr.Logger
	now      func() time.Time

	mu           sync.Mutex
	targets      map[string]*targetState
	idleDetector *tallier.IdleDetector
	// recentLoads holds the start times of the loads from the weight store that
	// still count towards the limit.
	recentLoads []time.Time
	// term is the fencing token of the current right to send orders.
	term int64
	// refusedFence is the highest fencing token that a target has refused as outdated.
	refusedFence int64
	// adapterLoads holds the adapter loads in progress.
	adapterLoads map[tallier.Key]*adapterLoad
	// requestedModels holds the models that requests are waiting for, each with the
	// deadline until which it counts as requested.
	requestedModels map[tallier.Key]time.Time
	// planDone is closed and replaced after each plan.
	planDone chan struct{}
	// planNow triggers a plan before the next tick.
	planNow chan struct{}
}

// adapterLoad is a load of an adapter that one or more callers wait for.
type adapterLoad struct {
	done   chan struct{}
	target string
	err    error
}

// New returns a foreman that sends orders under the instance name holder.
func New(holder string, calls Callbacks, bounds Bounds, registry *registrar.Registrar, b *balancer.Balancer, tally *tallier.Tallier, log logr.Logger) *Foreman {
	return &Foreman{
		holder: holder, calls: calls, bounds: bounds, registry: registry, balancer: b, tally: tally, log: log,
		now: time.Now, targets: map[string]*targetState{}, idleDetector: tallier.NewIdleDetector(), adapterLoads: map[tallier.Key]*adapterLoad{},
		requestedModels: map[tallier.Key]time.Time{}, planDone: make(chan struct{}), planNow: make(chan struct{}, 1),
	}
}

// IsHolder reports whether this instance may send orders.
func (f *Foreman) IsHolder() bool {
	_, ok := f.grant()
	return ok
}

func (f *Foreman) grant() (Grant, bool) {
	grant, ok := f.calls.Grant()
	f.mu.Lock()
	defer f.mu.Unlock()
	return grant, ok && grant.Fence > f.refusedFence
}

// Run plans the placement and sends orders until ctx is done.
func (f *Foreman) Run(ctx context.Context) {
	ticker := time.NewTicker(planInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.planNow:
		}
		f.Tick()
	}
}

// sendOrder sends one order and reports whether its effect is already in place. An
// order whose response was lost is sent again with the same number of accepted orders,
// so that it takes effect at most once. The error is ErrBusy if the target turned out
// to hold a model or an adapter that the decision did not account for.
func (f *Foreman) sendOrder(d decision, order Order) (done bool, err error) {
	t, s := d.target, d.targetState
	s.orderMu.Lock()
	defer s.orderMu.Unlock()
	var lastErr error
	for attempt := range maxAttempts {
		grant, ok := f.grant()
		if !ok {
			return false, preferUnknown(lastErr, ErrNotHolder)
		}
		orders, err := f.acceptedOrderCount(d, order, attempt > 0)
		if err != nil {
			return false, preferUnknown(lastErr, err)
		}
		order.Holder, order.Fence, order.ExpectedOrders = f.holder, grant.Fence, orders
		done, err := f.calls.Order(t, order)
		f.log.Info("order", "target", t.ID, "model", order.Model, "adapter", order.Adapter, "unload", order.IsUnload,
			"expectedOrders", order.ExpectedOrders, "fence", order.Fence, "outcome", outcomeOf(done, err), "error", recorder.ErrorText(err))
		switch {
		case err == nil:
			f.recordAccepted(s, order, done)
			return done, nil
		case errors.Is(err, ErrFenced):
			f.mu.Lock()
			f.refusedFence = max(f.refusedFence, grant.Fence)
			f.mu.Unlock()
			if f.calls.Fenced != nil {
				f.calls.Fenced(grant.Fence)
			}
			return false, preferUnknown(lastErr, err)
		case errors.Is(err, ErrBusy), errors.Is(err, ErrUnknownOutcome):
			lastErr = preferUnknown(lastErr, err)
		default:
			f.backOff(s)
			return false, preferUnknown(lastErr, err)
		}
	}
	return false, lastErr
}

// outcome tells in the log what became of an order.
type outcome string

// Outcomes. An order that was accepted is still being carried out; the effect of one that is done is in
// place.
const (
	outcomeDone        outcome = "Done"
	outcomeAccepted    outcome = "Accepted"
	outcomeBusy        outcome = "Busy"
	outcomeFenced      outcome = "Fenced"
	outcomeUnknown     outcome = "Unknown"
	outcomeNotAccepted outcome = "NotAccepted"
)

// outcomeOf returns the outcome of an order by the target's answer.
func outcomeOf(done bool, err error) outcome {
	switch {
	case err == nil && done:
		return outcomeDone
	case err == nil:
		return outcomeAccepted
	case errors.Is(err, ErrBusy):
		return outcomeBusy
	case errors.Is(err, ErrFenced):
		return outcomeFenced
	case errors.Is(err, ErrUnknownOutcome):
		return outcomeUnknown
	default:
		return outcomeNotAccepted
	}
}

// preferUnknown returns the earlier error if that order may still take effect, and
// the later error otherwise.
func preferUnknown(earlier, later error) error {
	if isOutcomeUnknown(earlier) {
		return earlier
	}
	return later
}

// acceptedOrderCount returns the number of orders that a target has accepted. It queries
// the target if the number is not known, if isRetry is set, since the target may have
// refused the known one, or if the order is an unload that may find nothing. The number
// must match the holdings that the decision was based on: the error is ErrBusy if the
// target holds more than those.
func (f *Foreman) acceptedOrderCount(d decision, order Order, isRetry bool) (int64, error) {
	if isRetry || f.mustQuery(d.targetState, order) {
		if err := f.queryState(d); err != nil {
			return 0, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case d.targetState.unexpectedReports != d.unexpectedReports:
		return 0, errors.Wrap(ErrBusy, "target holds more than the decision accounted for")
	case !d.targetState.orders.isKnown:
		return 0, errors.Wrap(ErrBusy, "a new term has begun")
	}
	return d.targetState.orders.accepted, nil
}

func (f *Foreman) mustQuery(s *targetState, order Order) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	mayFindNothing := order.IsUnload && !s.orders.held[placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}]
	return !s.orders.isKnown || mayFindNothing
}

// queryState asks a target for its number of accepted orders and its holdings.
func (f *Foreman) queryState(d decision) error {
	s := d.targetState
	state, err := f.calls.State(d.target)
	if err != nil {
		f.backOff(s)
		return err
	}
	f.mu.Lock()
	reported := s.orders.learn(state, f.now())
	unexpected := s.mergeReport(d.target, reported, f.now())
	f.mu.Unlock()
	for _, h := range unexpected {
		f.addOverlay(d.target, Order{Model: h.Model, Adapter: h.Adapter})
	}
	if state.Busy {
		f.backOff(s)
		return ErrBusy
	}
	return nil
}

// backOff suspends orders to a target for targetBackoff.
func (f *Foreman) backOff(s *targetState) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.backoffUntil = f.now().Add(targetBackoff)
}

// targetBackoff is how long a target that is busy or could not be reached gets no orders.
const targetBackoff = time.Second

// maxStateAge is how old a target's report of its state may be.
const maxStateAge = 600 * time.Millisecond

// recordAccepted updates the state of a target after it answered an order as accepted or done.
func (f *Foreman) recordAccepted(s *targetState, order Order, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.orders.recordAnswer(order, done, f.now())
	if !done {
		s.extendDeadline(order, f.now().Add(acceptedOrderTTL))
	}
}

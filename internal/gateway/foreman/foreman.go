// Package foreman carries out the placement while this instance holds the lease
// on orders. Each order names the target's incarnation, the fence of the lease and
// the number of orders that the target had accepted when the order was decided.
// A target takes an order only at that number, so of all orders that were decided
// on one state at most one takes effect, also if some arrive late or twice. No
// record of orders is kept beyond that.
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
	// ErrNotHolder tells that this instance may not give orders now.
	ErrNotHolder = errors.New("not the holder of the lease on orders")
	// ErrBusy tells that another order is open or that the number of accepted
	// orders is another one; nothing was done.
	ErrBusy = errors.New("target is busy or has taken other orders")
	// ErrFenced tells that the target has seen a higher fence; nothing was done.
	ErrFenced = errors.New("order has an old fence")
	// ErrNotTaken tells that the order was not taken.
	ErrNotTaken = errors.New("order not taken")
	// ErrUnknownOutcome tells that the order may have been taken, or may be later.
	ErrUnknownOutcome = errors.New("outcome of order unknown")
	// ErrNoPlace tells that no target can take an adapter.
	ErrNoPlace = errors.New("no place for the adapter")
)

// Order is what a target is told.
type Order struct {
	Model string
	// Adapter is empty for the model itself.
	Adapter  string
	IsUnload bool
	// ExpectedOrders is the number of orders that the target must have accepted.
	ExpectedOrders int64
	Holder         string
	Fence          int64
}

// State is what a target says of itself.
type State struct {
	Orders   int64
	Busy     bool
	Holdings []registrar.Holding
	// Coming are the adapters on their way, which take a place already.
	Coming []placer.AdapterKey
}

// Grant is the right to give orders.
type Grant struct {
	Fence int64
}

// Calls are the ways to targets and to the lease.
type Calls struct {
	// Order returns whether the order already held, or one of the errors above.
	Order func(target *registrar.Target, order Order) (done bool, err error)
	State func(target *registrar.Target) (State, error)
	// Grant returns the right to give orders; false without it.
	Grant func() (Grant, bool)
}

// Bounds are those of loads from the weight store.
type Bounds struct {
	Window time.Duration
	// Handover is the least time between the end of one holder's right to give orders
	// and the first order of the next one.
	Handover time.Duration
}

// Foreman carries out the placement. The zero value is not usable; see New.
type Foreman struct {
	holder   string
	calls    Calls
	bounds   Bounds
	registry *registrar.Registrar
	balancer *balancer.Balancer
	tally    *tallier.Tallier
	log      logr.Logger
	now      func() time.Time

	mu    sync.Mutex
	sites map[string]*site
	watch *tallier.Watch
	// loads are the times at which loads from the weight store began, as far as
	// they still count.
	loads []time.Time
	// term is the fence of the present right to give orders.
	term int64
	// fenced is the fence that a target refused as old.
	fenced int64
	// asked are the adapters that are being loaded.
	asked map[tallier.Key]*asking
	// wanted are the models that requests wait for, each with the deadline until which
	// it counts as asked for.
	wanted map[tallier.Key]time.Time
	// planned is closed and replaced at each plan, and urgent asks for one.
	planned chan struct{}
	urgent  chan struct{}
}

// asking is a wait for an adapter.
type asking struct {
	done   chan struct{}
	target string
	err    error
}

// New returns a foreman that gives orders in the name of holder.
func New(holder string, calls Calls, bounds Bounds, registry *registrar.Registrar, b *balancer.Balancer, tally *tallier.Tallier, log logr.Logger) *Foreman {
	return &Foreman{
		holder: holder, calls: calls, bounds: bounds, registry: registry, balancer: b, tally: tally, log: log,
		now: time.Now, sites: map[string]*site{}, watch: tallier.NewWatch(), asked: map[tallier.Key]*asking{},
		wanted: map[tallier.Key]time.Time{}, planned: make(chan struct{}), urgent: make(chan struct{}, 1),
	}
}

// IsHolder reports whether this instance may give orders.
func (f *Foreman) IsHolder() bool {
	_, ok := f.grant()
	return ok
}

func (f *Foreman) grant() (Grant, bool) {
	grant, ok := f.calls.Grant()
	f.mu.Lock()
	defer f.mu.Unlock()
	return grant, ok && grant.Fence > f.fenced
}

// Run places models until ctx is done.
func (f *Foreman) Run(ctx context.Context) {
	ticker := time.NewTicker(tick)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		case <-f.urgent:
		}
		f.Tick()
	}
}

// give gives one order and returns whether its effect is there already. An order
// whose answer was lost is sent again with the same number, so that it takes effect
// once at most. The error is ErrBusy if the target turned out to hold something that
// the decision did not count.
func (f *Foreman) give(d decision, order Order) (done bool, err error) {
	t, s := d.target, d.site
	s.turn.Lock()
	defer s.turn.Unlock()
	var last error
	for try := range mostTries {
		grant, ok := f.grant()
		if !ok {
			return false, worseOf(last, ErrNotHolder)
		}
		orders, err := f.learnOrders(d, try > 0)
		if err != nil {
			return false, worseOf(last, err)
		}
		order.Holder, order.Fence, order.ExpectedOrders = f.holder, grant.Fence, orders
		done, err := f.calls.Order(t, order)
		f.log.Info("order", "target", t.ID, "model", order.Model, "adapter", order.Adapter, "unload", order.IsUnload,
			"expectedOrders", order.ExpectedOrders, "fence", order.Fence, "done", done, "error", recorder.ErrorText(err))
		switch {
		case err == nil:
			f.accepted(s, order, done)
			return done, nil
		case errors.Is(err, ErrFenced):
			f.mu.Lock()
			f.fenced = max(f.fenced, grant.Fence)
			f.mu.Unlock()
			return false, worseOf(last, err)
		case errors.Is(err, ErrBusy), errors.Is(err, ErrUnknownOutcome):
			last = worseOf(last, err)
		default:
			f.rest(s)
			return false, worseOf(last, err)
		}
	}
	return false, last
}

// worseOf returns the error of an earlier send if that may still take effect, or
// else the later one.
func worseOf(earlier, later error) error {
	if isUnknown(earlier) {
		return earlier
	}
	return later
}

// learnOrders returns the number of orders that a target has accepted, and asks it if
// that is not known or was refused. The number goes with what the target holds: the
// error is ErrBusy if that is more than what the order was decided on.
func (f *Foreman) learnOrders(d decision, refused bool) (int64, error) {
	if refused || !f.knowsOrders(d.site) {
		if err := f.askState(d); err != nil {
			return 0, err
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	switch {
	case d.site.learned != d.learned:
		return 0, errors.Wrap(ErrBusy, "target holds more than was known")
	case d.site.orders < 0:
		return 0, errors.Wrap(ErrBusy, "another right to give orders has begun")
	}
	return d.site.orders, nil
}

func (f *Foreman) knowsOrders(s *site) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.orders >= 0
}

// askState asks a target for its orders and holdings.
func (f *Foreman) askState(d decision) error {
	s := d.site
	state, err := f.calls.State(d.target)
	if err != nil {
		f.rest(s)
		return err
	}
	f.mu.Lock()
	// The answer may be from before the latest order.
	if f.now().Sub(s.acceptedAt) < stateLag {
		state.Orders = max(s.orders, state.Orders)
	}
	s.orders = state.Orders
	if state.Busy {
		// What it is doing is known only once it is done: ask again then.
		s.orders = -1
	}
	news := s.learn(d.target, state, f.now())
	f.mu.Unlock()
	for _, h := range news {
		f.overlay(d.target, Order{Model: h.Model, Adapter: h.Adapter})
	}
	if state.Busy {
		f.rest(s)
		return ErrBusy
	}
	return nil
}

// rest leaves a target without orders for a while.
func (f *Foreman) rest(s *site) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s.restsUntil = f.now().Add(restTime)
}

// restTime is how long a target that could not be reached gets no orders.
const restTime = time.Second

// stateLag is how old a target's word on its state may be.
const stateLag = 600 * time.Millisecond

// accepted takes note of an order that a target has taken.
func (f *Foreman) accepted(s *site, order Order, done bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if !done || order.IsUnload {
		s.orders++
		s.acceptedAt = f.now()
	}
	if !done {
		s.extend(order, f.now().Add(acceptedLife))
	}
}

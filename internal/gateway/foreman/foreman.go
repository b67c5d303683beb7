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
	// loads are the times at which loads from the weight store began, as far as
	// they still count.
	loads []time.Time
	// term is the fence of the present right to give orders.
	term int64
	// fenced is the fence that a target refused as old.
	fenced int64
	// asked are the adapters that are being loaded.
	asked map[tallier.Key]*asking
}

// site is what the holder knows of a target beyond the target table.
type site struct {
	turn sync.Mutex // held while an order is given
	// orders is the number of accepted orders; -1 if it must be asked for.
	orders int64
	born   int64
	// acceptedAt is when the target took the latest order.
	acceptedAt time.Time
	// open is the load or unload of a model that is being carried out or whose fate
	// is not known; nil if there is none.
	open *openOrder
	// coming are the adapters that may be loaded, going those that are being
	// unloaded; each with the deadline after which that is over. Both take a place.
	coming map[placer.AdapterKey]time.Time
	going  map[placer.AdapterKey]time.Time
	// next is the model that is to be loaded once open, an unload, is done.
	next string
	// restsUntil is the deadline until which a target that could not be reached
	// gets no orders.
	restsUntil time.Time
}

// openOrder is an order whose effect the target table does not show yet.
type openOrder struct {
	order Order
	// until is the deadline after which it is taken for not carried out.
	until time.Time
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
		now: time.Now, sites: map[string]*site{}, asked: map[tallier.Key]*asking{},
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
			f.Tick()
		}
	}
}

// site returns what is known of a target. It is called with the lock held.
func (f *Foreman) site(t *registrar.Target) *site {
	s := f.sites[t.ID]
	if s == nil || s.born != t.Born {
		s = &site{orders: -1, born: t.Born, coming: map[placer.AdapterKey]time.Time{}, going: map[placer.AdapterKey]time.Time{}}
		f.sites[t.ID] = s
	}
	return s
}

// give gives one order and returns whether its effect is there already. An order
// whose answer was lost is sent again with the same number, so that it takes effect
// once at most.
func (f *Foreman) give(t *registrar.Target, order Order) (done bool, err error) {
	f.mu.Lock()
	s := f.site(t)
	f.mu.Unlock()
	s.turn.Lock()
	defer s.turn.Unlock()
	var last error
	for try := range mostTries {
		grant, ok := f.grant()
		if !ok {
			return false, worseOf(last, ErrNotHolder)
		}
		if err := f.learnOrders(t, s, try > 0); err != nil {
			return false, worseOf(last, err)
		}
		order.Holder, order.Fence, order.ExpectedOrders = f.holder, grant.Fence, s.orders
		done, err := f.calls.Order(t, order)
		f.log.Info("order", "target", t.ID, "model", order.Model, "adapter", order.Adapter, "unload", order.IsUnload,
			"expectedOrders", order.ExpectedOrders, "fence", order.Fence, "done", done, "error", errorText(err))
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

func errorText(err error) string {
	if err == nil {
		return ""
	}
	return err.Error()
}

// learnOrders asks a target for the number of orders that it has accepted, if it
// is not known or was refused. On first acquaintance the error is ErrBusy if the
// target tells of more than what the order was decided on.
func (f *Foreman) learnOrders(t *registrar.Target, s *site, refused bool) error {
	if !refused && s.orders >= 0 {
		return nil
	}
	state, err := f.calls.State(t)
	if err != nil {
		f.rest(s)
		return err
	}
	isFirst := s.orders < 0
	// The answer may be from before the latest order.
	if f.now().Sub(s.acceptedAt) < stateLag {
		s.orders = max(s.orders, state.Orders)
	} else {
		s.orders = state.Orders
	}
	differs := f.learnHoldings(t, state)
	if state.Busy {
		// What it is doing is known only once it is done: ask again then.
		s.orders = -1
		f.rest(s)
		return ErrBusy
	}
	if isFirst && differs {
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

// learnHoldings takes what a target tells beyond the target table, and reports
// whether there is any.
func (f *Foreman) learnHoldings(t *registrar.Target, state State) bool {
	differs := false
	for _, h := range state.Holdings {
		known, ok := t.Holding(h.Model)
		if !ok {
			differs = true
			f.overlay(t, Order{Model: h.Model})
		}
		for _, adapter := range h.Adapters {
			if !known.Has(adapter) {
				differs = true
				f.overlay(t, Order{Model: h.Model, Adapter: adapter})
			}
		}
	}
	return differs
}

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
}

package orderer

import (
	"slices"
	"time"

	"golang.org/x/time/rate"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Limits bound the orders in flight and their duration.
type Limits struct {
	// ModelLoads bounds the loads of models that are in flight over the whole
	// system, and ModelLoadsPerSecond those that begin per second.
	ModelLoads          int
	ModelLoadsPerSecond float64
	// AdapterLoads bounds the loads of adapters in flight over the whole system.
	AdapterLoads int
	// OrderTimeout is how long an order may remain without effect in the engine's
	// reports before it is repeated.
	OrderTimeout time.Duration
	// DrainGrace is the time after the start of draining within which peers stop
	// sending requests and those in flight reach the engine.
	DrainGrace time.Duration
	// DrainTimeout bounds the wait for running requests before an unload.
	DrainTimeout time.Duration
	// SettlingTime is how long the memory of an unloaded name stays counted on an
	// engine without fencing.
	SettlingTime time.Duration
}

// engineState is one engine in a round: the target as last reported, its next
// ledger, and the orders to send to it.
type engineState struct {
	target *keeper.Target
	ledger *Ledger
	// fresh is set if the report is recent and was requested after the ledgers were read, and
	// the engine has not asked for quiet.
	fresh   bool
	changed bool
	orders  []messenger.EngineOrder
}

// acceptsOrders reports whether new loads may be ordered on the target.
func (s *engineState) acceptsOrders() bool { return s.fresh && !s.target.Leaving }

func (s *engineState) usableBytes() int64 {
	return int64(float64(s.target.MemoryBytes) * (1 - prefixCacheShare))
}

// round is one tick of the holder without its side effects: it updates the ledgers
// and decides on orders, but sends and stores nothing.
type round struct {
	now              time.Time
	by               sender
	limits           Limits
	modelLoadLimiter *rate.Limiter
	catalog          *keeper.Catalog
	engines          []*engineState // sorted by ID of the target
	neverApplied     func(orderID string) bool
	endedAt          func(Send) time.Time
}

// run reconciles all ledgers, advances their entries, and then adds the moves that
// plan returns.
func (r *round) run(plan func([]planner.Target) []planner.Move) {
	for _, s := range r.engines {
		if s.fresh {
			s.changed = s.ledger.reconcile(Evidence{
				Now: r.now, Report: s.target.Report, NeverApplied: r.neverApplied, EndedAt: r.endedAt, SettlingTime: r.limits.SettlingTime,
			})
		}
	}
	if r.catalog.Revision == 0 {
		return
	}
	for _, s := range r.engines {
		if s.fresh {
			r.advance(s)
		}
	}
	for _, m := range plan(r.targets()) {
		r.addMove(m)
	}
	for _, s := range r.engines {
		if s.fresh {
			r.raiseFence(s)
		}
	}
}

// targets returns the engines as the planner sees them.
func (r *round) targets() []planner.Target {
	targets := make([]planner.Target, 0, len(r.engines))
	for _, s := range r.engines {
		targets = append(targets, planner.Target{
			ID:          s.target.ID,
			DataCentre:  s.target.DataCentre,
			MemoryBytes: s.usableBytes() - s.ledger.reservedBytes(),
			Slots:       s.ledger.slots(),
			Usable:      s.acceptsOrders(),
		})
	}
	return targets
}

// addMove accepts a move of the planner if it is safe and within the limits.
func (r *round) addMove(m planner.Move) {
	i := slices.IndexFunc(r.engines, func(s *engineState) bool { return s.target.ID == m.Target })
	if i < 0 || !r.engines[i].acceptsOrders() {
		return
	}
	s := r.engines[i]
	entry := s.ledger.findEntry(m.Name)
	switch {
	case m.Kind == planner.Load && entry == nil:
		e := Entry{Name: m.Name, Bytes: m.Bytes, State: Loading}
		if r.addLoad(s, &e) {
			s.ledger.Entries = append(s.ledger.Entries, e)
		}
	case m.Kind == planner.Unload && entry != nil && entry.State == Held && r.mayUnload(s, m.Name):
		r.startDraining(s, entry)
	}
}

// advance acts on entries whose deadline has passed, that are drained, or whose
// model is no longer loaded.
func (r *round) advance(s *engineState) {
	for i := range s.ledger.Entries {
		e := &s.ledger.Entries[i]
		h, reported := holdingOf(s.target.Report, e.Name)
		due := !r.now.Before(e.Deadline)
		switch {
		case e.State == Loading && !reported && due && s.acceptsOrders():
			r.addLoad(s, e)
		case e.State == Draining && r.isDrained(s, e, h), e.State == Unloading && reported && due:
			r.unload(s, e)
		case e.State == Held && r.isOrphan(s, e.Name) && r.mayUnload(s, e.Name):
			r.startDraining(s, e)
		}
	}
}

// addLoad adds an order to load and reports whether memory and the limits on loads
// allowed it.
func (r *round) addLoad(s *engineState, e *Entry) bool {
	if !s.ledger.fits(*e, s.usableBytes()) || !r.allowLoad(s, e.Name) {
		return false
	}
	e.Deadline = r.now.Add(r.orderTimeout(s, planner.Load, e.Name))
	r.addOrder(s, planner.Load, *e)
	return true
}

// fits reports whether the memory of the target suffices for the load of an entry,
// now and after a restart.
func (l *Ledger) fits(e Entry, memory int64) bool {
	next := l.clone()
	next.Sends = append(next.Sends, Send{Kind: planner.Load, Name: e.Name, Bytes: e.Bytes})
	return next.currentBytes() <= memory && next.restartBytes() <= memory
}

// orderTimeout returns the time after which to repeat an order. It doubles with
// each open order for the name.
func (r *round) orderTimeout(s *engineState, kind planner.Kind, name keeper.Name) time.Duration {
	const maxDoublings = 6
	return r.limits.OrderTimeout << min(s.ledger.openSends(kind, name), maxDoublings)
}

// allowLoad reports whether the limits over the whole system allow another load. If
// so, it consumes a token of the rate limit for models.
func (r *round) allowLoad(s *engineState, name keeper.Name) bool {
	inFlight := 0
	for _, other := range r.engines {
		for _, e := range other.ledger.Entries {
			isSame := e.Name == name && other == s
			counts := other.fresh || r.now.Before(e.Deadline)
			if e.State == Loading && counts && !isSame && (e.Name.Adapter == "") == (name.Adapter == "") {
				inFlight++
			}
		}
	}
	if name.Adapter != "" {
		return inFlight < r.limits.AdapterLoads
	}
	return inFlight < r.limits.ModelLoads && r.modelLoadLimiter.AllowN(r.now, 1)
}

func (r *round) startDraining(s *engineState, e *Entry) {
	e.State = Draining
	e.NotBefore = r.now.Add(r.limits.DrainGrace)
	e.Deadline = r.now.Add(r.limits.DrainTimeout)
	s.changed = true
}

// isDrained reports whether draining has reached its deadline, or a report that was
// requested after new requests had ceased shows no running request on the name.
func (r *round) isDrained(s *engineState, e *Entry, h keeper.Holding) bool {
	if !r.now.Before(e.Deadline) {
		return true
	}
	return s.target.ReportedAt.After(e.NotBefore) && h.Running == 0
}

// unload orders the unload or repeats the order. If the copy has become the last
// one, the entry returns to Held instead; while an unload is still open, isReliable
// does not count the copy.
func (r *round) unload(s *engineState, e *Entry) {
	if !r.mayUnload(s, e.Name) {
		e.State = Held
		s.changed = true
		return
	}
	e.State = Unloading
	e.Deadline = r.now.Add(r.orderTimeout(s, planner.Unload, e.Name))
	r.addOrder(s, planner.Unload, *e)
}

func (r *round) addOrder(s *engineState, kind planner.Kind, e Entry) {
	send := s.ledger.addSend(kind, e, r.by, e.Deadline)
	s.changed = true
	s.orders = append(s.orders, messenger.EngineOrder{
		ID: send.OrderID, Kind: string(kind), Model: e.Name.Model, Adapter: e.Name.Adapter,
		Version: e.Name.Version, Bytes: e.Bytes, Fence: send.Fence,
	})
}

// raiseFence makes an engine with fencing refuse orders that have been open past
// their deadline. It adds an order that assigns the current role, with a new token.
func (r *round) raiseFence(s *engineState) {
	l := s.ledger
	due := slices.ContainsFunc(l.Sends, func(send Send) bool {
		return l.isOpen(send) && !r.now.Before(send.Deadline)
	})
	if !l.checksFencing || !due || len(s.orders) > 0 || r.now.Before(l.RaiseDeadline) {
		return
	}
	fence := l.nextFence(r.by)
	l.RaiseDeadline = r.now.Add(r.limits.OrderTimeout)
	s.changed = true
	s.orders = append(s.orders, messenger.EngineOrder{
		ID: r.by.orderID(l.Target, fence), Kind: commander.Role, Role: s.target.Role, Fence: fence,
	})
}

// isOrphan reports whether a name is an adapter whose model is neither loaded nor
// loading on the target.
func (r *round) isOrphan(s *engineState, name keeper.Name) bool {
	if name.Adapter == "" {
		return false
	}
	base := s.ledger.findEntry(name.Base())
	return base == nil || (base.State != Held && base.State != Loading)
}

// mayUnload reports whether every configured model and adapter stays available
// after a name is unloaded from a target.
func (r *round) mayUnload(s *engineState, name keeper.Name) bool {
	m, ok := r.catalog.Models[name.Model]
	if !ok {
		return true
	}
	if name.Adapter != "" {
		return r.mayUnloadAdapter(s, m, name)
	}
	current := keeper.Name{Model: m.Name, Version: m.Version}
	if name != current {
		return r.hasOtherCopy(nil, current) || r.hasOtherCopy(s, name)
	}
	if !r.hasOtherCopy(s, name) {
		return false
	}
	for _, a := range r.catalog.Adapters[m.Name] {
		adapter := keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}
		if s.ledger.findEntry(adapter) != nil && !r.hasOtherCopy(s, adapter) {
			return false
		}
	}
	return true
}

func (r *round) mayUnloadAdapter(s *engineState, m keeper.Model, name keeper.Name) bool {
	configured := name.Version == m.Version &&
		slices.ContainsFunc(r.catalog.Adapters[m.Name], func(a keeper.Adapter) bool { return a.FullName() == name.Adapter })
	if !configured {
		return true
	}
	base := s.ledger.findEntry(name.Base())
	switch {
	case base == nil || base.State == Unloading || base.State == Settling:
		return true
	case base.State == Held:
		return false
	}
	return r.hasOtherCopy(s, name)
}

// hasOtherCopy reports whether a target other than s has a reliable copy.
func (r *round) hasOtherCopy(s *engineState, name keeper.Name) bool {
	return slices.ContainsFunc(r.engines, func(other *engineState) bool {
		return other != s && other.acceptsOrders() && other.ledger.isReliable(name)
	})
}

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

// Limits bound what the orderer has under way.
type Limits struct {
	// WeightLoads and WeightRate bound the loads of models that are in flight
	// and that begin in a second, over the whole system.
	WeightLoads int
	WeightRate  float64
	// AdapterLoads bounds the loads of adapters in flight over the whole system.
	AdapterLoads int
	// OrderWait is how long the engine may take to show an order before it is repeated.
	OrderWait time.Duration
	// DrainGrace is how long peers and requests under way take to show on an
	// engine after draining began.
	DrainGrace time.Duration
	// DrainLimit bounds the wait for running requests before an unload.
	DrainLimit time.Duration
	// StrayHold is how long the memory of an unloaded name stays counted on an
	// engine without fencing.
	StrayHold time.Duration
}

// site is one engine in a round: what is known of it and its ledger to be.
type site struct {
	target  *keeper.Target
	ledger  *Ledger
	fresh   bool // its report may be believed
	changed bool
	orders  []messenger.EngineOrder
}

// takesOrders reports whether new work may be given to the target.
func (s *site) takesOrders() bool { return s.fresh && !s.target.Leaving }

func (s *site) memoryBytes() int64 {
	return int64(float64(s.target.MemoryBytes) * (1 - cacheShare))
}

// round is one tick of the holder, as a function of tables: it brings ledgers up
// to date and decides on orders, without sending or storing anything.
type round struct {
	now     time.Time
	by      sender
	limits  Limits
	weights *rate.Limiter
	catalog *keeper.Catalog
	sites   []*site // by ID of the target
	dead    func(orderID string) bool
	endedAt func(Send) time.Time
}

// run reconciles all ledgers, carries on what is under way, and then enters what
// plan asks for.
func (r *round) run(plan func([]planner.Target) []planner.Move) {
	for _, s := range r.sites {
		if s.fresh {
			s.changed = s.ledger.reconcile(Evidence{
				Now: r.now, Report: s.target.Report, Dead: r.dead, EndedAt: r.endedAt, StrayHold: r.limits.StrayHold,
			})
		}
	}
	if r.catalog.Revision == 0 {
		return
	}
	for _, s := range r.sites {
		if s.fresh {
			r.advance(s)
		}
	}
	for _, m := range plan(r.targets()) {
		r.enter(m)
	}
	for _, s := range r.sites {
		if s.fresh {
			r.raise(s)
		}
	}
}

// targets returns the engines as the planner sees them.
func (r *round) targets() []planner.Target {
	targets := make([]planner.Target, 0, len(r.sites))
	for _, s := range r.sites {
		targets = append(targets, planner.Target{
			ID:          s.target.ID,
			DataCentre:  s.target.DataCentre,
			MemoryBytes: s.memoryBytes() - s.ledger.reservedBytes(),
			Slots:       s.ledger.slots(),
			Usable:      s.takesOrders(),
		})
	}
	return targets
}

// enter takes over a move of the planner if it is safe and within the limits.
func (r *round) enter(m planner.Move) {
	i := slices.IndexFunc(r.sites, func(s *site) bool { return s.target.ID == m.Target })
	if i < 0 || !r.sites[i].takesOrders() {
		return
	}
	s := r.sites[i]
	known := s.ledger.find(m.Name)
	switch {
	case m.Kind == planner.Load && known == nil:
		e := Entry{Name: m.Name, Bytes: m.Bytes, State: Loading}
		if r.sendLoad(s, &e) {
			s.ledger.Entries = append(s.ledger.Entries, e)
		}
	case m.Kind == planner.Unload && known != nil && known.State == Held && r.mayUnload(s, m.Name):
		r.drain(s, known)
	}
}

// advance acts on entries whose deadline has passed or whose wait is over.
func (r *round) advance(s *site) {
	for i := range s.ledger.Entries {
		e := &s.ledger.Entries[i]
		h, shown := holdingOf(s.target.Report, e.Name)
		due := !r.now.Before(e.Deadline)
		switch {
		case e.State == Loading && !shown && due && s.takesOrders():
			r.sendLoad(s, e)
		case e.State == Draining && r.isDrained(s, e, h), e.State == Unloading && shown && due:
			r.unload(s, e)
		case e.State == Held && r.isOrphan(s, e.Name) && r.mayUnload(s, e.Name):
			r.drain(s, e)
		}
	}
}

// sendLoad enters an order to load, unless memory or the pace of the weight store
// forbid it.
func (r *round) sendLoad(s *site, e *Entry) bool {
	if !s.ledger.fits(*e, s.memoryBytes()) || !r.allowLoad(s, e.Name) {
		return false
	}
	e.Deadline = r.now.Add(r.orderWait(s, planner.Load, e.Name))
	r.order(s, planner.Load, *e)
	return true
}

// fits reports whether a load of an entry keeps the memory of the target, now
// and after a restart.
func (l *Ledger) fits(e Entry, memory int64) bool {
	next := l.clone()
	next.Sends = append(next.Sends, Send{Kind: planner.Load, Name: e.Name, Bytes: e.Bytes})
	return next.presentBytes() <= memory && next.restartBytes() <= memory
}

// orderWait doubles with each order for the name that is still open.
func (r *round) orderWait(s *site, kind planner.Kind, name keeper.Name) time.Duration {
	const mostDoublings = 6
	return r.limits.OrderWait << min(s.ledger.openSends(kind, name), mostDoublings)
}

// allowLoad takes one load from the pace that holds over the whole system.
func (r *round) allowLoad(s *site, name keeper.Name) bool {
	inFlight := 0
	for _, other := range r.sites {
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
	return inFlight < r.limits.WeightLoads && r.weights.AllowN(r.now, 1)
}

func (r *round) drain(s *site, e *Entry) {
	e.State = Draining
	e.NotBefore = r.now.Add(r.limits.DrainGrace)
	e.Deadline = r.now.Add(r.limits.DrainLimit)
	s.changed = true
}

// isDrained reports whether no request runs on a draining name, as a report
// shows that was asked for after new requests had ceased.
func (r *round) isDrained(s *site, e *Entry, h keeper.Holding) bool {
	if !r.now.Before(e.Deadline) {
		return true
	}
	return s.target.ReportedAt.After(e.NotBefore) && h.Running == 0
}

// unload orders the unload, or repeats the order, unless the copy has become the
// last one. An order that is open then keeps the copy from being relied upon.
func (r *round) unload(s *site, e *Entry) {
	if !r.mayUnload(s, e.Name) {
		e.State = Held
		s.changed = true
		return
	}
	e.State = Unloading
	e.Deadline = r.now.Add(r.orderWait(s, planner.Unload, e.Name))
	r.order(s, planner.Unload, *e)
}

func (r *round) order(s *site, kind planner.Kind, e Entry) {
	send := s.ledger.newSend(kind, e, r.by, e.Deadline)
	s.changed = true
	s.orders = append(s.orders, messenger.EngineOrder{
		ID: send.OrderID, Kind: string(kind), Model: e.Name.Model, Adapter: e.Name.Adapter,
		Version: e.Name.Version, Bytes: e.Bytes, Fence: send.Fence,
	})
}

// raise makes an engine that checks fences refuse orders that have been open for
// too long, by an order that changes nothing.
func (r *round) raise(s *site) {
	l := s.ledger
	due := slices.ContainsFunc(l.Sends, func(send Send) bool {
		return l.isOpen(send) && !r.now.Before(send.Deadline)
	})
	if !l.checks || !due || len(s.orders) > 0 || r.now.Before(l.RaiseDeadline) {
		return
	}
	fence := l.nextFence(r.by)
	l.RaiseDeadline = r.now.Add(r.limits.OrderWait)
	s.changed = true
	s.orders = append(s.orders, messenger.EngineOrder{
		ID: r.by.orderID(l.Target, fence), Kind: commander.Role, Role: s.target.Role, Fence: fence,
	})
}

// isOrphan reports whether an adapter has lost its model on the target.
func (r *round) isOrphan(s *site, name keeper.Name) bool {
	if name.Adapter == "" {
		return false
	}
	base := s.ledger.find(name.Base())
	return base == nil || (base.State != Held && base.State != Loading)
}

// mayUnload reports whether every configured model and adapter stays reachable
// without a name on a target.
func (r *round) mayUnload(s *site, name keeper.Name) bool {
	m, ok := r.catalog.Models[name.Model]
	if !ok {
		return true
	}
	if name.Adapter != "" {
		return r.mayUnloadAdapter(s, m, name)
	}
	current := keeper.Name{Model: m.Name, Version: m.Version}
	if name != current {
		return r.hasOther(nil, current) || r.hasOther(s, name)
	}
	if !r.hasOther(s, name) {
		return false
	}
	for _, a := range r.catalog.Adapters[m.Name] {
		adapter := keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}
		if s.ledger.find(adapter) != nil && !r.hasOther(s, adapter) {
			return false
		}
	}
	return true
}

func (r *round) mayUnloadAdapter(s *site, m keeper.Model, name keeper.Name) bool {
	configured := name.Version == m.Version &&
		slices.ContainsFunc(r.catalog.Adapters[m.Name], func(a keeper.Adapter) bool { return a.FullName() == name.Adapter })
	if !configured {
		return true
	}
	base := s.ledger.find(name.Base())
	switch {
	case base == nil || base.State == Unloading || base.State == Settling:
		return true
	case base.State == Held:
		return false
	}
	return r.hasOther(s, name)
}

// hasOther reports whether a target other than s has a copy that can be relied upon.
func (r *round) hasOther(s *site, name keeper.Name) bool {
	return slices.ContainsFunc(r.sites, func(other *site) bool {
		return other != s && other.takesOrders() && other.ledger.isReliable(name)
	})
}

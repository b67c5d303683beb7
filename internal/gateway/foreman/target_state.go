package foreman

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// targetState is the holder's knowledge of a target beyond the target table. The
// holdings recorded here, together with those in the table, always include everything
// that the target holds after the orders counted in orders. A decision that fits
// into the recorded holdings therefore fits into the actual ones. Requests refused for
// lack of a model or an adapter do not change this state, since a refusal may predate
// the load.
type targetState struct {
	orderMu sync.Mutex // held while an order is sent
	orders  orderCount
	// incarnation is the start time of the target's process, in milliseconds of Unix time.
	incarnation int64
	// unexpectedReports counts how often the target reported holdings that were not
	// recorded.
	unexpectedReports int
	// pending is the load or unload of a model that is in progress or whose outcome is
	// unknown; nil if there is none.
	pending *pendingOrder
	// unconfirmedLoads holds the adapters and models that may be loaded although the
	// table does not show them.
	unconfirmedLoads map[placer.AdapterKey]*unconfirmedLoad
	// unloading holds the adapters that are being unloaded; each occupies a slot until
	// it is unloaded.
	unloading map[placer.AdapterKey]*pendingUnload
	// evictions is the number of reservations whose adapter to evict is not unloaded yet.
	evictions int
	// unloaded holds the adapters that are unloaded although the table may still show
	// them, each with the deadline after which the table is trusted again.
	unloaded map[placer.AdapterKey]time.Time
	// nextModel is the model to load once the pending unload is done.
	nextModel string
	// backoffUntil is the deadline until which a target that is busy or could not be
	// reached gets no orders.
	backoffUntil time.Time
}

// pendingOrder is an order whose effect the target table does not show yet.
type pendingOrder struct {
	order Order
	// deadline is when the order is assumed not to have been carried out.
	deadline time.Time
	// seenInTable is set once the target table has shown the model, so that its absence
	// from the table then means that it is unloaded.
	seenInTable bool
	// servesAt is when the model being loaded, by this order or after this unload, is
	// expected to be served.
	servesAt time.Time
}

// unconfirmedLoad is a load whose effect the target table does not show yet.
type unconfirmedLoad struct {
	// deadline is when the load is assumed not to have been carried out.
	deadline time.Time
	// isReload is set if the adapter was unloaded just before, so that the table may
	// still show the earlier load: the table confirms this load only after it has
	// stopped showing the earlier one.
	isReload bool
}

// pendingUnload is the unload of an adapter that a request may still use.
type pendingUnload struct {
	deadline time.Time
	// seenInTable is set once the target table has shown the adapter, so that its
	// absence from the table then means that it is unloaded.
	seenInTable bool
}

// decision is the state that an order is based on.
type decision struct {
	target      *registrar.Target
	targetState *targetState
	// unexpectedReports is that of the target state at the time of the decision.
	unexpectedReports int
}

// targetState returns the state of a target, and starts a new one for a later
// incarnation. A caller whose view still shows an earlier incarnation gets the state of
// the later one. The caller holds f.mu.
func (f *Foreman) targetState(t *registrar.Target) *targetState {
	s := f.targets[t.ID]
	if s == nil || s.incarnation < t.StartMilliseconds {
		s = &targetState{
			orders: orderCount{held: map[placer.AdapterKey]bool{}}, incarnation: t.StartMilliseconds, unconfirmedLoads: map[placer.AdapterKey]*unconfirmedLoad{},
			unloading: map[placer.AdapterKey]*pendingUnload{}, unloaded: map[placer.AdapterKey]time.Time{},
		}
		f.targets[t.ID] = s
	}
	return s
}

// newDecision returns the current state of a target for an order to be based on. The
// caller holds f.mu.
func (f *Foreman) newDecision(t *registrar.Target) decision {
	s := f.targetState(t)
	return decision{target: t, targetState: s, unexpectedReports: s.unexpectedReports}
}

// mergeReport records reported holdings that were not recorded, and returns them.
func (s *targetState) mergeReport(t *registrar.Target, reported []placer.AdapterKey, now time.Time) []placer.AdapterKey {
	unexpected := []placer.AdapterKey{}
	for _, h := range reported {
		if !s.mayHold(t, h) {
			s.unconfirmedLoads[h] = &unconfirmedLoad{deadline: now.Add(pendingOrderTTL)}
			unexpected = append(unexpected, h)
		}
	}
	if len(unexpected) > 0 {
		s.unexpectedReports++
	}
	return unexpected
}

// mayHold reports whether the target may hold an adapter or a model.
func (s *targetState) mayHold(t *registrar.Target, h placer.AdapterKey) bool {
	if _, ok := s.unconfirmedLoads[h]; ok {
		return true
	}
	if _, ok := s.unloading[h]; ok {
		return true
	}
	if _, ok := s.unloaded[h]; ok {
		return false
	}
	isPending := s.pending != nil && s.pending.order.Model == h.Model
	return isInTable(t, h) || (h.Adapter == "" && (isPending || s.nextModel == h.Model))
}

// isInTable reports whether the target table shows an adapter, or the model if h names
// no adapter.
func isInTable(t *registrar.Target, h placer.AdapterKey) bool {
	held, ok := t.Holding(h.Model)
	return ok && (h.Adapter == "" || held.Has(h.Adapter))
}

// extendDeadline keeps an accepted order recorded until the table shows its effect or
// the new deadline has passed.
func (s *targetState) extendDeadline(order Order, deadline time.Time) {
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	switch {
	case order.Adapter == "":
		if s.pending != nil && s.pending.order.Model == order.Model {
			s.pending.deadline = deadline
		}
		if !order.IsUnload {
			s.expectLoad(h, deadline)
		}
	case order.IsUnload:
		if unload := s.unloading[h]; unload != nil {
			unload.deadline = deadline
		}
	default:
		s.expectLoad(h, deadline)
	}
}

// expectLoad counts an adapter or a model as loaded until the table shows it or the
// deadline has passed.
func (s *targetState) expectLoad(h placer.AdapterKey, deadline time.Time) {
	load := s.unconfirmedLoads[h]
	if load == nil {
		load = &unconfirmedLoad{}
		s.unconfirmedLoads[h] = load
	}
	if _, isReload := s.unloaded[h]; isReload {
		load.isReload = true
		delete(s.unloaded, h)
	}
	load.deadline = deadline
}

// beginTerm resets the state for a new term. Another holder may have sent orders since
// the last term, so a pending order no longer justifies a subsequent one.
func (s *targetState) beginTerm() {
	s.orders.isKnown = false
	clear(s.unloaded)
	if s.pending != nil && !s.pending.order.IsUnload {
		s.expectLoad(placer.AdapterKey{Model: s.pending.order.Model}, s.pending.deadline)
	}
	s.pending = nil
	s.nextModel = ""
}

// reconcile removes what the target table shows by now and what is past its deadline.
func (s *targetState) reconcile(t *registrar.Target, now time.Time) {
	for h, unload := range s.unloading {
		held := isInTable(t, h)
		unload.seenInTable = unload.seenInTable || held
		isDone := unload.seenInTable && !held
		if isDone {
			s.orders.observeUnload(h)
		}
		if isDone || now.After(unload.deadline) {
			delete(s.unloading, h)
		}
	}
	for h, load := range s.unconfirmedLoads {
		held := isInTable(t, h)
		if (held && !load.isReload) || now.After(load.deadline) {
			delete(s.unconfirmedLoads, h)
		}
		load.isReload = load.isReload && held
	}
	for h, deadline := range s.unloaded {
		if !isInTable(t, h) || now.After(deadline) {
			delete(s.unloaded, h)
		}
	}
	s.orders.observeTable(t)
	s.reconcilePending(t, now)
}

func (s *targetState) reconcilePending(t *registrar.Target, now time.Time) {
	if s.pending == nil {
		return
	}
	_, held := t.Holding(s.pending.order.Model)
	s.pending.seenInTable = s.pending.seenInTable || held
	isDone := held
	if s.pending.order.IsUnload {
		isDone = s.pending.seenInTable && !held
		if isDone {
			s.orders.observeUnload(placer.AdapterKey{Model: s.pending.order.Model})
		}
	}
	if !isDone && now.Before(s.pending.deadline) {
		return
	}
	if !isDone || !s.pending.order.IsUnload {
		s.nextModel = ""
	}
	s.pending = nil
}

// worstCaseState returns the state of a target with all pending orders counted at their
// maximum memory use: a load as done, an unload as not done. The caller holds f.mu.
func (f *Foreman) worstCaseState(t *registrar.Target, overlays []balancer.Overlay) *placer.Site {
	out := &placer.Site{
		Target: t, Models: map[string]bool{}, Adapters: map[string][]string{},
		ChangingAdapters: map[placer.AdapterKey]bool{}, InFlight: f.balancer.TotalInFlight(t.ID),
		Slowness: f.balancer.Slowness(t.ID), Limit: f.calls.Limit(t),
	}
	s := f.targetState(t)
	for _, h := range t.Holdings {
		out.Models[h.Model] = true
		for _, adapter := range h.Adapters {
			if _, isUnloaded := s.unloaded[placer.AdapterKey{Model: h.Model, Adapter: adapter}]; !isUnloaded {
				addHeld(out, placer.AdapterKey{Model: h.Model, Adapter: adapter})
			}
		}
	}
	for _, o := range overlays {
		if o.Held {
			addHeld(out, placer.AdapterKey{Model: o.Model, Adapter: o.Adapter})
		}
	}
	for h := range s.orders.held {
		addHeld(out, h)
	}
	for h := range s.unconfirmedLoads {
		addHeld(out, h)
		out.ChangingAdapters[h] = true
	}
	for h := range s.unloading {
		addHeld(out, h)
		out.ChangingAdapters[h] = true
	}
	if s.pending != nil {
		out.Models[s.pending.order.Model] = true
		if s.pending.order.IsUnload {
			out.UnloadingModel = s.pending.order.Model
		}
	}
	if s.nextModel != "" {
		out.Models[s.nextModel] = true
	}
	out.Evicting = s.evictions
	out.Unavailable = f.now().Before(s.backoffUntil) || f.balancer.IsCoolingDown(t.ID)
	out.Busy = out.Unavailable || s.pending != nil || s.nextModel != ""
	return out
}

// isLeaving reports whether a target leaves, by its entry in the target table or by what it has
// announced in an answer.
func (f *Foreman) isLeaving(t *registrar.Target) bool { return t.Leaving || f.balancer.IsLeaving(t) }

// addHeld adds an adapter, or the model if h names no adapter, to the holdings of a site.
func addHeld(site *placer.Site, h placer.AdapterKey) {
	if h.Adapter == "" {
		site.Models[h.Model] = true
		return
	}
	site.Adapters[h.Model] = append(without(site.Adapters[h.Model], h.Adapter), h.Adapter)
}

func without(names []string, name string) []string {
	out := make([]string, 0, len(names)+1)
	for _, n := range names {
		if n != name {
			out = append(out, n)
		}
	}
	return out
}

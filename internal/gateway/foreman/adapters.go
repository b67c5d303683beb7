package foreman

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

// adapterLoadDelay is the time until a newly loaded adapter can be used, including
// timer inaccuracy.
const adapterLoadDelay = 30 * time.Millisecond

func isOutcomeUnknown(err error) bool { return errors.Is(err, ErrUnknownOutcome) }

// EnsureAdapter makes a target serve an adapter and returns the target's ID. Concurrent
// calls for the same adapter share one load.
func (f *Foreman) EnsureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	if !f.IsHolder() {
		return "", ErrNotHolder
	}
	key := tallier.Key{Service: service, Model: model, Adapter: adapter}
	f.mu.Lock()
	load := f.adapterLoads[key]
	if load == nil {
		load = &adapterLoad{done: make(chan struct{})}
		f.adapterLoads[key] = load
		go f.loadAdapter(key, load)
	}
	f.mu.Unlock()
	select {
	case <-load.done:
		return load.target, load.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (f *Foreman) loadAdapter(key tallier.Key, load *adapterLoad) {
	load.target, load.err = f.placeAdapter(key)
	f.mu.Lock()
	delete(f.adapterLoads, key)
	f.mu.Unlock()
	close(load.done)
}

// placeAdapter loads an adapter at the best target, or at the next best if that fails.
func (f *Foreman) placeAdapter(key tallier.Key) (string, error) {
	excluded := map[string]bool{}
	var lastErr error
	for range maxAttempts {
		view := f.registry.View()
		service := view.Service(key.Service)
		if service == nil || service.Engine == nil {
			return "", ErrNoCapacity
		}
		if id := f.servingTarget(view, key); id != "" {
			return id, nil
		}
		move, ok := f.reserve(service, key, excluded)
		if !ok {
			break
		}
		target := move.Site.Target
		err := f.loadReserved(move, key)
		if err == nil {
			return target.ID, nil
		}
		lastErr = err
		excluded[target.ID] = true // a busy target too: its current order may take seconds
	}
	if lastErr == nil {
		lastErr = ErrNoCapacity
	}
	return "", lastErr
}

// preloadAdapters loads adapters into free adapter slots ahead of requests.
func (f *Foreman) preloadAdapters(view *registrar.View, service *registrar.Service, demand map[tallier.Key]tallier.Demand) {
	f.mu.Lock()
	loads := placer.PreloadAdapters(f.planState(view, service, demand))
	if len(loads) > maxAdapterPreloadsPerPlan {
		loads = loads[:maxAdapterPreloadsPerPlan]
	}
	reserved := make([]reservation, 0, len(loads))
	for _, load := range loads {
		d := f.newDecision(load.Site.Target)
		d.targetState.expectLoad(placer.AdapterKey{Model: load.Model, Adapter: load.Adapter}, f.now().Add(pendingOrderTTL))
		reserved = append(reserved, reservation{AdapterMove: placer.AdapterMove{Site: load.Site}, decision: d})
	}
	f.mu.Unlock()
	for i, load := range loads {
		key := tallier.Key{Service: service.Name, Model: load.Model, Adapter: load.Adapter}
		go func() {
			if err := f.loadReserved(reserved[i], key); err != nil {
				f.log.V(1).Info("adapter not loaded", "target", load.Site.Target.ID, "adapter", load.Adapter, "error", err.Error())
			}
		}()
	}
}

// maxAdapterPreloadsPerPlan limits the adapters that start to load ahead of requests in one
// plan, so that they do not slow down those that requests wait for.
const maxAdapterPreloadsPerPlan = 6

// reservation is the slot reserved for an adapter that is to be loaded.
type reservation struct {
	placer.AdapterMove
	decision decision
}

// reserve chooses a target for an adapter and reserves the slot there.
func (f *Foreman) reserve(service *registrar.Service, key tallier.Key, excluded map[string]bool) (reservation, bool) {
	demand := f.tally.TotalDemand()
	f.mu.Lock()
	defer f.mu.Unlock()
	// Use the latest view: an older one may lack loads that were already dropped from
	// unconfirmedLoads because the latest view shows them.
	planState := f.planState(f.registry.View(), service, demand)
	for _, targetState := range planState.Sites {
		targetState.Unavailable = targetState.Unavailable || excluded[targetState.Target.ID]
	}
	move, ok := placer.PlaceAdapter(planState, key.Model, key.Adapter)
	if !ok {
		return reservation{}, false
	}
	d := f.newDecision(move.Site.Target)
	deadline := f.now().Add(pendingOrderTTL)
	d.targetState.expectLoad(placer.AdapterKey{Model: key.Model, Adapter: key.Adapter}, deadline)
	if move.EvictedAdapter != "" {
		evicted := placer.AdapterKey{Model: move.EvictedModel, Adapter: move.EvictedAdapter}
		d.targetState.evictions++
		d.targetState.unloading[evicted] = &pendingUnload{deadline: deadline, seenInTable: isInTable(move.Site.Target, evicted)}
	}
	return reservation{AdapterMove: move, decision: d}, true
}

// loadReserved loads an adapter into its reserved slot, after evicting the adapter
// that occupies it.
func (f *Foreman) loadReserved(r reservation, key tallier.Key) error {
	adapter := placer.AdapterKey{Model: key.Model, Adapter: key.Adapter}
	if r.EvictedAdapter != "" {
		if err := f.evict(r); err != nil {
			f.releaseReservation(r.decision.targetState, adapter)
			return err
		}
	}
	load := Order{Model: key.Model, Adapter: key.Adapter}
	done, err := f.sendOrder(r.decision, load)
	if err != nil && !isOutcomeUnknown(err) {
		f.releaseReservation(r.decision.targetState, adapter)
	}
	if err != nil {
		return err
	}
	if !done {
		time.Sleep(adapterLoadDelay)
	}
	// The adapter stays in unconfirmedLoads, and its slot occupied, until the target
	// table shows it, which may take seconds.
	f.addOverlay(r.decision.target, load)
	return nil
}

// evict unloads an adapter. An adapter that a request still uses keeps its slot until
// the target table no longer shows it; the adapter that was to replace it must then be
// loaded elsewhere.
func (f *Foreman) evict(r reservation) error {
	target, s := r.decision.target, r.decision.targetState
	order := Order{Model: r.EvictedModel, Adapter: r.EvictedAdapter, IsUnload: true}
	f.addOverlay(target, order)
	inProgress, err := f.unloadAdapter(r.decision, order)
	f.mu.Lock()
	s.evictions--
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	if !inProgress {
		delete(s.unloading, h)
	}
	if err == nil {
		delete(s.unconfirmedLoads, h)
		s.unloaded[h] = f.now().Add(unloadedTTL)
	}
	f.mu.Unlock()
	if err != nil && !inProgress {
		order.IsUnload = false
		f.addOverlay(target, order) // the adapter is still loaded
	}
	return err
}

// unloadAdapter sends the order to unload an adapter, and reports whether the unload may be in
// progress if the adapter is not known to be unloaded.
func (f *Foreman) unloadAdapter(d decision, order Order) (inProgress bool, err error) {
	done, err := f.sendOrder(d, order)
	switch {
	case err != nil:
		return isOutcomeUnknown(err), err
	case !done:
		return true, errors.Wrap(ErrBusy, "adapter in use")
	}
	err = f.awaitUnload(d, order)
	return err != nil, err
}

// awaitUnload waits, after a target answered an unload as done, until it is known that the adapter
// is gone and how many orders the target has accepted. Where that is not known, the answer may have
// been about an earlier unload, which may still wait for a run. The error is ErrBusy if the target
// still reports the adapter.
func (f *Foreman) awaitUnload(d decision, order Order) error {
	if f.knowsOrders(d.targetState) {
		return nil
	}
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	for end := f.now().Add(maxStateAge); f.now().Before(end); time.Sleep(reportInterval) {
		if err := f.queryState(d); err != nil {
			return err
		}
		f.mu.Lock()
		_, mayHold := d.targetState.orders.held[h]
		f.mu.Unlock()
		if !mayHold {
			return nil
		}
	}
	return errors.Wrap(ErrBusy, "adapter still reported")
}

func (f *Foreman) knowsOrders(s *targetState) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	return s.orders.isKnown
}

// reportInterval is the time between two questions for a report that shows the latest order.
const reportInterval = 100 * time.Millisecond

// unloadedTTL is longer than the target table takes to show an unload.
const unloadedTTL = 10 * time.Second

func (f *Foreman) releaseReservation(s *targetState, h placer.AdapterKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(s.unconfirmedLoads, h)
}

// servingTarget returns the ID of a target without a limit that already serves an adapter, or
// an empty string if there is none.
func (f *Foreman) servingTarget(view *registrar.View, key tallier.Key) string {
	for _, t := range view.TargetsOf(key.Service) {
		if !f.isLeaving(t) && f.calls.Limit(t) == nil && f.balancer.Holds(t, key.Model, "") && f.balancer.Holds(t, key.Model, key.Adapter) {
			return t.ID
		}
	}
	return ""
}

func (f *Foreman) addOverlay(target *registrar.Target, order Order) {
	f.balancer.Overlay(balancer.Overlay{
		Target: target.ID, Model: order.Model, Adapter: order.Adapter, Held: !order.IsUnload, Since: f.now(),
	})
}

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

// adapterTime is how long an adapter takes until it can be used, with the error
// of timers.
const adapterTime = 30 * time.Millisecond

func isUnknown(err error) bool { return errors.Is(err, ErrUnknownOutcome) }

// EnsureAdapter makes a target serve an adapter and returns its ID. Several calls
// for one adapter wait for one load.
func (f *Foreman) EnsureAdapter(ctx context.Context, service, model, adapter string) (string, error) {
	if !f.IsHolder() {
		return "", ErrNotHolder
	}
	key := tallier.Key{Service: service, Model: model, Adapter: adapter}
	f.mu.Lock()
	a := f.asked[key]
	if a == nil {
		a = &asking{done: make(chan struct{})}
		f.asked[key] = a
		go f.loadAdapter(key, a)
	}
	f.mu.Unlock()
	select {
	case <-a.done:
		return a.target, a.err
	case <-ctx.Done():
		return "", ctx.Err()
	}
}

func (f *Foreman) loadAdapter(key tallier.Key, a *asking) {
	a.target, a.err = f.findAndLoad(key)
	f.mu.Lock()
	delete(f.asked, key)
	f.mu.Unlock()
	close(a.done)
}

// findAndLoad loads an adapter at the best target, or at the next one where that fails.
func (f *Foreman) findAndLoad(key tallier.Key) (string, error) {
	excluded := map[string]bool{}
	var last error
	for range mostTries {
		view := f.registry.View()
		service := view.Service(key.Service)
		if service == nil || service.Engine == nil {
			return "", ErrNoPlace
		}
		if id := f.servedAt(view, key); id != "" {
			return id, nil
		}
		move, ok := f.reserve(service, key, excluded)
		if !ok {
			break
		}
		target := move.Site.Target
		err := f.loadAt(move, key)
		if err == nil {
			return target.ID, nil
		}
		last = err
		excluded[target.ID] = true // also a busy one: what it has in hand may take seconds
	}
	if last == nil {
		last = ErrNoPlace
	}
	return "", last
}

// fillAdapters loads adapters into free places.
func (f *Foreman) fillAdapters(view *registrar.View, service *registrar.Service, demand map[tallier.Key]tallier.Demand) {
	f.mu.Lock()
	loads := placer.FillAdapters(f.state(view, service, demand))
	if len(loads) > mostFills {
		loads = loads[:mostFills]
	}
	reserved := make([]reservation, 0, len(loads))
	for _, load := range loads {
		d := f.decide(load.Site.Target)
		d.site.arrive(placer.AdapterKey{Model: load.Model, Adapter: load.Adapter}, f.now().Add(openLife))
		reserved = append(reserved, reservation{AdapterMove: placer.AdapterMove{Site: load.Site}, decision: d})
	}
	f.mu.Unlock()
	for i, load := range loads {
		key := tallier.Key{Service: service.Name, Model: load.Model, Adapter: load.Adapter}
		go func() {
			if err := f.loadAt(reserved[i], key); err != nil {
				f.log.V(1).Info("adapter not loaded", "target", load.Site.Target.ID, "adapter", load.Adapter, "error", err.Error())
			}
		}()
	}
}

// mostFills is the number of adapters that begin to load in a tick: few enough that
// those which requests wait for are not slowed down.
const mostFills = 6

// reservation is the place of an adapter that is to be loaded.
type reservation struct {
	placer.AdapterMove
	decision decision
}

// reserve chooses a place for an adapter and counts it as taken from now on.
func (f *Foreman) reserve(service *registrar.Service, key tallier.Key, excluded map[string]bool) (reservation, bool) {
	demand := f.tally.Total()
	f.mu.Lock()
	defer f.mu.Unlock()
	// An older view may lack what was forgotten since the latest one has told of it.
	state := f.state(f.registry.View(), service, demand)
	for _, site := range state.Sites {
		site.Resting = site.Resting || excluded[site.Target.ID]
	}
	move, ok := placer.PlaceAdapter(state, key.Model, key.Adapter)
	if !ok {
		return reservation{}, false
	}
	d := f.decide(move.Site.Target)
	until := f.now().Add(openLife)
	d.site.arrive(placer.AdapterKey{Model: key.Model, Adapter: key.Adapter}, until)
	if move.EvictedAdapter != "" {
		evicted := placer.AdapterKey{Model: move.EvictedModel, Adapter: move.EvictedAdapter}
		d.site.going[evicted] = &departure{until: until, shown: isHeld(move.Site.Target, evicted)}
	}
	return reservation{AdapterMove: move, decision: d}, true
}

// loadAt makes the place for an adapter and loads it there.
func (f *Foreman) loadAt(r reservation, key tallier.Key) error {
	h := placer.AdapterKey{Model: key.Model, Adapter: key.Adapter}
	if r.EvictedAdapter != "" {
		if err := f.evict(r); err != nil {
			f.release(r.decision.site, h)
			return err
		}
	}
	load := Order{Model: key.Model, Adapter: key.Adapter}
	done, err := f.give(r.decision, load)
	if err != nil && !isUnknown(err) {
		f.release(r.decision.site, h)
	}
	if err != nil {
		return err
	}
	if !done {
		time.Sleep(adapterTime)
	}
	// It stays among those that are coming until the target table shows it, which may
	// take seconds: its place is taken all the while.
	f.overlay(r.decision.target, load)
	return nil
}

// evict unloads an adapter. One that a request still uses keeps its place until the
// target table no longer shows it, and the adapter that was to take the place must
// go elsewhere.
func (f *Foreman) evict(r reservation) error {
	target := r.decision.target
	order := Order{Model: r.EvictedModel, Adapter: r.EvictedAdapter, IsUnload: true}
	f.overlay(target, order)
	done, err := f.give(r.decision, order)
	if err == nil && !done {
		return errors.Wrap(ErrBusy, "adapter in use")
	}
	if isUnknown(err) {
		return err
	}
	f.mu.Lock()
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	delete(r.decision.site.going, h)
	if err == nil {
		delete(r.decision.site.coming, h)
		r.decision.site.unloaded[h] = f.now().Add(unloadedLife)
	}
	f.mu.Unlock()
	if err != nil {
		order.IsUnload = false
		f.overlay(target, order) // it is still there
	}
	return err
}

// unloadedLife is longer than the target table takes to tell of an unload.
const unloadedLife = 10 * time.Second

func (f *Foreman) release(s *site, h placer.AdapterKey) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(s.coming, h)
}

// servedAt returns a target that serves an adapter already; empty if there is none.
func (f *Foreman) servedAt(view *registrar.View, key tallier.Key) string {
	for _, t := range view.TargetsOf(key.Service) {
		if !t.Leaving && f.balancer.Holds(t, key.Model, "") && f.balancer.Holds(t, key.Model, key.Adapter) {
			return t.ID
		}
	}
	return ""
}

func (f *Foreman) overlay(target *registrar.Target, order Order) {
	f.balancer.Overlay(balancer.Overlay{
		Target: target.ID, Model: order.Model, Adapter: order.Adapter, Held: !order.IsUnload, Since: f.now(),
	})
}

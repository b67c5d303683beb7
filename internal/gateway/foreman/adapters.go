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

func (f *Foreman) findAndLoad(key tallier.Key) (string, error) {
	view := f.registry.View()
	service := view.Service(key.Service)
	if service == nil || service.Engine == nil {
		return "", ErrNoPlace
	}
	if id := f.servedAt(view, key); id != "" {
		return id, nil
	}
	move, ok := placer.PlaceAdapter(f.state(view, service), key.Model, key.Adapter)
	if !ok {
		return "", ErrNoPlace
	}
	target := move.Site.Target
	if move.EvictedAdapter != "" {
		evicted := Order{Model: move.EvictedModel, Adapter: move.EvictedAdapter, IsUnload: true}
		f.overlay(target, evicted)
		if err := f.give(target, evicted); err != nil {
			return "", err
		}
	}
	load := Order{Model: key.Model, Adapter: key.Adapter}
	if err := f.give(target, load); err != nil {
		return "", err
	}
	time.Sleep(adapterTime)
	f.overlay(target, load)
	return target.ID, nil
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

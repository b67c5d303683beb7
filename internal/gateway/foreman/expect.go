package foreman

import (
	"context"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// wantedLife is how long a model counts as asked for after a request for it has
	// found no target; until then the news of instances tell of it.
	wantedLife = 2 * time.Second
	// wantedRate is the rate that it counts for at least, in requests a second: that of
	// a single request.
	wantedRate = 0.4
	// overdueShare is the part of the time by which a load is late already that it is
	// expected to take on.
	overdueShare = 4
	// tableTime is how long instances take to learn that a load is done.
	tableTime = 300 * time.Millisecond
)

// ExpectModel returns in how long a target will serve a model that none serves, and
// plans at once if there is no such target yet. The error is ErrNotHolder, ErrNoPlace
// or that of the context.
func (f *Foreman) ExpectModel(ctx context.Context, service, model string) (time.Duration, error) {
	if !f.IsHolder() {
		return 0, ErrNotHolder
	}
	key := tallier.Key{Service: service, Model: model}
	// The plan that is being made may have begun before the model was wanted.
	for range 2 {
		f.mu.Lock()
		f.wanted[key] = f.now().Add(wantedLife)
		planned := f.planned
		expected, ok := f.expected(key)
		f.mu.Unlock()
		if ok {
			return expected, nil
		}
		select {
		case f.urgent <- struct{}{}:
		default: // a plan is asked for already
		}
		select {
		case <-planned:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if expected, ok := f.expected(key); ok {
		return expected, nil
	}
	return 0, ErrNoPlace
}

// expected returns in how long the first target is expected to serve a model; false if
// none is to load it. It is called with the lock held.
func (f *Foreman) expected(key tallier.Key) (time.Duration, bool) {
	var first time.Time
	for _, t := range f.registry.View().TargetsOf(key.Service) {
		s := f.sites[t.ID]
		if s == nil || s.open == nil || t.Leaving {
			continue
		}
		isLoad := !s.open.order.IsUnload && s.open.order.Model == key.Model
		if (isLoad || s.next == key.Model) && (first.IsZero() || s.open.serves.Before(first)) {
			first = s.open.serves
		}
	}
	if first.IsZero() {
		return 0, false
	}
	left := first.Sub(f.now())
	if left < 0 {
		left = -left / overdueShare
	}
	return left + tableTime, true
}

// addWanted counts the models that requests wait for. It is called with the lock held.
func (f *Foreman) addWanted(state *placer.State) {
	now := f.now()
	for key, until := range f.wanted {
		if now.After(until) {
			delete(f.wanted, key)
			continue
		}
		d := state.Demand[key]
		d.Rate = max(d.Rate, wantedRate)
		state.Demand[key] = d
	}
}

// tellPlanned wakes those who wait for a plan.
func (f *Foreman) tellPlanned() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.planned)
	f.planned = make(chan struct{})
}

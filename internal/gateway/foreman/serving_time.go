package foreman

import (
	"context"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// requestedModelTTL is how long a model counts as requested after a request for
	// it found no target; by then the demand that instances report includes it.
	requestedModelTTL = 2 * time.Second
	// minRequestedRate is the minimum demand assumed for such a model, in requests per
	// second: that of a single request.
	minRequestedRate = 0.4
	// overdueDivisor relates the expected remaining time of an overdue load to the
	// time by which it is overdue: a quarter of that.
	overdueDivisor = 4
	// tablePropagationDelay is how long the other instances take to receive the end of a
	// load through the target table.
	tablePropagationDelay = 300 * time.Millisecond
)

// TimeUntilServed returns the time until a target serves a model that none serves now. If
// no target is loading it yet, TimeUntilServed triggers a plan and waits for it. The error is
// ErrNotHolder, ErrNoCapacity or that of the context.
func (f *Foreman) TimeUntilServed(ctx context.Context, service, model string) (time.Duration, error) {
	if !f.IsHolder() {
		return 0, ErrNotHolder
	}
	key := tallier.Key{Service: service, Model: model}
	// A plan in progress may have started before the model was recorded as requested.
	for range 2 {
		f.mu.Lock()
		f.requestedModels[key] = f.now().Add(requestedModelTTL)
		planDone := f.planDone
		servedIn, ok := f.servedIn(key)
		f.mu.Unlock()
		if ok {
			return servedIn, nil
		}
		select {
		case f.planNow <- struct{}{}:
		default: // a plan is already triggered
		}
		select {
		case <-planDone:
		case <-ctx.Done():
			return 0, ctx.Err()
		}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	if servedIn, ok := f.servedIn(key); ok {
		return servedIn, nil
	}
	return 0, ErrNoCapacity
}

// servedIn returns the time until the first target is expected to serve a model,
// or false if none is going to load it. The caller holds f.mu.
func (f *Foreman) servedIn(key tallier.Key) (time.Duration, bool) {
	var first time.Time
	for _, t := range f.registry.View().TargetsOf(key.Service) {
		s := f.targets[t.ID]
		if s == nil || s.pending == nil || f.isLeaving(t) {
			continue
		}
		isLoad := !s.pending.order.IsUnload && s.pending.order.Model == key.Model
		if (isLoad || s.nextModel == key.Model) && (first.IsZero() || s.pending.servesAt.Before(first)) {
			first = s.pending.servesAt
		}
	}
	if first.IsZero() {
		return 0, false
	}
	left := first.Sub(f.now())
	if left < 0 {
		left = -left / overdueDivisor
	}
	return left + tablePropagationDelay, true
}

// addRequestedModels adds the models that requests wait for to the demand of a plan. The
// caller holds f.mu.
func (f *Foreman) addRequestedModels(state *placer.State) {
	now := f.now()
	for key, deadline := range f.requestedModels {
		if now.After(deadline) {
			delete(f.requestedModels, key)
			continue
		}
		d := state.Demand[key]
		d.Rate = max(d.Rate, minRequestedRate)
		state.Demand[key] = d
	}
}

// notifyPlanDone wakes the goroutines that wait for a plan.
func (f *Foreman) notifyPlanDone() {
	f.mu.Lock()
	defer f.mu.Unlock()
	close(f.planDone)
	f.planDone = make(chan struct{})
}

package foreman

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// planInterval is the time between two plans.
	planInterval = 200 * time.Millisecond
	// maxAttempts limits how often one order is sent, and at how many targets the
	// load of one adapter is tried.
	maxAttempts = 3
	// pendingOrderTTL is longer than an order with an unknown outcome can be in transit.
	pendingOrderTTL = 14 * time.Second
	// acceptedOrderTTL is longer than a target takes to carry out an accepted order
	// and the target table takes to show the effect.
	acceptedOrderTTL = time.Minute
)

// assumePreviousLoads counts, for a new holder, all loads that the previous holder
// may have started before its right ended. The caller holds f.mu.
func (f *Foreman) assumePreviousLoads(view *registrar.View) {
	maxLoads := 0
	for _, service := range view.Manifest.Services {
		if service.Engine != nil {
			maxLoads = max(maxLoads, f.loadsPerWindow(service.Engine))
		}
	}
	f.recentLoads = nil
	for range maxLoads {
		f.recentLoads = append(f.recentLoads, f.now().Add(-f.bounds.Handover))
	}
}

// Tick makes a plan and sends the orders that are due.
func (f *Foreman) Tick() {
	if !f.IsHolder() {
		return
	}
	defer f.notifyPlanDone()
	view := f.registry.View()
	if view.Manifest == nil {
		return
	}
	f.reconcile(view)
	f.beginTerm(view)
	demand := f.tally.TotalDemand()
	f.mu.Lock()
	f.idleDetector.Observe(f.now(), demand)
	f.mu.Unlock()
	for _, service := range view.Manifest.Services {
		if service.Engine == nil {
			continue
		}
		f.mu.Lock()
		moves := placer.Plan(f.planState(view, service, demand))
		moves = append(moves, f.loadsAfterUnload(view, service)...)
		started := make([]startedMove, 0, len(moves))
		for _, move := range moves {
			started = append(started, f.startMove(move))
		}
		f.mu.Unlock()
		for _, s := range started {
			f.sendMove(s)
		}
		f.preloadAdapters(view, service, demand)
	}
}

// beginTerm resets the state that depends on the term if a new one has begun.
func (f *Foreman) beginTerm(view *registrar.View) {
	grant, ok := f.grant()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok || grant.Fence == f.term {
		return
	}
	f.term = grant.Fence
	if grant.Fence > 1 {
		f.assumePreviousLoads(view)
	}
	for _, s := range f.targets {
		s.beginTerm()
	}
}

// reconcile removes targets that are no longer in the table, and recorded orders whose
// effect the table shows or whose deadline has passed.
func (f *Foreman) reconcile(view *registrar.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for id, s := range f.targets {
		t := view.Targets[id]
		if t == nil {
			delete(f.targets, id)
			continue
		}
		s.reconcile(t, now)
	}
}

// loadsAfterUnload returns the loads whose memory a preceding unload has freed. The
// caller holds f.mu.
func (f *Foreman) loadsAfterUnload(view *registrar.View, service *registrar.Service) []placer.Move {
	moves := []placer.Move{}
	for _, t := range view.TargetsOf(service.Name) {
		s := f.targetState(t)
		if s.nextModel == "" || s.pending != nil {
			continue
		}
		if placer.UsedMegabytes(service.Engine, f.worstCaseState(t, nil)) > service.Engine.WeightMegabytes {
			s.nextModel = "" // something else occupies the memory
			continue
		}
		if !f.isLeaving(t) && (f.loadsAvailable(service.Engine) > len(moves) || t.HasCachedWeights(s.nextModel)) {
			moves = append(moves, placer.Move{
				Target: t, Model: s.nextModel, Reason: "room has been freed", Seconds: placer.LoadSeconds(service.Engine, t, s.nextModel),
			})
			s.nextModel = ""
		}
	}
	return moves
}

// planState returns the input for the plan of a service, and adds the models that
// requests wait for to the demand. The caller holds f.mu.
func (f *Foreman) planState(view *registrar.View, service *registrar.Service, demand map[tallier.Key]tallier.Demand) placer.State {
	models := make([]string, 0, len(service.Engine.Models))
	for name := range service.Engine.Models {
		models = append(models, name)
	}
	planState := placer.State{
		Service: service, Demand: demand, StoreLoadsAllowed: f.loadsAvailable(service.Engine), Idle: f.idleDetector.Idle(service.Name, models),
	}
	overlays := map[string][]balancer.Overlay{}
	for _, o := range f.balancer.Overlays() {
		overlays[o.Target] = append(overlays[o.Target], o)
	}
	f.addRequestedModels(&planState)
	for _, t := range view.TargetsOf(service.Name) {
		if !f.isLeaving(t) {
			planState.Sites = append(planState.Sites, f.worstCaseState(t, overlays[t.ID]))
		}
	}
	return planState
}

// loadsAvailable returns how many loads from the weight store may start now. The
// caller holds f.mu.
func (f *Foreman) loadsAvailable(engine *registrar.Engine) int {
	since := f.now().Add(-f.bounds.Window)
	for len(f.recentLoads) > 0 && f.recentLoads[0].Before(since) {
		f.recentLoads = f.recentLoads[1:]
	}
	return f.loadsPerWindow(engine) - len(f.recentLoads)
}

// loadsPerWindow returns how many loads from the weight store may start in one window.
// Whatever the deployment tolerates beyond the store's rate stays in reserve for orders
// that arrive late and so fall into the same window as later ones.
func (f *Foreman) loadsPerWindow(engine *registrar.Engine) int {
	return int(engine.LoadsPerSecond * f.bounds.Window.Seconds())
}

// startedMove is a move that is recorded as pending and whose order is yet to be sent.
type startedMove struct {
	move     placer.Move
	decision decision
	pending  *pendingOrder
}

// startMove records the order of a move as pending, so that no other decision relies on
// the target's current state meanwhile. The caller holds f.mu.
func (f *Foreman) startMove(move placer.Move) startedMove {
	d := f.newDecision(move.Target)
	now := f.now()
	pending := &pendingOrder{
		order: Order{Model: move.Model, IsUnload: move.Unload}, deadline: now.Add(pendingOrderTTL),
		servesAt:    now.Add(time.Duration(move.Seconds * float64(time.Second))),
		seenInTable: isInTable(move.Target, placer.AdapterKey{Model: move.Model}),
	}
	d.targetState.pending = pending
	if move.Unload {
		d.targetState.nextModel = move.NextModel
	} else if !move.Target.HasCachedWeights(move.Model) {
		f.recentLoads = append(f.recentLoads, now)
	}
	return startedMove{move: move, decision: d, pending: pending}
}

// sendMove sends the order of a move in the background, without waiting for its effect.
func (f *Foreman) sendMove(started startedMove) {
	move := started.move
	f.log.Info("placement", "target", move.Target.ID, "model", move.Model, "unload", move.Unload, "for", move.NextModel, "reason", move.Reason,
		"hasWeights", move.Target.HasCachedWeights(move.Model))
	if move.Unload {
		f.addOverlay(move.Target, Order{Model: move.Model, IsUnload: true})
	}
	go f.executeMove(move, started.decision, started.pending)
}

func (f *Foreman) executeMove(move placer.Move, d decision, pending *pendingOrder) {
	s := d.targetState
	_, err := f.sendOrder(d, Order{Model: move.Model, IsUnload: move.Unload})
	if err == nil || isOutcomeUnknown(err) {
		return
	}
	f.mu.Lock()
	if s.pending == pending {
		s.pending = nil
		s.nextModel = ""
	}
	f.mu.Unlock()
	if move.Unload {
		f.addOverlay(move.Target, Order{Model: move.Model}) // the model is still loaded
	}
}

package foreman

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// tick is the time between two plans.
	tick = 200 * time.Millisecond
	// mostTries bounds how often one order is sent.
	mostTries = 3
	// openLife is longer than an order whose fate is not known may be on its way.
	openLife = 14 * time.Second
	// acceptedLife is longer than a target takes for an order that it has accepted,
	// and than the target table may take to tell of it.
	acceptedLife = time.Minute
)

// assumeLoads counts, for a new holder, all loads that the one before it may have
// begun until its right ended. It is called with the lock held.
func (f *Foreman) assumeLoads(view *registrar.View) {
	most := 0
	for _, service := range view.Manifest.Services {
		if service.Engine != nil {
			most = max(most, f.loadsOfWindow(service.Engine))
		}
	}
	f.loads = nil
	for range most {
		f.loads = append(f.loads, f.now().Add(-f.bounds.Handover))
	}
}

// Tick plans and gives the orders that the plan wants now.
func (f *Foreman) Tick() {
	if !f.IsHolder() {
		return
	}
	defer f.tellPlanned()
	view := f.registry.View()
	if view.Manifest == nil {
		return
	}
	f.settle(view)
	f.beginTerm(view)
	demand := f.tally.Total()
	f.mu.Lock()
	f.watch.Observe(f.now(), demand)
	f.mu.Unlock()
	for _, service := range view.Manifest.Services {
		if service.Engine == nil {
			continue
		}
		f.mu.Lock()
		moves := placer.Plan(f.state(view, service, demand))
		moves = append(moves, f.nextLoads(view, service)...)
		begun := make([]opened, 0, len(moves))
		for _, move := range moves {
			begun = append(begun, f.begin(move))
		}
		f.mu.Unlock()
		for _, o := range begun {
			f.giveMove(o)
		}
		f.fillAdapters(view, service, demand)
	}
}

// beginTerm takes note of a new right to give orders.
func (f *Foreman) beginTerm(view *registrar.View) {
	grant, ok := f.grant()
	f.mu.Lock()
	defer f.mu.Unlock()
	if !ok || grant.Fence == f.term {
		return
	}
	f.term = grant.Fence
	if grant.Fence > 1 {
		f.assumeLoads(view)
	}
	for _, s := range f.sites {
		s.beginTerm()
	}
}

// settle forgets targets that are gone and open orders whose effect shows.
func (f *Foreman) settle(view *registrar.View) {
	f.mu.Lock()
	defer f.mu.Unlock()
	now := f.now()
	for id, s := range f.sites {
		t := view.Targets[id]
		if t == nil {
			delete(f.sites, id)
			continue
		}
		s.settle(t, now)
	}
}

// nextLoads returns the loads for which the room is made. It is called with the
// lock held.
func (f *Foreman) nextLoads(view *registrar.View, service *registrar.Service) []placer.Move {
	moves := []placer.Move{}
	for _, t := range view.TargetsOf(service.Name) {
		s := f.site(t)
		if s.next == "" || s.open != nil {
			continue
		}
		if placer.Used(service.Engine, f.siteState(t, nil)) > service.Engine.WeightMegabytes {
			s.next = "" // something else has taken the room
			continue
		}
		if !t.Leaving && (f.loadsLeft(service.Engine) > len(moves) || t.HasAtHand(s.next)) {
			moves = append(moves, placer.Move{
				Target: t, Model: s.next, Reason: "room is made", Seconds: placer.LoadSeconds(service.Engine, t, s.next),
			})
			s.next = ""
		}
	}
	return moves
}

// state returns what a plan for a service is made from, and adds what requests wait for
// to the demand. It is called with the lock held.
func (f *Foreman) state(view *registrar.View, service *registrar.Service, demand map[tallier.Key]tallier.Demand) placer.State {
	models := make([]string, 0, len(service.Engine.Models))
	for name := range service.Engine.Models {
		models = append(models, name)
	}
	state := placer.State{
		Service: service, Demand: demand, Loads: f.loadsLeft(service.Engine), Idle: f.watch.Idle(service.Name, models),
	}
	overlays := map[string][]balancer.Overlay{}
	for _, o := range f.balancer.Overlays() {
		overlays[o.Target] = append(overlays[o.Target], o)
	}
	f.addWanted(&state)
	for _, t := range view.TargetsOf(service.Name) {
		if !t.Leaving {
			state.Sites = append(state.Sites, f.siteState(t, overlays[t.ID]))
		}
	}
	return state
}

// loadsLeft returns how many loads may begin now. It is called with the lock held.
func (f *Foreman) loadsLeft(engine *registrar.Engine) int {
	since := f.now().Add(-f.bounds.Window)
	for len(f.loads) > 0 && f.loads[0].Before(since) {
		f.loads = f.loads[1:]
	}
	return f.loadsOfWindow(engine) - len(f.loads)
}

// loadsOfWindow returns how many loads from the weight store may begin in a window.
// What the deployment tolerates beyond the store's rate is left for orders that
// arrive late and so fall into one window with later ones.
func (f *Foreman) loadsOfWindow(engine *registrar.Engine) int {
	return int(engine.LoadsPerSecond * f.bounds.Window.Seconds())
}

// opened is a move whose order is about to be given.
type opened struct {
	move     placer.Move
	decision decision
	open     *openOrder
}

// begin marks the order of a move as open, so that nothing else is decided that counts
// on the target meanwhile. It is called with the lock held.
func (f *Foreman) begin(move placer.Move) opened {
	d := f.decide(move.Target)
	now := f.now()
	open := &openOrder{
		order: Order{Model: move.Model, IsUnload: move.Unload}, until: now.Add(openLife),
		serves: now.Add(time.Duration(move.Seconds * float64(time.Second))),
		shown:  isHeld(move.Target, placer.AdapterKey{Model: move.Model}),
	}
	d.site.open = open
	if move.Unload {
		d.site.next = move.For
	} else if !move.Target.HasAtHand(move.Model) {
		f.loads = append(f.loads, now)
	}
	return opened{move: move, decision: d, open: open}
}

// giveMove gives the order of a move and does not wait for its effect.
func (f *Foreman) giveMove(o opened) {
	move := o.move
	f.log.Info("placement", "target", move.Target.ID, "model", move.Model, "unload", move.Unload, "for", move.For, "reason", move.Reason,
		"hasWeights", move.Target.HasAtHand(move.Model))
	if move.Unload {
		f.overlay(move.Target, Order{Model: move.Model, IsUnload: true})
	}
	go f.carryOut(move, o.decision, o.open)
}

func (f *Foreman) carryOut(move placer.Move, d decision, open *openOrder) {
	s := d.site
	_, err := f.give(d, Order{Model: move.Model, IsUnload: move.Unload})
	if err == nil || isUnknown(err) {
		return
	}
	f.mu.Lock()
	if s.open == open {
		s.open = nil
		s.next = ""
	}
	f.mu.Unlock()
	if move.Unload {
		f.overlay(move.Target, Order{Model: move.Model}) // it is still there
	}
}

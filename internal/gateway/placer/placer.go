// Package placer decides which model and adapter belongs on which target. It
// answers demand that moves from model to model, the loss of targets, and rare
// models that are asked for at once; it does no input or output.
//
// A plan unloads the last copy of a model only if nobody asks for it and the one that
// needs the room has full copies only, or for a model without a copy that is asked for
// far more. It never fills a target beyond its memory, counting what its open orders may
// still do, and stays within the rate and the number of loads from the weight store.
package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// hotFactor is how many times the mean load of a target the load of one copy
	// must be for another copy to be made.
	hotFactor = 0.75
	// coldFactor is the share of the load of the copy that is made up to which the
	// copies left of the model that makes room may be loaded.
	coldFactor = 0.6
	// pageFactor is how many times more a model without a copy must be asked for than
	// one whose last copy makes room for it, and pageRate how often at least, in
	// requests a second.
	pageFactor = 4
	pageRate   = 0.1
	// fullShare is the share of its slots from which a target counts as full.
	fullShare = 0.85
	// leastRate is the demand, in requests a second, below which the copies that there
	// are will do: a target runs a few requests at once, and a few say little.
	leastRate = 1.2
	// idleBase is the load that every copy counts for, so that copies spread.
	idleBase = 1e-3
	// evictionCost weighs an unload against a target that has less to do, and
	// storeCost a load from the weight store.
	evictionCost = 0.2
	storeCost    = 0.2
	// waitCost weighs a second until a copy serves against a target that has less to
	// do: two copies of which one comes six seconds sooner are worth as much if that
	// one's target has the mean load more.
	waitCost = 0.15
	// crowdCost is what a load from the weight store costs at a target for each other
	// missing model that this target could load sooner.
	crowdCost = 0.1
	// runSeconds is about how long a run lasts, and longestDrain how long an unload
	// waits for the runs of its model.
	runSeconds   = 2.0
	longestDrain = 3.0
)

// Site is a target as the plan sees it.
type Site struct {
	Target *registrar.Target
	// Models holds the models that it serves, those of open loads included.
	Models map[string]bool
	// Adapters holds the adapters of each model that it serves or may come to serve.
	Adapters map[string][]string
	// Moving holds the adapters that are being loaded or unloaded, or may be; they
	// take a place and cannot make one.
	Moving map[AdapterKey]bool
	// Busy tells that an order about a model is open, or that the target rests.
	Busy bool
	// Resting tells that the target gets no orders for a while.
	Resting bool
	// Closing is the model that is being unloaded; empty if there is none.
	Closing string
	// InFlight is the number of requests that it has, of all instances.
	InFlight int
}

// AdapterKey names an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// State is what a plan is made from.
type State struct {
	Service *registrar.Service
	Sites   []*Site
	Demand  map[tallier.Key]tallier.Demand
	// Idle holds the models that nobody asks for. Their last copy may go.
	Idle map[string]bool
	// Loads is how many loads from the weight store may begin now.
	Loads int
}

// Move is an order to a target.
type Move struct {
	Target *registrar.Target
	Model  string
	// Unload makes room for another model, else the model is loaded.
	Unload bool
	// For is the model that is to be loaded once the unload is done.
	For    string
	Reason string
	// Seconds is how long it takes until the model that is loaded serves.
	Seconds float64
}

// plan is a State with its sums.
type plan struct {
	State
	copies map[string]int
	load   map[string]float64 // of each target ID
	// mean is the mean load of a target.
	mean float64
	// missing are the models without a copy.
	missing map[string]bool
	moves   []Move
}

// Plan returns the moves that are worth making now, at most one for each target.
func Plan(state State) []Move {
	if state.Service.Engine == nil {
		return nil
	}
	p := &plan{State: state, copies: map[string]int{}, load: map[string]float64{}}
	for _, site := range state.Sites {
		for model := range site.Models {
			p.copies[model]++
		}
	}
	for _, site := range state.Sites {
		p.load[site.Target.ID] = p.loadOf(site)
		p.mean += p.load[site.Target.ID] / float64(len(state.Sites))
	}
	missing := p.findMissing()
	for _, model := range missing {
		p.add(model, "no copy")
	}
	p.relieve()
	return p.moves
}

// work returns the tokens a second that are asked of a model.
func (p *plan) work(model string) float64 {
	return p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Work + idleBase
}

// rate returns the requests a second for a model.
func (p *plan) rate(model string) float64 {
	return p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Rate
}

func (p *plan) loadOf(site *Site) float64 {
	sum := 0.0
	for model := range site.Models {
		sum += p.work(model) / float64(max(p.copies[model], 1))
	}
	return sum
}

// findMissing returns the models without a copy, the most wanted first.
func (p *plan) findMissing() []string {
	out := []string{}
	p.missing = map[string]bool{}
	for model := range p.Service.Engine.Models {
		if p.copies[model] == 0 {
			out = append(out, model)
			p.missing[model] = true
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.work(b), p.work(a)), cmp.Compare(a, b))
	})
	return out
}

// relieve makes another copy of the models whose copies have most to do.
func (p *plan) relieve() {
	for _, model := range p.hottest() {
		if p.rate(model) < leastRate || p.work(model)/float64(p.copies[model]) < hotFactor*p.mean {
			return
		}
		p.add(model, "copies have most to do")
	}
}

func (p *plan) hottest() []string {
	out := []string{}
	for model, n := range p.copies {
		if _, ok := p.Service.Engine.Models[model]; ok && n > 0 {
			out = append(out, model)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(
			cmp.Compare(p.work(b)/float64(p.copies[b]), p.work(a)/float64(p.copies[a])), cmp.Compare(a, b))
	})
	return out
}

// add plans one more copy of a model: a load where there is room, or else the
// unload that makes room for it.
func (p *plan) add(model, reason string) {
	best, evicted := p.bestSite(model)
	if best == nil {
		return
	}
	if !best.Target.HasAtHand(model) {
		p.Loads--
	}
	if evicted != "" {
		p.moves = append(p.moves, Move{
			Target: best.Target, Model: evicted, Unload: true, For: model, Reason: reason,
			Seconds: p.drainSeconds(evicted) + LoadSeconds(p.Service.Engine, best.Target, model),
		})
		p.copies[evicted]--
		p.copies[model]++
	} else {
		p.moves = append(p.moves, Move{
			Target: best.Target, Model: model, Reason: reason, Seconds: LoadSeconds(p.Service.Engine, best.Target, model),
		})
		p.copies[model]++
		best.Models[model] = true
	}
	best.Busy = true
}

// bestSite returns the target with least to do that can take a model, and what
// must be unloaded there first; nil if there is none.
func (p *plan) bestSite(model string) (best *Site, evicted string) {
	bestCost := 0.0
	isFull := p.isFull(model)
	for _, site := range p.Sites {
		if site.Busy || site.Target.Leaving || site.Models[model] {
			continue
		}
		if p.Loads <= 0 && !site.Target.HasAtHand(model) {
			continue
		}
		victim, fits := p.makeRoom(site, model, isFull)
		if !fits {
			continue
		}
		cost := p.siteCost(site, model, victim)
		if best == nil || cost < bestCost {
			best, evicted, bestCost = site, victim, cost
		}
	}
	return best, evicted
}

// siteCost weighs a target for another copy of a model: the load that it has and that
// the copies left of a victim would get, in mean loads of a target, and the time until
// the copy serves.
func (p *plan) siteCost(site *Site, model, victim string) float64 {
	mean := max(p.mean, idleBase)
	cost := p.load[site.Target.ID]/mean + waitCost*LoadSeconds(p.Service.Engine, site.Target, model)
	if victim != "" {
		copies := float64(p.copies[victim])
		cost += evictionCost + waitCost*p.drainSeconds(victim)
		cost += p.work(victim) / max(copies-1, 1) / mean / copies
	}
	if !site.Target.HasAtHand(model) {
		cost += storeCost + crowdCost*float64(p.quicker(site, model))
	}
	return cost
}

// LoadSeconds returns how long a target takes to load a model; 0 for a model that the
// engine does not declare.
func LoadSeconds(engine *registrar.Engine, target *registrar.Target, model string) float64 {
	m := engine.Models[model]
	switch {
	case slices.Contains(target.InMemory, model):
		return m.HostSeconds
	case slices.Contains(target.OnDisk, model):
		return m.DiskSeconds
	default:
		return m.LoadSeconds
	}
}

// drainSeconds returns how long the unload of a copy is likely to wait for its runs.
func (p *plan) drainSeconds(model string) float64 {
	runs := p.rate(model) / float64(max(p.copies[model], 1)) * runSeconds
	return longestDrain * (1 - math.Exp(-runs))
}

// quicker returns how many other missing models a target has at hand.
func (p *plan) quicker(site *Site, model string) int {
	n := 0
	for _, names := range [][]string{site.Target.InMemory, site.Target.OnDisk} {
		for _, name := range names {
			if name != model && p.missing[name] {
				n++
			}
		}
	}
	return n
}

// makeRoom returns the model that must go for another to fit, empty if it fits as
// it is; false if no single model can make room. A model that nobody asks for makes
// none go: where copies are is all that tells of demand before there are requests.
// isFull tells that the copies of the model are.
func (p *plan) makeRoom(site *Site, model string, isFull bool) (victim string, fits bool) {
	engine := p.Service.Engine
	need := engine.Models[model].Megabytes
	free := engine.WeightMegabytes - Used(engine, site)
	if need <= free {
		return "", true
	}
	if p.rate(model) < pageRate {
		return "", false
	}
	least := 0.0
	for held := range site.Models {
		if free+sizeOf(engine, site, held) < need || !p.mayGo(held, model, isFull) {
			continue
		}
		loaded := p.work(held) / float64(max(p.copies[held]-1, 1))
		if victim == "" || loaded < least || (loaded == least && held < victim) {
			victim, least = held, loaded
		}
	}
	return victim, victim != ""
}

// mayGo reports whether a copy of a model may be unloaded for another model, of which
// the copies are full or not.
func (p *plan) mayGo(held, model string, isFull bool) bool {
	if p.copies[held] < 2 {
		return (p.Idle[held] && isFull) || p.mayPage(held, model)
	}
	gain := p.work(model) / float64(p.copies[model]+1)
	return p.copies[model] == 0 || p.work(held)/float64(p.copies[held]-1) <= coldFactor*gain
}

// mayPage reports whether the last copy of a model may go for a model without a copy,
// where not all of them fit.
func (p *plan) mayPage(held, model string) bool {
	return p.copies[model] == 0 && p.rate(model) >= pageRate && pageFactor*p.rate(held) <= p.rate(model)
}

// isFull reports whether every target that holds a model has about as much as it can
// take; true for a model without a copy.
func (p *plan) isFull(model string) bool {
	for _, site := range p.Sites {
		if site.Models[model] && float64(site.InFlight) < fullShare*float64(site.Target.Slots) {
			return false
		}
	}
	return true
}

// Used returns the megabytes of weights and adapters that a target holds or may
// come to hold.
func Used(engine *registrar.Engine, site *Site) float64 {
	sum := 0.0
	for model := range site.Models {
		sum += sizeOf(engine, site, model)
	}
	return sum
}

func sizeOf(engine *registrar.Engine, site *Site, model string) float64 {
	m := engine.Models[model]
	return m.Megabytes + float64(len(site.Adapters[model]))*m.AdapterMegabytes
}

// Package placer decides which model and adapter belongs on which target. It
// answers demand that moves from model to model, the loss of targets, and rare
// models that are asked for at once; it does no input or output.
//
// A plan never unloads the last copy of a model, never fills a target beyond its
// memory, counting what its open orders may still do, and stays within the rate
// and the number of loads from the weight store.
package placer

import (
	"cmp"
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
	// leastRate is the demand, in requests a second, below which one copy will do.
	leastRate = 0.5
	// idleBase is the load that every copy counts for, so that copies spread.
	idleBase = 1e-3
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
	// Busy tells that an order is open.
	Busy bool
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
}

// plan is a State with its sums.
type plan struct {
	State
	copies map[string]int
	load   map[string]float64 // of each target ID
	moves  []Move
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
	}
	for _, model := range p.missing() {
		p.add(model, "no copy")
	}
	p.relieve()
	return p.moves
}

// work returns the tokens a second that are asked of a model.
func (p *plan) work(model string) float64 {
	return p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Work + idleBase
}

func (p *plan) loadOf(site *Site) float64 {
	sum := 0.0
	for model := range site.Models {
		sum += p.work(model) / float64(max(p.copies[model], 1))
	}
	return sum
}

// missing returns the models without a copy, the most wanted first.
func (p *plan) missing() []string {
	out := []string{}
	for model := range p.Service.Engine.Models {
		if p.copies[model] == 0 {
			out = append(out, model)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.work(b), p.work(a)), cmp.Compare(a, b))
	})
	return out
}

// relieve makes another copy of the models whose copies have most to do.
func (p *plan) relieve() {
	if len(p.Sites) == 0 {
		return
	}
	total := 0.0
	for _, load := range p.load {
		total += load
	}
	mean := total / float64(len(p.Sites))
	for _, model := range p.hottest() {
		rate := p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Rate
		if rate < leastRate || p.work(model)/float64(p.copies[model]) < hotFactor*mean {
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
		p.moves = append(p.moves, Move{Target: best.Target, Model: evicted, Unload: true, For: model, Reason: reason})
		p.copies[evicted]--
		p.copies[model]++
	} else {
		p.moves = append(p.moves, Move{Target: best.Target, Model: model, Reason: reason})
		p.copies[model]++
		best.Models[model] = true
	}
	best.Busy = true
}

// bestSite returns the target with least to do that can take a model, and what
// must be unloaded there first; nil if there is none.
func (p *plan) bestSite(model string) (best *Site, evicted string) {
	bestCost := 0.0
	for _, site := range p.Sites {
		if site.Busy || site.Target.Leaving || site.Models[model] {
			continue
		}
		if p.Loads <= 0 && !site.Target.HasAtHand(model) {
			continue
		}
		victim, fits := p.makeRoom(site, model)
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

// evictionCost weighs an unload against a target that has less to do.
const evictionCost = 0.2

// siteCost is the share of the load of all targets that a target has, plus what
// an unload costs, less what a copy of the weights close by saves.
func (p *plan) siteCost(site *Site, model, victim string) float64 {
	total := 1e-9
	for _, load := range p.load {
		total += load
	}
	cost := p.load[site.Target.ID] / total * float64(len(p.Sites))
	if victim != "" {
		cost += evictionCost
	}
	if site.Target.HasAtHand(model) {
		cost -= evictionCost
	}
	return cost
}

// makeRoom returns the model that must go for another to fit, empty if it fits as
// it is; false if no single model can make room.
func (p *plan) makeRoom(site *Site, model string) (victim string, fits bool) {
	engine := p.Service.Engine
	need := engine.Models[model].Megabytes
	free := engine.WeightMegabytes - Used(engine, site)
	if need <= free {
		return "", true
	}
	gain := p.work(model) / float64(p.copies[model]+1)
	least := 0.0
	for held := range site.Models {
		rest := p.copies[held] - 1
		if rest < 1 || free+sizeOf(engine, site, held) < need {
			continue
		}
		loaded := p.work(held) / float64(rest)
		if loaded > coldFactor*gain && p.copies[model] > 0 {
			continue
		}
		if victim == "" || loaded < least {
			victim, least = held, loaded
		}
	}
	return victim, victim != ""
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

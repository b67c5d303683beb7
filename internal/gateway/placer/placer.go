// Package placer decides which model and adapter belongs on which target. It
// answers demand that moves from model to model, the loss of targets, and rare
// models that are asked for at once; it does no input or output.
//
// A copy is worth the runs that would find no slot without it, by the chance of that: so
// a move is made only if what it gives one model is more than what it takes from another
// one and what the move costs. The last copy of a model goes only if nobody asks for it
// and the copies of the one that needs the room are full, or for a model without a copy
// that is asked for far more. A plan never fills a target beyond its memory, counting what
// its open orders may still do, and stays within the rate and the number of loads from the
// weight store.
package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// pageFactor is how many times more a model without a copy must be asked for than
	// one whose last copy makes room for it, and pageRate how often at least, in
	// requests a second.
	pageFactor = 4
	pageRate   = 0.1
	// leastRate is the demand, in requests a second, below which the copies that there
	// are will do: a target runs a few requests at once, and a few say little.
	leastRate = 1.2
	// fullShare is the share of its slots from which a target counts as full.
	fullShare = 0.85
	// fullCost is what a run at targets that are full on average costs, in parts of one
	// that finds no slot; mostFull bounds how full they count for.
	fullCost = 0.4
	mostFull = 4.0
	// readShare is the share of its time that a target may read prompts: while it reads
	// them, the streams that it has pause.
	readShare = 0.8
	// idleBase is the load that every copy counts for, so that copies spread.
	idleBase = 1e-3
	// spread is the variance of the number of runs at once in parts of its mean: they
	// come by chance, and how many there are is an estimate.
	spread = 2.0
	// moveCost is what a move must gain at least, in slots, storeCost what a load from
	// the weight store must gain besides, and lastCost what the unload of a last copy.
	moveCost  = 0.15
	storeCost = 0.5
	lastCost  = 0.05
	// worthwhile is the time, in seconds, after which a copy that is there only then is
	// worth 1/e: demand moves on.
	worthwhile = 8.0
	// lossFactor is how many times more a move must give one model than it takes from
	// another: both are estimates, and a move back costs as much again.
	lossFactor = 2.5
	// loadCost is what the load that a target has already costs another copy, in parts
	// of its slots.
	loadCost = 1.0
	// mostRelieved bounds the models that one plan looks for another copy of, and so the
	// time that it takes.
	mostRelieved = 12
	// crowdCost is what a load from the weight store costs at a target for each other
	// missing model that this target could load sooner.
	crowdCost = 0.1
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
	// Idle holds the models that nobody asks for, with the number of requests for others
	// since they were last asked for. Their last copy may go.
	Idle map[string]float64
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
	// works holds the slots that are asked for of each model.
	works  map[string]float64
	copies map[string]int
	load   map[string]float64 // of each target ID, in slots
	// room is the number of slots that the copies of a model have for it.
	room map[string]float64
	// shorts holds the runs of a model that find no slot, and losses those that find none
	// without its copy at a target.
	shorts map[string]float64
	losses map[copyKey]float64
	// missing are the models without a copy.
	missing map[string]bool
	moves   []Move
}

// copyKey names the copy of a model at a target.
type copyKey struct {
	site  *Site
	model string
}

// Plan returns the moves that are worth making now, at most one for each target.
func Plan(state State) []Move {
	if state.Service.Engine == nil {
		return nil
	}
	p := &plan{State: state, works: map[string]float64{}}
	for model := range state.Service.Engine.Models {
		p.works[model] = p.workOf(model)
	}
	for _, site := range state.Sites {
		for model := range site.Models {
			p.works[model] = p.workOf(model)
		}
	}
	p.sum()
	for _, model := range p.findMissing() {
		if p.add(model, "no copy") {
			p.sum()
		}
	}
	p.relieve()
	return p.moves
}

// sum works out the sums of the state.
func (p *plan) sum() {
	p.copies, p.load, p.room = map[string]int{}, map[string]float64{}, map[string]float64{}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.copies[model]++
		}
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.load[site.Target.ID] += p.share(model)
		}
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.room[model] += p.roomAt(site, model)
		}
	}
	p.shorts, p.losses = make(map[string]float64, len(p.works)), make(map[copyKey]float64, len(p.works))
	for model := range p.works {
		p.shorts[model] = p.short(model, p.room[model])
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.losses[copyKey{site, model}] = p.lossOf(site, model)
		}
	}
}

// share returns the load that a model is to each of its copies.
func (p *plan) share(model string) float64 { return p.works[model] / float64(max(p.copies[model], 1)) }

// roomAt returns the slots that a target has for a model that it holds.
func (p *plan) roomAt(site *Site, model string) float64 {
	return max(float64(site.Target.Slots)-p.load[site.Target.ID]+p.share(model), 0)
}

// short returns how many of the runs of a model find none of so many slots free, on
// average, and with a lower weight those that a fuller target makes slower. The second
// part evens out the load where there are too few slots for all.
func (p *plan) short(model string, slots float64) float64 {
	mean := p.works[model]
	deviation := math.Sqrt(spread * mean)
	z := (slots - mean) / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*(density-z*math.Erfc(z/math.Sqrt2)/2) + fullCost*mean*min(mean/max(slots, 1), mostFull)
}

// workOf returns the slots that are asked for of a model: the runs at once, or more where
// the prompts that are to be read keep a target from taking so many.
func (p *plan) workOf(model string) float64 {
	d := p.Demand[tallier.Key{Service: p.Service.Name, Model: model}]
	return max(d.Work, d.Reading/readShare*float64(p.Service.Engine.Slots)) + idleBase
}

// rate returns the requests a second for a model.
func (p *plan) rate(model string) float64 {
	return p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Rate
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
		return cmp.Or(cmp.Compare(p.works[b], p.works[a]), cmp.Compare(a, b))
	})
	return out
}

// relieve makes another copy of the models whose runs are likely to find no slot, of
// those that are most short: the others' turn comes with a later plan.
func (p *plan) relieve() {
	short := p.shortest()
	for _, model := range short[:min(len(short), mostRelieved)] {
		if p.rate(model) >= leastRate && p.add(model, "copies are short of slots") {
			p.sum()
		}
	}
}

// shortest returns the models that are short of slots, most so first.
func (p *plan) shortest() []string {
	out := []string{}
	for model, n := range p.copies {
		if _, ok := p.Service.Engine.Models[model]; !ok || n == 0 {
			continue
		}
		if p.shorts[model] > moveCost {
			out = append(out, model)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.shorts[b], p.shorts[a]), cmp.Compare(a, b))
	})
	return out
}

// add plans one more copy of a model: a load where there is room, or else the unload
// that makes room for it. It reports whether there is a target where that is worth it.
func (p *plan) add(model, reason string) bool {
	best, evicted := p.bestSite(model)
	if best == nil {
		return false
	}
	if !best.Target.HasAtHand(model) {
		p.Loads--
	}
	move := Move{Target: best.Target, Model: model, Reason: reason, Seconds: LoadSeconds(p.Service.Engine, best.Target, model)}
	if evicted != "" {
		move.Model, move.For, move.Unload = evicted, model, true
		move.Seconds += p.drainSeconds(evicted)
		delete(best.Models, evicted)
	}
	p.moves = append(p.moves, move)
	best.Models[model] = true
	best.Busy = true
	return true
}

// bestSite returns the target where another copy of a model gains most, and what must be
// unloaded there first; nil if there is none that gains anything. A model without a copy
// goes to the best one in any case.
func (p *plan) bestSite(model string) (best *Site, evicted string) {
	most := 0.0
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
		gain := p.gain(site, model, victim)
		if (best == nil && p.copies[model] == 0) || gain > most {
			best, evicted, most = site, victim, gain
		}
	}
	return best, evicted
}

// gain weighs another copy of a model at a target, in slots: the runs that find a slot
// there and nowhere else, less what the other copies of a victim cannot take, and less
// what the move costs.
func (p *plan) gain(site *Site, model, victim string) float64 {
	left := p.load[site.Target.ID]
	seconds := LoadSeconds(p.Service.Engine, site.Target, model)
	cost := moveCost
	if victim != "" {
		left -= p.share(victim)
		seconds += p.drainSeconds(victim)
		cost += lossFactor * p.losses[copyKey{site, victim}]
	}
	if !site.Target.HasAtHand(model) {
		cost += storeCost + crowdCost*float64(p.quicker(site, model))
	}
	slots := float64(site.Target.Slots)
	room := max(slots-left, 0)
	gain := p.shorts[model] - p.short(model, p.room[model]+room)
	return gain*math.Exp(-seconds/worthwhile) - cost - loadCost*left/slots
}

// lossOf returns the runs of a model that find no slot without its copy at a target.
func (p *plan) lossOf(site *Site, victim string) float64 {
	loss := p.short(victim, p.room[victim]-p.roomAt(site, victim)) - p.shorts[victim]
	if p.copies[victim] < 2 {
		loss += lastCost
	}
	return loss
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

// drainSeconds returns how long the unload of a copy is likely to wait for its runs: for
// the longest of those that it has, if how long they last spreads as by chance.
func (p *plan) drainSeconds(model string) float64 {
	d := p.Demand[tallier.Key{Service: p.Service.Name, Model: model}]
	if d.Rate <= 0 {
		return 0
	}
	runs := d.Work / float64(max(p.copies[model], 1))
	return d.Work / d.Rate * math.Log1p(runs)
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
		loss := p.losses[copyKey{site, held}]
		if victim == "" || cmp.Or(cmp.Compare(loss, least), cmp.Compare(p.Idle[victim], p.Idle[held]), cmp.Compare(held, victim)) < 0 {
			victim, least = held, loss
		}
	}
	return victim, victim != ""
}

// mayGo reports whether a copy of a model may be unloaded for another model. The last one
// goes only if nobody asks for it and the copies of the other are full, since demand comes
// back to models, or for a model without a copy that is asked for far more.
func (p *plan) mayGo(held, model string, isFull bool) bool {
	if p.copies[held] > 1 {
		return true
	}
	if p.Idle[held] > 0 && isFull {
		return true
	}
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

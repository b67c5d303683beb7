// Package placer decides which targets hold which models and adapters. It responds to
// demand that shifts between models, to the loss of targets, and to requests for rarely
// used models. It does no I/O.
//
// The value of a copy is the expected number of runs that would find no free slot without
// it. A move is made only if its value for one model exceeds the loss of another model and
// the cost of the move. The last copy of a model is unloaded only in two cases: no
// requests arrive for it while all copies of the model that needs the memory are full, or
// a model without a copy has a much higher request rate. A plan never exceeds the memory
// of a target, including the effect of orders that are still pending, and it respects the
// limits on the rate and number of loads from the weight store.
package placer

import (
	"cmp"
	"math"
	"slices"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

const (
	// replaceLastCopyFactor is how many times higher the request rate of a model without a
	// copy must be than that of a model whose last copy is unloaded for it. minReplaceRate
	// is the least rate of the former, in requests a second.
	replaceLastCopyFactor = 4
	minReplaceRate        = 0.1
	// minDemandRate is the request rate, in requests a second, below which a model gets no
	// further copy: a target runs several requests at once, and a few requests are a poor
	// estimate of demand.
	minDemandRate = 1.2
	// fullSlotShare is the share of its slots in use from which a target counts as full.
	fullSlotShare = 0.85
	// congestionCost is the cost of a run at targets whose slots are all in use on average,
	// relative to a run that finds no slot. maxCongestion limits the ratio of demand to
	// slots that enters this cost.
	congestionCost = 0.4
	maxCongestion  = 4.0
	// maxReadTimeShare is the share of its time that a target may spend on reading prompts:
	// its running streams pause while it reads them.
	maxReadTimeShare = 0.8
	// baseWork is added to the work of every model, in slots, so that copies of idle models
	// spread over the targets too.
	baseWork = 1e-3
	// varianceToMean is the ratio of the variance of the number of concurrent runs to its
	// mean. It exceeds the 1 of a Poisson process because the mean itself is an estimate.
	varianceToMean = 2.0
	// moveCost is the least gain that justifies a move, in slots. A load from the weight
	// store must gain storeLoadCost more, and the unload of a last copy lastCopyCost more.
	moveCost      = 0.15
	storeLoadCost = 0.5
	lastCopyCost  = 0.05
	// gainDecaySeconds is the delay of a new copy, in seconds, that reduces its value to
	// 1/e: demand shifts in the meantime.
	gainDecaySeconds = 8.0
	// lossFactor is how many times the gain of one model must exceed the loss of another:
	// both are estimates, and moving back costs as much again.
	lossFactor = 2.5
	// minLimitedSlots is the least number of slots that a target with a limit counts with.
	minLimitedSlots = 0.1
	// targetLoadCost is the cost of the existing load of a target for a further copy,
	// relative to its slots.
	targetLoadCost = 1.0
	// maxModelsPerPlan limits the models that one plan considers further copies of, and
	// thereby the time that a plan takes.
	maxModelsPerPlan = 12
	// blockedLoadCost is the cost of a load from the weight store at a target for each
	// other missing model that the target could load faster from its memory or disk.
	blockedLoadCost = 0.1
)

// plan is a State with the quantities derived from it.
type plan struct {
	State
	// work holds the slots in demand for each model.
	work       map[string]float64
	copies     map[string]int
	targetLoad map[string]float64 // by target ID, in slots
	// availableSlots is the number of slots that the copies of a model have available for
	// it.
	availableSlots map[string]float64
	// shortfalls holds the expected runs of a model that find no slot, and removalLosses
	// the increase of that number if a copy is removed.
	shortfalls    map[string]float64
	removalLosses map[copyKey]float64
	// missing holds the models without a copy.
	missing map[string]bool
	// meanRunSeconds is the mean duration of a run of any model; 0 if it is not known.
	meanRunSeconds float64
	moves          []Move
}

// copyKey identifies the copy of a model at a target.
type copyKey struct {
	site  *Site
	model string
}

// Plan returns the moves that are worth making now, at most one for each target.
func Plan(state State) []Move {
	if state.Service.Engine == nil {
		return nil
	}
	p := &plan{State: state, work: map[string]float64{}, meanRunSeconds: meanRunSecondsOf(state.Demand)}
	for model := range state.Service.Engine.Models {
		p.work[model] = p.workOf(model)
	}
	for _, site := range state.Sites {
		for model := range site.Models {
			p.work[model] = p.workOf(model)
		}
	}
	p.recompute()
	for _, model := range p.findMissing() {
		if p.planCopy(model, "no copy") {
			p.recompute()
		}
	}
	p.addCopies()
	return p.moves
}

// recompute derives all quantities from the current state.
func (p *plan) recompute() {
	p.copies, p.targetLoad, p.availableSlots = map[string]int{}, map[string]float64{}, map[string]float64{}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.copies[model]++
		}
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.targetLoad[site.Target.ID] += p.workPerCopy(model)
		}
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.availableSlots[model] += p.availableSlotsAt(site, model)
		}
	}
	p.shortfalls, p.removalLosses = make(map[string]float64, len(p.work)), make(map[copyKey]float64, len(p.work))
	for model := range p.work {
		p.shortfalls[model] = p.shortfall(model, p.availableSlots[model])
	}
	for _, site := range p.Sites {
		for model := range site.Models {
			p.removalLosses[copyKey{site, model}] = p.removalLoss(site, model)
		}
	}
}

// capacityOf returns the slots of a target that requests may use, in slots of a target of usual
// speed.
func (p *plan) capacityOf(site *Site) float64 {
	if site.Slowness <= 0 {
		return p.slotsOf(site)
	}
	return p.slotsOf(site) / site.Slowness
}

// slotsOf returns the slots of a target that its limit lets requests use.
func (p *plan) slotsOf(site *Site) float64 {
	slots := float64(max(site.Target.Slots, 1))
	if site.Limit == nil {
		return slots
	}
	return min(slots, max(*site.Limit*p.meanRunSeconds, minLimitedSlots))
}

// hasOnlyLimitedCopies reports whether a model has copies, all at targets that name a limit.
func (p *plan) hasOnlyLimitedCopies(model string) bool {
	for _, site := range p.Sites {
		if site.Models[model] && site.Limit == nil {
			return false
		}
	}
	return p.copies[model] > 0
}

// meanRunSecondsOf returns the mean duration of the runs in demand; 0 without demand.
func meanRunSecondsOf(demand map[tallier.Key]tallier.Demand) float64 {
	work, rate := 0.0, 0.0
	for key, d := range demand {
		if key.Adapter == "" {
			work += d.Work
			rate += d.Rate
		}
	}
	if rate == 0 {
		return 0
	}
	return work / rate
}

// workPerCopy returns the load that a model puts on each of its copies, in slots.
func (p *plan) workPerCopy(model string) float64 {
	return p.work[model] / float64(max(p.copies[model], 1))
}

// availableSlotsAt returns the slots of a target that are available for a model that it
// holds.
func (p *plan) availableSlotsAt(site *Site, model string) float64 {
	return max(p.capacityOf(site)-p.targetLoad[site.Target.ID]+p.workPerCopy(model), 0)
}

// shortfall returns the expected number of runs of a model that find none of the given
// slots free, assuming a normal distribution of concurrent runs. It adds, with a lower
// weight, the runs that are slowed down by targets with many runs; this evens out the load
// where there are too few slots for all.
func (p *plan) shortfall(model string, slots float64) float64 {
	mean := p.work[model]
	deviation := math.Sqrt(varianceToMean * mean)
	z := (slots - mean) / deviation
	density := math.Exp(-z*z/2) / math.Sqrt(2*math.Pi)
	return deviation*(density-z*math.Erfc(z/math.Sqrt2)/2) + congestionCost*mean*min(mean/max(slots, 1), maxCongestion)
}

// workOf returns the slots in demand for a model: the number of concurrent runs, or more
// if the time to read prompts limits the runs that a target can take.
func (p *plan) workOf(model string) float64 {
	d := p.Demand[tallier.Key{Service: p.Service.Name, Model: model}]
	return max(d.Work, d.Reading/maxReadTimeShare*float64(p.Service.Engine.Slots)) + baseWork
}

// rate returns the request rate for a model, in requests a second.
func (p *plan) rate(model string) float64 {
	return p.Demand[tallier.Key{Service: p.Service.Name, Model: model}].Rate
}

// findMissing returns the models without a copy, by descending demand.
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
		return cmp.Or(cmp.Compare(p.work[b], p.work[a]), cmp.Compare(a, b))
	})
	return out
}

// addCopies plans another copy of the models with the largest shortfall. Models beyond
// maxModelsPerPlan are left to later plans.
func (p *plan) addCopies() {
	short := p.modelsShortOfSlots()
	for _, model := range short[:min(len(short), maxModelsPerPlan)] {
		isInDemand := p.rate(model) >= minDemandRate || p.hasOnlyLimitedCopies(model)
		if isInDemand && p.planCopy(model, "copies are short of slots") {
			p.recompute()
		}
	}
}

// modelsShortOfSlots returns the models whose shortfall justifies a move, the largest
// first.
func (p *plan) modelsShortOfSlots() []string {
	out := []string{}
	for model, n := range p.copies {
		if _, ok := p.Service.Engine.Models[model]; !ok || n == 0 {
			continue
		}
		if p.shortfalls[model] > moveCost {
			out = append(out, model)
		}
	}
	slices.SortFunc(out, func(a, b string) int {
		return cmp.Or(cmp.Compare(p.shortfalls[b], p.shortfalls[a]), cmp.Compare(a, b))
	})
	return out
}

// planCopy plans one more copy of a model: a load if a target has free memory, or else the
// unload that frees it. It reports whether there is a target where this is worthwhile.
func (p *plan) planCopy(model, reason string) bool {
	best, evicted := p.bestSite(model)
	if best == nil {
		return false
	}
	if !best.Target.HasCachedWeights(model) {
		p.StoreLoadsAllowed--
	}
	move := Move{Target: best.Target, Model: model, Reason: reason, Seconds: LoadSeconds(p.Service.Engine, best.Target, model)}
	if evicted != "" {
		move.Model, move.NextModel, move.Unload = evicted, model, true
		move.Seconds += p.drainSeconds(evicted)
		delete(best.Models, evicted)
	}
	p.moves = append(p.moves, move)
	best.Models[model] = true
	best.Busy = true
	return true
}

// bestSite returns the target where another copy of a model gains most, and the model that
// must be unloaded there first; nil if no copy gains anything. A model without a copy gets
// the best target even then.
func (p *plan) bestSite(model string) (best *Site, evicted string) {
	bestGain := 0.0
	allCopiesFull := p.allCopiesFull(model)
	for _, site := range p.Sites {
		if site.Busy || site.Target.Leaving || site.Models[model] {
			continue
		}
		if p.StoreLoadsAllowed <= 0 && !site.Target.HasCachedWeights(model) {
			continue
		}
		victim, fits := p.findVictim(site, model, allCopiesFull)
		if !fits {
			continue
		}
		gain := p.gain(site, model, victim)
		if (best == nil && p.copies[model] == 0) || gain > bestGain {
			best, evicted, bestGain = site, victim, gain
		}
	}
	return best, evicted
}

// gain returns the value of another copy of a model at a target, in slots: the runs that
// find a slot only there, reduced by the delay of the copy, less the loss of the evicted
// model and the cost of the move.
func (p *plan) gain(site *Site, model, victim string) float64 {
	remainingLoad := p.targetLoad[site.Target.ID]
	seconds := LoadSeconds(p.Service.Engine, site.Target, model)
	cost := moveCost
	if victim != "" {
		remainingLoad -= p.workPerCopy(victim)
		seconds += p.drainSeconds(victim)
		cost += lossFactor * p.removalLosses[copyKey{site, victim}]
	}
	if !site.Target.HasCachedWeights(model) {
		cost += storeLoadCost + blockedLoadCost*float64(p.fasterLoads(site, model))
	}
	slots := p.capacityOf(site)
	availableSlots := max(slots-remainingLoad, 0)
	gain := p.shortfalls[model] - p.shortfall(model, p.availableSlots[model]+availableSlots)
	return gain*math.Exp(-seconds/gainDecaySeconds) - cost - targetLoadCost*remainingLoad/slots
}

// removalLoss returns how many more runs of a model find no slot if its copy at a target
// is removed.
func (p *plan) removalLoss(site *Site, victim string) float64 {
	loss := p.shortfall(victim, p.availableSlots[victim]-p.availableSlotsAt(site, victim)) - p.shortfalls[victim]
	if p.copies[victim] < 2 {
		loss += lastCopyCost
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

// drainSeconds returns the expected time until all runs of a copy have ended: the expected
// longest of its runs, assuming exponentially distributed durations.
func (p *plan) drainSeconds(model string) float64 {
	d := p.Demand[tallier.Key{Service: p.Service.Name, Model: model}]
	if d.Rate <= 0 {
		return 0
	}
	runs := d.Work / float64(max(p.copies[model], 1))
	return d.Work / d.Rate * math.Log1p(runs)
}

// fasterLoads returns how many other missing models a target has in memory or on disk.
func (p *plan) fasterLoads(site *Site, model string) int {
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

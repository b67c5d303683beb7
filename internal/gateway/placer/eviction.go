package placer

import (
	"cmp"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// findVictim returns the model to unload so that another one fits, empty if it fits as it
// is; false if unloading no single model is enough. A model with a rate below
// minReplaceRate evicts none: before there are requests, the current placement is the only
// information about demand. isFull reports whether all copies of the model are full.
func (p *plan) findVictim(site *Site, model string, isFull bool) (victim string, fits bool) {
	engine := p.Service.Engine
	need := engine.Models[model].Megabytes
	free := engine.WeightMegabytes - UsedMegabytes(engine, site)
	if need <= free {
		return "", true
	}
	if p.rate(model) < minReplaceRate {
		return "", false
	}
	leastLoss := 0.0
	for held := range site.Models {
		if free+sizeOf(engine, site, held) < need || !p.mayUnload(held, model, isFull) {
			continue
		}
		loss := p.removalLosses[copyKey{site, held}]
		if victim == "" || cmp.Or(cmp.Compare(loss, leastLoss), cmp.Compare(p.Idle[victim], p.Idle[held]), cmp.Compare(held, victim)) < 0 {
			victim, leastLoss = held, loss
		}
	}
	return victim, victim != ""
}

// mayUnload reports whether a copy of a model may be unloaded for another model. A last
// copy may be unloaded only if its model is idle and the copies of the other model are
// full, since demand for a model may return, or for a model without a copy that has a much
// higher request rate.
func (p *plan) mayUnload(held, model string, isFull bool) bool {
	if p.copies[held] > 1 {
		return true
	}
	if p.Idle[held] > 0 && isFull {
		return true
	}
	return p.copies[model] == 0 && p.rate(model) >= minReplaceRate && replaceLastCopyFactor*p.rate(held) <= p.rate(model)
}

// allCopiesFull reports whether every target that holds a model is close to its capacity;
// true for a model without a copy.
func (p *plan) allCopiesFull(model string) bool {
	for _, site := range p.Sites {
		if site.Models[model] && float64(site.InFlight) < fullSlotShare*p.slotsOf(site) {
			return false
		}
	}
	return true
}

// UsedMegabytes returns the megabytes of all weights and adapters that a target holds or
// that pending orders may still load there.
func UsedMegabytes(engine *registrar.Engine, site *Site) float64 {
	sum := 0.0
	for model := range site.Models {
		sum += sizeOf(engine, site, model)
	}
	return sum
}

// sizeOf returns the megabytes of a model and its adapters at a target.
func sizeOf(engine *registrar.Engine, site *Site, model string) float64 {
	m := engine.Models[model]
	return m.Megabytes + float64(len(site.Adapters[model]))*m.AdapterMegabytes
}

package placer

import (
	"cmp"
	"slices"

	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

// AdapterMove is where an adapter goes, and which one leaves for it.
type AdapterMove struct {
	Site *Site
	// EvictedModel and EvictedAdapter are empty if there is a place.
	EvictedModel   string
	EvictedAdapter string
}

// PlaceAdapter returns where an adapter of a model is to be loaded; false if no
// target that holds the model can take it.
func PlaceAdapter(state State, model, adapter string) (AdapterMove, bool) {
	var best AdapterMove
	bestCost := 0.0
	for _, site := range state.Sites {
		if site.Busy || site.Target.Leaving || !site.Models[model] || slices.Contains(site.Adapters[model], adapter) {
			continue
		}
		move, cost, ok := placeAt(state, site, model)
		if ok && (best.Site == nil || cost < bestCost) {
			best, bestCost = move, cost
		}
	}
	return best, best.Site != nil
}

// placeAt returns what a place for an adapter costs at a target.
func placeAt(state State, site *Site, model string) (AdapterMove, float64, bool) {
	engine := state.Service.Engine
	places := 0
	for _, adapters := range site.Adapters {
		places += len(adapters)
	}
	load := float64(site.InFlight+1) / float64(max(site.Target.Slots, 1))
	fits := Used(engine, site)+engine.Models[model].AdapterMegabytes <= engine.WeightMegabytes
	if places < engine.AdapterPlaces && fits {
		return AdapterMove{Site: site}, load + float64(places)/float64(engine.AdapterPlaces), true
	}
	victim, rate := coldestAdapter(state, site)
	if victim.Adapter == "" {
		return AdapterMove{}, 0, false
	}
	return AdapterMove{Site: site, EvictedModel: victim.Model, EvictedAdapter: victim.Adapter}, load + 1 + rate, true
}

// coldestAdapter returns the adapter of a target that is asked for least.
func coldestAdapter(state State, site *Site) (tallier.Key, float64) {
	keys := []tallier.Key{}
	for model, adapters := range site.Adapters {
		for _, adapter := range adapters {
			keys = append(keys, tallier.Key{Service: state.Service.Name, Model: model, Adapter: adapter})
		}
	}
	if len(keys) == 0 {
		return tallier.Key{}, 0
	}
	coldest := slices.MinFunc(keys, func(a, b tallier.Key) int {
		return cmp.Or(
			cmp.Compare(state.Demand[a].Rate, state.Demand[b].Rate),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return coldest, state.Demand[coldest].Rate
}

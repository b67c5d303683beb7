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
		if site.Resting || site.Closing == model || site.Target.Leaving || !site.Models[model] || slices.Contains(site.Adapters[model], adapter) {
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

// coldestAdapter returns the adapter of a target that is asked for least; its name
// is empty if none can go.
func coldestAdapter(state State, site *Site) (tallier.Key, float64) {
	keys := []tallier.Key{}
	for model, adapters := range site.Adapters {
		for _, adapter := range adapters {
			if !site.Moving[AdapterKey{model, adapter}] {
				keys = append(keys, tallier.Key{Service: state.Service.Name, Model: model, Adapter: adapter})
			}
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

const (
	// spareAdapterPlaces are left free at each target for adapters that are asked
	// for and not there.
	spareAdapterPlaces = 1
	// rateOfCopy is the rate of requests for an adapter, in requests a second, for
	// each copy of it.
	rateOfCopy = 1.5
	// priorRate stands for adapters of which nothing is known yet, as a share of the
	// rate of their model.
	priorRate = 0.01
)

// AdapterLoad is an adapter that is to be loaded before it is asked for.
type AdapterLoad struct {
	Site    *Site
	Model   string
	Adapter string
}

// FillAdapters returns what to load into free places, at most one adapter for each
// target: those that are wanted most for each copy there is, so that a request
// rarely has to wait for an order, and none when no orders can be given.
func FillAdapters(state State) []AdapterLoad {
	if state.Service.Engine == nil {
		return nil
	}
	copies := map[tallier.Key]int{}
	for _, site := range state.Sites {
		for model, adapters := range site.Adapters {
			for _, adapter := range adapters {
				copies[tallier.Key{Service: state.Service.Name, Model: model, Adapter: adapter}]++
			}
		}
	}
	out := []AdapterLoad{}
	for _, site := range state.Sites {
		if site.Busy || site.Target.Leaving || !hasSparePlace(state, site) {
			continue
		}
		best := mostWanted(state, site, copies)
		if best.Adapter == "" {
			continue
		}
		copies[best]++
		out = append(out, AdapterLoad{Site: site, Model: best.Model, Adapter: best.Adapter})
	}
	return out
}

func hasSparePlace(state State, site *Site) bool {
	places := 0
	for _, adapters := range site.Adapters {
		places += len(adapters)
	}
	return places < state.Service.Engine.AdapterPlaces-spareAdapterPlaces
}

// mostWanted returns the adapter of the models of a target that is worth most there;
// its name is empty if none is worth a place.
func mostWanted(state State, site *Site, copies map[tallier.Key]int) tallier.Key {
	var best tallier.Key
	bestWorth := 0.0
	engine := state.Service.Engine
	for _, name := range sortedModels(site) {
		model := engine.Models[name]
		if Used(engine, site)+model.AdapterMegabytes > engine.WeightMegabytes {
			continue
		}
		modelRate := state.Demand[tallier.Key{Service: state.Service.Name, Model: name}].Rate
		for _, adapter := range model.Adapters {
			key := tallier.Key{Service: state.Service.Name, Model: name, Adapter: adapter}
			if slices.Contains(site.Adapters[name], adapter) {
				continue
			}
			rate := max(state.Demand[key].Rate, priorRate*modelRate, priorRate*priorRate)
			n := float64(copies[key])
			if n > 0 && rate < rateOfCopy*n {
				continue
			}
			if worth := rate / (n + 1); worth > bestWorth {
				best, bestWorth = key, worth
			}
		}
	}
	return best
}

func sortedModels(site *Site) []string {
	names := make([]string, 0, len(site.Models))
	for name := range site.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

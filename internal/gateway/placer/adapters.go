package placer

import (
	"cmp"
	"slices"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

// AdapterMove is the load of an adapter at a target, with the adapter that must be evicted
// first.
type AdapterMove struct {
	Site *Site
	// EvictedModel and EvictedAdapter are empty if the target has a free adapter slot.
	EvictedModel   string
	EvictedAdapter string
}

// PlaceAdapter chooses the target to load an adapter of a model at; it returns false if no
// target that holds the model can take the adapter.
func PlaceAdapter(state State, model, adapter string) (AdapterMove, bool) {
	var best AdapterMove
	bestCost := 0.0
	for _, site := range state.Sites {
		if site.Unavailable || site.UnloadingModel == model || site.Target.Leaving || !site.Models[model] || slices.Contains(site.Adapters[model], adapter) {
			continue
		}
		move, cost, ok := adapterMoveAt(state, site, model)
		if ok && (best.Site == nil || cost < bestCost) {
			best, bestCost = move, cost
		}
	}
	return best, best.Site != nil
}

// limitedTargetCost makes a target that names a limit the last choice for an adapter.
const limitedTargetCost = 100

// adapterMoveAt returns the move that loads an adapter of a model at a target, and its
// cost.
func adapterMoveAt(state State, site *Site, model string) (AdapterMove, float64, bool) {
	engine := state.Service.Engine
	usedSlots := 0
	for _, adapters := range site.Adapters {
		usedSlots += len(adapters)
	}
	load := float64(site.InFlight+1) / float64(max(site.Target.Slots, 1))
	if site.Limit != nil {
		load += limitedTargetCost
	}
	fits := UsedMegabytes(engine, site)+engine.Models[model].AdapterMegabytes <= engine.WeightMegabytes
	if usedSlots < engine.MaxAdapters && fits {
		return AdapterMove{Site: site}, load + float64(usedSlots)/float64(engine.MaxAdapters), true
	}
	if usedSlots-site.Evicting > engine.MaxAdapters {
		return AdapterMove{}, 0, false // one eviction does not make room
	}
	victim, rate := leastRequestedAdapter(state, site)
	if victim.Adapter == "" || !fitsInsteadOf(engine, site, victim.Model, model) {
		return AdapterMove{}, 0, false
	}
	return AdapterMove{Site: site, EvictedModel: victim.Model, EvictedAdapter: victim.Adapter}, load + 1 + rate, true
}

// fitsInsteadOf reports whether an adapter of a model fits into the memory of a target in place of
// one of the model evicted.
func fitsInsteadOf(engine *registrar.Engine, site *Site, evicted, model string) bool {
	added := engine.Models[model].AdapterMegabytes - engine.Models[evicted].AdapterMegabytes
	return added <= 0 || UsedMegabytes(engine, site)+added <= engine.WeightMegabytes
}

// leastRequestedAdapter returns the adapter of a target with the lowest request rate, and that
// rate; its name is empty if none can be evicted.
func leastRequestedAdapter(state State, site *Site) (tallier.Key, float64) {
	keys := []tallier.Key{}
	for model, adapters := range site.Adapters {
		for _, adapter := range adapters {
			if !site.ChangingAdapters[AdapterKey{model, adapter}] {
				keys = append(keys, tallier.Key{Service: state.Service.Name, Model: model, Adapter: adapter})
			}
		}
	}
	if len(keys) == 0 {
		return tallier.Key{}, 0
	}
	leastRequested := slices.MinFunc(keys, func(a, b tallier.Key) int {
		return cmp.Or(
			cmp.Compare(state.Demand[a].Rate, state.Demand[b].Rate),
			cmp.Compare(a.Model, b.Model), cmp.Compare(a.Adapter, b.Adapter))
	})
	return leastRequested, state.Demand[leastRequested].Rate
}

const (
	// spareAdapterSlots is the number of slots kept free at each target for adapters that
	// are requested but not loaded there.
	spareAdapterSlots = 1
	// requestRatePerCopy is the request rate of an adapter, in requests a second, that
	// justifies each further copy of it.
	requestRatePerCopy = 1.5
	// priorRateShare is the assumed rate of an adapter without known requests, as a share
	// of the rate of its model.
	priorRateShare = 0.01
)

// AdapterLoad is the load of an adapter ahead of requests for it.
type AdapterLoad struct {
	Site    *Site
	Model   string
	Adapter string
}

// PreloadAdapters returns the adapters to load into free slots, at most one for each target.
// It prefers the adapters with the highest demand per existing copy, so that few requests
// have to wait for a load, and so that most are served even while no orders can be given.
func PreloadAdapters(state State) []AdapterLoad {
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
		if site.Busy || site.Target.Leaving || !hasSpareSlot(state, site) {
			continue
		}
		best := mostUsefulAdapter(state, site, copies)
		if best.Adapter == "" {
			continue
		}
		copies[best]++
		out = append(out, AdapterLoad{Site: site, Model: best.Model, Adapter: best.Adapter})
	}
	return out
}

// hasSpareSlot reports whether a target has more free adapter slots than the spare ones.
func hasSpareSlot(state State, site *Site) bool {
	usedSlots := 0
	for _, adapters := range site.Adapters {
		usedSlots += len(adapters)
	}
	return usedSlots < state.Service.Engine.MaxAdapters-spareAdapterSlots
}

// mostUsefulAdapter returns the adapter, of the models that a target holds, with the
// highest demand per copy; its name is empty if no load is worthwhile.
func mostUsefulAdapter(state State, site *Site, copies map[tallier.Key]int) tallier.Key {
	var best tallier.Key
	bestValue := 0.0
	engine := state.Service.Engine
	for _, name := range sortedModels(site) {
		model := engine.Models[name]
		if UsedMegabytes(engine, site)+model.AdapterMegabytes > engine.WeightMegabytes {
			continue
		}
		modelRate := state.Demand[tallier.Key{Service: state.Service.Name, Model: name}].Rate
		for _, adapter := range model.Adapters {
			key := tallier.Key{Service: state.Service.Name, Model: name, Adapter: adapter}
			if slices.Contains(site.Adapters[name], adapter) {
				continue
			}
			rate := max(state.Demand[key].Rate, priorRateShare*modelRate, priorRateShare*priorRateShare)
			n := float64(copies[key])
			if n > 0 && rate < requestRatePerCopy*n {
				continue
			}
			if value := rate / (n + 1); value > bestValue {
				best, bestValue = key, value
			}
		}
	}
	return best
}

// sortedModels returns the names of the models at a target in order.
func sortedModels(site *Site) []string {
	names := make([]string, 0, len(site.Models))
	for name := range site.Models {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

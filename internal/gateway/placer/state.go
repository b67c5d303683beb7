package placer

import (
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

// Site is the state of a target that a plan starts from.
type Site struct {
	Target *registrar.Target
	// Models holds the models that the target serves, including those of pending load
	// orders.
	Models map[string]bool
	// Adapters holds the adapters of each model, including those that a pending order may
	// still load.
	Adapters map[string][]string
	// ChangingAdapters holds the adapters with a load or unload that is pending or may still
	// happen; each occupies an adapter slot and cannot be evicted.
	ChangingAdapters map[AdapterKey]bool
	// Busy means that an order for a model is pending, or that the target is unavailable.
	Busy bool
	// Unavailable means that the target gets no orders for a while after failures.
	Unavailable bool
	// UnloadingModel is the model that is being unloaded; empty if there is none.
	UnloadingModel string
	// Evicting is the number of adapters that are being evicted, each for one that is counted already.
	Evicting int
	// InFlight is the number of requests in flight at the target, from all instances.
	InFlight int
	// Slowness is how long the target takes for its work relative to the others; 0 if it does
	// not differ from them.
	Slowness float64
	// Limit is the number of requests a second that the target takes; nil if it names no
	// limit.
	Limit *float64
}

// AdapterKey identifies an adapter of a model.
type AdapterKey struct {
	Model   string
	Adapter string
}

// State is the input of a plan.
type State struct {
	Service *registrar.Service
	Sites   []*Site
	Demand  map[tallier.Key]tallier.Demand
	// Idle holds the models without recent requests, each with the number of requests for
	// other models since its last one. Their last copy may be unloaded.
	Idle map[string]float64
	// StoreLoadsAllowed is the number of loads from the weight store that may start now.
	StoreLoadsAllowed int
}

// Move is a load or unload order to a target.
type Move struct {
	Target *registrar.Target
	Model  string
	// Unload means that the model is unloaded to free memory for another one; otherwise it
	// is loaded.
	Unload bool
	// NextModel is the model to load after the unload.
	NextModel string
	Reason    string
	// Seconds is the expected time until the model to load is served.
	Seconds float64
}

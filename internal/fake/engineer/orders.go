package engineer

import (
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Kinds of order.
const (
	orderLoad   = "Load"
	orderUnload = "Unload"
	orderRole   = "Role"
)

// applyLater executes an order after a delay, unless the engine restarts before.
func (e *Engine) applyLater(order messenger.EngineOrder, delay time.Duration) {
	e.mu.Lock()
	generation := e.generation
	e.mu.Unlock()
	time.AfterFunc(delay, func() {
		e.mu.Lock()
		restarted := e.generation != generation
		e.mu.Unlock()
		if !restarted {
			e.apply(order)
		}
	})
}

// apply executes an order and returns its result.
func (e *Engine) apply(order messenger.EngineOrder) messenger.EngineOrderResult {
	e.mu.Lock()
	defer e.mu.Unlock()
	result := messenger.EngineOrderResult{ID: order.ID, HighestFence: e.highestFence}
	if e.checksFencing && order.Fence < e.highestFence {
		result.Refusal = "OldFence"
		return result
	}
	e.highestFence = max(e.highestFence, order.Fence)
	result.HighestFence = e.highestFence
	switch order.Kind {
	case orderLoad:
		e.load(order)
	case orderUnload:
		e.unload(order)
	case orderRole:
		e.role = order.Role
	default:
		result.Refusal = "UnknownKind"
		return result
	}
	result.Applied = true
	e.appliedOrders = append(e.appliedOrders, order.ID)
	if len(e.appliedOrders) > maxAppliedOrders {
		e.appliedOrders = e.appliedOrders[1:]
	}
	return result
}

func (e *Engine) findHolding(model, adapter, version string) int {
	return slices.IndexFunc(e.holdings, func(h messenger.EngineHolding) bool {
		return h.Model == model && h.Adapter == adapter && h.Version == version
	})
}

func (e *Engine) load(order messenger.EngineOrder) {
	if e.findHolding(order.Model, order.Adapter, order.Version) >= 0 {
		return
	}
	e.holdings = append(e.holdings, messenger.EngineHolding{
		Model: order.Model, Adapter: order.Adapter, Version: order.Version, Bytes: order.Bytes, State: stateLoading,
	})
	e.maxOvercommit = max(e.maxOvercommit, e.usedBytes()-e.memoryBytes)
	generation := e.generation
	wait := e.loadTime
	if order.Adapter != "" {
		const adapterLoadDivisor = 10 // an adapter loads in a tenth of the time of a model
		wait /= adapterLoadDivisor
	}
	time.AfterFunc(wait, func() { e.finishLoad(generation, order) })
}

func (e *Engine) finishLoad(generation int, order messenger.EngineOrder) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != generation {
		return
	}
	if i := e.findHolding(order.Model, order.Adapter, order.Version); i >= 0 {
		e.holdings[i].State = stateLoaded
	}
}

func (e *Engine) unload(order messenger.EngineOrder) {
	if i := e.findHolding(order.Model, order.Adapter, order.Version); i >= 0 {
		e.holdings = slices.Delete(e.holdings, i, i+1)
	}
}

package foreman

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// orderCount is a lower bound of the number of orders that a target has accepted, with what the
// target may hold after that many. An order that expects too few orders is refused. One that
// expects too many could be accepted later, once an older order has been executed, in a state
// that it was not decided on. So the count rises only by orders that were certainly accepted.
type orderCount struct {
	accepted int64
	// isKnown is unset if the target must be asked before the next order.
	isKnown bool
	// acceptedAt is when the target accepted the latest order.
	acceptedAt time.Time
	// othersSeenAt is when a report showed accepted orders that were not recorded. One of them may
	// be an unload that waits for a run, of an adapter that is still reported.
	othersSeenAt time.Time
	// held maps what the target may hold after the accepted orders to whether it certainly does.
	held map[placer.AdapterKey]bool
}

// longestRun is longer than a run keeps an adapter that is being unloaded.
const longestRun = 15 * time.Second

// learn records what the target reported and returns the reported holdings. A report may predate
// the latest orders.
func (c *orderCount) learn(state State, now time.Time) []placer.AdapterKey {
	holdings := reportedHoldings(state.Holdings)
	all := append(append([]placer.AdapterKey(nil), state.LoadingAdapters...), holdings...)
	// The effect of the current order is known only once it is done: the target is asked again then.
	c.isKnown = !state.Busy
	if state.Orders < c.accepted {
		return all
	}
	before := c.held
	if state.Orders > c.accepted {
		c.othersSeenAt = now
	}
	isCertain := now.Sub(c.othersSeenAt) >= longestRun
	isCurrent := state.Orders > c.accepted || now.Sub(c.acceptedAt) >= maxStateAge
	c.accepted = state.Orders
	c.held = make(map[placer.AdapterKey]bool, len(all))
	for h := range before {
		if !isCurrent {
			c.held[h] = false
		}
	}
	for _, h := range state.LoadingAdapters {
		c.held[h] = false
	}
	for _, h := range holdings {
		c.held[h] = isCertain
	}
	return all
}

func reportedHoldings(holdings []registrar.Holding) []placer.AdapterKey {
	var out []placer.AdapterKey
	for _, h := range holdings {
		out = append(out, placer.AdapterKey{Model: h.Model})
		for _, adapter := range h.Adapters {
			out = append(out, placer.AdapterKey{Model: h.Model, Adapter: adapter})
		}
	}
	return out
}

// recordAnswer records an order that the target answered as accepted, or as done. A target may
// answer as done, and not count, an order that found nothing to do.
func (c *orderCount) recordAnswer(order Order, done bool, now time.Time) {
	h := placer.AdapterKey{Model: order.Model, Adapter: order.Adapter}
	switch {
	case !done:
		c.accepted++
		c.acceptedAt = now
		c.held[h] = false
		if order.IsUnload {
			c.doubt(order.Model, order.Adapter)
		}
	case !order.IsUnload:
		if _, ok := c.held[h]; !ok {
			c.held[h] = false
		}
	case c.held[h]:
		c.accepted++
		c.acceptedAt = now
		c.forget(h)
	default:
		c.isKnown = false
	}
}

// doubt records that an adapter, or a model with its adapters, may be gone at any time.
func (c *orderCount) doubt(model, adapter string) {
	for h := range c.held {
		if h.Model == model && (adapter == "" || h.Adapter == adapter) {
			c.held[h] = false
		}
	}
}

// forget records that an adapter, or a model with its adapters, is unloaded.
func (c *orderCount) forget(unloaded placer.AdapterKey) {
	for h := range c.held {
		if h.Model == unloaded.Model && (unloaded.Adapter == "" || h.Adapter == unloaded.Adapter) {
			delete(c.held, h)
		}
	}
}

// observeUnload records that the target table shows the end of an unload. The target is asked
// before the next order, since the entry may be older than a later load.
func (c *orderCount) observeUnload(h placer.AdapterKey) {
	c.forget(h)
	c.isKnown = false
}

// observeTable drops the certainty about holdings that the target table does not show.
func (c *orderCount) observeTable(t *registrar.Target) {
	for h, isCertain := range c.held {
		if isCertain && !isInTable(t, h) {
			c.held[h] = false
		}
	}
}

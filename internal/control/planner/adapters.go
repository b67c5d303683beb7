package planner

// minimumAdapterRate is the rate in requests per second from which on an adapter
// is wanted beside each copy of its model.
const minimumAdapterRate = 0.05

// reservation is memory kept free for an adapter.
type reservation struct {
	node  *node
	bytes int64
}

func (p *plan) reserve(n *node, bytes int64) {
	n.later -= bytes
	p.reservations = append(p.reservations, reservation{n, bytes})
}

// reserveAdapters keeps memory free for the adapters that copies of models must
// have beside them and that are not loaded yet.
func (p *plan) reserveAdapters() {
	for _, g := range p.models {
		for _, a := range g.adapters {
			missing := min(g.least, len(g.holders)) - len(a.holders)
			for _, h := range g.holders {
				if missing > 0 && h.node.slots[a.name] == nil && h.node.later >= a.bytes {
					p.reserve(h.node, a.bytes)
					missing--
				}
			}
		}
	}
}

// placeAdapters loads the adapters of each model beside as many copies as the
// model must have, and the demanded ones beside each copy.
func (p *plan) placeAdapters() {
	for _, r := range p.reservations {
		r.node.later += r.bytes
	}
	p.reservations = nil
	for _, g := range p.models {
		for _, a := range g.adapters {
			for len(a.holders) < min(g.least, len(g.holders)) && p.placeAdapter(g, a) {
			}
			if len(a.holders) == 0 {
				p.makeRoom(g, a)
			}
		}
	}
	for _, g := range p.models {
		for _, a := range g.adapters {
			if a.rate >= minimumAdapterRate {
				p.spreadAdapter(g, a)
			}
		}
	}
}

// placeAdapter puts an adapter beside one more copy of its model and reports
// whether there was one with room.
func (p *plan) placeAdapter(g, a *group) bool {
	var best *holder
	for i := range g.holders {
		h := &g.holders[i]
		if h.node.later < a.bytes || h.node.slots[a.name] != nil || a.on(h.node) {
			continue
		}
		if best == nil || isBetterHost(a, h, best) {
			best = h
		}
	}
	if best == nil {
		return false
	}
	p.loadAdapter(best, a)
	return true
}

func isBetterHost(a *group, x, y *holder) bool {
	if cx, cy := a.covers(x.node.target.DataCentre), a.covers(y.node.target.DataCentre); cx != cy {
		return !cx
	}
	if x.slot.Stable != y.slot.Stable {
		return x.slot.Stable
	}
	return x.node.later > y.node.later
}

// loadAdapter orders the load of an adapter, or reserves its memory when the
// model is not loaded yet or no load may be ordered now.
func (p *plan) loadAdapter(h *holder, a *group) {
	n := h.node
	if h.slot.Stable && p.adapters > 0 && n.now >= a.bytes {
		p.order(Load, n, a)
		p.adapters--
		n.now -= a.bytes
	}
	n.later -= a.bytes
	a.add(n, &Slot{Name: a.name, Bytes: a.bytes, Arriving: true})
}

// spreadAdapter loads an adapter beside each copy of its model, within the share
// of memory that adapters may fill.
func (p *plan) spreadAdapter(g, a *group) {
	for i := range g.holders {
		h := &g.holders[i]
		n := h.node
		limit := int64(p.in.Policy.AdapterShare * float64(n.target.MemoryBytes))
		if h.slot.Stable && n.slots[a.name] == nil && !a.on(n) && n.room() >= a.bytes && n.adapterBytes+a.bytes <= limit {
			p.loadAdapter(h, a)
		}
	}
}

// makeRoom unloads what can be spared beside a copy of a model, for an adapter
// that no target holds.
func (p *plan) makeRoom(g, a *group) {
	for _, h := range g.holders {
		if h.node.slots[a.name] != nil {
			return // an unload is under way
		}
	}
	for _, h := range g.holders {
		set, ok := p.victims(h.node, a.bytes-h.node.later, standby)
		if ok && len(set.groups) <= p.moveBudget {
			p.unloadAll(h.node, set)
			p.loadAdapter(&h, a)
			return
		}
	}
}

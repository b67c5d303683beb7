package planner

// adapterSpreadRate is the rate in requests per second at and above which an
// adapter is loaded beside every copy of its model.
const adapterSpreadRate = 0.05

// reservation is memory of a target that is reserved for an adapter.
type reservation struct {
	node  *node
	bytes int64
}

func (p *plan) reserveMemory(n *node, bytes int64) {
	n.freeLater -= bytes
	p.reservations = append(p.reservations, reservation{n, bytes})
}

// reserveAdapters reserves memory for required adapters that are not loaded
// yet: each adapter needs a copy beside as many copies of its model as the
// model's minimum number of copies.
func (p *plan) reserveAdapters() {
	for _, pl := range p.models {
		for _, a := range pl.adapters {
			missing := min(pl.minCopies, len(pl.copies)) - len(a.copies)
			for _, cp := range pl.copies {
				if missing > 0 && cp.node.slots[a.name] == nil && cp.node.freeLater >= a.bytes {
					p.reserveMemory(cp.node, a.bytes)
					missing--
				}
			}
		}
	}
}

// placeAdapters releases the reservations and loads each adapter beside the
// minimum number of copies of its model. It then loads adapters with a rate of
// at least adapterSpreadRate beside every copy.
func (p *plan) placeAdapters() {
	for _, r := range p.reservations {
		r.node.freeLater += r.bytes
	}
	p.reservations = nil
	for _, pl := range p.models {
		for _, a := range pl.adapters {
			for len(a.copies) < min(pl.minCopies, len(pl.copies)) && p.placeAdapter(pl, a) {
			}
			if len(a.copies) == 0 {
				p.makeRoomForAdapter(pl, a)
			}
		}
	}
	for _, pl := range p.models {
		for _, a := range pl.adapters {
			if a.rate >= adapterSpreadRate {
				p.loadAdapterBesideAll(pl, a)
			}
		}
	}
}

// placeAdapter loads an adapter beside one more copy of its model and reports
// whether a copy with enough free memory was found.
func (p *plan) placeAdapter(pl, a *placement) bool {
	var best *placedCopy
	for i := range pl.copies {
		cp := &pl.copies[i]
		if cp.node.freeLater < a.bytes || cp.node.slots[a.name] != nil || a.isOn(cp.node) {
			continue
		}
		if best == nil || isBetterHost(a, cp, best) {
			best = cp
		}
	}
	if best == nil {
		return false
	}
	p.loadAdapter(best, a)
	return true
}

// isBetterHost prefers a data centre without a copy of the adapter, then a
// loaded copy of the model, then the target with more free memory.
func isBetterHost(a *placement, x, y *placedCopy) bool {
	if cx, cy := a.coversDataCentre(x.node.target.DataCentre), a.coversDataCentre(y.node.target.DataCentre); cx != cy {
		return !cx
	}
	if x.slot.Stable != y.slot.Stable {
		return x.slot.Stable
	}
	return x.node.freeLater > y.node.freeLater
}

// loadAdapter orders the load of an adapter. It only reserves the memory when
// the model is not loaded yet or no adapter load may be ordered now.
func (p *plan) loadAdapter(cp *placedCopy, a *placement) {
	n := cp.node
	if cp.slot.Stable && p.adapterLoadBudget > 0 && n.freeNow >= a.bytes {
		p.appendMove(Load, n, a)
		p.adapterLoadBudget--
		n.freeNow -= a.bytes
	}
	n.freeLater -= a.bytes
	a.add(n, &Slot{Name: a.name, Bytes: a.bytes, Arriving: true})
}

// loadAdapterBesideAll loads an adapter beside each copy of its model, within
// Policy.AdapterShare of the target's memory.
func (p *plan) loadAdapterBesideAll(pl, a *placement) {
	for i := range pl.copies {
		cp := &pl.copies[i]
		n := cp.node
		limit := int64(p.in.Policy.AdapterShare * float64(n.target.MemoryBytes))
		if cp.slot.Stable && n.slots[a.name] == nil && !a.isOn(n) && n.freeForLoad() >= a.bytes && n.adapterBytes+a.bytes <= limit {
			p.loadAdapter(cp, a)
		}
	}
}

// makeRoomForAdapter unloads evictable models beside a copy of a model, for an
// adapter of it that has no copy.
func (p *plan) makeRoomForAdapter(pl, a *placement) {
	for _, cp := range pl.copies {
		if cp.node.slots[a.name] != nil {
			return // an unload is in progress
		}
	}
	for _, cp := range pl.copies {
		set, ok := p.victimSet(cp.node, a.bytes-cp.node.freeLater, standbyCopy)
		if ok && len(set.placements) <= p.moveBudget {
			p.unloadVictims(cp.node, set)
			p.loadAdapter(&cp, a)
			return
		}
	}
}

package planner

import (
	"cmp"
	"slices"
)

// copyClass is the purpose of a new copy. It determines which copies may be
// evicted to make room for it.
type copyClass int

const (
	// firstCopy may evict any copy except the last one of its model.
	firstCopy copyClass = iota
	// standbyCopy may evict copies beyond the minimum number that the demand
	// does not need.
	standbyCopy
	// demandCopy is for a copy beyond the minimum number. It may evict the same
	// copies as standbyCopy.
	demandCopy
	// urgentCopy may also evict standby copies, each at a cost of
	// Policy.StandbyGain.
	urgentCopy
	// copyClasses is the number of classes.
	copyClasses = int(iota)
)

// evictableNotCounted marks an entry of node.evictableBytes that has no value
// yet.
const evictableNotCounted = -1

// ensureFirstCopy plans a copy of a model that has none. It prefers a target
// with room for the model and its adapters, and evicts other copies or loads
// the model without its adapters if there is none. As a last resort it starts
// to move another model away.
func (p *plan) ensureFirstCopy(pl *placement) {
	if len(pl.copies) > 0 {
		return
	}
	if n := p.bestFreeNode(pl, pl.bytesWithAdapters()); n != nil {
		p.loadWithAdapters(n, pl)
		return
	}
	if p.evictFor(pl, pl.bytesWithAdapters(), firstCopy) {
		return
	}
	if n := p.bestFreeNode(pl, pl.bytes); n != nil {
		p.load(n, pl)
		return
	}
	if !p.evictFor(pl, pl.bytes, firstCopy) {
		p.relocateBlockingModel(pl)
	}
}

// ensureStandbyCopies plans one more copy of a model that has at least one and
// fewer than the given number.
func (p *plan) ensureStandbyCopies(pl *placement, count int) {
	if len(pl.copies) == 0 || len(pl.copies) >= count {
		return
	}
	if n := p.bestFreeNode(pl, pl.bytesWithAdapters()); n != nil {
		p.loadWithAdapters(n, pl)
		return
	}
	p.evictFor(pl, pl.bytesWithAdapters(), standbyCopy)
}

// ensureDataCentreSpread loads a copy in a further data centre if a target
// there has enough free memory.
func (p *plan) ensureDataCentreSpread(pl *placement) {
	if len(pl.copies) < 2 || !p.mayAddCopy(pl) || pl.dataCentresWithout(nil) >= min(pl.minCopies, p.dataCentres) {
		return
	}
	n := p.bestFreeNode(pl, pl.bytesWithAdapters())
	if n != nil && !pl.coversDataCentre(n.target.DataCentre) {
		p.load(n, pl)
	}
}

// loadWithAdapters loads a model and reserves memory for its adapters if they
// fit.
func (p *plan) loadWithAdapters(n *node, pl *placement) {
	p.load(n, pl)
	if adapterBytes := pl.bytesWithAdapters() - pl.bytes; adapterBytes <= n.freeLater {
		p.reserveMemory(n, adapterBytes)
	}
}

func (p *plan) mayAddCopy(pl *placement) bool {
	return pl.model.MaximumCopies == 0 || len(pl.copies) < pl.model.MaximumCopies
}

// bestFreeNode returns the best target for a new copy of a model that has the
// given free memory, counting memory that open unloads will free. It returns
// nil if there is none.
func (p *plan) bestFreeNode(pl *placement, bytes int64) *node {
	var best *node
	for _, n := range p.nodes {
		if n.freeLater < bytes || n.slots[pl.name] != nil || pl.isOn(n) {
			continue
		}
		if best == nil || p.isBetterNode(pl, n, best) {
			best = n
		}
	}
	return best
}

// isBetterNode prefers a target in a data centre without a copy of the model,
// then one on which the model fits now. Among the rest, a first copy goes to
// the most free memory and a further copy to the least.
func (p *plan) isBetterNode(pl *placement, a, b *node) bool {
	if coversA, coversB := pl.coversDataCentre(a.target.DataCentre), pl.coversDataCentre(b.target.DataCentre); coversA != coversB {
		return !coversA
	}
	if fitsA, fitsB := a.freeNow >= pl.bytes, b.freeNow >= pl.bytes; fitsA != fitsB {
		return fitsA
	}
	if len(pl.copies) > 0 {
		return a.freeLater < b.freeLater
	}
	return a.freeLater > b.freeLater
}

// evictFor orders the unload of evictable copies, so that a later plan has room
// for a model, and reserves that memory. It reports whether it found such
// copies, even if the move budget is too small to unload them.
func (p *plan) evictFor(pl *placement, bytes int64, c copyClass) bool {
	var best *node
	var bestSet victimSet
	for _, n := range p.nodes {
		if n.slots[pl.name] != nil || pl.isOn(n) {
			continue
		}
		set, ok := p.victimSet(n, bytes-n.freeLater, c)
		if c == standbyCopy && set.loss > p.in.Policy.MinimumGain/2 {
			continue
		}
		if !ok || (best != nil && !isCheaperEviction(pl, n, set, best, bestSet)) {
			continue
		}
		best, bestSet = n, set
	}
	if best == nil {
		return false
	}
	if p.moveBudget < len(bestSet.placements) {
		return true
	}
	p.unloadVictims(best, bestSet)
	p.loadWithAdapters(best, pl)
	return true
}

func (p *plan) unloadVictims(n *node, set victimSet) {
	for _, v := range set.placements {
		p.unload(n, v)
		p.moveBudget--
	}
}

// victimSet is a set of copies on one target that are selected for eviction.
type victimSet struct {
	placements []*placement
	loss       float64 // requests per second that the eviction costs
}

// isCheaperEviction prefers a target in a data centre without a copy of the
// model, then the smaller loss, the fewer victims and the less loaded target.
func isCheaperEviction(pl *placement, a *node, as victimSet, b *node, bs victimSet) bool {
	if coversA, coversB := pl.coversDataCentre(a.target.DataCentre), pl.coversDataCentre(b.target.DataCentre); coversA != coversB {
		return !coversA
	}
	return cmp.Or(cmp.Compare(as.loss, bs.loss), cmp.Compare(len(as.placements), len(bs.placements)),
		cmp.Compare(a.load, b.load)) < 0
}

// canEvictBytes reports whether the evictable copies on a target occupy at
// least the given memory.
func (p *plan) canEvictBytes(n *node, need int64, c copyClass) bool {
	if n.evictableBytes[c] == evictableNotCounted {
		n.evictableBytes[c] = 0
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			if s.Name.Adapter == "" && s.Stable && p.isEvictable(p.placements[s.Name], n, c) {
				n.evictableBytes[c] += s.Bytes
			}
		}
	}
	return n.evictableBytes[c] >= need
}

// victimSet returns copies on a target whose unload frees at least the given
// memory, lowest loss first. It reports whether there are enough.
func (p *plan) victimSet(n *node, need int64, c copyClass) (victimSet, bool) {
	type candidate struct {
		placement *placement
		bytes     int64
		loss      float64
	}
	if !p.canEvictBytes(n, need, c) {
		return victimSet{}, false
	}
	candidates := []candidate{}
	for i := range n.target.Slots {
		s := &n.target.Slots[i]
		if s.Name.Adapter != "" || !s.Stable {
			continue
		}
		if pl := p.placements[s.Name]; p.isEvictable(pl, n, c) {
			candidates = append(candidates, candidate{pl, s.Bytes, p.evictionLoss(pl, n)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.bytes, a.bytes))
	})
	set := victimSet{}
	for _, v := range candidates {
		if need <= 0 {
			break
		}
		if !v.placement.configured && p.isLastCopyAfter(v.placement, set) {
			continue
		}
		need -= v.bytes
		set.placements = append(set.placements, v.placement)
		set.loss += v.loss
	}
	return set, need <= 0 && len(set.placements) > 0
}

// isLastCopyAfter reports whether an old version of a configured model is the
// model's last copy after the eviction of a set.
func (p *plan) isLastCopyAfter(pl *placement, set victimSet) bool {
	left := p.loadedCopies[pl.name.Model]
	for _, v := range set.placements {
		if v.name.Model == pl.name.Model {
			left--
		}
	}
	return p.configuredOf(pl) != nil && left <= 1
}

// isEvictable reports whether the copy of a model on a target may be unloaded
// to make room for a copy of the given class.
func (p *plan) isEvictable(pl *placement, n *node, c copyClass) bool {
	if pl.pinned || !p.adaptersHeldElsewhere(pl, n) {
		return false
	}
	if !pl.configured {
		configuredVersion := p.configuredOf(pl)
		return configuredVersion == nil || configuredVersion.stableCopies > 0 || p.loadedCopies[pl.name.Model] > 1
	}
	if c == firstCopy {
		return pl.stableCopies > 1
	}
	return pl.stableCopies > p.copiesForRate(pl.peakRate) && (p.exceedsMinCopies(pl, n) || c == urgentCopy)
}

// exceedsMinCopies reports whether a model keeps its minimum number of copies
// and their spread over data centres without the copy on the given target.
func (p *plan) exceedsMinCopies(pl *placement, n *node) bool {
	spread := pl.dataCentresWithout(nil)
	return pl.stableCopies > pl.minCopies && (spread > pl.minCopies || pl.dataCentresWithout(n) == spread)
}

// evictionLoss returns the rate in requests per second that the unload of a
// copy costs: the demand that no other copy can serve, plus Policy.StandbyGain
// for a standby copy.
func (p *plan) evictionLoss(pl *placement, n *node) float64 {
	loss := p.unservedRateWithout(pl, n)
	if pl.configured && !p.exceedsMinCopies(pl, n) {
		loss += p.in.Policy.StandbyGain
	}
	return loss
}

// adaptersHeldElsewhere reports whether each configured adapter beside the copy
// of a model on a target is also loaded on another target.
func (p *plan) adaptersHeldElsewhere(pl *placement, n *node) bool {
	for _, s := range n.adaptersOf(pl.name) {
		a := p.placements[s.Name]
		if a == nil || !a.configured {
			continue
		}
		if s.Arriving || (s.Stable && a.stableCopies < 2) {
			return false
		}
	}
	return true
}

// copiesForRate returns the number of copies needed to serve a rate.
func (p *plan) copiesForRate(rate float64) int {
	if p.in.Policy.RequestsPerCopy <= 0 {
		return 1
	}
	return int(rate/p.in.Policy.RequestsPerCopy) + 1
}

// relocateBlockingModel loads a second copy of a model whose only copy occupies
// memory that pl needs. Once that copy is loaded, a later plan can unload the
// blocking one and load pl in its place.
func (p *plan) relocateBlockingModel(pl *placement) {
	for _, n := range p.nodes {
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			v := p.placements[s.Name]
			if s.Name.Adapter != "" || !s.Stable || n.freeLater+s.Bytes < pl.bytes || v == pl {
				continue
			}
			if len(v.copies) > 1 {
				v.pinned = true // keeps the other copies until the one here can be unloaded
				return
			}
			if to := p.bestFreeNode(v, v.bytesWithAdapters()); to != nil {
				p.load(to, v)
				return
			}
		}
	}
}

package planner

import (
	"cmp"
	"slices"
)

// class says what a copy is wanted for, and so which copies may make room for it.
type class int

const (
	// first may take any copy but the last of its model.
	first class = iota
	// standby may take copies beyond the least number that the demand does not need.
	standby
	// demanded is as standby, for a copy beyond the least number.
	demanded
	// urgent may take standby copies too, for a gain of Policy.StandbyGain each.
	urgent
	classes = int(iota)
)

const notCounted = -1

// ensureFirst sees to it that a model has a copy.
func (p *plan) ensureFirst(g *group) {
	if len(g.holders) > 0 {
		return
	}
	if n := p.roomiest(g, g.wholeBytes()); n != nil {
		p.loadWhole(n, g)
		return
	}
	if p.displace(g, g.wholeBytes(), first) {
		return
	}
	if n := p.roomiest(g, g.bytes); n != nil {
		p.load(n, g)
		return
	}
	if !p.displace(g, g.bytes, first) {
		p.relocate(g)
	}
}

// ensureStandby sees to it that a model has a number of copies.
func (p *plan) ensureStandby(g *group, copies int) {
	if len(g.holders) == 0 || len(g.holders) >= copies {
		return
	}
	if n := p.roomiest(g, g.wholeBytes()); n != nil {
		p.loadWhole(n, g)
		return
	}
	p.displace(g, g.wholeBytes(), standby)
}

// ensureSpread loads a copy in a further data centre where there is room.
func (p *plan) ensureSpread(g *group) {
	if len(g.holders) < 2 || !p.mayGrow(g) || g.centres(nil) >= min(g.least, p.dataCentres) {
		return
	}
	n := p.roomiest(g, g.wholeBytes())
	if n != nil && !g.covers(n.target.DataCentre) {
		p.load(n, g)
	}
}

// loadWhole loads a model and reserves memory for its adapters.
func (p *plan) loadWhole(n *node, g *group) {
	p.load(n, g)
	if whole := g.wholeBytes() - g.bytes; whole <= n.later {
		p.reserve(n, whole)
	}
}

func (p *plan) mayGrow(g *group) bool {
	return g.model.MaximumCopies == 0 || len(g.holders) < g.model.MaximumCopies
}

// roomiest returns the target that has, or will have, the most room for a model,
// one in a data centre without a copy before others.
func (p *plan) roomiest(g *group, bytes int64) *node {
	var best *node
	for _, n := range p.nodes {
		if n.later < bytes || n.slots[g.name] != nil || g.on(n) {
			continue
		}
		if best == nil || p.isRoomier(g, n, best) {
			best = n
		}
	}
	return best
}

func (p *plan) isRoomier(g *group, a, b *node) bool {
	if ca, cb := g.covers(a.target.DataCentre), g.covers(b.target.DataCentre); ca != cb {
		return !ca
	}
	if fa, fb := a.now >= g.bytes, b.now >= g.bytes; fa != fb {
		return fa
	}
	if len(g.holders) > 0 {
		return a.later < b.later
	}
	return a.later > b.later
}

// displace orders the unload of copies that can be spared, so that a later plan
// finds room for a model, and reserves that room. It reports whether it found
// such copies.
func (p *plan) displace(g *group, bytes int64, c class) bool {
	var best *node
	var bestSet victims
	for _, n := range p.nodes {
		if n.slots[g.name] != nil || g.on(n) {
			continue
		}
		set, ok := p.victims(n, bytes-n.later, c)
		if c == standby && set.loss > p.in.Policy.MinimumGain/2 {
			continue
		}
		if !ok || (best != nil && !isCheaper(g, n, set, best, bestSet)) {
			continue
		}
		best, bestSet = n, set
	}
	if best == nil {
		return false
	}
	if p.moveBudget < len(bestSet.groups) {
		return true
	}
	p.unloadAll(best, bestSet)
	p.loadWhole(best, g)
	return true
}

func (p *plan) unloadAll(n *node, set victims) {
	for _, v := range set.groups {
		p.unload(n, v)
		p.moveBudget--
	}
}

// victims are copies on one target that can be spared.
type victims struct {
	groups []*group
	loss   float64 // requests per second that the other copies can't take over
}

func isCheaper(g *group, a *node, as victims, b *node, bs victims) bool {
	if ca, cb := g.covers(a.target.DataCentre), g.covers(b.target.DataCentre); ca != cb {
		return !ca
	}
	return cmp.Or(cmp.Compare(as.loss, bs.loss), cmp.Compare(len(as.groups), len(bs.groups)),
		cmp.Compare(a.load, b.load)) < 0
}

// mayFree reports whether copies that may go can free the bytes needed.
func (p *plan) mayFree(n *node, need int64, c class) bool {
	if n.spare[c] == notCounted {
		n.spare[c] = 0
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			if s.Name.Adapter == "" && s.Stable && p.isSpare(p.groups[s.Name], n, c) {
				n.spare[c] += s.Bytes
			}
		}
	}
	return n.spare[c] >= need
}

// victims returns copies whose unload frees the bytes needed, the cheapest first.
func (p *plan) victims(n *node, need int64, c class) (victims, bool) {
	type candidate struct {
		group *group
		bytes int64
		loss  float64
	}
	if !p.mayFree(n, need, c) {
		return victims{}, false
	}
	candidates := []candidate{}
	for i := range n.target.Slots {
		s := &n.target.Slots[i]
		if s.Name.Adapter != "" || !s.Stable {
			continue
		}
		if g := p.groups[s.Name]; p.isSpare(g, n, c) {
			candidates = append(candidates, candidate{g, s.Bytes, p.lossOf(g, n)})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(a.loss, b.loss), cmp.Compare(b.bytes, a.bytes))
	})
	set := victims{}
	for _, v := range candidates {
		if need <= 0 {
			break
		}
		if !v.group.configured && p.isLastWith(v.group, set) {
			continue
		}
		need -= v.bytes
		set.groups = append(set.groups, v.group)
		set.loss += v.loss
	}
	return set, need <= 0 && len(set.groups) > 0
}

// isLastWith reports whether an old version is the last copy of its model once the
// copies of a set are gone.
func (p *plan) isLastWith(g *group, set victims) bool {
	left := p.loaded[g.name.Model]
	for _, v := range set.groups {
		if v.name.Model == g.name.Model {
			left--
		}
	}
	return p.configuredOf(g) != nil && left <= 1
}

// isSpare reports whether the copy of a model on a target may go for a copy of
// the class.
func (p *plan) isSpare(g *group, n *node, c class) bool {
	if g.pinned || !p.keepsAdapters(g, n) {
		return false
	}
	if !g.configured {
		current := p.configuredOf(g)
		return current == nil || current.stable > 0 || p.loaded[g.name.Model] > 1
	}
	if c == first {
		return g.stable > 1
	}
	return g.stable > p.copiesFor(g.floor) && (p.isBeyondLeast(g, n) || c == urgent)
}

// isBeyondLeast reports whether a model keeps its least number of copies and
// their spread over data centres without the copy on a target.
func (p *plan) isBeyondLeast(g *group, n *node) bool {
	spread := g.centres(nil)
	return g.stable > g.least && (spread > g.least || g.centres(n) == spread)
}

// lossOf is the rate in requests per second that the unload of a copy costs.
func (p *plan) lossOf(g *group, n *node) float64 {
	loss := p.lossWithout(g, n)
	if g.configured && !p.isBeyondLeast(g, n) {
		loss += p.in.Policy.StandbyGain
	}
	return loss
}

// keepsAdapters reports whether each configured adapter of a model has a copy on
// another target.
func (p *plan) keepsAdapters(g *group, n *node) bool {
	for _, s := range n.adaptersOf(g.name) {
		a := p.groups[s.Name]
		if a == nil || !a.configured {
			continue
		}
		if s.Arriving || (s.Stable && a.stable < 2) {
			return false
		}
	}
	return true
}

// copiesFor is the number of copies that serve a rate.
func (p *plan) copiesFor(rate float64) int {
	if p.in.Policy.RequestsPerCopy <= 0 {
		return 1
	}
	return int(rate/p.in.Policy.RequestsPerCopy) + 1
}

// relocate loads the only copy of another model on a further target, so that a
// later plan can unload it where a model without a copy then finds room.
func (p *plan) relocate(g *group) {
	for _, n := range p.nodes {
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			v := p.groups[s.Name]
			if s.Name.Adapter != "" || !s.Stable || n.later+s.Bytes < g.bytes || v == g {
				continue
			}
			if len(v.holders) > 1 {
				v.pinned = true // until the copy here can go
				return
			}
			if to := p.roomiest(v, v.wholeBytes()); to != nil {
				p.load(to, v)
				return
			}
		}
	}
}

package planner

import (
	"cmp"
	"slices"
)

const (
	// sweeps is how often the demand is divided anew until the loads are level.
	sweeps = 3
	// mostTried bounds the models for which one step looks for a target.
	mostTried = 16
)

// serveDemand loads further copies of models whose targets are expected to be
// overloaded, the copy that relieves most first, for as long as one relieves at
// least gain. The copies may take the place of standby copies if overStandby is set.
func (p *plan) serveDemand(gain float64, overStandby bool) {
	if p.in.Policy.RequestsPerCopy <= 0 {
		return
	}
	c := demanded
	if overStandby {
		c = urgent
	}
	p.level()
	for p.moveBudget > 0 && p.loadBudget > 0 && p.relieve(gain, c) {
		p.level()
	}
}

// divide divides the demand for each model over its copies.
func (p *plan) divide() {
	for _, g := range p.models {
		for i := range g.holders {
			h := &g.holders[i]
			h.share = g.rate / float64(len(g.holders))
			h.node.load += h.share
		}
	}
	for range sweeps {
		p.level()
	}
}

// level divides the demand for each model again, so that the loads of its
// targets become as equal as the other models allow.
func (p *plan) level() {
	for _, g := range p.models {
		if len(g.holders) > 0 && g.rate > 0 {
			g.pour()
		}
	}
}

// pour fills the targets of a model with its demand from the least loaded up.
func (g *group) pour() {
	for i := range g.holders {
		h := &g.holders[i]
		h.node.load -= h.share
		h.share = 0
	}
	slices.SortFunc(g.holders, func(a, b holder) int {
		return cmp.Or(cmp.Compare(a.node.load, b.node.load), cmp.Compare(a.node.target.ID, b.node.target.ID))
	})
	left := g.rate
	n := 1
	level := g.holders[0].node.load
	for ; n < len(g.holders); n++ {
		next := g.holders[n].node.load
		step := (next - level) * float64(n)
		if step >= left {
			break
		}
		left -= step
		level = next
	}
	level += left / float64(n)
	for i := range g.holders[:n] {
		h := &g.holders[i]
		h.share = level - h.node.load
		h.node.load = level
	}
}

// overflow is the part of a model's demand that its targets are not expected to
// serve well.
func (p *plan) overflow(g *group) float64 {
	total := 0.0
	for _, h := range g.holders {
		total += min(h.share, max(0, h.node.load-p.in.Policy.RequestsPerCopy))
	}
	return total
}

// relieve orders the load that takes most from overloaded targets, or the unloads
// that make room for it. It reports whether it found one worth its cost.
func (p *plan) relieve(gain float64, c class) bool {
	type choice struct {
		group    *group
		overflow float64
	}
	choices := []choice{}
	for _, g := range p.models {
		if over := p.overflow(g); over >= gain && over > 0 && p.mayGrow(g) {
			choices = append(choices, choice{g, over})
		}
	}
	slices.SortStableFunc(choices, func(a, b choice) int { return cmp.Compare(b.overflow, a.overflow) })
	for _, ch := range choices[:min(len(choices), mostTried)] {
		if p.relieveGroup(ch.group, ch.overflow, gain, c) {
			return true
		}
	}
	return false
}

func (p *plan) relieveGroup(g *group, overflow, least float64, c class) bool {
	var best *node
	var bestSet victims
	bestGain := 0.0
	for _, n := range p.nodes {
		if n.slots[g.name] != nil || g.on(n) {
			continue
		}
		gain := min(overflow, p.in.Policy.RequestsPerCopy-n.load)
		if gain < least || gain <= bestGain {
			continue
		}
		set := victims{}
		if n.later < g.wholeBytes() {
			var ok bool
			set, ok = p.victims(n, g.wholeBytes()-n.later, c)
			gain -= set.loss
			if !ok || gain < p.in.Policy.MinimumGain || gain <= bestGain {
				continue
			}
		}
		best, bestSet, bestGain = n, set, gain
	}
	if best == nil || len(bestSet.groups) > p.moveBudget {
		return false
	}
	p.unloadAll(best, bestSet)
	p.load(best, g)
	return true
}

// lossWithout is the rate that the other copies of a model can't take over.
func (p *plan) lossWithout(g *group, n *node) float64 {
	share, headroom := 0.0, 0.0
	for _, h := range g.holders {
		if h.node == n {
			share = h.share
			continue
		}
		headroom += max(0, p.in.Policy.RequestsPerCopy-h.node.load)
	}
	return max(0, share-headroom)
}

package planner

import (
	"cmp"
	"slices"
)

const (
	// levelingPasses is the number of times that divideDemand redistributes the
	// demand to balance the load of targets.
	levelingPasses = 3
	// maxModelsTried limits the models for which one call of relieveOverload
	// searches for a target.
	maxModelsTried = 16
)

// serveDemand loads further copies of models whose targets are expected to be
// overloaded, the copy that relieves the most first, as long as a copy relieves
// at least gain. With evictStandby, these copies may replace standby copies.
func (p *plan) serveDemand(gain float64, evictStandby bool) {
	if p.in.Policy.RequestsPerCopy <= 0 {
		return
	}
	c := demandCopy
	if evictStandby {
		c = urgentCopy
	}
	p.levelDemand()
	for p.moveBudget > 0 && p.loadBudget > 0 && p.relieveOverload(gain, c) {
		p.levelDemand()
	}
}

// divideDemand divides the demand for each model among its copies.
func (p *plan) divideDemand() {
	for _, pl := range p.models {
		for i := range pl.copies {
			cp := &pl.copies[i]
			cp.assignedRate = pl.rate / float64(len(pl.copies))
			cp.node.load += cp.assignedRate
		}
	}
	for range levelingPasses {
		p.levelDemand()
	}
}

// levelDemand divides the demand for each model again, so that the rates of its
// targets become as equal as the demand for other models allows.
func (p *plan) levelDemand() {
	for _, pl := range p.models {
		if len(pl.copies) > 0 && pl.rate > 0 {
			pl.waterFill()
		}
	}
}

// waterFill assigns the demand for a model to its targets so that the least
// loaded ones are raised to a common rate.
func (pl *placement) waterFill() {
	for i := range pl.copies {
		cp := &pl.copies[i]
		cp.node.load -= cp.assignedRate
		cp.assignedRate = 0
	}
	slices.SortFunc(pl.copies, func(a, b placedCopy) int {
		return cmp.Or(cmp.Compare(a.node.load, b.node.load), cmp.Compare(a.node.target.ID, b.node.target.ID))
	})
	left := pl.rate
	n := 1
	level := pl.copies[0].node.load
	for ; n < len(pl.copies); n++ {
		next := pl.copies[n].node.load
		step := (next - level) * float64(n)
		if step >= left {
			break
		}
		left -= step
		level = next
	}
	level += left / float64(n)
	for i := range pl.copies[:n] {
		cp := &pl.copies[i]
		cp.assignedRate = level - cp.node.load
		cp.node.load = level
	}
}

// overflow returns the part of the demand for a model that exceeds the capacity
// of its targets, in requests per second.
func (p *plan) overflow(pl *placement) float64 {
	total := 0.0
	for _, cp := range pl.copies {
		total += min(cp.assignedRate, max(0, cp.node.load-p.in.Policy.RequestsPerCopy))
	}
	return total
}

// relieveOverload orders the load that relieves overloaded targets the most, or
// the unloads that make room for it. It reports whether it found a copy that
// relieves at least gain.
func (p *plan) relieveOverload(gain float64, c copyClass) bool {
	type candidate struct {
		placement *placement
		overflow  float64
	}
	candidates := []candidate{}
	for _, pl := range p.models {
		if over := p.overflow(pl); over >= gain && over > 0 && p.mayAddCopy(pl) {
			candidates = append(candidates, candidate{pl, over})
		}
	}
	slices.SortStableFunc(candidates, func(a, b candidate) int { return cmp.Compare(b.overflow, a.overflow) })
	for _, ch := range candidates[:min(len(candidates), maxModelsTried)] {
		if p.relieveModel(ch.placement, ch.overflow, gain, c) {
			return true
		}
	}
	return false
}

// relieveModel adds a copy of a model on the target where it relieves the
// others the most, after the loss by evictions there. The gain before that loss
// must be at least minGain, and the gain after it at least Policy.MinimumGain.
// It reports whether it found such a target within the move budget.
func (p *plan) relieveModel(pl *placement, overflow, minGain float64, c copyClass) bool {
	var best *node
	var bestSet victimSet
	bestGain := 0.0
	for _, n := range p.nodes {
		if n.slots[pl.name] != nil || pl.isOn(n) {
			continue
		}
		gain := min(overflow, p.in.Policy.RequestsPerCopy-n.load)
		if gain < minGain || gain <= bestGain {
			continue
		}
		set := victimSet{}
		if n.freeLater < pl.bytesWithAdapters() {
			var ok bool
			set, ok = p.victimSet(n, pl.bytesWithAdapters()-n.freeLater, c)
			gain -= set.loss
			if !ok || gain < p.in.Policy.MinimumGain || gain <= bestGain {
				continue
			}
		}
		best, bestSet, bestGain = n, set, gain
	}
	if best == nil || len(bestSet.placements) > p.moveBudget {
		return false
	}
	p.unloadVictims(best, bestSet)
	p.load(best, pl)
	return true
}

// unservedRateWithout returns the part of the demand served by the copy on a
// target that the other copies have no capacity for, in requests per second.
func (p *plan) unservedRateWithout(pl *placement, n *node) float64 {
	assignedRate, headroom := 0.0, 0.0
	for _, cp := range pl.copies {
		if cp.node == n {
			assignedRate = cp.assignedRate
			continue
		}
		headroom += max(0, p.in.Policy.RequestsPerCopy-cp.node.load)
	}
	return max(0, assignedRate-headroom)
}

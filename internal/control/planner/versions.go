package planner

import (
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// unloadReplaced unloads what is no longer configured. An old version of a model
// stays until the configured one has the copies that it must have, and an old
// adapter until each configured adapter of its model is loaded.
func (p *plan) unloadReplaced() {
	for _, n := range p.nodes {
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			g := p.groups[s.Name]
			if !s.Stable {
				continue
			}
			if s.Name.Adapter == "" && !g.configured && p.isReplaced(g) {
				p.unload(n, g)
			}
			if s.Name.Adapter != "" && p.isUseless(n, g) {
				p.unloadOne(n, g)
			}
		}
	}
}

// configuredOf returns the configured version of the model of a group, or nil.
func (p *plan) configuredOf(g *group) *group {
	m, ok := p.in.Catalog.Models[g.name.Model]
	if !ok {
		return nil
	}
	return p.groups[nameOf(m)]
}

func (p *plan) isReplaced(g *group) bool {
	current := p.configuredOf(g)
	return current == nil || current.stable >= min(current.least, len(p.nodes))
}

// isUseless reports whether an adapter on a target serves nobody: its model is
// not there, or it is not configured and each one that is has a copy.
func (p *plan) isUseless(n *node, a *group) bool {
	if n.slots[a.name.Base()] == nil {
		return !a.configured || a.stable > 1
	}
	if a.configured {
		return false
	}
	base := p.groups[keeper.Name{Model: a.name.Model, Version: a.name.Version}]
	if base == nil || !base.configured {
		return false // goes with its model
	}
	for _, other := range base.adapters {
		if other.stable == 0 {
			return false
		}
	}
	return true
}

package planner

import (
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// unloadUnconfigured unloads versions and adapters that are no longer
// configured. An old version of a model is kept until the configured version
// has its minimum number of copies, and an old adapter until every configured
// adapter of its model is loaded.
func (p *plan) unloadUnconfigured() {
	for _, n := range p.nodes {
		for i := range n.target.Slots {
			s := &n.target.Slots[i]
			pl := p.placements[s.Name]
			if !s.Stable {
				continue
			}
			if s.Name.Adapter == "" && !pl.configured && p.isReplaced(pl) {
				p.unload(n, pl)
			}
			if s.Name.Adapter != "" && p.isUnneededAdapter(n, pl) {
				p.unloadCopy(n, pl)
			}
		}
	}
}

// configuredOf returns the placement of the configured version of a model, or
// nil if the model is not configured.
func (p *plan) configuredOf(pl *placement) *placement {
	m, ok := p.in.Catalog.Models[pl.name.Model]
	if !ok {
		return nil
	}
	return p.placements[nameOf(m)]
}

// isReplaced reports whether the model of an old version is no longer
// configured, or its configured version has its minimum number of copies.
func (p *plan) isReplaced(pl *placement) bool {
	configuredVersion := p.configuredOf(pl)
	return configuredVersion == nil || configuredVersion.stableCopies >= min(configuredVersion.minCopies, len(p.nodes))
}

// isUnneededAdapter reports whether an adapter on a target can be unloaded: its
// model is not on the target, or the adapter is not configured and every
// configured adapter of the model has a copy. A configured adapter without its
// model there is kept if it is the only copy.
func (p *plan) isUnneededAdapter(n *node, a *placement) bool {
	if n.slots[a.name.Base()] == nil {
		return !a.configured || a.stableCopies > 1
	}
	if a.configured {
		return false
	}
	base := p.placements[keeper.Name{Model: a.name.Model, Version: a.name.Version}]
	if base == nil || !base.configured {
		return false // unloaded together with its model
	}
	for _, other := range base.adapters {
		if other.stableCopies == 0 {
			return false
		}
	}
	return true
}

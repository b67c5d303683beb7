// Package planner decides which models and adapters to load on and unload from
// which targets. Plan is a pure function of its input: it has no clock, no
// randomness and no state. History adds a demand forecast that carries over
// between plans.
package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Slot is a model or adapter that occupies memory of a target. A Slot that is
// neither Stable nor Arriving has an open unload order.
type Slot struct {
	Name  keeper.Name
	Bytes int64
	// Stable reports whether the name is loaded and has no open order.
	Stable bool
	// Arriving reports whether the name has an open load order.
	Arriving bool
}

// Target is the state of a target that a plan uses.
type Target struct {
	ID         string
	DataCentre string
	// MemoryBytes is the memory available for slots, without the memory that
	// the engine reserves for itself.
	MemoryBytes int64
	Slots       []Slot
	// Usable reports whether orders may be sent to the target: it sends status
	// reports and is not leaving.
	Usable bool
}

// Input is everything that a plan depends on.
type Input struct {
	Now     time.Time
	Catalog *keeper.Catalog
	Targets []Target
	// Rates is the expected demand in requests per second, by model name, and
	// by MODEL:ADAPTER for adapters.
	Rates map[string]float64
	// PeakRates is the recent peak demand in requests per second, by model.
	// Copies that the peak needs are unloaded only for the first copy of
	// another model. A model without an entry uses its value in Rates.
	PeakRates map[string]float64
	Policy    Policy
}

// Kind is the kind of a move.
type Kind string

// Kinds of move.
const (
	Load   Kind = "Load"
	Unload Kind = "Unload"
)

// Move is one load or unload.
type Move struct {
	Kind   Kind
	Target string
	Name   keeper.Name
	Bytes  int64
}

// plan is the working state of one call of Plan.
type plan struct {
	in    Input
	nodes []*node // usable targets in the order of their IDs
	// loadedCopies is the number of loaded copies by model, all versions
	// together.
	loadedCopies      map[string]int
	placements        map[keeper.Name]*placement
	models            []*placement // configured models, highest rate first
	dataCentres       int          // number of data centres with usable targets
	moves             []Move
	moveBudget        int // model moves that this plan may still order
	loadBudget        int // model loads that this plan may still order
	adapterLoadBudget int // adapter loads that this plan may still order
	// reservations is the memory reserved for adapters, released when
	// placeAdapters runs.
	reservations []reservation
}

// Plan returns the moves to order now, in order of priority. No move
// removes the last copy of a configured model or adapter, and the loads never
// exceed the memory of a target.
func Plan(in Input) []Move {
	p := newPlan(in)
	p.unloadUnconfigured()
	p.reserveAdapters()
	p.divideDemand()
	for _, pl := range p.models {
		p.ensureFirstCopy(pl)
	}
	if gain := p.in.Policy.StandbyGain; gain > 0 {
		p.serveDemand(gain+p.in.Policy.MinimumGain/2, true)
	}
	for copies := 2; copies <= p.highestMinCopies(); copies++ {
		for _, pl := range p.modelsBySize() {
			p.ensureStandbyCopies(pl, min(copies, pl.minCopies))
		}
	}
	for _, pl := range p.models {
		p.ensureDataCentreSpread(pl)
	}
	p.serveDemand(p.in.Policy.MinimumGain, false)
	p.placeAdapters()
	return p.moves
}

// highestMinCopies returns the highest minimum number of copies of any model.
func (p *plan) highestMinCopies() int {
	highest := 0
	for _, pl := range p.models {
		highest = max(highest, pl.minCopies)
	}
	return highest
}

func (p *plan) appendMove(kind Kind, n *node, pl *placement) {
	p.moves = append(p.moves, Move{Kind: kind, Target: n.target.ID, Name: pl.name, Bytes: pl.bytesOn(n)})
}

// load orders the load of a model or, when no load may be ordered now, only
// reserves memory for it. In both cases the plan counts the copy as arriving.
func (p *plan) load(n *node, pl *placement) {
	if n.freeNow >= pl.bytes && p.loadBudget > 0 && p.moveBudget > 0 {
		p.appendMove(Load, n, pl)
		p.loadBudget--
		p.moveBudget--
		n.freeNow -= pl.bytes
	}
	n.freeLater -= pl.bytes
	pl.add(n, &Slot{Name: pl.name, Bytes: pl.bytes, Arriving: true})
}

// unload orders the unload of a copy of a model and of the model's adapters on
// the same target.
func (p *plan) unload(n *node, pl *placement) {
	for _, s := range n.adaptersOf(pl.name) {
		if s.Stable {
			p.unloadCopy(n, p.placements[s.Name])
		}
	}
	p.unloadCopy(n, pl)
}

func (p *plan) unloadCopy(n *node, pl *placement) {
	s := n.slots[pl.name]
	p.appendMove(Unload, n, pl)
	n.freeLater += s.Bytes
	pl.remove(n)
	s.Stable = false
	if pl.name.Adapter == "" {
		p.loadedCopies[pl.name.Model]--
	}
}

// sortModels sorts models by descending rate.
func sortModels(models []*placement) {
	slices.SortFunc(models, func(a, b *placement) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name.Model, b.name.Model))
	})
}

// modelsBySize returns the models in descending order of memory, because the
// largest ones fit on the fewest targets.
func (p *plan) modelsBySize() []*placement {
	models := slices.Clone(p.models)
	slices.SortStableFunc(models, func(a, b *placement) int { return cmp.Compare(b.bytesWithAdapters(), a.bytesWithAdapters()) })
	return models
}

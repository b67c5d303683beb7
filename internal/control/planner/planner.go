// Package planner decides which model and adapter belongs on which target. It
// is a pure function over tables: it has no clock, no randomness and no state.
package planner

import (
	"cmp"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Slot is a name that counts against the memory of a target. One that is neither
// stable nor arriving has an open order to unload it.
type Slot struct {
	Name  keeper.Name
	Bytes int64
	// Stable tells that the name is loaded and that no order on it is open.
	Stable bool
	// Arriving tells that an order to load it is open.
	Arriving bool
}

// Target is a target as the planner sees it.
type Target struct {
	ID         string
	DataCentre string
	// MemoryBytes may be filled by slots; what the engine keeps for itself is
	// taken off already.
	MemoryBytes int64
	Slots       []Slot
	// Usable tells that orders may be sent to it: it reports and does not leave.
	Usable bool
}

// Input is all that a plan depends on.
type Input struct {
	Now     time.Time
	Catalog *keeper.Catalog
	Targets []Target
	// Rates are the requests per second expected for each model, and for each
	// adapter under the name MODEL:ADAPTER.
	Rates map[string]float64
	// Floors are the requests per second by model that copies are kept for. A
	// model without a floor has that of its rate.
	Floors map[string]float64
	Policy Policy
}

// Kind says what a move does.
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

// plan is the working state of one run.
type plan struct {
	in    Input
	nodes []*node // usable targets in the order of their IDs
	// loaded counts the loaded copies of each model, of whatever version.
	loaded      map[string]int
	groups      map[keeper.Name]*group
	models      []*group // configured models, the most demanded first
	dataCentres int      // with usable targets
	moves       []Move
	moveBudget  int // moves of models that may still be ordered
	loadBudget  int // loads of models that may still be ordered
	adapters    int // loads of adapters that may still be ordered
	// reservations are those for adapters, until these are placed.
	reservations []reservation
}

// Plan returns the moves to order now, the most valuable first. No move takes
// the last copy of a configured model or adapter, and no target is given more
// than its memory.
func Plan(in Input) []Move {
	p := newPlan(in)
	p.unloadReplaced()
	p.reserveAdapters()
	p.divide()
	for _, g := range p.models {
		p.ensureFirst(g)
	}
	if gain := p.in.Policy.StandbyGain; gain > 0 {
		p.serveDemand(gain+p.in.Policy.MinimumGain/2, true)
	}
	for copies := 2; copies <= p.mostLeast(); copies++ {
		for _, g := range p.largest() {
			p.ensureStandby(g, min(copies, g.least))
		}
	}
	for _, g := range p.models {
		p.ensureSpread(g)
	}
	p.serveDemand(p.in.Policy.MinimumGain, false)
	p.placeAdapters()
	return p.moves
}

// mostLeast is the largest number of copies that any model must have.
func (p *plan) mostLeast() int {
	most := 0
	for _, g := range p.models {
		most = max(most, g.least)
	}
	return most
}

// order appends a move.
func (p *plan) order(kind Kind, n *node, g *group) {
	p.moves = append(p.moves, Move{Kind: kind, Target: n.target.ID, Name: g.name, Bytes: g.bytesOn(n)})
}

// load orders a load of a model, or only reserves its memory when no load may be
// ordered now. Either way the copy counts as coming.
func (p *plan) load(n *node, g *group) {
	if n.now >= g.bytes && p.loadBudget > 0 && p.moveBudget > 0 {
		p.order(Load, n, g)
		p.loadBudget--
		p.moveBudget--
		n.now -= g.bytes
	}
	n.later -= g.bytes
	g.add(n, &Slot{Name: g.name, Bytes: g.bytes, Arriving: true})
}

// unload orders the unload of a copy of a model with its adapters there.
func (p *plan) unload(n *node, g *group) {
	for _, s := range n.adaptersOf(g.name) {
		if s.Stable {
			p.unloadOne(n, p.groups[s.Name])
		}
	}
	p.unloadOne(n, g)
}

func (p *plan) unloadOne(n *node, g *group) {
	s := n.slots[g.name]
	p.order(Unload, n, g)
	n.later += s.Bytes
	g.remove(n)
	s.Stable = false
	if g.name.Adapter == "" {
		p.loaded[g.name.Model]--
	}
}

// sortModels puts the most demanded models first.
func sortModels(models []*group) {
	slices.SortFunc(models, func(a, b *group) int {
		return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name.Model, b.name.Model))
	})
}

// largest returns the models, those that take most memory first, since they fit
// in the fewest places.
func (p *plan) largest() []*group {
	models := slices.Clone(p.models)
	slices.SortStableFunc(models, func(a, b *group) int { return cmp.Compare(b.wholeBytes(), a.wholeBytes()) })
	return models
}

// Package planner decides which model and adapter belongs on which target. It
// is a pure function over tables: it has no clock, no randomness and no state.
package planner

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Slot is a name that counts against the memory of a target.
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

func (t *Target) freeBytes() int64 {
	free := t.MemoryBytes
	for _, s := range t.Slots {
		free -= s.Bytes
	}
	return free
}

func (t *Target) slot(name keeper.Name) *Slot {
	for i := range t.Slots {
		if t.Slots[i].Name == name {
			return &t.Slots[i]
		}
	}
	return nil
}

// Policy holds what operators set.
type Policy struct {
	// RequestsPerCopy is the rate that one copy of a model serves well.
	RequestsPerCopy float64
	// MostMoves bounds the loads and unloads of models that one plan orders.
	MostMoves int
}

// DefaultPolicy is used where the settings say nothing.
func DefaultPolicy() Policy {
	return Policy{RequestsPerCopy: 8, MostMoves: 4}
}

// Input is all that a plan depends on. Rates are requests per second by model name.
type Input struct {
	Now     time.Time
	Catalog *keeper.Catalog
	Targets []Target
	Rates   map[string]float64
	Policy  Policy
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
	moves []Move
	left  int // moves of models that may still be ordered
}

// Plan returns the moves to order now. No move takes the last copy of a
// configured model, and no target is given more than its memory.
func Plan(in Input) []Move {
	p := &plan{in: in, left: in.Policy.MostMoves}
	p.in.Targets = cloneTargets(in.Targets)
	names := slices.Sorted(maps.Keys(in.Catalog.Models))
	for _, name := range names {
		p.ensureCopies(in.Catalog.Models[name], 1)
	}
	for _, name := range names {
		p.ensureCopies(in.Catalog.Models[name], in.Catalog.Models[name].Copies)
	}
	for _, name := range names {
		p.ensureCopies(in.Catalog.Models[name], p.wanted(in.Catalog.Models[name]))
	}
	for _, name := range names {
		p.placeAdapters(in.Catalog.Models[name])
	}
	p.unloadStrangers()
	return p.moves
}

func cloneTargets(targets []Target) []Target {
	out := slices.Clone(targets)
	for i := range out {
		out[i].Slots = slices.Clone(out[i].Slots)
	}
	slices.SortFunc(out, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	return out
}

func nameOf(m keeper.Model) keeper.Name {
	return keeper.Name{Model: m.Name, Version: m.Version}
}

// wanted is the number of copies that the demand asks for.
func (p *plan) wanted(m keeper.Model) int {
	copies := m.Copies
	if p.in.Policy.RequestsPerCopy > 0 {
		copies = max(copies, int(p.in.Rates[m.Name]/p.in.Policy.RequestsPerCopy)+1)
	}
	if m.MaximumCopies > 0 {
		copies = min(copies, m.MaximumCopies)
	}
	return copies
}

// ensureCopies loads a model until it has the copies wanted, in other data
// centres first. A first copy may displace a spare copy of another model.
func (p *plan) ensureCopies(m keeper.Model, wanted int) {
	name := nameOf(m)
	for p.left > 0 && p.copies(name, true) < wanted {
		t := p.roomiest(name, m.Bytes)
		if t == nil {
			if p.copies(name, true) == 0 {
				p.displace(m)
			}
			return
		}
		p.load(t, name, m.Bytes)
		p.left--
	}
}

// copies counts the targets that hold a name, with or without those that load it.
func (p *plan) copies(name keeper.Name, arriving bool) int {
	n := 0
	for i := range p.in.Targets {
		s := p.in.Targets[i].slot(name)
		if s != nil && p.in.Targets[i].Usable && (s.Stable || (arriving && s.Arriving)) {
			n++
		}
	}
	return n
}

func (p *plan) load(t *Target, name keeper.Name, bytes int64) {
	t.Slots = append(t.Slots, Slot{Name: name, Bytes: bytes, Arriving: true})
	p.moves = append(p.moves, Move{Kind: Load, Target: t.ID, Name: name, Bytes: bytes})
}

func (p *plan) unload(t *Target, s *Slot) {
	s.Stable = false
	p.moves = append(p.moves, Move{Kind: Unload, Target: t.ID, Name: s.Name, Bytes: s.Bytes})
}

// roomiest returns the target with the most free memory that can take a name,
// one in a data centre without a copy before others.
func (p *plan) roomiest(name keeper.Name, bytes int64) *Target {
	covered := map[string]bool{}
	for i := range p.in.Targets {
		if p.in.Targets[i].Usable && p.in.Targets[i].slot(name) != nil {
			covered[p.in.Targets[i].DataCentre] = true
		}
	}
	var best *Target
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if !t.Usable || t.slot(name) != nil || t.freeBytes() < bytes {
			continue
		}
		if best == nil || isBetter(t, best, covered) {
			best = t
		}
	}
	return best
}

func isBetter(a, b *Target, covered map[string]bool) bool {
	if covered[a.DataCentre] != covered[b.DataCentre] {
		return !covered[a.DataCentre]
	}
	return a.freeBytes() > b.freeBytes()
}

// displace orders the unload of a spare copy, so that a later plan finds room.
func (p *plan) displace(m keeper.Model) {
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if !t.Usable {
			continue
		}
		for j := range t.Slots {
			s := &t.Slots[j]
			if s.Stable && s.Name.Adapter == "" && t.freeBytes()+s.Bytes >= m.Bytes && p.copies(s.Name, false) > 1 {
				p.unload(t, s)
				p.left--
				return
			}
		}
	}
}

// placeAdapters loads the adapters of a model wherever it is and room permits.
func (p *plan) placeAdapters(m keeper.Model) {
	base := nameOf(m)
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		s := t.slot(base)
		if !t.Usable || s == nil || !s.Stable {
			continue
		}
		for _, a := range p.in.Catalog.Adapters[m.Name] {
			name := keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}
			if t.slot(name) == nil && t.freeBytes() >= a.Bytes {
				p.load(t, name, a.Bytes)
			}
		}
	}
}

// unloadStrangers unloads what is no longer configured. An old version of a
// model stays until the configured one is loaded somewhere.
func (p *plan) unloadStrangers() {
	for i := range p.in.Targets {
		t := &p.in.Targets[i]
		if !t.Usable {
			continue
		}
		for j := range t.Slots {
			s := &t.Slots[j]
			if s.Stable && !p.isConfigured(s.Name) && p.isReplaced(s.Name) {
				p.unload(t, s)
			}
		}
	}
}

func (p *plan) isConfigured(name keeper.Name) bool {
	m, ok := p.in.Catalog.Models[name.Model]
	if !ok || m.Version != name.Version {
		return false
	}
	if name.Adapter == "" {
		return true
	}
	return slices.ContainsFunc(p.in.Catalog.Adapters[name.Model], func(a keeper.Adapter) bool {
		return a.FullName() == name.Adapter
	})
}

func (p *plan) isReplaced(name keeper.Name) bool {
	m, ok := p.in.Catalog.Models[name.Model]
	return !ok || p.copies(nameOf(m), false) > 0
}

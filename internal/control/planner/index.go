package planner

import (
	"cmp"
	"slices"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// node is a usable target with the state that the plan adds to it.
type node struct {
	target *Target
	slots  map[keeper.Name]*Slot
	// freeNow is the memory that no slot occupies. freeLater is the memory that
	// will be free once open unloads are done, less reservations.
	freeNow   int64
	freeLater int64
	// load is the demand assigned to the copies here, in requests per second.
	load float64
	// evictableBytes is the memory of evictable copies by class, or
	// evictableNotCounted. It is computed once; a copy that becomes evictable
	// later is counted by the next plan.
	evictableBytes [copyClasses]int64
	// adapterBytes is the memory of the adapters here.
	adapterBytes int64
}

// freeForLoad returns the memory that a load may use now.
func (n *node) freeForLoad() int64 { return min(n.freeNow, n.freeLater) }

func (n *node) adaptersOf(base keeper.Name) []*Slot {
	list := []*Slot{}
	for i := range n.target.Slots {
		s := &n.target.Slots[i]
		if s.Name.Adapter != "" && s.Name.Base() == base {
			list = append(list, s)
		}
	}
	return list
}

// placedCopy is a loaded or arriving copy on a usable target.
type placedCopy struct {
	node *node
	slot *Slot
	// assignedRate is the demand assigned to the copy, in requests per second.
	assignedRate float64
}

// placement is the state of one model version or adapter: its size, its demand
// and its copies.
type placement struct {
	name  keeper.Name
	bytes int64
	// model is the catalog entry of the model. It is set only if configured,
	// that is, if the catalog lists the name.
	model        keeper.Model
	configured   bool
	adapters     []*placement // of a configured model; empty for an adapter
	minCopies    int          // required copies where memory permits
	rate         float64      // requests per second
	peakRate     float64      // at least rate
	copies       []placedCopy
	stableCopies int // loaded copies without an open order
	// pinned prevents the eviction of copies while one of them is being moved
	// to another target.
	pinned bool
}

func (pl *placement) isOn(n *node) bool {
	return slices.ContainsFunc(pl.copies, func(cp placedCopy) bool { return cp.node == n })
}

// bytesOn returns the memory that the name occupies or would occupy on a
// target.
func (pl *placement) bytesOn(n *node) int64 {
	if s := n.slots[pl.name]; s != nil {
		return s.Bytes
	}
	return pl.bytes
}

func (pl *placement) add(n *node, s *Slot) {
	pl.copies = append(pl.copies, placedCopy{node: n, slot: s})
	if s.Stable {
		pl.stableCopies++
	}
	if s.Name.Adapter != "" {
		n.adapterBytes += s.Bytes
	}
}

// remove removes a stable copy.
func (pl *placement) remove(n *node) {
	pl.copies = slices.DeleteFunc(pl.copies, func(cp placedCopy) bool { return cp.node == n })
	pl.stableCopies--
	if pl.name.Adapter != "" {
		n.adapterBytes -= pl.bytesOn(n)
	}
}

// dataCentresWithout returns the number of data centres with a copy, not
// counting the copy on one target. The target may be nil.
func (pl *placement) dataCentresWithout(without *node) int {
	seen := make([]string, 0, 4)
	for _, cp := range pl.copies {
		if cp.node != without && !slices.Contains(seen, cp.node.target.DataCentre) {
			seen = append(seen, cp.node.target.DataCentre)
		}
	}
	return len(seen)
}

func (pl *placement) coversDataCentre(dataCentre string) bool {
	return slices.ContainsFunc(pl.copies, func(cp placedCopy) bool { return cp.node.target.DataCentre == dataCentre })
}

// bytesWithAdapters returns the memory of a model and its adapters.
func (pl *placement) bytesWithAdapters() int64 {
	total := pl.bytes
	for _, a := range pl.adapters {
		total += a.bytes
	}
	return total
}

func nameOf(m keeper.Model) keeper.Name {
	return keeper.Name{Model: m.Name, Version: m.Version}
}

func newPlan(in Input) *plan {
	p := &plan{in: in, moveBudget: in.Policy.MostMoves, placements: map[keeper.Name]*placement{}, loadedCopies: map[string]int{}}
	p.indexCatalog()
	loading, adaptersLoading := p.indexTargets()
	sortModels(p.models)
	p.loadBudget = unbounded
	if in.Policy.LoadsAtOnce > 0 {
		p.loadBudget = in.Policy.LoadsAtOnce - loading
	}
	p.adapterLoadBudget = unbounded
	if in.Policy.AdaptersAtOnce > 0 {
		p.adapterLoadBudget = in.Policy.AdaptersAtOnce - adaptersLoading
	}
	return p
}

func (p *plan) indexCatalog() {
	for _, m := range p.in.Catalog.Models {
		pl := &placement{name: nameOf(m), bytes: m.Bytes, model: m, configured: true, rate: p.in.Rates[m.Name]}
		pl.peakRate = max(pl.rate, p.in.PeakRates[m.Name])
		pl.minCopies = max(1, m.Copies, p.in.Policy.StandbyCopies)
		if m.MaximumCopies > 0 {
			pl.minCopies = min(pl.minCopies, m.MaximumCopies)
		}
		p.placements[pl.name] = pl
		p.models = append(p.models, pl)
		for _, a := range p.in.Catalog.Adapters[m.Name] {
			name := keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}
			ap := &placement{name: name, bytes: a.Bytes, model: m, configured: true, rate: p.in.Rates[m.Name+":"+name.Adapter]}
			p.placements[name] = ap
			pl.adapters = append(pl.adapters, ap)
		}
		slices.SortFunc(pl.adapters, func(a, b *placement) int {
			return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name.Adapter, b.name.Adapter))
		})
	}
}

// indexTargets adds the usable targets and returns the number of model and
// adapter loads in progress.
func (p *plan) indexTargets() (models, adapters int) {
	targets := slices.Clone(p.in.Targets)
	slices.SortFunc(targets, func(a, b Target) int { return cmp.Compare(a.ID, b.ID) })
	centres := map[string]bool{}
	p.nodes = make([]*node, 0, len(targets))
	for i := range targets {
		t := &targets[i]
		if !t.Usable {
			continue
		}
		t.Slots = slices.Clone(t.Slots)
		slices.SortFunc(t.Slots, func(a, b Slot) int { return compareNames(a.Name, b.Name) })
		n := &node{target: t, freeNow: t.MemoryBytes, freeLater: t.MemoryBytes, slots: make(map[keeper.Name]*Slot, len(t.Slots))}
		for c := range n.evictableBytes {
			n.evictableBytes[c] = evictableNotCounted
		}
		centres[t.DataCentre] = true
		p.nodes = append(p.nodes, n)
		for j := range t.Slots {
			s := &t.Slots[j]
			p.indexSlot(n, s)
			if s.Arriving && s.Name.Adapter == "" {
				models++
			} else if s.Arriving {
				adapters++
			}
		}
	}
	p.dataCentres = len(centres)
	return models, adapters
}

func (p *plan) indexSlot(n *node, s *Slot) {
	n.slots[s.Name] = s
	n.freeNow -= s.Bytes
	if !s.Stable && !s.Arriving {
		return
	}
	n.freeLater -= s.Bytes
	pl := p.placements[s.Name]
	if pl == nil {
		pl = &placement{name: s.Name, bytes: s.Bytes}
		p.placements[s.Name] = pl
	}
	pl.add(n, s)
	if s.Stable && s.Name.Adapter == "" {
		p.loadedCopies[s.Name.Model]++
	}
}

func compareNames(a, b keeper.Name) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}

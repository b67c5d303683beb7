package planner

import (
	"cmp"
	"slices"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

// node is a usable target with what the plan adds to it.
type node struct {
	target *Target
	slots  map[keeper.Name]*Slot
	// now is the memory that no slot counts against, and later what will be free
	// once open unloads are done, less what is reserved.
	now   int64
	later int64
	// load is the requests per second that the copies here are expected to serve.
	load float64
	// spare is the memory of copies that may go, by class, or notCounted. It is
	// counted once; a copy that becomes spare meanwhile is seen by the next plan.
	spare [classes]int64
	// adapterBytes is the memory of the adapters here.
	adapterBytes int64
}

// room is the memory that a load may take at once.
func (n *node) room() int64 { return min(n.now, n.later) }

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

// holder is a copy of a name on a usable target, loaded or coming.
type holder struct {
	node *node
	slot *Slot
	// share is the requests per second that the copy is expected to serve.
	share float64
}

// group is all that is known of one name.
type group struct {
	name  keeper.Name
	bytes int64
	// model is that of the catalog; configured tells that the name is in it.
	model      keeper.Model
	configured bool
	adapters   []*group // of a configured model
	least      int      // copies that it must have where memory permits
	rate       float64
	floor      float64
	holders    []holder
	stable     int // copies that are loaded, no order open
	// pinned tells that a copy is being moved to another target.
	pinned bool
}

func (g *group) on(n *node) bool {
	return slices.ContainsFunc(g.holders, func(h holder) bool { return h.node == n })
}

// bytesOn is the memory that the name takes on a target.
func (g *group) bytesOn(n *node) int64 {
	if s := n.slots[g.name]; s != nil {
		return s.Bytes
	}
	return g.bytes
}

func (g *group) add(n *node, s *Slot) {
	g.holders = append(g.holders, holder{node: n, slot: s})
	if s.Stable {
		g.stable++
	}
	if s.Name.Adapter != "" {
		n.adapterBytes += s.Bytes
	}
}

// remove takes a stable copy out.
func (g *group) remove(n *node) {
	g.holders = slices.DeleteFunc(g.holders, func(h holder) bool { return h.node == n })
	g.stable--
	if g.name.Adapter != "" {
		n.adapterBytes -= g.bytesOn(n)
	}
}

// centres is the number of data centres with a copy, one target left out.
func (g *group) centres(without *node) int {
	seen := make([]string, 0, 4)
	for _, h := range g.holders {
		if h.node != without && !slices.Contains(seen, h.node.target.DataCentre) {
			seen = append(seen, h.node.target.DataCentre)
		}
	}
	return len(seen)
}

func (g *group) covers(dataCentre string) bool {
	return slices.ContainsFunc(g.holders, func(h holder) bool { return h.node.target.DataCentre == dataCentre })
}

// wholeBytes is the memory of a model and its adapters.
func (g *group) wholeBytes() int64 {
	total := g.bytes
	for _, a := range g.adapters {
		total += a.bytes
	}
	return total
}

func nameOf(m keeper.Model) keeper.Name {
	return keeper.Name{Model: m.Name, Version: m.Version}
}

func newPlan(in Input) *plan {
	p := &plan{in: in, moveBudget: in.Policy.MostMoves, groups: map[keeper.Name]*group{}, loaded: map[string]int{}}
	p.addCatalog()
	loading, adaptersLoading := p.addTargets()
	sortModels(p.models)
	p.loadBudget = unbounded
	if in.Policy.LoadsAtOnce > 0 {
		p.loadBudget = in.Policy.LoadsAtOnce - loading
	}
	p.adapters = unbounded
	if in.Policy.AdaptersAtOnce > 0 {
		p.adapters = in.Policy.AdaptersAtOnce - adaptersLoading
	}
	return p
}

func (p *plan) addCatalog() {
	for _, m := range p.in.Catalog.Models {
		g := &group{name: nameOf(m), bytes: m.Bytes, model: m, configured: true, rate: p.in.Rates[m.Name]}
		g.floor = max(g.rate, p.in.Floors[m.Name])
		g.least = max(1, m.Copies, p.in.Policy.StandbyCopies)
		if m.MaximumCopies > 0 {
			g.least = min(g.least, m.MaximumCopies)
		}
		p.groups[g.name] = g
		p.models = append(p.models, g)
		for _, a := range p.in.Catalog.Adapters[m.Name] {
			name := keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}
			ag := &group{name: name, bytes: a.Bytes, model: m, configured: true, rate: p.in.Rates[m.Name+":"+name.Adapter]}
			p.groups[name] = ag
			g.adapters = append(g.adapters, ag)
		}
		slices.SortFunc(g.adapters, func(a, b *group) int {
			return cmp.Or(cmp.Compare(b.rate, a.rate), cmp.Compare(a.name.Adapter, b.name.Adapter))
		})
	}
}

// addTargets indexes the usable targets and returns the loads under way.
func (p *plan) addTargets() (models, adapters int) {
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
		n := &node{target: t, now: t.MemoryBytes, later: t.MemoryBytes, slots: make(map[keeper.Name]*Slot, len(t.Slots))}
		for c := range n.spare {
			n.spare[c] = notCounted
		}
		centres[t.DataCentre] = true
		p.nodes = append(p.nodes, n)
		for j := range t.Slots {
			s := &t.Slots[j]
			p.addSlot(n, s)
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

func (p *plan) addSlot(n *node, s *Slot) {
	n.slots[s.Name] = s
	n.now -= s.Bytes
	if !s.Stable && !s.Arriving {
		return
	}
	n.later -= s.Bytes
	g := p.groups[s.Name]
	if g == nil {
		g = &group{name: s.Name, bytes: s.Bytes}
		p.groups[s.Name] = g
	}
	g.add(n, s)
	if s.Stable && s.Name.Adapter == "" {
		p.loaded[s.Name.Model]++
	}
}

func compareNames(a, b keeper.Name) int {
	return cmp.Or(cmp.Compare(a.Model, b.Model), cmp.Compare(a.Version, b.Version), cmp.Compare(a.Adapter, b.Adapter))
}

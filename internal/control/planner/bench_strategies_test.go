package planner_test

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"strconv"
	"time"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

const engineMemory = targetMemory * 9 / 10 // the remainder is for the prefix cache

// fits reports whether a target has room for the given memory.
func fits(e *engine, bytes int64) bool { return e.usedBytes()+bytes <= engineMemory }

func (r *replay) load(e *engine, name keeper.Name, bytes int64) {
	r.order(planner.Move{Kind: planner.Load, Target: e.id, Name: name, Bytes: bytes})
}

func (r *replay) unload(e *engine, h holding) {
	r.order(planner.Move{Kind: planner.Unload, Target: e.id, Name: h.name, Bytes: h.bytes})
}

// loadWithAdapters loads a model and those of its adapters that fit.
func (r *replay) loadWithAdapters(e *engine, m keeper.Model) {
	r.load(e, keeper.Name{Model: m.Name, Version: m.Version}, m.Bytes)
	for _, a := range r.trace.Catalog.Adapters[m.Name] {
		if fits(e, a.Bytes) {
			r.load(e, keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version}, a.Bytes)
		}
	}
}

// bytesWithAdapters returns the memory of a model and all of its adapters.
func (r *replay) bytesWithAdapters(m keeper.Model) int64 {
	total := m.Bytes
	for _, a := range r.trace.Catalog.Adapters[m.Name] {
		total += a.Bytes
	}
	return total
}

// newStatic returns the baseline that places copies once, each model in turn on
// the emptiest target until none fits, and routes round-robin.
func newStatic() strategy {
	next := map[keeper.Name]int{}
	return strategy{
		name: "static",
		choose: func(r *replay, q *request) int {
			holders := r.holders[q.Name]
			if len(holders) == 0 {
				return -1
			}
			next[q.Name]++
			return holders[next[q.Name]%len(holders)]
		},
		tick: func(r *replay) {
			if r.tick == 0 {
				r.placeEvenly()
			}
		},
	}
}

func (r *replay) placeEvenly() {
	for placed := true; placed; {
		placed = false
		for _, name := range slices.Sorted(maps.Keys(r.trace.Catalog.Models)) {
			m := r.trace.Catalog.Models[name]
			if e := r.emptiest(m); e != nil {
				r.loadWithAdapters(e, m)
				placed = true
			}
		}
	}
}

// emptiest returns the target with the most free memory on which a model and
// its adapters fit, or nil.
func (r *replay) emptiest(m keeper.Model) *engine {
	var best *engine
	for _, e := range r.engines {
		if e.dead || e.find(keeper.Name{Model: m.Name, Version: m.Version}) != nil || !fits(e, r.bytesWithAdapters(m)) {
			continue
		}
		if best == nil || e.usedBytes() < best.usedBytes() {
			best = e
		}
	}
	return best
}

// lru is the state of the baseline that routes to the fewest requests in flight
// and loads models with LRU eviction.
type lru struct {
	used   []map[string]int // tick of last use, by target and model
	wanted map[string]bool  // models to load a copy of
}

// newLRU returns the baseline that routes to the copy with the fewest requests
// in flight. When a model has no copy, or each copy has two ticks of work in
// flight, it loads the model on the target with the shortest queue and unloads
// the least recently used models there. It respects the limit on parallel loads
// from the weight store.
func newLRU() strategy {
	s := &lru{wanted: map[string]bool{}}
	return strategy{name: "lru", choose: s.choose, tick: s.tick}
}

// inFlight returns the number of requests in flight on a target, as estimated by
// an entry instance from its own counters and the target's latest report.
func (r *replay) inFlight(entry, i int) int {
	t := r.targetsByEntry[entry][i]
	own := int(t.Counter.InFlight.Load())
	return max(own, t.Running+t.Queued+int(t.Counter.SentAfterReport.Load()))
}

func (s *lru) choose(r *replay, q *request) int {
	if s.used == nil {
		for range r.engines {
			s.used = append(s.used, map[string]int{})
		}
	}
	best, least := -1, 0
	for _, i := range r.holders[q.Name] {
		if n := r.inFlight(q.Entry, i); best < 0 || n < least {
			best, least = i, n
		}
	}
	if best < 0 || least >= 2*int(requestsPerTick) {
		s.wanted[q.Name.Model] = true
	}
	if best >= 0 {
		s.used[best][q.Name.Model] = r.tick
	}
	return best
}

// tick orders loads up to the limit on parallel loads, models without a copy
// first.
func (s *lru) tick(r *replay) {
	open := r.openLoads()
	names := slices.Sorted(maps.Keys(s.wanted))
	slices.SortStableFunc(names, func(a, b string) int {
		return cmp.Compare(min(1, len(r.holders[r.fullName(a)])), min(1, len(r.holders[r.fullName(b)])))
	})
	for _, name := range names {
		if open >= r.d.LoadsAtOnce {
			break
		}
		if full := r.fullName(name); !r.isLoading(full) {
			s.loadOn(r, r.trace.Catalog.Models[name], s.shortestQueue(r, full))
			open = r.openLoads()
		}
	}
	clear(s.wanted)
}

func (r *replay) fullName(model string) keeper.Name {
	return keeper.Name{Model: model, Version: r.trace.Catalog.Models[model].Version}
}

func (r *replay) openLoads() int {
	n := 0
	for _, e := range r.engines {
		for _, h := range e.holdings {
			if h.loadSecondsLeft > 0 && h.name.Adapter == "" {
				n++
			}
		}
	}
	return n
}

func (r *replay) isLoading(name keeper.Name) bool {
	return slices.ContainsFunc(r.engines, func(e *engine) bool {
		h := e.find(name)
		return h != nil && h.loadSecondsLeft > 0
	})
}

func (s *lru) shortestQueue(r *replay, name keeper.Name) int {
	best := -1
	for i, e := range r.engines {
		if e.dead || e.find(name) != nil {
			continue
		}
		if best < 0 || len(e.queue) < len(r.engines[best].queue) {
			best = i
		}
	}
	return best
}

// loadOn unloads the least recently used models until the model fits, then
// loads it. Drained copies may free their memory only in a later tick.
func (s *lru) loadOn(r *replay, m keeper.Model, i int) {
	if i < 0 {
		return
	}
	e := r.engines[i]
	need := r.bytesWithAdapters(m)
	drainingBytes := int64(0)
	for _, h := range e.holdings {
		if h.draining {
			drainingBytes += h.bytes
		}
	}
	for e.usedBytes()-drainingBytes+need > engineMemory {
		leastRecent := s.leastRecent(e, i)
		if leastRecent == "" {
			return
		}
		for _, h := range slices.Clone(e.holdings) {
			if h.name.Model == leastRecent {
				drainingBytes += h.bytes
				r.unload(e, h)
			}
		}
	}
	if fits(e, need) {
		s.used[i][m.Name] = r.tick
		r.loadWithAdapters(e, m)
	}
}

// leastRecent returns the model on a target that was used least recently,
// or "" if no model there can be unloaded.
func (s *lru) leastRecent(e *engine, i int) string {
	leastRecent, at := "", math.MaxInt
	for _, h := range e.holdings {
		if h.name.Adapter != "" || h.draining || h.loadSecondsLeft > 0 {
			continue
		}
		if used := s.used[i][h.name.Model]; used < at {
			leastRecent, at = h.name.Model, used
		}
	}
	return leastRecent
}

// newPolicy returns the strategy of this project: the planner, router and
// prefixer packages.
func newPolicy(d deployment) strategy {
	rates := map[string]float64{}
	history := planner.History{}
	caches := [entryInstances]*prefixer.Table{}
	for n := range caches {
		caches[n] = prefixer.New()
	}
	return strategy{
		name: "policy",
		choose: func(r *replay, q *request) int {
			t, err := router.Pick(r.now(), r.candidates(q.Entry, q.Name), router.Query{
				Name: q.Name, DataCentre: r.entryCentre(q.Entry), Seed: r.seed(q), Peers: entryInstances - 1, Cached: caches[q.Entry].Targets(r.now(), keyOf(q)),
			})
			if err != nil {
				return -1
			}
			caches[q.Entry].Insert(r.now(), t.ID, keyOf(q))
			return r.number(q.Entry, t)
		},
		events: func(now time.Time, e cacheEvent) {
			key := prefixer.KeyOf(e.key.model, strconv.FormatUint(e.key.prefix, 10))
			for _, c := range caches {
				if e.removed {
					c.Remove(e.target, key)
				} else {
					c.Insert(now, e.target, key)
				}
			}
		},
		tick: func(r *replay) {
			smooth(rates, r.arrivalCounts)
			moves := history.Plan(planner.Input{
				Now: r.now(), Catalog: r.trace.Catalog, Targets: r.plannerTargets(), Rates: rates, Policy: d.Policy,
			})
			for _, m := range moves {
				r.order(m)
			}
		},
	}
}

func keyOf(q *request) prefixer.Key {
	return prefixer.KeyOf(q.Name.Model, strconv.FormatUint(q.Prefix, 10))
}

// smooth updates rates with the arrivals of a tick, in the same way as package
// measurer.
func smooth(rates map[string]float64, counts map[string]int) {
	const decay = 0.7
	for name := range rates {
		rates[name] *= decay
	}
	for name, n := range counts {
		rates[name] += (1 - decay) * float64(n)
	}
}

func (r *replay) entryCentre(entry int) string { return r.engines[entry%dataCentres].dataCentre }

// seed returns a seed that differs between requests and does not depend on the
// strategy.
func (r *replay) seed(q *request) uint64 {
	r.seedsDrawn++
	x := r.seedsDrawn*0x9e3779b97f4a7c15 + q.Prefix
	x ^= x >> 31
	x *= 0xbf58476d1ce4e5b9
	return x ^ x>>29
}

// number returns the index of a target, by which the replay identifies it.
func (r *replay) number(entry int, t *keeper.Target) int {
	return slices.Index(r.targetsByEntry[entry], t)
}

// plannerTargets returns the targets as package orderer passes them to the
// planner.
func (r *replay) plannerTargets() []planner.Target {
	targets := make([]planner.Target, 0, len(r.engines))
	for _, e := range r.engines {
		t := planner.Target{ID: e.id, DataCentre: e.dataCentre, MemoryBytes: engineMemory, Usable: !e.dead}
		for _, h := range e.holdings {
			t.Slots = append(t.Slots, planner.Slot{
				Name: h.name, Bytes: h.bytes, Stable: h.loadSecondsLeft == 0 && !h.draining, Arriving: h.loadSecondsLeft > 0 && !h.draining,
			})
		}
		targets = append(targets, t)
	}
	return targets
}

// upperBound returns a score that no strategy can exceed. It simulates one pool with
// the capacity of all live targets, in which every target holds every model and
// every request costs as little as one with a cached prefix. With requests of
// equal cost, serving the earliest deadline first answers the largest possible
// number on time.
func upperBound(t *trace, d deployment) score {
	var s score
	due := map[int][]request{} // waiting requests by the tick of their deadline
	for tick, m := range t.Ticks {
		for _, q := range m.Arrivals {
			due[q.Deadline] = append(due[q.Deadline], q)
		}
		dead := 0
		for _, isDead := range m.Dead {
			if isDead {
				dead++
			}
		}
		left := int(math.Ceil(float64(d.Targets-dead) * (requestsPerTick + 1) / hitCost))
		for deadline := tick; deadline <= tick+normalDeadlineTicks; deadline++ {
			n := min(left, len(due[deadline]))
			left -= n
			for _, q := range due[deadline][:n] {
				s.count(q, true)
			}
			due[deadline] = due[deadline][n:]
		}
		for _, q := range due[tick] {
			s.count(q, false)
		}
		delete(due, tick)
	}
	return s
}

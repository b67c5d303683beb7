package planner_test

import (
	"cmp"
	"fmt"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	mostCached    = 64 // prefixes in the cache of a target
	eventLagTicks = 3  // from a cache event to its publication
	eventGapEvery = 17 // each such event is lost
	reportAge     = 900 * time.Millisecond
	recoveryTicks = 8   // to load again what lost its only copy, unload and queue included
	loadSeconds   = 1.5 // of a model of the mean size at full speed
	meanBytes     = 20 * gibibyte
)

// holding is a name in the memory of an engine.
type holding struct {
	name     keeper.Name
	bytes    int64
	left     float64 // seconds of load time at full speed; 0 once loaded
	started  bool    // the weight store took the load up
	draining bool
}

// cacheEvent tells that a prefix entered the cache of an engine.
type cacheEvent struct {
	target  string
	key     prefixKey
	removed bool
	tick    int // of its publication
}

type prefixKey struct {
	model  string
	prefix uint64
}

// engine is one target of the replay.
type engine struct {
	id         string
	dataCentre string
	dead       bool
	holdings   []holding
	queue      []request
	credit     float64
	cache      map[prefixKey]int // by tick of last use
	running    int               // as of the end of the tick before
	reported   int               // as of one tick earlier
}

func (e *engine) usedBytes() int64 {
	used := int64(0)
	for _, h := range e.holdings {
		used += h.bytes
	}
	return used
}

func (e *engine) find(name keeper.Name) *holding {
	for i := range e.holdings {
		if e.holdings[i].name == name {
			return &e.holdings[i]
		}
	}
	return nil
}

func (e *engine) serves(name keeper.Name) bool {
	base := e.find(name.Base())
	h := e.find(name)
	return !e.dead && base != nil && base.left == 0 && !base.draining && h != nil && h.left == 0 && !h.draining
}

// strategy is what decides in a replay.
type strategy struct {
	name string
	// choose returns the number of the target for a request, or -1.
	choose func(r *replay, q *request) int
	// tick orders loads and unloads, when records are possible.
	tick func(r *replay)
	// events takes a cache event, if the strategy wants them.
	events func(now time.Time, e cacheEvent)
}

// score is the outcome of a replay after the warm-up.
type score struct {
	requests, attained     int
	urgent, urgentAttained int
	hits, completed        int
	moves, adapterMoves    int
	unreachable            int // ticks with a model or adapter without copy
	recovering             int // the same, for recoveryTicks after its only copy died
	overcommitted          int // ticks with a target beyond its memory
}

func (s score) attainment() float64 { return float64(s.attained) / float64(max(1, s.requests)) }

// replay runs one strategy over one trace.
type replay struct {
	d        deployment
	trace    *trace
	strategy strategy
	tick     int
	engines  []*engine
	pending  []request // without a target yet
	loadable float64   // loads that the weight store may take up now
	speed    float64
	events   []cacheEvent
	sequence int
	fleets   [entries][]*keeper.Target
	holders  map[keeper.Name][]int
	views    [entries]map[keeper.Name][]*keeper.Target
	names    []keeper.Name       // configured models and adapters
	lostAt   map[keeper.Name]int // tick in which the last copy died
	counts   map[string]int      // arrivals of this tick by model and by adapter
	drawn    uint64              // seeds given to the router so far
	score    score
}

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func (r *replay) now() time.Time { return epoch.Add(time.Duration(r.tick) * time.Second) }

func newReplay(d deployment, t *trace, s strategy) *replay {
	r := &replay{d: d, trace: t, strategy: s, counts: map[string]int{}, lostAt: map[keeper.Name]int{}}
	for i := range d.Targets {
		e := &engine{
			id: fmt.Sprintf("target-%02d", i), dataCentre: fmt.Sprintf("dc-%d", i%dataCentres), cache: map[prefixKey]int{},
		}
		r.engines = append(r.engines, e)
		for n := range entries {
			r.fleets[n] = append(r.fleets[n], &keeper.Target{
				ID: e.id, DataCentre: e.dataCentre, Counter: &keeper.Counter{}, Kind: keeper.Engine,
			})
		}
	}
	for _, m := range t.Catalog.Models {
		r.names = append(r.names, keeper.Name{Model: m.Name, Version: m.Version})
		for _, a := range t.Catalog.Adapters[m.Name] {
			r.names = append(r.names, keeper.Name{Model: m.Name, Adapter: a.FullName(), Version: m.Version})
		}
	}
	r.index()
	return r
}

func (r *replay) run() score {
	for r.tick = range r.trace.Ticks {
		m := &r.trace.Ticks[r.tick]
		r.speed = m.StoreSpeed
		r.fail(m)
		r.report()
		r.deliver()
		r.route(m)
		r.serve()
		if !m.StoreDown {
			r.strategy.tick(r)
		}
		r.transfer()
		r.measure()
	}
	return r.score
}

// fail ends and brings back targets. What ran on a dead one is sent again.
func (r *replay) fail(m *moment) {
	before := r.holders
	for i, e := range r.engines {
		if m.Dead[i] == e.dead {
			continue
		}
		e.dead = m.Dead[i]
		r.pending = append(r.pending, e.queue...)
		e.queue = nil
		e.holdings = nil
		clear(e.cache)
		for n := range entries {
			r.fleets[n][i].Counter.InFlight.Store(0)
		}
		r.index()
	}
	for name := range before {
		if len(r.holders[name]) == 0 {
			r.lostAt[name] = r.tick
		}
	}
}

// index lists the targets that serve each name.
func (r *replay) index() {
	r.holders = map[keeper.Name][]int{}
	for i, e := range r.engines {
		for _, h := range e.holdings {
			if e.serves(h.name) {
				r.holders[h.name] = append(r.holders[h.name], i)
			}
		}
	}
	for n := range entries {
		r.views[n] = map[keeper.Name][]*keeper.Target{}
	}
}

// candidates returns the targets of a name as an instance sees them.
func (r *replay) candidates(entry int, name keeper.Name) []*keeper.Target {
	list, ok := r.views[entry][name]
	if !ok {
		for _, i := range r.holders[name] {
			list = append(list, r.fleets[entry][i])
		}
		r.views[entry][name] = list
	}
	return list
}

// report brings the reports of a tick ago to the instances.
func (r *replay) report() {
	for i, e := range r.engines {
		if i%2 == 1 && r.tick%2 == 1 {
			continue
		}
		shown := e.reported
		e.reported = e.running
		for n := range entries {
			t := r.fleets[n][i]
			t.Running = min(shown, int(requestsPerTick))
			t.Queued = shown - t.Running
			t.ReportedAt = r.now().Add(-reportAge)
			noteReport(t.Counter)
		}
	}
}

// noteReport does to a counter what the watcher does when a report arrives.
func noteReport(c *keeper.Counter) {
	c.SentAfterReport.Store(0)
	c.InFlightAtReport.Store(c.InFlight.Load())
}

func (r *replay) route(m *moment) {
	clear(r.counts)
	for i := range m.Arrivals {
		q := &m.Arrivals[i]
		r.counts[q.Name.Model]++
		if q.Name.Adapter != "" {
			r.counts[q.Name.Model+":"+q.Name.Adapter]++
		}
	}
	waiting := slices.Concat(r.pending, m.Arrivals)
	r.pending = nil
	for i := range waiting {
		q := &waiting[i]
		if q.Deadline < r.tick {
			r.finish(q, false)
			continue
		}
		n := r.strategy.choose(r, q)
		if n < 0 || !r.engines[n].serves(q.Name) {
			r.pending = append(r.pending, *q)
			continue
		}
		r.engines[n].queue = append(r.engines[n].queue, *q)
		c := r.fleets[q.Entry][n].Counter
		c.InFlight.Add(1)
		c.SentAfterReport.Add(1)
	}
}

// serve lets each target complete requests, urgent ones first.
func (r *replay) serve() {
	for i, e := range r.engines {
		if e.dead {
			continue
		}
		slices.SortStableFunc(e.queue, func(a, b request) int { return cmp.Compare(b.Priority, a.Priority) })
		e.credit = min(e.credit, 1) + requestsPerTick
		done := 0
		for done < len(e.queue) && e.credit > 0 {
			q := &e.queue[done]
			done++
			r.complete(i, e, q)
		}
		rest := e.queue[:0]
		for _, q := range e.queue[done:] {
			if q.Deadline <= r.tick {
				r.leave(i, &q, false)
				continue
			}
			rest = append(rest, q)
		}
		e.queue = rest
		e.running = len(e.queue)
	}
}

func (r *replay) complete(i int, e *engine, q *request) {
	key := prefixKey{q.Name.Model, q.Prefix}
	cost := 1.0
	if _, ok := e.cache[key]; ok {
		cost = hitCost
	} else {
		r.publish(e, key)
	}
	e.cache[key] = r.tick
	if r.tick >= warmUpTicks {
		r.score.completed++
		if cost < 1 {
			r.score.hits++
		}
	}
	e.credit -= cost
	r.leave(i, q, true)
}

// publish records a cache event, but for some, and bounds the cache.
func (r *replay) publish(e *engine, key prefixKey) {
	if len(e.cache) >= mostCached {
		oldest := key
		at := r.tick + 1
		for k, used := range e.cache {
			if used < at || (used == at && (k.model < oldest.model || (k.model == oldest.model && k.prefix < oldest.prefix))) {
				oldest, at = k, used
			}
		}
		delete(e.cache, oldest)
		r.tell(cacheEvent{target: e.id, key: oldest, removed: true})
	}
	r.tell(cacheEvent{target: e.id, key: key})
}

// tell queues a cache event, but for those that are lost.
func (r *replay) tell(e cacheEvent) {
	r.sequence++
	if r.sequence%eventGapEvery != 0 {
		e.tick = r.tick + eventLagTicks
		r.events = append(r.events, e)
	}
}

// deliver brings the cache events that are due.
func (r *replay) deliver() {
	due := 0
	for due < len(r.events) && r.events[due].tick <= r.tick {
		if r.strategy.events != nil {
			r.strategy.events(r.now(), r.events[due])
		}
		due++
	}
	r.events = r.events[due:]
}

func (r *replay) leave(i int, q *request, attained bool) {
	r.fleets[q.Entry][i].Counter.InFlight.Add(-1)
	r.finish(q, attained)
}

func (r *replay) finish(q *request, attained bool) { r.score.count(*q, attained) }

// count adds an ended request that arrived after the warm-up.
func (s *score) count(q request, attained bool) {
	if q.Arrived < warmUpTicks {
		return
	}
	one := 0
	if attained {
		one = 1
	}
	s.requests++
	s.attained += one
	if q.Priority > 0 {
		s.urgent++
		s.urgentAttained += one
	}
}

// order starts a load or an unload.
func (r *replay) order(m planner.Move) {
	i := slices.IndexFunc(r.engines, func(e *engine) bool { return e.id == m.Target })
	e := r.engines[i]
	if r.tick >= warmUpTicks {
		if m.Name.Adapter == "" {
			r.score.moves++
		} else {
			r.score.adapterMoves++
		}
	}
	if m.Kind == planner.Unload {
		if h := e.find(m.Name); h != nil {
			h.draining = true
		}
	} else {
		seconds := loadSeconds * float64(m.Bytes) / meanBytes
		e.holdings = append(e.holdings, holding{name: m.Name, bytes: m.Bytes, left: seconds, started: m.Name.Adapter != ""})
	}
	r.index()
}

// transfer carries loads on by one tick and ends unloads that are drained.
func (r *replay) transfer() {
	r.loadable = min(r.loadable+r.d.LoadsPerSecond, max(1, r.d.LoadsPerSecond))
	models, adapters := 0, 0
	for _, e := range r.engines {
		for j := range e.holdings {
			h := &e.holdings[j]
			if !h.started && r.loadable >= 1 {
				h.started = true
				r.loadable--
			}
			if h.left > 0 && h.started && h.name.Adapter == "" {
				models++
			}
			if h.left > 0 && h.name.Adapter != "" {
				adapters++
			}
		}
	}
	modelStep := r.speed * min(1, float64(r.d.LoadsAtOnce)/float64(max(1, models)))
	const adapterTurns = 50 // adapter loads of 20 ms in one tick
	adapterStep := float64(r.d.AdaptersAtOnce*adapterTurns) / float64(max(1, adapters))
	for _, e := range r.engines {
		e.advance(modelStep, adapterStep)
	}
	r.index()
}

func (e *engine) advance(modelStep, adapterStep float64) {
	kept := e.holdings[:0]
	for _, h := range e.holdings {
		step := modelStep
		if h.name.Adapter != "" {
			step = adapterStep
		}
		if h.started {
			h.left = max(0, h.left-step)
		}
		busy := slices.ContainsFunc(e.queue, func(q request) bool { return q.Name == h.name || q.Name.Base() == h.name })
		if !h.draining || busy {
			kept = append(kept, h)
		}
	}
	e.holdings = kept
}

// measure counts what must not be.
func (r *replay) measure() {
	if r.tick < warmUpTicks {
		return
	}
	for _, e := range r.engines {
		if e.usedBytes() > targetMemory {
			r.score.overcommitted++
		}
	}
	unreachable, recovering := 0, 0
	for _, name := range r.names {
		if len(r.holders[name]) > 0 {
			continue
		}
		if at, lost := r.lostAt[name]; lost && r.tick < at+recoveryTicks {
			recovering = 1
		} else {
			unreachable = 1
		}
	}
	r.score.unreachable += unreachable
	r.score.recovering += recovering
}

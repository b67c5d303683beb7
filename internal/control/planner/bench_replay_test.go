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
	maxCachedPrefixes = 64                     // per target
	eventDelayTicks   = 3                      // from a cache event to its delivery
	lostEventInterval = 17                     // one in this many cache events is lost
	reportAge         = 900 * time.Millisecond // of a status report when an instance receives it
	recoveryTicks     = 8                      // to reload a name whose only copy was lost, including the unload and the wait for the weight store
	meanLoadSeconds   = 1.5                    // of a model of meanBytes at full speed
	meanBytes         = 20 * gibibyte
)

// holding is a model or adapter in the memory of an engine.
type holding struct {
	name            keeper.Name
	bytes           int64
	loadSecondsLeft float64 // at full speed; 0 once loaded
	started         bool    // the weight store has started the load
	draining        bool
}

// cacheEvent reports that a prefix entered or left the cache of an engine.
type cacheEvent struct {
	target  string
	key     prefixKey
	removed bool
	tick    int // of its delivery
}

type prefixKey struct {
	model  string
	prefix uint64
}

// engine is a simulated target.
type engine struct {
	id                  string
	dataCentre          string
	dead                bool
	holdings            []holding
	queue               []request
	capacity            float64           // requests that it may still complete in this tick
	cache               map[prefixKey]int // tick of last use
	queueLength         int               // at the end of the previous tick
	previousQueueLength int               // one tick before that
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
	return !e.dead && base != nil && base.loadSecondsLeft == 0 && !base.draining && h != nil && h.loadSecondsLeft == 0 && !h.draining
}

// strategy makes the routing and placement decisions of a replay.
type strategy struct {
	name string
	// choose returns the index of the target for a request, or -1 if there is
	// none.
	choose func(r *replay, q *request) int
	// tick orders loads and unloads. It is not called while the table service
	// is down, because orders can't be recorded then.
	tick func(r *replay)
	// events processes a cache event. It may be nil.
	events func(now time.Time, e cacheEvent)
}

// score is the result of a replay, without the warm-up.
type score struct {
	requests, onTime     int
	urgent, urgentOnTime int
	hits, completed      int
	moves, adapterMoves  int
	unreachable          int // ticks in which a model or adapter had no copy
	recovering           int // the same, within recoveryTicks of the loss of its only copy
	overcommitted        int // ticks in which a target exceeded its memory
}

func (s score) onTimeShare() float64 { return float64(s.onTime) / float64(max(1, s.requests)) }

// replay runs one strategy over one trace.
type replay struct {
	d              deployment
	trace          *trace
	strategy       strategy
	tick           int
	engines        []*engine
	pending        []request // not routed to a target yet
	startableLoads float64   // loads that the weight store may start now
	storeSpeed     float64   // of weight loads, 1 at full speed
	events         []cacheEvent
	sequence       int
	targetsByEntry [entryInstances][]*keeper.Target
	holders        map[keeper.Name][]int
	candidateCache [entryInstances]map[keeper.Name][]*keeper.Target
	names          []keeper.Name       // configured models and adapters
	lostAt         map[keeper.Name]int // tick in which the last copy was lost
	arrivalCounts  map[string]int      // arrivals of this tick by model and by adapter
	seedsDrawn     uint64              // number of seeds passed to the router
	score          score
}

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func (r *replay) now() time.Time { return epoch.Add(time.Duration(r.tick) * time.Second) }

func newReplay(d deployment, t *trace, s strategy) *replay {
	r := &replay{d: d, trace: t, strategy: s, arrivalCounts: map[string]int{}, lostAt: map[keeper.Name]int{}}
	for i := range d.Targets {
		e := &engine{
			id: fmt.Sprintf("target-%02d", i), dataCentre: fmt.Sprintf("dc-%d", i%dataCentres), cache: map[prefixKey]int{},
		}
		r.engines = append(r.engines, e)
		for n := range entryInstances {
			r.targetsByEntry[n] = append(r.targetsByEntry[n], &keeper.Target{
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
	r.indexHolders()
	return r
}

func (r *replay) run() score {
	for r.tick = range r.trace.Ticks {
		m := &r.trace.Ticks[r.tick]
		r.storeSpeed = m.StoreSpeed
		r.applyFailures(m)
		r.deliverReports()
		r.deliverCacheEvents()
		r.route(m)
		r.serve()
		if !m.StoreDown {
			r.strategy.tick(r)
		}
		r.advanceTransfers()
		r.countViolations()
	}
	return r.score
}

// applyFailures stops and restarts targets. Requests on a target that fails are
// routed again.
func (r *replay) applyFailures(m *tickState) {
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
		for n := range entryInstances {
			r.targetsByEntry[n][i].Counter.InFlight.Store(0)
		}
		r.indexHolders()
	}
	for name := range before {
		if len(r.holders[name]) == 0 {
			r.lostAt[name] = r.tick
		}
	}
}

// indexHolders lists the targets that serve each name.
func (r *replay) indexHolders() {
	r.holders = map[keeper.Name][]int{}
	for i, e := range r.engines {
		for _, h := range e.holdings {
			if e.serves(h.name) {
				r.holders[h.name] = append(r.holders[h.name], i)
			}
		}
	}
	for n := range entryInstances {
		r.candidateCache[n] = map[keeper.Name][]*keeper.Target{}
	}
}

// candidates returns the targets that serve a name, from the view of an entry
// instance.
func (r *replay) candidates(entry int, name keeper.Name) []*keeper.Target {
	list, ok := r.candidateCache[entry][name]
	if !ok {
		for _, i := range r.holders[name] {
			list = append(list, r.targetsByEntry[entry][i])
		}
		r.candidateCache[entry][name] = list
	}
	return list
}

// deliverReports delivers to the instances the queue lengths of one tick ago.
// Every second target reports only every second tick.
func (r *replay) deliverReports() {
	for i, e := range r.engines {
		if i%2 == 1 && r.tick%2 == 1 {
			continue
		}
		shown := e.previousQueueLength
		e.previousQueueLength = e.queueLength
		for n := range entryInstances {
			t := r.targetsByEntry[n][i]
			t.Running = min(shown, int(requestsPerTick))
			t.Queued = shown - t.Running
			t.ReportedAt = r.now().Add(-reportAge)
			noteReport(t.Counter)
		}
	}
}

// noteReport updates a counter in the same way as package watcher on receipt of
// a status report.
func noteReport(c *keeper.Counter) {
	c.SentAfterReport.Store(0)
	c.InFlightAtReport.Store(c.InFlight.Load())
}

func (r *replay) route(m *tickState) {
	clear(r.arrivalCounts)
	for i := range m.Arrivals {
		q := &m.Arrivals[i]
		r.arrivalCounts[q.Name.Model]++
		if q.Name.Adapter != "" {
			r.arrivalCounts[q.Name.Model+":"+q.Name.Adapter]++
		}
	}
	waiting := slices.Concat(r.pending, m.Arrivals)
	r.pending = nil
	for i := range waiting {
		q := &waiting[i]
		if q.Deadline < r.tick {
			r.countRequest(q, false)
			continue
		}
		n := r.strategy.choose(r, q)
		if n < 0 || !r.engines[n].serves(q.Name) {
			r.pending = append(r.pending, *q)
			continue
		}
		r.engines[n].queue = append(r.engines[n].queue, *q)
		c := r.targetsByEntry[q.Entry][n].Counter
		c.InFlight.Add(1)
		c.SentAfterReport.Add(1)
	}
}

// serve completes requests on each target within its capacity, urgent ones
// first, and expires those past their deadline.
func (r *replay) serve() {
	for i, e := range r.engines {
		if e.dead {
			continue
		}
		slices.SortStableFunc(e.queue, func(a, b request) int { return cmp.Compare(b.Priority, a.Priority) })
		e.capacity = min(e.capacity, 1) + requestsPerTick
		done := 0
		for done < len(e.queue) && e.capacity > 0 {
			q := &e.queue[done]
			done++
			r.complete(i, e, q)
		}
		remaining := e.queue[:0]
		for _, q := range e.queue[done:] {
			if q.Deadline <= r.tick {
				r.removeRequest(i, &q, false)
				continue
			}
			remaining = append(remaining, q)
		}
		e.queue = remaining
		e.queueLength = len(e.queue)
	}
}

func (r *replay) complete(i int, e *engine, q *request) {
	key := prefixKey{q.Name.Model, q.Prefix}
	cost := 1.0
	if _, ok := e.cache[key]; ok {
		cost = hitCost
	} else {
		r.recordCacheInsert(e, key)
	}
	e.cache[key] = r.tick
	if r.tick >= warmUpTicks {
		r.score.completed++
		if cost < 1 {
			r.score.hits++
		}
	}
	e.capacity -= cost
	r.removeRequest(i, q, true)
}

// recordCacheInsert queues the event for a prefix that enters the cache. A full
// cache first evicts its least recently used prefix.
func (r *replay) recordCacheInsert(e *engine, key prefixKey) {
	if len(e.cache) >= maxCachedPrefixes {
		oldest := key
		at := r.tick + 1
		for k, used := range e.cache {
			if used < at || (used == at && (k.model < oldest.model || (k.model == oldest.model && k.prefix < oldest.prefix))) {
				oldest, at = k, used
			}
		}
		delete(e.cache, oldest)
		r.queueCacheEvent(cacheEvent{target: e.id, key: oldest, removed: true})
	}
	r.queueCacheEvent(cacheEvent{target: e.id, key: key})
}

// queueCacheEvent queues a cache event for delivery. It drops one in every
// lostEventInterval events.
func (r *replay) queueCacheEvent(e cacheEvent) {
	r.sequence++
	if r.sequence%lostEventInterval != 0 {
		e.tick = r.tick + eventDelayTicks
		r.events = append(r.events, e)
	}
}

// deliverCacheEvents delivers the cache events that are due.
func (r *replay) deliverCacheEvents() {
	due := 0
	for due < len(r.events) && r.events[due].tick <= r.tick {
		if r.strategy.events != nil {
			r.strategy.events(r.now(), r.events[due])
		}
		due++
	}
	r.events = r.events[due:]
}

func (r *replay) removeRequest(i int, q *request, onTime bool) {
	r.targetsByEntry[q.Entry][i].Counter.InFlight.Add(-1)
	r.countRequest(q, onTime)
}

func (r *replay) countRequest(q *request, onTime bool) { r.score.count(*q, onTime) }

// count adds a finished request unless it arrived during the warm-up.
func (s *score) count(q request, onTime bool) {
	if q.Arrived < warmUpTicks {
		return
	}
	increment := 0
	if onTime {
		increment = 1
	}
	s.requests++
	s.onTime += increment
	if q.Priority > 0 {
		s.urgent++
		s.urgentOnTime += increment
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
		seconds := meanLoadSeconds * float64(m.Bytes) / meanBytes
		e.holdings = append(e.holdings, holding{name: m.Name, bytes: m.Bytes, loadSecondsLeft: seconds, started: m.Name.Adapter != ""})
	}
	r.indexHolders()
}

// advanceTransfers advances loads by one tick and completes unloads of drained
// names.
func (r *replay) advanceTransfers() {
	r.startableLoads = min(r.startableLoads+r.d.LoadsPerSecond, max(1, r.d.LoadsPerSecond))
	models, adapters := 0, 0
	for _, e := range r.engines {
		for j := range e.holdings {
			h := &e.holdings[j]
			if !h.started && r.startableLoads >= 1 {
				h.started = true
				r.startableLoads--
			}
			if h.loadSecondsLeft > 0 && h.started && h.name.Adapter == "" {
				models++
			}
			if h.loadSecondsLeft > 0 && h.name.Adapter != "" {
				adapters++
			}
		}
	}
	modelStep := r.storeSpeed * min(1, float64(r.d.LoadsAtOnce)/float64(max(1, models)))
	const adapterTurns = 50 // adapter loads of 20 ms in one tick
	adapterStep := float64(r.d.AdaptersAtOnce*adapterTurns) / float64(max(1, adapters))
	for _, e := range r.engines {
		e.advance(modelStep, adapterStep)
	}
	r.indexHolders()
}

func (e *engine) advance(modelStep, adapterStep float64) {
	kept := e.holdings[:0]
	for _, h := range e.holdings {
		step := modelStep
		if h.name.Adapter != "" {
			step = adapterStep
		}
		if h.started {
			h.loadSecondsLeft = max(0, h.loadSecondsLeft-step)
		}
		busy := slices.ContainsFunc(e.queue, func(q request) bool { return q.Name == h.name || q.Name.Base() == h.name })
		if !h.draining || busy {
			kept = append(kept, h)
		}
	}
	e.holdings = kept
}

// countViolations counts overcommitted memory and names without a copy.
func (r *replay) countViolations() {
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

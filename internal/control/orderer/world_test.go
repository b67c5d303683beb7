package orderer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	tickTime   = 250 * time.Millisecond
	loadTime   = 500 * time.Millisecond
	memory     = 1000
	mayHold    = 900 // bytes; the rest is the share of the prefix cache
	keptOrders = 64
	models     = 5
)

// delivery says what becomes of an order that is sent.
type delivery int

const (
	delivered delivery = iota
	lost
	late
	duplicated
	answerLost
	unsent
	deliveries
)

type parcel struct {
	order messenger.EngineOrder
	at    time.Time
}

// engine is a model of an engine in virtual time.
type engine struct {
	id          string
	checks      bool
	incarnation int
	restarted   time.Time
	holdings    map[keeper.Name]parcel // at is when the load is done
	applied     []string
	highest     int64
	parcels     []parcel      // late orders and duplicates
	shown       keeper.Report // content of the next report
	leaving     bool
	unlisted    bool
}

func (e *engine) used() int64 {
	var n int64
	for _, h := range e.holdings {
		n += h.order.Bytes
	}
	return n
}

func (e *engine) isLoaded(name keeper.Name, now time.Time) bool {
	h, ok := e.holdings[name]
	return ok && !now.Before(h.at)
}

func (e *engine) restart(now time.Time) {
	*e = engine{
		id: e.id, checks: e.checks, incarnation: e.incarnation + 1, restarted: now, holdings: map[keeper.Name]parcel{},
	}
	e.shown = e.present(now)
}

func (e *engine) present(now time.Time) keeper.Report {
	r := keeper.Report{
		Incarnation: fmt.Sprint(e.incarnation), Role: "Serve", MemoryBytes: memory, UsedBytes: e.used(),
		HighestFence: e.highest, AppliedOrders: slices.Clone(e.applied),
	}
	for name, h := range e.holdings {
		state := keeper.Loading
		if e.isLoaded(name, now) {
			state = keeper.Loaded
		}
		r.Holdings = append(r.Holdings, keeper.Holding{Name: name, Bytes: h.order.Bytes, State: state})
	}
	slices.SortFunc(r.Holdings, func(a, b keeper.Holding) int { return len(a.Name.String()) - len(b.Name.String()) })
	return r
}

// process is an instance that acts or acted as holder. It runs as a coroutine
// that yields before each transaction and each order.
type process struct {
	orderer *Orderer
	fleet   *keeper.Fleet
	grant   leaser.Grant
	resume  chan struct{}
	yielded chan struct{}
	midTick bool
}

// world is the table service, the engines and the holders.
type world struct {
	now        time.Time
	changedAt  time.Time // the catalog
	catalog    *keeper.Catalog
	rates      map[string]float64
	engines    []*engine
	rows       map[string]messenger.Row
	recordedAt map[string]time.Time
	fence      int64
	holder     *process
	former     []*process // paused ones
	killed     []*process
	started    int
	stopped    bool
	next       delivery
	tableFault error // of the next transaction
	tookEffect bool
	down       bool // the table service
	faults     []string
}

func newWorld(checks bool) *world {
	w := &world{
		now: time.Unix(1000, 0), catalog: keeper.NewCatalog(), rates: map[string]float64{},
		rows: map[string]messenger.Row{}, recordedAt: map[string]time.Time{},
	}
	for i := range 3 {
		e := &engine{id: fmt.Sprintf("engine-%d", i), checks: checks}
		e.restart(w.now)
		w.engines = append(w.engines, e)
	}
	for i := range models {
		w.configure(i, "v1")
	}
	w.takeOver(false)
	return w
}

func (w *world) configure(i int, version string) {
	next := *w.catalog
	next.Models = maps.Clone(next.Models)
	model := modelName(i)
	next.Models[model] = keeper.Model{Name: model, Version: version, Bytes: int64(280 + 20*i), Copies: 1}
	next.Revision++
	w.catalog = &next
	w.changedAt = w.now
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// takeOver makes a new process the holder; the former one stays paused wherever
// it is, or is killed and known to be so.
func (w *world) takeOver(killed bool) {
	w.fence++
	w.started++
	instance := fmt.Sprintf("entry-%d", w.started)
	switch {
	case killed:
		instance = w.holder.grant.Instance
		w.killed = append(w.killed, w.holder)
	case w.holder != nil:
		w.former = append(w.former, w.holder)
	}
	p := &process{fleet: keeper.NewFleet(), resume: make(chan struct{}), yielded: make(chan struct{})}
	p.grant = leaser.Grant{
		Instance: instance, Incarnation: fmt.Sprint(w.started), Fence: w.fence, Deadline: w.now.Add(time.Hour),
		FenceCondition: messenger.Condition{Table: "lease", Key: "fence", Version: w.fence},
	}
	o := New(&transactor.Client{}, &commander.Client{}, p.fleet, func() *keeper.Catalog { return w.catalog },
		func() map[string]float64 { return w.rates }, planner.DefaultPolicy())
	o.now = func() time.Time { return w.now }
	o.scan = w.scan
	o.transact = func(req messenger.TransactRequest) error { p.pause(w); return w.transact(req) }
	o.order = func(id string, order messenger.EngineOrder) error { p.pause(w); return w.send(id, order) }
	o.atOnce = 1
	p.orderer = o
	w.holder = p
	go func() {
		for range p.resume {
			if !w.stopped {
				p.midTick = true
				_ = o.Tick(w.now, p.grant)
				p.midTick = false
			}
			p.yielded <- struct{}{}
		}
	}()
	w.report()
}

func (p *process) pause(w *world) {
	if w.stopped {
		return
	}
	p.yielded <- struct{}{}
	<-p.resume
}

// step runs a process up to its next transaction, order or end of tick.
func (w *world) step(p *process) {
	p.resume <- struct{}{}
	<-p.yielded
}

// tick runs the holder through a whole tick and passes time.
func (w *world) tick() {
	w.step(w.holder)
	for w.holder.midTick {
		w.step(w.holder)
	}
	w.pass(tickTime)
}

func (w *world) stop() {
	w.stopped = true
	for _, p := range slices.Concat(w.former, w.killed, []*process{w.holder}) {
		w.step(p)
		close(p.resume)
	}
}

// pass passes time: late orders arrive and the holder hears reports that lag.
func (w *world) pass(d time.Duration) {
	w.now = w.now.Add(d)
	for _, e := range w.engines {
		parcels := e.parcels
		e.parcels = nil
		for _, p := range parcels {
			if w.now.Before(p.at) {
				e.parcels = append(e.parcels, p)
			} else {
				w.apply(e, p.order)
			}
		}
	}
	w.report()
}

func (w *world) report() {
	for _, e := range w.engines {
		if e.unlisted {
			w.holder.fleet.RemoveTarget(e.id)
			continue
		}
		report := e.shown
		report.ReportedAt = w.now
		w.holder.fleet.ChangeTarget(e.id, func(t *keeper.Target) {
			t.Report = report
			t.Address = e.id
			t.Kind = keeper.Engine
			t.DataCentre = e.id
			t.ChecksFencing = e.checks
			t.Leaving = e.leaving
		})
		e.shown = e.present(w.now)
	}
	for _, p := range w.former {
		w.holder.fleet.ChangeInstance(p.grant.Instance, func(in *keeper.Instance) {
			in.Incarnation = p.grant.Incarnation
			if in.QuietFence = w.fence; p.midTick {
				in.QuietFence = 0
			}
		})
	}
}

func (w *world) scan(string, string) ([]messenger.Row, error) {
	if w.down {
		return nil, transactor.ErrUnavailable
	}
	rows := []messenger.Row{}
	for _, key := range slices.Sorted(maps.Keys(w.rows)) {
		rows = append(rows, w.rows[key])
	}
	return rows, nil
}

func (w *world) transact(req messenger.TransactRequest) error {
	fault := w.tableFault
	w.tableFault = nil
	if w.stopped || w.down || (fault != nil && !w.tookEffect) {
		return transactor.ErrUnavailable
	}
	for _, c := range req.Conditions {
		if (c.Table == "lease" && c.Version != w.fence) || (c.Table != "lease" && c.Version != w.rows[c.Key].Version) {
			return transactor.ErrConflict
		}
	}
	for _, write := range req.Writes {
		w.rows[write.Key] = messenger.Row{Key: write.Key, Value: write.Value, Version: w.rows[write.Key].Version + 1}
		var l Ledger
		_ = json.Unmarshal(write.Value, &l)
		for _, s := range l.Sends {
			if _, ok := w.recordedAt[s.OrderID]; !ok {
				w.recordedAt[s.OrderID] = w.now
			}
		}
	}
	return fault
}

func (w *world) send(id string, order messenger.EngineOrder) error {
	d := w.next
	w.next = delivered
	if _, recorded := w.recordedAt[order.ID]; !recorded && order.Kind != commander.Role {
		w.faults = append(w.faults, order.ID+" is sent without a record")
	}
	if w.stopped || d == unsent {
		return commander.ErrNotApplied
	}
	i := slices.IndexFunc(w.engines, func(e *engine) bool { return e.id == id })
	e := w.engines[i]
	switch d {
	case lost:
		return commander.ErrUnknownOutcome
	case late:
		e.parcels = append(e.parcels, parcel{order: order, at: w.now.Add(20 * time.Second)})
		return commander.ErrUnknownOutcome
	case duplicated:
		e.parcels = append(e.parcels, parcel{order: order, at: w.now.Add(2 * time.Second)})
	}
	applied := w.apply(e, order)
	switch {
	case d == answerLost:
		return commander.ErrUnknownOutcome
	case !applied:
		return commander.ErrOldFence
	}
	return nil
}

// apply carries out an order at an engine and checks what must always hold.
func (w *world) apply(e *engine, order messenger.EngineOrder) bool {
	if e.checks && order.Fence < e.highest {
		return false
	}
	e.highest = max(e.highest, order.Fence)
	e.applied = append(e.applied, order.ID)
	e.applied = e.applied[max(0, len(e.applied)-keptOrders):]
	name := keeper.Name{Model: order.Model, Version: order.Version}
	switch order.Kind {
	case commander.Load:
		if _, held := e.holdings[name]; !held {
			e.holdings[name] = parcel{order: order, at: w.now.Add(loadTime)}
		}
		if e.used() > mayHold {
			w.faults = append(w.faults, fmt.Sprintf("%s holds %d bytes after %s", e.id, e.used(), order.ID))
		}
	case commander.Unload:
		had := w.anyCopies(name.Model)
		delete(e.holdings, name)
		if had > 0 && w.anyCopies(name.Model) == 0 && w.isGuarded(name, w.recordedAt[order.ID]) {
			w.faults = append(w.faults, fmt.Sprintf("%s took the last copy of %s from %s", order.ID, name, e.id))
		}
	}
	return true
}

func (w *world) copies(name keeper.Name) int {
	n := 0
	for _, e := range w.engines {
		if e.isLoaded(name, w.now) {
			n++
		}
	}
	return n
}

// anyCopies counts the copies of all versions of a model.
func (w *world) anyCopies(model string) int {
	n := 0
	for _, e := range w.engines {
		for name := range e.holdings {
			if name.Model == model && e.isLoaded(name, w.now) {
				n++
			}
		}
	}
	return n
}

// isGuarded reports whether a model is configured and nothing but orders can have
// taken a copy of it since the reports that a holder had at a moment.
func (w *world) isGuarded(name keeper.Name, since time.Time) bool {
	for _, e := range w.engines {
		if !e.restarted.Add(2 * tickTime).Before(since) {
			return false
		}
	}
	_, configured := w.catalog.Models[name.Model]
	return configured && w.changedAt.Before(since)
}

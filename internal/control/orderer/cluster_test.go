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
	tickTime          = 250 * time.Millisecond
	loadTime          = 500 * time.Millisecond
	engineMemoryBytes = 1000
	maxModelBytes     = 900 // the rest is left to the prefix cache
	maxAppliedOrders  = 64
	modelCount        = 5
)

// delivery is what happens to an order that is sent.
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

// timedOrder is an order with the time at which it arrives or its load completes.
type timedOrder struct {
	order messenger.EngineOrder
	at    time.Time
}

// fakeEngine is an engine in virtual time.
type fakeEngine struct {
	id          string
	fencing     bool
	incarnation int
	restarted   time.Time
	holdings    map[keeper.Name]timedOrder // at is when the load completes
	applied     []string
	highest     int64
	delayed     []timedOrder  // late orders and duplicates
	nextReport  keeper.Report // content of the next report, which lags
	leaving     bool
	unlisted    bool
}

func (e *fakeEngine) usedBytes() int64 {
	var n int64
	for _, h := range e.holdings {
		n += h.order.Bytes
	}
	return n
}

func (e *fakeEngine) isLoaded(name keeper.Name, now time.Time) bool {
	h, ok := e.holdings[name]
	return ok && !now.Before(h.at)
}

func (e *fakeEngine) restart(now time.Time) {
	*e = fakeEngine{
		id: e.id, fencing: e.fencing, incarnation: e.incarnation + 1, restarted: now, holdings: map[keeper.Name]timedOrder{},
	}
	e.nextReport = e.currentReport(now)
}

func (e *fakeEngine) currentReport(now time.Time) keeper.Report {
	r := keeper.Report{
		Incarnation: fmt.Sprint(e.incarnation), Role: "Serve", MemoryBytes: engineMemoryBytes, UsedBytes: e.usedBytes(),
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

// testHolder is an instance that is or was holder of the lease. It runs as a coroutine
// that yields before each transaction and each order.
type testHolder struct {
	orderer *Orderer
	fleet   *keeper.Fleet
	grant   leaser.Grant
	resume  chan struct{}
	yielded chan struct{}
	midTick bool
}

// testCluster is the table service, the engines and the holders of the lease.
type testCluster struct {
	now           time.Time
	changedAt     time.Time // last change of the catalog
	catalog       *keeper.Catalog
	rates         map[string]float64
	engines       []*fakeEngine
	rows          map[string]messenger.Row
	recordedAt    map[string]time.Time
	fence         int64
	holder        *testHolder
	former        []*testHolder // paused holders
	killed        []*testHolder
	started       int
	stopped       bool
	nextDelivery  delivery
	transactFault error // of the next transaction
	tookEffect    bool
	down          bool // the table service
	violations    []string
}

func newTestCluster(fencing bool) *testCluster {
	c := &testCluster{
		now: time.Unix(1000, 0), catalog: keeper.NewCatalog(), rates: map[string]float64{},
		rows: map[string]messenger.Row{}, recordedAt: map[string]time.Time{},
	}
	for i := range 3 {
		e := &fakeEngine{id: fmt.Sprintf("engine-%d", i), fencing: fencing}
		e.restart(c.now)
		c.engines = append(c.engines, e)
	}
	for i := range modelCount {
		c.configure(i, "v1")
	}
	c.takeOver(false)
	return c
}

func (c *testCluster) configure(i int, version string) {
	next := *c.catalog
	next.Models = maps.Clone(next.Models)
	model := modelName(i)
	next.Models[model] = keeper.Model{Name: model, Version: version, Bytes: int64(280 + 20*i), Copies: 1}
	next.Revision++
	c.catalog = &next
	c.changedAt = c.now
}

func modelName(i int) string { return fmt.Sprintf("model-%d", i) }

// takeOver makes a new process the holder. The former one stays paused at its
// current step, or is killed: the new process then has the same instance, so that it
// knows that the former one has ended.
func (c *testCluster) takeOver(killed bool) {
	c.fence++
	c.started++
	instance := fmt.Sprintf("entry-%d", c.started)
	switch {
	case killed:
		instance = c.holder.grant.Instance
		c.killed = append(c.killed, c.holder)
	case c.holder != nil:
		c.former = append(c.former, c.holder)
	}
	p := &testHolder{fleet: keeper.NewFleet(), resume: make(chan struct{}), yielded: make(chan struct{})}
	p.grant = leaser.Grant{
		Instance: instance, Incarnation: fmt.Sprint(c.started), Fence: c.fence, Deadline: c.now.Add(time.Hour),
		FenceCondition: messenger.Condition{Table: "lease", Key: "fence", Version: c.fence},
	}
	o := New(&transactor.Client{}, &commander.Client{}, p.fleet, func() *keeper.Catalog { return c.catalog },
		func() map[string]float64 { return c.rates }, planner.DefaultPolicy())
	o.now = func() time.Time { return c.now }
	o.scan = c.scan
	o.transact = func(req messenger.TransactRequest) error { p.pause(c); return c.transact(req) }
	o.order = func(id string, order messenger.EngineOrder) error { p.pause(c); return c.send(id, order) }
	o.concurrency = 1
	p.orderer = o
	c.holder = p
	go func() {
		for range p.resume {
			if !c.stopped {
				p.midTick = true
				_ = o.Tick(c.now, p.grant)
				p.midTick = false
			}
			p.yielded <- struct{}{}
		}
	}()
	c.report()
}

func (p *testHolder) pause(c *testCluster) {
	if c.stopped {
		return
	}
	p.yielded <- struct{}{}
	<-p.resume
}

// step runs a process up to its next transaction, its next order or the end of its
// tick.
func (c *testCluster) step(p *testHolder) {
	p.resume <- struct{}{}
	<-p.yielded
}

// tick runs the holder through a whole tick and advances the time.
func (c *testCluster) tick() {
	c.step(c.holder)
	for c.holder.midTick {
		c.step(c.holder)
	}
	c.advanceTime(tickTime)
}

func (c *testCluster) stop() {
	c.stopped = true
	for _, p := range slices.Concat(c.former, c.killed, []*testHolder{c.holder}) {
		c.step(p)
		close(p.resume)
	}
}

// advanceTime advances the time: late orders arrive, and the holder receives
// reports that lag.
func (c *testCluster) advanceTime(d time.Duration) {
	c.now = c.now.Add(d)
	for _, e := range c.engines {
		delayed := e.delayed
		e.delayed = nil
		for _, p := range delayed {
			if c.now.Before(p.at) {
				e.delayed = append(e.delayed, p)
			} else {
				c.apply(e, p.order)
			}
		}
	}
	c.report()
}

func (c *testCluster) report() {
	for _, e := range c.engines {
		if e.unlisted {
			c.holder.fleet.RemoveTarget(e.id)
			continue
		}
		report := e.nextReport
		report.ReportedAt = c.now
		c.holder.fleet.ChangeTarget(e.id, func(t *keeper.Target) {
			t.Report = report
			t.Address = e.id
			t.Kind = keeper.Engine
			t.DataCentre = e.id
			t.ChecksFencing = e.fencing
			t.Leaving = e.leaving
		})
		e.nextReport = e.currentReport(c.now)
	}
	for _, p := range c.former {
		c.holder.fleet.ChangeInstance(p.grant.Instance, func(in *keeper.Instance) {
			in.Incarnation = p.grant.Incarnation
			if in.QuietFence = c.fence; p.midTick {
				in.QuietFence = 0
			}
		})
	}
}

func (c *testCluster) scan(string, string) ([]messenger.Row, error) {
	if c.down {
		return nil, transactor.ErrUnavailable
	}
	rows := []messenger.Row{}
	for _, key := range slices.Sorted(maps.Keys(c.rows)) {
		rows = append(rows, c.rows[key])
	}
	return rows, nil
}

func (c *testCluster) transact(req messenger.TransactRequest) error {
	fault := c.transactFault
	c.transactFault = nil
	if c.stopped || c.down || (fault != nil && !c.tookEffect) {
		return transactor.ErrUnavailable
	}
	for _, cond := range req.Conditions {
		if (cond.Table == "lease" && cond.Version != c.fence) || (cond.Table != "lease" && cond.Version != c.rows[cond.Key].Version) {
			return transactor.ErrConflict
		}
	}
	for _, write := range req.Writes {
		c.rows[write.Key] = messenger.Row{Key: write.Key, Value: write.Value, Version: c.rows[write.Key].Version + 1}
		var l Ledger
		_ = json.Unmarshal(write.Value, &l)
		for _, s := range l.Sends {
			if _, ok := c.recordedAt[s.OrderID]; !ok {
				c.recordedAt[s.OrderID] = c.now
			}
		}
	}
	return fault
}

func (c *testCluster) send(id string, order messenger.EngineOrder) error {
	d := c.nextDelivery
	c.nextDelivery = delivered
	if _, recorded := c.recordedAt[order.ID]; !recorded && order.Kind != commander.Role {
		c.violations = append(c.violations, order.ID+" was sent without a record")
	}
	if c.stopped || d == unsent {
		return commander.ErrNotApplied
	}
	i := slices.IndexFunc(c.engines, func(e *fakeEngine) bool { return e.id == id })
	e := c.engines[i]
	switch d {
	case lost:
		return commander.ErrUnknownOutcome
	case late:
		e.delayed = append(e.delayed, timedOrder{order: order, at: c.now.Add(20 * time.Second)})
		return commander.ErrUnknownOutcome
	case duplicated:
		e.delayed = append(e.delayed, timedOrder{order: order, at: c.now.Add(2 * time.Second)})
	}
	applied := c.apply(e, order)
	switch {
	case d == answerLost:
		return commander.ErrUnknownOutcome
	case !applied:
		return commander.ErrStaleFence
	}
	return nil
}

// apply executes an order at an engine and records violated invariants.
func (c *testCluster) apply(e *fakeEngine, order messenger.EngineOrder) bool {
	if e.fencing && order.Fence < e.highest {
		return false
	}
	e.highest = max(e.highest, order.Fence)
	e.applied = append(e.applied, order.ID)
	e.applied = e.applied[max(0, len(e.applied)-maxAppliedOrders):]
	name := keeper.Name{Model: order.Model, Version: order.Version}
	switch order.Kind {
	case commander.Load:
		if _, held := e.holdings[name]; !held {
			e.holdings[name] = timedOrder{order: order, at: c.now.Add(loadTime)}
		}
		if e.usedBytes() > maxModelBytes {
			c.violations = append(c.violations, fmt.Sprintf("%s holds %d bytes after %s", e.id, e.usedBytes(), order.ID))
		}
	case commander.Unload:
		had := c.copiesOfAnyVersion(name.Model)
		delete(e.holdings, name)
		if had > 0 && c.copiesOfAnyVersion(name.Model) == 0 && c.mustKeepCopy(name, c.recordedAt[order.ID]) {
			c.violations = append(c.violations, fmt.Sprintf("%s unloaded the last copy of %s from %s", order.ID, name, e.id))
		}
	}
	return true
}

func (c *testCluster) copies(name keeper.Name) int {
	n := 0
	for _, e := range c.engines {
		if e.isLoaded(name, c.now) {
			n++
		}
	}
	return n
}

// copiesOfAnyVersion counts the loaded copies of all versions of a model.
func (c *testCluster) copiesOfAnyVersion(model string) int {
	n := 0
	for _, e := range c.engines {
		for name := range e.holdings {
			if name.Model == model && e.isLoaded(name, c.now) {
				n++
			}
		}
	}
	return n
}

// mustKeepCopy reports whether a model is configured, and only orders can have
// removed a copy of it after the reports that a holder had received by since.
func (c *testCluster) mustKeepCopy(name keeper.Name, since time.Time) bool {
	for _, e := range c.engines {
		if !e.restarted.Add(2 * tickTime).Before(since) {
			return false
		}
	}
	_, configured := c.catalog.Models[name.Model]
	return configured && c.changedAt.Before(since)
}

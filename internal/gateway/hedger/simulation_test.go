package hedger_test

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const (
	slots    = 4
	timeout  = 3 * time.Second
	share    = 0.05
	usual    = 20 * time.Millisecond
	slowness = time.Second
)

// event is something that happens at a time.
type event struct {
	at time.Time
	do func()
}

type events []event

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at.Before(e[j].at) }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

// fault is what is wrong with a target.
type fault int

const (
	sound fault = iota
	stalled
	slowForSome
	dead
	faultCount
)

// world runs instances and targets in virtual time.
type world struct {
	now    time.Time
	random *rand.Rand
	// arrivals and changes are apart from random, so that worlds of one seed have the same
	// requests and faults whatever is decided in them.
	arrivals  *rand.Rand
	changes   *rand.Rand
	queue     events
	faults    map[string]fault
	view      *registrar.View
	instances []*instance

	requests []time.Time
	hedges   []time.Time
	calls    []*call
}

type instance struct {
	balancer *balancer.Balancer
	budget   *budgeter.Budgeter
	hedger   *hedger.Hedger
}

// call is a request of a caller.
type call struct {
	arrived time.Time
	ask     hedger.Ask
	runs    []*balancer.Ticket
	// answeredAt holds the times of its answers.
	answeredAt []time.Time
}

func newWorld(seed uint64, instanceCount, targetCount int, hedgeShare float64) *world {
	w := &world{now: time.Unix(1000, 0), random: rand.New(rand.NewPCG(seed, 7)), arrivals: rand.New(rand.NewPCG(seed, 8)), changes: rand.New(rand.NewPCG(seed, 9)), faults: map[string]fault{}}
	r := registrar.New()
	r.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}})
	r.Update(func(table map[string]*registrar.Target) {
		for i := range targetCount {
			id := fmt.Sprintf("t%d", i)
			table[id] = &registrar.Target{ID: id, Service: "s", Slots: slots}
		}
	})
	w.view = r.View()
	clock := func() time.Time { return w.now }
	for range instanceCount {
		b := budgeter.New(0.2, 50, 10*time.Second, budgeter.WithClock(clock))
		b.SetInstances(instanceCount)
		w.instances = append(w.instances, &instance{
			balancer: balancer.New(balancer.WithClock(clock), balancer.WithRandom(w.random.Uint64)), budget: b, hedger: hedger.New(hedgeShare),
		})
	}
	return w
}

func (w *world) after(d time.Duration, do func()) { heap.Push(&w.queue, event{w.now.Add(d), do}) }

// run lets requests arrive at a rate and, if hasFaults, lets targets fail and recover.
func (w *world) run(length time.Duration, perSecond float64, hasFaults bool) {
	end := w.now.Add(length)
	var arrive, change, share func()
	arrive = func() {
		w.arrive()
		w.after(time.Duration(w.arrivals.ExpFloat64()/perSecond*float64(time.Second)), arrive)
	}
	change = func() {
		w.faults[fmt.Sprintf("t%d", w.changes.IntN(len(w.view.Targets)))] = fault(w.changes.IntN(int(faultCount)))
		w.after(time.Duration(w.changes.IntN(2000))*time.Millisecond, change)
	}
	share = func() {
		w.shareLoads()
		w.after(50*time.Millisecond, share)
	}
	w.after(0, arrive)
	w.after(0, share)
	if hasFaults {
		w.after(0, change)
	}
	for len(w.queue) > 0 && w.now.Before(end) {
		next := heap.Pop(&w.queue).(event)
		w.now = next.at
		next.do()
	}
}

func (w *world) shareLoads() {
	for i, from := range w.instances {
		sequence, loads := from.balancer.LocalLoads(nil)
		for j, to := range w.instances {
			if i != j {
				to.balancer.SetPeerLoads(fmt.Sprint(i), 1, sequence, loads, w.now.Add(time.Second))
			}
		}
	}
}

func (w *world) arrive() {
	x := w.instances[w.arrivals.IntN(len(w.instances))]
	c := &call{arrived: w.now, ask: hedger.Ask{
		Route: hedger.Route{Service: "s"}, MaxAttempts: 2, IsRepeatable: w.arrivals.IntN(4) > 0,
	}}
	if !c.ask.IsRepeatable {
		c.ask.Route.Prefix = "/unsafe/"
	}
	w.calls = append(w.calls, c)
	x.budget.CountRequest("s")
	w.requests = append(w.requests, w.now)
	ticket, err := x.balancer.Pick(w.view, balancer.Request{Service: "s"})
	if err != nil {
		x.hedger.NoteShort(w.now, hedger.Pool{Service: "s"})
		return
	}
	w.send(x, c, ticket)
	if delay, ok := x.hedger.Delay(w.now, c.arrived.Add(timeout), c.ask); ok {
		w.after(delay, func() { w.hedge(x, c) })
	}
}

func (w *world) hedge(x *instance, c *call) {
	if len(c.answeredAt) > 0 || !x.hedger.MayStart(w.now, hedger.Pool{Service: "s"}) {
		return
	}
	r := balancer.Request{Service: "s", IsHedge: true, Excluded: map[string]bool{c.runs[0].Target.ID: true}}
	ticket, err := x.balancer.Pick(w.view, r)
	if err != nil {
		return
	}
	if !x.budget.AllowHedge("s", x.hedger.Share()) {
		ticket.End(balancer.Abandoned)
		return
	}
	w.hedges = append(w.hedges, w.now)
	w.send(x, c, ticket)
}

// send runs a call at a target; it ends later.
func (w *world) send(x *instance, c *call, ticket *balancer.Ticket) {
	c.runs = append(c.runs, ticket)
	d := time.Duration((0.5 + w.random.Float64()) * float64(usual))
	outcome := balancer.Answered
	switch f := w.faults[ticket.Target.ID]; {
	case f == stalled:
		d, outcome = timeout-w.now.Sub(c.arrived), balancer.Lost
	case f == dead:
		d, outcome = time.Millisecond, balancer.Unreached
	case f == slowForSome && w.random.IntN(5) == 0:
		d = slowness
	}
	w.after(d, func() { w.end(x, c, ticket, outcome) })
}

func (w *world) end(x *instance, c *call, ticket *balancer.Ticket, outcome balancer.Outcome) {
	if len(c.answeredAt) > 0 {
		return
	}
	if outcome != balancer.Answered {
		ticket.End(outcome)
		return
	}
	c.answeredAt = append(c.answeredAt, w.now)
	ticket.FirstByte()
	ticket.End(outcome)
	for _, other := range c.runs {
		other.End(balancer.Abandoned)
	}
	x.hedger.Observe(w.now, c.ask.Route, w.now.Sub(c.runs[0].ChosenAt()))
}

// lateCount returns the number of repeatable requests without an answer within some time, of
// those that arrived long enough before the end.
func (w *world) lateCount(limit time.Duration) int {
	n := 0
	for _, c := range w.calls {
		isLate := len(c.answeredAt) == 0 || c.answeredAt[0].Sub(c.arrived) > limit
		if c.ask.IsRepeatable && isLate && w.now.Sub(c.arrived) > limit {
			n++
		}
	}
	return n
}

func requireOneAnswer(t *testing.T, w *world) {
	t.Helper()
	for _, c := range w.calls {
		require.LessOrEqual(t, len(c.answeredAt), 1)
		require.LessOrEqual(t, len(c.runs), 2)
		if !c.ask.IsRepeatable {
			require.LessOrEqual(t, len(c.runs), 1, "an unsafe request is never sent twice")
		}
	}
}

func requireShare(t *testing.T, w *world) {
	t.Helper()
	first, from, last := 0, 0, 0
	for i, at := range w.hedges {
		for w.hedges[from].Before(at.Add(-10 * time.Second)) {
			from++
		}
		for w.requests[first].Before(at.Add(-10 * time.Second)) {
			first++
		}
		for last < len(w.requests) && !w.requests[last].After(at) {
			last++
		}
		require.LessOrEqual(t, float64(i-from+1), share*float64(last-first))
	}
}

// TestHedgingOverFaults guards against second runs beyond the share, over all instances, and
// against a tail that they do not shorten, while targets stall, are slow for some requests, die
// and recover. Requests are not sent again here.
func TestHedgingOverFaults(t *testing.T) {
	const late = 300 * time.Millisecond
	lateWith, lateWithout := 0, 0
	for seed := range uint64(10) {
		with, without := newWorld(seed, 4, 10, share), newWorld(seed, 4, 10, 0)
		with.run(40*time.Second, 200, true)
		without.run(40*time.Second, 200, true)
		requireShare(t, with)
		requireOneAnswer(t, with)
		assert.Empty(t, without.hedges)
		t.Logf("seed %d: %d requests, %d second runs, %d late with, %d without",
			seed, len(with.requests), len(with.hedges), with.lateCount(late), without.lateCount(late))
		lateWith += with.lateCount(late)
		lateWithout += without.lateCount(late)
	}
	assert.Less(t, lateWith, lateWithout)
}

// TestOverloadShutsHedgingOff guards against second runs that add to an overload: 40 slots take
// 2,000 requests a second.
func TestOverloadShutsHedgingOff(t *testing.T) {
	w := newWorld(1, 4, 10, share)
	w.run(10*time.Second, 200, false)
	before := len(w.hedges)
	for id := range w.view.Targets {
		w.faults[id] = slowForSome
	}
	w.run(10*time.Second, 2500, false)
	requireShare(t, w)
	t.Logf("%d requests, %d second runs in the overload", len(w.requests), len(w.hedges)-before)
	assert.Less(t, len(w.hedges)-before, len(w.requests)/200)
}

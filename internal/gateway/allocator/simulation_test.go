package allocator_test

import (
	"container/heap"
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/allocator"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// The deployment that is simulated, and the intervals of the code that is not part of it: the
// batches of loads, the sums of data centres, the statuses and the releases.
const (
	instanceCount  = 84
	centreCount    = 3
	targetCount    = 4
	targetSlots    = 6
	targetQueue    = 24
	serviceName    = "charge"
	localLatency   = 200 * time.Microsecond
	remoteLatency  = 900 * time.Microsecond
	meanWork       = 60 * time.Millisecond
	goal           = 300 * time.Millisecond
	deadline       = 3 * time.Second
	perSecond      = 165.0
	loadBatch      = 18 * time.Millisecond
	sumInterval    = 150 * time.Millisecond
	statusInterval = 700 * time.Millisecond
	releaseBatch   = 3 * time.Millisecond
	tickInterval   = 250 * time.Millisecond
	askTimeout     = 150 * time.Millisecond
	maxHold        = 100 * time.Millisecond
	silentTime     = 500 * time.Millisecond
	maxSilentTime  = 2 * time.Second
)

// scenario is what happens in a run.
type scenario struct {
	seed uint64
	// usesAllocator is false for today's choice by each instance.
	usesAllocator bool
	length        time.Duration
	// overload is the factor of the load from burstFrom to burstTo.
	overload           float64
	burstFrom, burstTo time.Duration
	// repeatingShare is the share of callers that repeat at once, whatever they are told.
	repeatingShare float64
	hasSlowTarget  bool
	failingShare   float64
	// targetLostAt, allocatorLostAt and splitAt are 0 if nothing of that kind happens. From
	// splitAt on half of the instances regard another one as the allocator, for 2 s.
	targetLostAt, allocatorLostAt, splitAt time.Duration
	// describe sets the account and the rank of a caller's request.
	describe func(random *rand.Rand, c *caller)
}

// result is what the callers and the targets saw.
type result struct {
	callers, rejected, refused, onTime, late, failed, unserved int
	// returned counts callers that were refused and came back when told, and returnedServed
	// those of them that were served.
	returned, returnedServed int
	served, offered          map[string]int
	// idleRefusals counts refusals while half of the slots were free and nothing waited.
	idleRefusals int
	asks         int
	retryAfter   []time.Duration
}

func (r result) String() string {
	return fmt.Sprintf("callers %d, on time %d, late %d, unserved %d, refused %d, rejected %d, failed %d, asks %d, returned %d (%d served)",
		r.callers, r.onTime, r.late, r.unserved, r.refused, r.rejected, r.failed, r.asks, r.returned, r.returnedServed)
}

type event struct {
	at  time.Time
	seq int
	do  func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at.Before(e[j].at) || (e[i].at.Equal(e[j].at) && e[i].seq < e[j].seq)
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	old := *e
	last := old[len(old)-1]
	*e = old[:len(old)-1]
	return last
}

// simulation runs instances, targets and callers in virtual time.
type simulation struct {
	scenario
	random *rand.Rand
	// arrivals is the source of random numbers for what does not depend on the choices.
	arrivals   *rand.Rand
	now, start time.Time
	queue      events
	seq        int
	view       *registrar.View
	registry   *registrar.Registrar
	targets    map[string]*simTarget
	instances  []*simInstance
	allocators map[int]*allocator.Allocator
	asks       map[allocator.Key]*simAsk
	number     int64
	out        result
}

type simTarget struct {
	id             string
	running, queue int
	waiting        []func()
	isLost         bool
	slowUntil      time.Time
}

type simInstance struct {
	index       int
	balancer    *balancer.Balancer
	dirty       map[string]bool
	isScheduled bool
	// silence is how the instance regards each allocator that did not answer.
	silences [instanceCount]silence
}

type silence struct {
	until time.Time
	time  time.Duration
}

// caller is one request of a caller, and its repetition.
type caller struct {
	content  int64
	account  string
	rank     int
	attempts int
	told     bool
	arrived  time.Time
	instance *simInstance
	excluded map[string]bool
}

type simAsk struct {
	caller    *caller
	allocator int
	done      bool
}

func run(s scenario) result {
	sim := &simulation{
		scenario: s, random: rand.New(rand.NewPCG(s.seed, 1)), arrivals: rand.New(rand.NewPCG(s.seed, 2)), start: time.Unix(1e9, 0), targets: map[string]*simTarget{},
		allocators: map[int]*allocator.Allocator{}, asks: map[allocator.Key]*simAsk{}, registry: registrar.New(),
		out: result{served: map[string]int{}, offered: map[string]int{}},
	}
	sim.now = sim.start
	sim.setUp()
	for len(sim.queue) > 0 {
		next := heap.Pop(&sim.queue).(event)
		sim.now = next.at
		next.do()
	}
	return sim.out
}

func (s *simulation) after(d time.Duration, do func()) {
	s.seq++
	heap.Push(&s.queue, event{at: s.now.Add(d), seq: s.seq, do: do})
}

func (s *simulation) elapsed() time.Duration { return s.now.Sub(s.start) }

// every calls do regularly until the run ends.
func (s *simulation) every(interval time.Duration, do func()) {
	s.after(interval, func() {
		if s.elapsed() < s.length+deadline {
			do()
			s.every(interval, do)
		}
	})
}

func (s *simulation) setUp() {
	s.registry.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{serviceName: {Name: serviceName}}})
	s.registry.Update(func(targets map[string]*registrar.Target) {
		for i := range targetCount {
			id := fmt.Sprintf("t%d", i)
			targets[id] = &registrar.Target{ID: id, Service: serviceName, Slots: targetSlots, Address: fmt.Sprintf("127.0.0.1:%d", 1000+i)}
			s.targets[id] = &simTarget{id: id}
		}
	})
	s.view = s.registry.View()
	for i := range instanceCount {
		instance := &simInstance{index: i, dirty: map[string]bool{}}
		instance.balancer = balancer.New(balancer.WithClock(func() time.Time { return s.now }),
			balancer.WithRandom(s.random.Uint64), balancer.WithLoadChanged(func(id string) { s.loadChanged(instance, id) }))
		s.instances = append(s.instances, instance)
		s.after(0, func() { s.sendStatus(instance) })
		s.every(statusInterval, func() { s.sendStatus(instance) })
	}
	s.every(sumInterval, s.sendSums)
	s.every(tickInterval, func() {
		live := map[string]int64{}
		for i := range instanceCount {
			live[nameOf(i)] = 1
		}
		for index := range instanceCount {
			if a := s.allocators[index]; a != nil {
				s.deliver(a.Tick(s.now, live))
			}
		}
	})
	if s.hasSlowTarget {
		s.every(600*time.Millisecond, func() {
			if s.random.Float64() < 0.15 {
				s.targets["t0"].slowUntil = s.now.Add(600 * time.Millisecond)
			}
		})
	}
	if s.targetLostAt > 0 {
		s.after(s.targetLostAt, func() { s.targets["t0"].isLost = true })
	}
	s.after(s.gap(), s.arrive)
}

// Loads.

func nameOf(i int) string { return fmt.Sprintf("i%02d", i) }

func (s *simulation) latency(a, b int) time.Duration {
	if a%centreCount == b%centreCount {
		return localLatency
	}
	return remoteLatency
}

func (s *simulation) loadChanged(i *simInstance, id string) {
	i.dirty[id] = true
	if i.isScheduled {
		return
	}
	i.isScheduled = true
	s.after(loadBatch, func() {
		i.isScheduled = false
		sequence, loads := i.balancer.LocalLoads(i.dirty)
		i.dirty = map[string]bool{}
		s.sendToCell(i, sequence, loads, 0)
	})
}

func (s *simulation) sendStatus(i *simInstance) {
	sequence, loads := i.balancer.LocalLoads(nil)
	s.sendToCell(i, sequence, loads, 4*statusInterval)
}

func (s *simulation) sendToCell(i *simInstance, sequence int64, loads map[string]balancer.Load, ttl time.Duration) {
	until := time.Time{}
	if ttl > 0 {
		until = s.now.Add(ttl)
	}
	s.after(localLatency, func() {
		for _, peer := range s.instances {
			if peer != i && peer.index%centreCount == i.index%centreCount {
				peer.balancer.SetPeerLoads(nameOf(i.index), 1, sequence, loads, until)
			}
		}
	})
}

func (s *simulation) sendSums() {
	for centre := range centreCount {
		names := []string{}
		for _, peer := range s.instances[centreCount:] {
			if peer.index%centreCount == centre {
				names = append(names, nameOf(peer.index))
			}
		}
		sequence, loads := s.instances[centre].balancer.SumLoads(names)
		until := s.now.Add(1500 * time.Millisecond)
		s.after(localLatency+remoteLatency, func() {
			for _, peer := range s.instances {
				if peer.index%centreCount != centre {
					peer.balancer.SetPeerLoads(fmt.Sprintf("data centre %d", centre), 1, sequence, loads, until)
				}
			}
		})
	}
}

// Callers.

const clumpSize = 4

// gap returns the time until the next clump of arrivals.
func (s *simulation) gap() time.Duration {
	at := s.elapsed()
	rate := perSecond * (1 + 0.55*math.Sin(2*math.Pi*at.Seconds()/12))
	if at >= s.burstFrom && at < s.burstTo {
		rate = perSecond * 1.55 * s.overload
	}
	return time.Duration(s.arrivals.ExpFloat64() * clumpSize / rate * float64(time.Second))
}

func (s *simulation) arrive() {
	if s.elapsed() > s.length {
		return
	}
	for range 1 + s.arrivals.IntN(2*clumpSize-1) {
		c := &caller{content: s.arrivals.Int64N(math.MaxInt64-1) + 1}
		if s.describe != nil {
			s.describe(s.arrivals, c)
		}
		s.out.callers++
		s.out.offered[c.label()]++
		s.after(time.Duration(s.arrivals.Int64N(int64(5*time.Millisecond))), func() { s.begin(c) })
	}
	s.after(s.gap(), s.arrive)
}

func (c *caller) label() string { return fmt.Sprintf("%s/%d", c.account, c.rank) }

// begin sends a caller's request to some instance.
func (s *simulation) begin(c *caller) {
	c.attempts++
	c.arrived = s.now
	c.excluded = map[string]bool{}
	c.instance = s.instances[s.random.IntN(instanceCount)]
	if s.isAllocatorLost() && c.instance.index == firstAllocator {
		c.instance = s.instances[firstAllocator+1]
	}
	s.choose(c)
}

func (s *simulation) refuse(c *caller, retryAfter time.Duration) {
	s.out.refused++
	s.out.retryAfter = append(s.out.retryAfter, retryAfter)
	running, waiting := 0, 0
	for _, t := range s.targets {
		running += t.running
		waiting += t.queue
	}
	if 2*running <= targetCount*targetSlots && waiting == 0 && s.targetLostAt == 0 {
		s.out.idleRefusals++
	}
	if c.attempts >= 2 {
		s.out.unserved++
		return
	}
	if s.random.Float64() < s.repeatingShare {
		s.after(2*time.Millisecond, func() { s.begin(c) })
		return
	}
	c.told = true
	s.out.returned++
	s.after(retryAfter, func() { s.begin(c) })
}

func (s *simulation) end(c *caller, outcome balancer.Outcome) {
	switch {
	case outcome != balancer.Answered:
		s.out.failed++
		return
	case s.now.Sub(c.arrived) <= goal:
		s.out.onTime++
	default:
		s.out.late++
	}
	s.out.served[c.label()]++
	if c.told {
		s.out.returnedServed++
	}
}

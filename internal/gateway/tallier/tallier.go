// Package tallier counts what the callers of an instance ask for of each model and
// adapter, and adds up what instances tell each other of it.
package tallier

import (
	"math"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// memory is the time after which a request weighs 1/e in a rate.
	memory = 2500 * time.Millisecond
	// runMemory is the same for how long runs take, which changes less than demand.
	runMemory = 15 * time.Second
	// priorRuns is the weight, in runs, of how long those of other models of the
	// service take, and priorSeconds what stands for it while no run has ended.
	priorRuns    = 2.0
	priorSeconds = 1.0
	// negligible is the rate, in requests a second, below which a key is forgotten.
	negligible = 0.01
)

// Key names a model of a service, or with Adapter one of its adapters.
type Key struct {
	Service string
	Model   string
	Adapter string
}

// Demand is what is asked of a key.
type Demand struct {
	// Rate is in requests a second.
	Rate float64
	// Work is the number of runs at the same time that the rate amounts to, and Reading
	// the number of prompts that are being read at the same time.
	Work    float64
	Reading float64
	// Waiting is the number of requests that found no target lately.
	Waiting int
	// Runs is the number of runs that ended lately, older ones weighing less,
	// RunSeconds how long they took at their targets together, and ReadSeconds the part
	// of it in which their prompts were read.
	Runs        float64
	RunSeconds  float64
	ReadSeconds float64
}

// Tallier counts demand. The zero value is not usable; see New.
type Tallier struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[Key]*counter
	peers map[string]told
}

// counter fades as time passes.
type counter struct {
	requests float64
	waiting  float64
	runs     float64
	seconds  float64
	reading  float64
	at       time.Time
}

type told struct {
	demand map[Key]Demand
	until  time.Time
}

// New returns a tallier without demand.
func New() *Tallier {
	return &Tallier{now: time.Now, own: map[Key]*counter{}, peers: map[string]told{}}
}

// Add counts a request.
func (t *Tallier) Add(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faded(key).requests++
}

// AddRun counts a run that ended after a time at its target, a part of which the target
// took to read the prompt.
func (t *Tallier) AddRun(key Key, took, read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.faded(key)
	c.runs++
	c.seconds += took.Seconds()
	c.reading += read.Seconds()
}

// AddWaiting counts a look in vain for a target.
func (t *Tallier) AddWaiting(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faded(key).waiting++
}

func (t *Tallier) faded(key Key) *counter {
	now := t.now()
	c := t.own[key]
	if c == nil {
		c = &counter{at: now}
		t.own[key] = c
	}
	factor := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	c.requests *= factor
	c.waiting *= factor
	factor = math.Exp(-now.Sub(c.at).Seconds() / runMemory.Seconds())
	c.runs *= factor
	c.seconds *= factor
	c.reading *= factor
	c.at = now
	return c
}

// Own returns the demand at this instance, for its peers.
func (t *Tallier) Own() []messenger.GatewayDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []messenger.GatewayDemand{}
	for key := range t.own {
		c := t.faded(key)
		rate := c.requests / memory.Seconds()
		if rate < negligible && c.waiting < negligible {
			delete(t.own, key)
			continue
		}
		out = append(out, messenger.GatewayDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Rate: rate,
			Waiting: int(math.Round(c.waiting)), Runs: c.runs, RunSeconds: c.seconds, ReadSeconds: c.reading,
		})
	}
	return out
}

// SetPeer takes what a peer told of its demand, which counts until a deadline.
func (t *Tallier) SetPeer(instance string, demand []messenger.GatewayDemand, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[instance] = told{demand: index(demand), until: until}
}

func index(demand []messenger.GatewayDemand) map[Key]Demand {
	out := make(map[Key]Demand, len(demand))
	for _, d := range demand {
		out[Key{d.Service, d.Model, d.Adapter}] = Demand{
			Rate: d.Rate, Waiting: d.Waiting, Runs: d.Runs, RunSeconds: d.RunSeconds, ReadSeconds: d.ReadSeconds,
		}
	}
	return out
}

// Total returns the demand of all instances.
func (t *Tallier) Total() map[Key]Demand {
	total := index(t.Own())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for name, peer := range t.peers {
		if !now.Before(peer.until) {
			delete(t.peers, name)
			continue
		}
		for key, d := range peer.demand {
			sum := total[key]
			sum.Rate += d.Rate
			sum.Waiting += d.Waiting
			sum.addRuns(d)
			total[key] = sum
		}
	}
	addWork(total)
	return total
}

// addWork works out how many runs at the same time each rate amounts to. Models differ
// by an order of magnitude in how long the same tokens take; of one that has run little
// yet, the runs of the others of its service tell most.
func addWork(total map[Key]Demand) {
	services := map[string]Demand{}
	for key, d := range total {
		sum := services[key.Service]
		sum.addRuns(d)
		services[key.Service] = sum
	}
	for key, d := range total {
		prior := Demand{Runs: 1, RunSeconds: priorSeconds}
		if of := services[key.Service]; of.Runs > 0 {
			prior = of
		}
		weight := priorRuns / prior.Runs
		perRun := d.Rate / (d.Runs + priorRuns)
		d.Work = perRun * (d.RunSeconds + weight*prior.RunSeconds)
		d.Reading = perRun * (d.ReadSeconds + weight*prior.ReadSeconds)
		total[key] = d
	}
}

func (d *Demand) addRuns(other Demand) {
	d.Runs += other.Runs
	d.RunSeconds += other.RunSeconds
	d.ReadSeconds += other.ReadSeconds
}

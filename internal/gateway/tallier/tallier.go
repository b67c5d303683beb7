// Package tallier measures the demand for each model and adapter at an instance and adds
// the demand that other instances report.
package tallier

import (
	"math"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// rateDecayTime is the time in which the weight of a request in a rate falls to 1/e.
	rateDecayTime = 2500 * time.Millisecond
	// runDecayTime is the same for the durations of runs, which change more slowly than
	// demand.
	runDecayTime = 15 * time.Second
	// priorRuns is the weight, in runs, of the mean duration over the service in the
	// estimate for a model. priorRunSeconds replaces that mean while no run has ended.
	priorRuns       = 2.0
	priorRunSeconds = 1.0
	// minRate is the rate, in requests a second, below which a key is dropped.
	minRate = 0.01
)

// Key identifies a model of a service or, if Adapter is set, one of its adapters.
type Key struct {
	Service string
	Model   string
	Adapter string
}

// Demand is the demand for a model or adapter.
type Demand struct {
	// Rate is the request rate, in requests a second.
	Rate float64
	// Work is the mean number of concurrent runs that the rate amounts to, and Reading the
	// mean number of prompts that are being read at the same time.
	Work    float64
	Reading float64
	// Waiting is the decayed number of recent attempts that found no target.
	Waiting int
	// Runs is the decayed number of runs that have ended, RunSeconds their total duration
	// at the targets, and ReadSeconds the part of it in which prompts were read.
	Runs        float64
	RunSeconds  float64
	ReadSeconds float64
}

// Tallier measures demand. The zero value is not usable; see New.
type Tallier struct {
	now func() time.Time

	mu    sync.Mutex
	local map[Key]*counter
	peers map[string]peerDemand
}

// counter holds exponentially decayed counts as of updatedAt.
type counter struct {
	requests    float64
	waiting     float64
	runs        float64
	runSeconds  float64
	readSeconds float64
	updatedAt   time.Time
}

// peerDemand is the demand that a peer has reported; it counts until a deadline.
type peerDemand struct {
	demand map[Key]Demand
	until  time.Time
}

// New returns a tallier without any demand.
func New() *Tallier {
	return &Tallier{now: time.Now, local: map[Key]*counter{}, peers: map[string]peerDemand{}}
}

// Add counts a request.
func (t *Tallier) Add(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decayed(key).requests++
}

// AddRun counts a run that has ended: took is its duration at the target, and read the
// part of it in which the target read the prompt.
func (t *Tallier) AddRun(key Key, took, read time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.decayed(key)
	c.runs++
	c.runSeconds += took.Seconds()
	c.readSeconds += read.Seconds()
}

// AddUnplaced counts an attempt that found no target.
func (t *Tallier) AddUnplaced(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.decayed(key).waiting++
}

// decayed returns the counter of a key after applying the decay up to now; it creates the
// counter if necessary. The lock must be held.
func (t *Tallier) decayed(key Key) *counter {
	now := t.now()
	c := t.local[key]
	if c == nil {
		c = &counter{updatedAt: now}
		t.local[key] = c
	}
	factor := math.Exp(-now.Sub(c.updatedAt).Seconds() / rateDecayTime.Seconds())
	c.requests *= factor
	c.waiting *= factor
	factor = math.Exp(-now.Sub(c.updatedAt).Seconds() / runDecayTime.Seconds())
	c.runs *= factor
	c.runSeconds *= factor
	c.readSeconds *= factor
	c.updatedAt = now
	return c
}

// LocalDemand returns the demand at this instance, as reported to its peers.
func (t *Tallier) LocalDemand() []messenger.GatewayDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []messenger.GatewayDemand{}
	for key := range t.local {
		c := t.decayed(key)
		rate := c.requests / rateDecayTime.Seconds()
		if rate < minRate && c.waiting < minRate {
			delete(t.local, key)
			continue
		}
		out = append(out, messenger.GatewayDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Rate: rate,
			Waiting: int(math.Round(c.waiting)), Runs: c.runs, RunSeconds: c.runSeconds, ReadSeconds: c.readSeconds,
		})
	}
	return out
}

// SetPeerDemand stores the demand that a peer reports; it counts until a deadline.
func (t *Tallier) SetPeerDemand(instance string, demand []messenger.GatewayDemand, until time.Time) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[instance] = peerDemand{demand: byKey(demand), until: until}
}

// byKey returns reported demand as a map.
func byKey(demand []messenger.GatewayDemand) map[Key]Demand {
	out := make(map[Key]Demand, len(demand))
	for _, d := range demand {
		out[Key{d.Service, d.Model, d.Adapter}] = Demand{
			Rate: bounded(d.Rate), Waiting: int(bounded(float64(d.Waiting))), Runs: bounded(d.Runs),
			RunSeconds: bounded(d.RunSeconds), ReadSeconds: bounded(d.ReadSeconds),
		}
	}
	return out
}

// maxReported bounds each number that an instance reports.
const maxReported = 1e12

func bounded(x float64) float64 { return min(max(x, 0), maxReported) }

// TotalDemand returns the sum of the demand at all instances.
func (t *Tallier) TotalDemand() map[Key]Demand {
	total := byKey(t.LocalDemand())
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

// addWork derives Work and Reading from the rates and run durations. The duration for the
// same number of tokens differs between models by an order of magnitude, so each model has
// its own estimate; that of a model with few runs is based mostly on the other models of
// its service.
func addWork(total map[Key]Demand) {
	services := map[string]Demand{}
	for key, d := range total {
		sum := services[key.Service]
		sum.addRuns(d)
		services[key.Service] = sum
	}
	for key, d := range total {
		prior := Demand{Runs: 1, RunSeconds: priorRunSeconds}
		if all := services[key.Service]; all.Runs > 0 {
			prior = all
		}
		weight := priorRuns / prior.Runs
		perRun := d.Rate / (d.Runs + priorRuns)
		d.Work = perRun * (d.RunSeconds + weight*prior.RunSeconds)
		d.Reading = perRun * (d.ReadSeconds + weight*prior.ReadSeconds)
		total[key] = d
	}
}

// addRuns adds the number and durations of the runs of other.
func (d *Demand) addRuns(other Demand) {
	d.Runs += other.Runs
	d.RunSeconds += other.RunSeconds
	d.ReadSeconds += other.ReadSeconds
}

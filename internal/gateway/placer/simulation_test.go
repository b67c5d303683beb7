package placer_test

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/gateway/tallier"
)

// fleet describes a simulated deployment and its load, without network or processes. Times
// are in seconds.
type fleet struct {
	targets, slots int
	// popular models take turns in having high demand, busyAtOnce of them at a time; rare
	// models have a constant low demand.
	popular, busyAtOnce, rare int
	// rate is the total request rate for popular models, rareRate that for rare ones, in
	// requests a second.
	rate, rareRate float64
	// storeSeconds, diskSeconds and hostSeconds are the times of a load from the weight
	// store, from disk and from host memory.
	storeSeconds, diskSeconds, hostSeconds float64
	megabytes                              float64
	storeLoadsPerSecond                    float64
	// shiftStarts are the times at which demand begins to shift by shiftStep models; each
	// shift takes shiftSeconds.
	shiftStarts  []float64
	shiftStep    int
	shiftSeconds float64
	// lossAt is when lossShare of the targets are lost for lossSeconds; 0 for never.
	lossAt, lossShare, lossSeconds float64
	lengthSeconds                  float64
}

// largeFleet returns a fleet like the largest deployment that the gateway runs on.
func largeFleet() fleet {
	return fleet{
		targets: 140, slots: 12, popular: 116, busyAtOnce: 47, rare: 126, rate: 396, rareRate: 34, storeSeconds: 8.6, diskSeconds: 1.7,
		hostSeconds: 1.3, megabytes: 70_000, storeLoadsPerSecond: 20, shiftStarts: []float64{1, 13, 24}, shiftStep: 8, shiftSeconds: 7.3, lengthSeconds: 36,
	}
}

// simulatedRequest is a simulated request.
type simulatedRequest struct {
	model     string
	arrivedAt float64
	// issued is when the request was last sent, or when it is to be retried.
	issued   float64
	tries    int
	duration float64
}

// simulatedTarget is a simulated target.
type simulatedTarget struct {
	site *placer.Site
	// serves holds the models that accept requests, and running the end times of the runs
	// of each model.
	serves  map[string]bool
	running map[string][]float64
	// busy is the number of runs, including those started since the last tick.
	busy int
	// unloading is the model to be unloaded once its runs have ended, nextModel the one to
	// load after that.
	unloading, nextModel string
	loading              string
	loadedAt             float64
	lostUntil            float64
}

func (t *simulatedTarget) inFlight() int {
	n := 0
	for _, ends := range t.running {
		n += len(ends)
	}
	return n
}

// simulation is the simulation of a fleet under load.
type simulation struct {
	fleet
	random  *rand.Rand
	now     float64
	service *registrar.Service
	targets []*simulatedTarget
	// names holds all models, and popularOrder the popular ones in the order in which
	// demand shifts over them.
	names           []string
	popularOrder    []string
	durationFactor  map[string]float64
	waiting         []*simulatedRequest
	retrying        []*simulatedRequest
	idleDetector    *tallier.IdleDetector
	rates           map[string]float64
	runs            map[string][2]float64
	storeLoadStarts []float64
	// movesDisabled keeps every model where it is.
	movesDisabled bool
	result
}

// result counts how the requests of the callers ended.
type result struct {
	issued, onTime, late, refused, lost, loads int
}

// score returns the share of requests served, where a late one counts 0.3.
func (r result) score() float64 {
	return (float64(r.onTime) + 0.3*float64(r.late)) / float64(max(r.issued, 1))
}

const simulationTick = 0.05

func newSimulation(f fleet, seed uint64) *simulation {
	r := &simulation{
		fleet: f, random: rand.New(rand.NewPCG(seed, 1)), durationFactor: map[string]float64{}, idleDetector: tallier.NewIdleDetector(),
		rates: map[string]float64{}, runs: map[string][2]float64{},
	}
	models := map[string]registrar.Model{}
	factors := []float64{1, 1, 0.6, 1, 0.11, 1, 0.6}
	for i := range f.popular + f.rare {
		name := fmt.Sprintf("m%03d", i)
		r.names = append(r.names, name)
		r.durationFactor[name] = factors[i%len(factors)]
		models[name] = registrar.Model{
			Name: name, Megabytes: f.megabytes, LoadSeconds: f.storeSeconds, DiskSeconds: f.diskSeconds, HostSeconds: f.hostSeconds,
		}
		if i < f.popular {
			r.popularOrder = append(r.popularOrder, name)
		}
	}
	r.service = &registrar.Service{Name: serviceName, Engine: &registrar.Engine{
		Slots: f.slots, WeightMegabytes: 200_000, LoadsPerSecond: f.storeLoadsPerSecond, Models: models,
	}}
	r.random.Shuffle(len(r.popularOrder)-f.busyAtOnce, func(i, j int) {
		r.popularOrder[f.busyAtOnce+i], r.popularOrder[f.busyAtOnce+j] = r.popularOrder[f.busyAtOnce+j], r.popularOrder[f.busyAtOnce+i]
	})
	for i := range f.targets {
		s := site(fmt.Sprintf("t%03d", i))
		s.Target.Slots = f.slots
		r.targets = append(r.targets, &simulatedTarget{site: s, serves: map[string]bool{}, running: map[string][]float64{}})
	}
	r.placeInitialCopies()
	return r
}

// placeInitialCopies places each model once and fills the remaining memory with the
// busiest ones.
func (r *simulation) placeInitialCopies() {
	names := slices.Clone(r.names)
	for i := 0; len(names) < 2*r.fleet.targets; i++ {
		names = append(names, r.popularOrder[i%r.busyAtOnce])
	}
	for i, name := range names {
		t := r.targets[i%r.fleet.targets]
		if t.serves[name] || len(t.serves) == 2 {
			continue
		}
		t.serves[name] = true
		t.site.Models[name] = true
		t.site.Target.InMemory = append(t.site.Target.InMemory, name)
		t.site.Target.OnDisk = append(t.site.Target.OnDisk, name)
	}
}

// shares returns the share of demand of each popular model after a number of shifts.
func (r *simulation) shares(shift int) map[string]float64 {
	out := map[string]float64{}
	sum := 0.0
	for i := range r.busyAtOnce {
		sum += 1 / math.Pow(float64(i+1), 0.5)
	}
	for i := range r.busyAtOnce {
		out[r.popularOrder[(i+shift*r.shiftStep)%len(r.popularOrder)]] = 1 / math.Pow(float64(i+1), 0.5) / sum
	}
	return out
}

// currentRates returns the request rate of each model at the current time.
func (r *simulation) currentRates() map[string]float64 {
	done, part := 0, 0.0
	for _, at := range r.shiftStarts {
		if r.now >= at+r.shiftSeconds {
			done++
		} else if r.now > at {
			part = (r.now - at) / r.shiftSeconds
		}
	}
	out := map[string]float64{}
	for model, share := range r.shares(done) {
		out[model] += r.rate * share * (1 - part)
	}
	for model, share := range r.shares(done + 1) {
		out[model] += r.rate * share * part
	}
	for i := range r.rare {
		out[fmt.Sprintf("m%03d", r.popular+i)] = r.rareRate / float64(r.rare)
	}
	return out
}

// poisson draws from the Poisson distribution.
func (r *simulation) poisson(mean float64) int {
	n, p, limit := 0, r.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.random.Float64()
	}
	return n
}

// run simulates the whole load.
func (r *simulation) run() result {
	for r.now = 0; r.now < r.lengthSeconds; r.now += simulationTick {
		r.end()
		wave := 1 + 0.15*math.Sin(r.now*2*math.Pi/11)
		rates := r.currentRates()
		for _, model := range r.names {
			for range r.poisson(rates[model] * wave * simulationTick) {
				tokens := min(math.Exp(r.random.NormFloat64()*0.76-0.29)*172, 600)
				r.issued++
				r.arrive(&simulatedRequest{model: model, arrivedAt: r.now, duration: r.durationFactor[model] * (0.07 + tokens*0.0107)})
			}
		}
		r.retrying = slices.DeleteFunc(r.retrying, func(q *simulatedRequest) bool {
			if q.issued > r.now {
				return false
			}
			r.arrive(q)
			return true
		})
		r.assignWaiting()
		if int(r.now/simulationTick)%4 == 0 {
			r.applyPlan()
		}
	}
	return r.result
}

func (r *simulation) arrive(q *simulatedRequest) {
	q.issued = r.now
	q.tries++
	r.rates[q.model] += 1 / 2.5
	r.waiting = append(r.waiting, q)
}

// end applies the losses of targets and the ends of runs, unloads and loads that are due.
func (r *simulation) end() {
	for i, t := range r.targets {
		if r.lossAt > 0 && r.now >= r.lossAt && r.now < r.lossAt+simulationTick && float64(i%10) < 10*r.lossShare {
			r.crash(t)
		}
		for model, ends := range t.running {
			t.running[model] = slices.DeleteFunc(ends, func(end float64) bool { return end <= r.now })
		}
		if t.unloading != "" && len(t.running[t.unloading]) == 0 {
			delete(t.site.Models, t.unloading)
			t.unloading = ""
		}
		if t.loading != "" && t.loadedAt <= r.now {
			t.serves[t.loading] = true
			t.site.Target.InMemory = keepLast(t.site.Target.InMemory, t.loading, 2)
			t.site.Target.OnDisk = keepLast(t.site.Target.OnDisk, t.loading, 5)
			t.loading = ""
		}
		if t.nextModel != "" && t.unloading == "" {
			r.beginLoad(t, t.nextModel)
			t.nextModel = ""
		}
		t.site.Busy = t.unloading != "" || t.loading != "" || t.nextModel != "" || t.lostUntil > r.now
		t.busy = t.inFlight()
		t.site.InFlight = t.busy
	}
	factor := math.Exp(-simulationTick / 2.5)
	for model := range r.rates {
		r.rates[model] *= factor
	}
	for model, run := range r.runs {
		run[0] *= math.Exp(-simulationTick / 15)
		run[1] *= math.Exp(-simulationTick / 15)
		r.runs[model] = run
	}
}

// keepLast moves name to the end of names and drops the first entries beyond a length of
// most.
func keepLast(names []string, name string, most int) []string {
	names = append(slices.DeleteFunc(names, func(n string) bool { return n == name }), name)
	return names[max(len(names)-most, 0):]
}

// crash removes all runs and loaded models of a target.
func (r *simulation) crash(t *simulatedTarget) {
	for _, ends := range t.running {
		r.lost += len(ends)
		r.onTime -= len(ends)
	}
	t.running, t.serves = map[string][]float64{}, map[string]bool{}
	t.site.Models, t.site.Target.InMemory = map[string]bool{}, nil
	t.unloading, t.nextModel, t.loading = "", "", ""
	t.lostUntil = r.now + r.lossSeconds
}

// assignWaiting assigns waiting requests to targets. A request is refused after 0.3 s
// without a free slot, about half of the time that its caller allows; the caller retries
// it once.
func (r *simulation) assignWaiting() {
	r.waiting = slices.DeleteFunc(r.waiting, func(q *simulatedRequest) bool {
		var best *simulatedTarget
		least := r.slots + 1
		for _, t := range r.targets {
			if t.serves[q.model] && t.busy < least {
				best, least = t, t.busy
			}
		}
		if best != nil {
			best.busy++
			best.running[q.model] = append(best.running[q.model], r.now+q.duration)
			run := r.runs[q.model]
			r.runs[q.model] = [2]float64{run[0] + 1, run[1] + q.duration}
			if r.now-q.arrivedAt < 0.5 {
				r.onTime++
			} else {
				r.late++
			}
			return true
		}
		if r.now-q.issued < 0.3 {
			return false
		}
		if q.tries == 2 {
			r.refused++
			return true
		}
		q.issued = r.now + 2.25*(0.6+0.8*r.random.Float64())
		r.retrying = append(r.retrying, q)
		return true
	})
}

func (r *simulation) beginLoad(t *simulatedTarget, model string) {
	r.loads++
	t.loading = model
	t.site.Models[model] = true
	t.loadedAt = r.now + placer.LoadSeconds(r.service.Engine, t.site.Target, model)
}

// applyPlan starts the moves of a new plan.
func (r *simulation) applyPlan() {
	if r.movesDisabled {
		return
	}
	for _, move := range placer.Plan(r.plannerState()) {
		r.applyMove(move)
	}
}

// plannerState returns the input of a plan.
func (r *simulation) plannerState() placer.State {
	demand := map[tallier.Key]tallier.Demand{}
	all := [2]float64{1, 1}
	for _, run := range r.runs {
		all[0] += run[0]
		all[1] += run[1]
	}
	for model, rate := range r.rates {
		if rate < 0.01 {
			continue
		}
		run := r.runs[model]
		demand[tallier.Key{Service: serviceName, Model: model}] = tallier.Demand{
			Rate: rate, Work: rate * (run[1] + 2*all[1]/all[0]) / (run[0] + 2),
		}
	}
	now := time.Unix(0, int64(r.now*1e9))
	r.idleDetector.Observe(now, demand)
	r.storeLoadStarts = slices.DeleteFunc(r.storeLoadStarts, func(at float64) bool { return at < r.now-5 })
	plannerState := placer.State{
		Service: r.service, Demand: demand, Idle: r.idleDetector.Idle(serviceName, r.names), StoreLoadsAllowed: int(r.storeLoadsPerSecond*5) - len(r.storeLoadStarts),
	}
	for _, t := range r.targets {
		if t.lostUntil > r.now {
			continue
		}
		c := *t.site
		c.Models = map[string]bool{}
		for m := range t.site.Models {
			c.Models[m] = true
		}
		if t.nextModel != "" {
			c.Models[t.nextModel] = true
		}
		plannerState.Sites = append(plannerState.Sites, &c)
	}
	return plannerState
}

func (r *simulation) applyMove(move placer.Move) {
	for _, t := range r.targets {
		if t.site.Target != move.Target {
			continue
		}
		if !move.Target.HasCachedWeights(move.Model) && !move.Unload {
			r.storeLoadStarts = append(r.storeLoadStarts, r.now)
		}
		if move.Unload {
			delete(t.serves, move.Model)
			t.unloading, t.nextModel = move.Model, move.NextModel
		} else {
			r.beginLoad(t, move.Model)
		}
		t.site.Busy = true
	}
}

// TestMovesServeMoreRequestsThanStaticPlacement simulates demand that shifts between
// models on a fleet with ample slots, on one with few to spare, and on one that loses
// targets. Planned moves must score higher than a static placement.
func TestMovesServeMoreRequestsThanStaticPlacement(t *testing.T) {
	busy, loss := largeFleet(), largeFleet()
	busy.rate, busy.rareRate = 520, 50
	loss.rate, loss.lossAt, loss.lossShare, loss.lossSeconds = 480, 6.5, 0.4, 3
	for name, f := range map[string]fleet{"quiet": largeFleet(), "busy": busy, "loss": loss} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			still := newSimulation(f, 1)
			still.movesDisabled = true
			none, moved := still.run(), newSimulation(f, 1).run()
			t.Logf("score %.3f with %d loads, %.3f without", moved.score(), moved.loads, none.score())
			assert.Greater(t, moved.score(), none.score())
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	r := newSimulation(largeFleet(), 1)
	r.lengthSeconds = 6
	r.run()
	b.ResetTimer()
	for range b.N {
		placer.Plan(r.plannerState())
	}
}

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

// fleet is a deployment and the load that is replayed on it, without network or
// processes. Times are in seconds.
type fleet struct {
	targets, slots int
	// wanted models have the demand of busy ones in turn, rare ones a little always.
	wanted, busy, rare int
	// rate is that of all requests for wanted models, rareRate for rare ones.
	rate, rareRate float64
	// load, disk and memory are the times of loads.
	load, disk, memory float64
	megabytes          float64
	loadRate           float64
	// shifts are when demand begins to move on by step models, for shiftTime.
	shifts    []float64
	step      int
	shiftTime float64
	// lossAt is when lossShare of the targets are lost for lossTime; 0 for never.
	lossAt, lossShare, lossTime float64
	length                      float64
}

// grown is a fleet like the largest deployment that the gateway runs on.
func grown() fleet {
	return fleet{
		targets: 140, slots: 12, wanted: 116, busy: 47, rare: 126, rate: 396, rareRate: 34, load: 8.6, disk: 1.7,
		memory: 1.3, megabytes: 70_000, loadRate: 20, shifts: []float64{1, 13, 24}, step: 8, shiftTime: 7.3, length: 36,
	}
}

// replayed is a request of the replay.
type replayed struct {
	model    string
	arrived  float64
	asked    float64
	tries    int
	duration float64
}

// replayTarget is a target of the replay.
type replayTarget struct {
	site *placer.Site
	// serves holds the models that run requests, and running the ends of their runs.
	serves  map[string]bool
	running map[string][]float64
	// busy is the number of runs.
	busy int
	// closing is the model that goes when its runs have ended, next what is loaded then.
	closing, next string
	loading       string
	loaded        float64
	lostUntil     float64
}

func (t *replayTarget) inFlight() int {
	n := 0
	for _, ends := range t.running {
		n += len(ends)
	}
	return n
}

// replay is a fleet under load.
type replay struct {
	fleet
	random  *rand.Rand
	now     float64
	service *registrar.Service
	targets []*replayTarget
	// names holds all models, and order the wanted ones as demand moves over them.
	names   []string
	order   []string
	pace    map[string]float64
	waiting []*replayed
	back    []*replayed
	watch   *tallier.Watch
	rates   map[string]float64
	runs    map[string][2]float64
	starts  []float64
	// isStill leaves every model where it is.
	isStill bool
	result
}

// result tells what callers were served.
type result struct {
	asked, inAim, late, refused, lost, loads int
}

// worth is the share of what was asked for that was worth earning.
func (r result) worth() float64 {
	return (float64(r.inAim) + 0.3*float64(r.late)) / float64(max(r.asked, 1))
}

const replayTick = 0.05

func newReplay(f fleet, seed uint64) *replay {
	r := &replay{
		fleet: f, random: rand.New(rand.NewPCG(seed, 1)), pace: map[string]float64{}, watch: tallier.NewWatch(),
		rates: map[string]float64{}, runs: map[string][2]float64{},
	}
	models := map[string]registrar.Model{}
	paces := []float64{1, 1, 0.6, 1, 0.11, 1, 0.6}
	for i := range f.wanted + f.rare {
		name := fmt.Sprintf("m%03d", i)
		r.names = append(r.names, name)
		r.pace[name] = paces[i%len(paces)]
		models[name] = registrar.Model{
			Name: name, Megabytes: f.megabytes, LoadSeconds: f.load, DiskSeconds: f.disk, HostSeconds: f.memory,
		}
		if i < f.wanted {
			r.order = append(r.order, name)
		}
	}
	r.service = &registrar.Service{Name: serviceName, Engine: &registrar.Engine{
		Slots: f.slots, WeightMegabytes: 200_000, LoadsPerSecond: f.loadRate, Models: models,
	}}
	r.random.Shuffle(len(r.order)-f.busy, func(i, j int) {
		r.order[f.busy+i], r.order[f.busy+j] = r.order[f.busy+j], r.order[f.busy+i]
	})
	for i := range f.targets {
		s := site(fmt.Sprintf("t%03d", i))
		s.Target.Slots = f.slots
		r.targets = append(r.targets, &replayTarget{site: s, serves: map[string]bool{}, running: map[string][]float64{}})
	}
	r.fill()
	return r
}

// fill gives each model a place, and what is left to the busiest ones.
func (r *replay) fill() {
	names := slices.Clone(r.names)
	for i := 0; len(names) < 2*r.fleet.targets; i++ {
		names = append(names, r.order[i%r.busy])
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

// shares returns the share of the demand of each model after a number of shifts.
func (r *replay) shares(shift int) map[string]float64 {
	out := map[string]float64{}
	sum := 0.0
	for i := range r.busy {
		sum += 1 / math.Pow(float64(i+1), 0.5)
	}
	for i := range r.busy {
		out[r.order[(i+shift*r.step)%len(r.order)]] = 1 / math.Pow(float64(i+1), 0.5) / sum
	}
	return out
}

func (r *replay) rateOf() map[string]float64 {
	done, part := 0, 0.0
	for _, at := range r.shifts {
		if r.now >= at+r.shiftTime {
			done++
		} else if r.now > at {
			part = (r.now - at) / r.shiftTime
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
		out[fmt.Sprintf("m%03d", r.wanted+i)] = r.rareRate / float64(r.rare)
	}
	return out
}

func (r *replay) poisson(mean float64) int {
	n, p, limit := 0, r.random.Float64(), math.Exp(-mean)
	for p > limit {
		n++
		p *= r.random.Float64()
	}
	return n
}

// run plays the whole load.
func (r *replay) run() result {
	for r.now = 0; r.now < r.length; r.now += replayTick {
		r.end()
		wave := 1 + 0.15*math.Sin(r.now*2*math.Pi/11)
		rates := r.rateOf()
		for _, model := range r.names {
			for range r.poisson(rates[model] * wave * replayTick) {
				tokens := min(math.Exp(r.random.NormFloat64()*0.76-0.29)*172, 600)
				r.asked++
				r.arrive(&replayed{model: model, arrived: r.now, duration: r.pace[model] * (0.07 + tokens*0.0107)})
			}
		}
		r.back = slices.DeleteFunc(r.back, func(q *replayed) bool {
			if q.asked > r.now {
				return false
			}
			r.arrive(q)
			return true
		})
		r.serve()
		if int(r.now/replayTick)%4 == 0 {
			r.plan()
		}
	}
	return r.result
}

func (r *replay) arrive(q *replayed) {
	q.asked = r.now
	q.tries++
	r.rates[q.model] += 1 / 2.5
	r.waiting = append(r.waiting, q)
}

// end ends runs, unloads and loads that are due.
func (r *replay) end() {
	for i, t := range r.targets {
		if r.lossAt > 0 && r.now >= r.lossAt && r.now < r.lossAt+replayTick && float64(i%10) < 10*r.lossShare {
			r.lose(t)
		}
		for model, ends := range t.running {
			t.running[model] = slices.DeleteFunc(ends, func(end float64) bool { return end <= r.now })
		}
		if t.closing != "" && len(t.running[t.closing]) == 0 {
			delete(t.site.Models, t.closing)
			t.closing = ""
		}
		if t.loading != "" && t.loaded <= r.now {
			t.serves[t.loading] = true
			t.site.Target.InMemory = keepLast(t.site.Target.InMemory, t.loading, 2)
			t.site.Target.OnDisk = keepLast(t.site.Target.OnDisk, t.loading, 5)
			t.loading = ""
		}
		if t.next != "" && t.closing == "" {
			r.load(t, t.next)
			t.next = ""
		}
		t.site.Busy = t.closing != "" || t.loading != "" || t.next != "" || t.lostUntil > r.now
		t.busy = t.inFlight()
		t.site.InFlight = t.busy
	}
	factor := math.Exp(-replayTick / 2.5)
	for model := range r.rates {
		r.rates[model] *= factor
	}
	for model, run := range r.runs {
		run[0] *= math.Exp(-replayTick / 15)
		run[1] *= math.Exp(-replayTick / 15)
		r.runs[model] = run
	}
}

func keepLast(names []string, name string, most int) []string {
	names = append(slices.DeleteFunc(names, func(n string) bool { return n == name }), name)
	return names[max(len(names)-most, 0):]
}

func (r *replay) lose(t *replayTarget) {
	for _, ends := range t.running {
		r.lost += len(ends)
		r.inAim -= len(ends)
	}
	t.running, t.serves = map[string][]float64{}, map[string]bool{}
	t.site.Models, t.site.Target.InMemory = map[string]bool{}, nil
	t.closing, t.next, t.loading = "", "", ""
	t.lostUntil = r.now + r.lossTime
}

// serve gives waiting requests a place, or refuses them when half of their aim is over.
func (r *replay) serve() {
	r.waiting = slices.DeleteFunc(r.waiting, func(q *replayed) bool {
		var best *replayTarget
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
			if r.now-q.arrived < 0.5 {
				r.inAim++
			} else {
				r.late++
			}
			return true
		}
		if r.now-q.asked < 0.3 {
			return false
		}
		if q.tries == 2 {
			r.refused++
			return true
		}
		q.asked = r.now + 2.25*(0.6+0.8*r.random.Float64())
		r.back = append(r.back, q)
		return true
	})
}

func (r *replay) load(t *replayTarget, model string) {
	r.loads++
	t.loading = model
	t.site.Models[model] = true
	t.loaded = r.now + placer.LoadSeconds(r.service.Engine, t.site.Target, model)
}

// plan makes the moves that the placer wants.
func (r *replay) plan() {
	if r.isStill {
		return
	}
	for _, move := range placer.Plan(r.state()) {
		r.begin(move)
	}
}

// state returns what a plan is made from.
func (r *replay) state() placer.State {
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
	r.watch.Observe(now, demand)
	r.starts = slices.DeleteFunc(r.starts, func(at float64) bool { return at < r.now-5 })
	state := placer.State{
		Service: r.service, Demand: demand, Idle: r.watch.Idle(serviceName, r.names), Loads: int(r.loadRate*5) - len(r.starts),
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
		if t.next != "" {
			c.Models[t.next] = true
		}
		state.Sites = append(state.Sites, &c)
	}
	return state
}

func (r *replay) begin(move placer.Move) {
	for _, t := range r.targets {
		if t.site.Target != move.Target {
			continue
		}
		if !move.Target.HasAtHand(move.Model) && !move.Unload {
			r.starts = append(r.starts, r.now)
		}
		if move.Unload {
			delete(t.serves, move.Model)
			t.closing, t.next = move.Model, move.For
		} else {
			r.load(t, move.Model)
		}
		t.site.Busy = true
	}
}

// TestMovesServeMoreThanNone replays demand that moves between models, on a fleet that
// has more slots than it needs, on one with few to spare and on one that loses targets:
// with moves callers are served more than where every model stays where it is.
func TestMovesServeMoreThanNone(t *testing.T) {
	busy, loss := grown(), grown()
	busy.rate, busy.rareRate = 520, 50
	loss.rate, loss.lossAt, loss.lossShare, loss.lossTime = 480, 6.5, 0.4, 3
	for name, f := range map[string]fleet{"quiet": grown(), "busy": busy, "loss": loss} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			still := newReplay(f, 1)
			still.isStill = true
			none, moved := still.run(), newReplay(f, 1).run()
			t.Logf("worth %.3f with %d loads, %.3f without", moved.worth(), moved.loads, none.worth())
			assert.Greater(t, moved.worth(), none.worth())
		})
	}
}

func BenchmarkPlan(b *testing.B) {
	r := newReplay(grown(), 1)
	r.length = 6
	r.run()
	b.ResetTimer()
	for range b.N {
		placer.Plan(r.state())
	}
}

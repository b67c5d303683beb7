package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Parameters of the replay, in which one tick is one second.
const (
	traceTicks     = 720
	warmUpTicks    = 120
	gibibyte       = 1 << 30
	dataCentres    = 3
	entryInstances = 4 // number of entry instances

	requestsPerTick     = 8.0 // that one target completes without prefix cache hits
	hitCost             = 0.7 // of a request with a cached prefix, relative to one without
	prefixesPerModel    = 64
	adapterShare        = 0.5 // of the requests to a model that has adapters
	normalDeadlineTicks = 5   // from arrival to the deadline of a request that is not urgent
	urgentDeadlineTicks = 2
	targetMemory        = 80 * gibibyte
)

// deployment is one of the two systems that the replay simulates.
type deployment struct {
	Name           string
	Targets        int
	Models         int
	Adapters       int
	LoadsPerSecond float64
	LoadsAtOnce    int
	AdaptersAtOnce int
	Policy         planner.Policy
	// MaxMoveShare is the maximum number of moves, as a share of the moves of
	// the LRU baseline.
	MaxMoveShare float64
}

func deployments() []deployment {
	return []deployment{
		{
			Name: "Wilgenrand", Targets: 18, Models: 30, Adapters: 95, LoadsPerSecond: 2, LoadsAtOnce: 3,
			AdaptersAtOnce: 24, Policy: wilgenrandPolicy(), MaxMoveShare: 0.25,
		},
		{
			Name: "Verein", Targets: 12, Models: 15, Adapters: 75, LoadsPerSecond: 1.5, LoadsAtOnce: 2,
			AdaptersAtOnce: 16, Policy: vereinPolicy(), MaxMoveShare: 0.5,
		},
	}
}

// request is one request of a trace. Ticks count from the start of the trace.
type request struct {
	Name     keeper.Name
	Prefix   uint64
	Priority int
	Arrived  int
	Deadline int // last tick in which it may complete
	Entry    int // entry instance that receives it
}

// tickState is the environment and the arrivals in one tick.
type tickState struct {
	Dead       map[int]bool // by index of the target
	StoreSpeed float64      // of weight loads, 1 at full speed
	StoreDown  bool         // the table service accepts no writes
	Arrivals   []request
}

// trace is the demand and the failures of one replay.
type trace struct {
	Name    string
	Catalog *keeper.Catalog
	Ticks   []tickState
}

// shape describes a trace before it is drawn from a seed.
type shape struct {
	Name string
	// Rates sets the requests per second of each model, by rank of popularity.
	Rates func(d deployment, tick int, rates []float64)
	// Urgent is the share of urgent requests.
	Urgent float64
	// SetConditions changes the environment of a tick. It may be nil.
	SetConditions func(d deployment, tick int, m *tickState)
}

func shapes() []shape {
	return []shape{
		{Name: "steady", Rates: steadyRates},
		{Name: "crowded", Rates: crowdedRates},
		{Name: "burst", Rates: burstRates},
		{Name: "rotating", Rates: rotatingRates},
		{Name: "frost", Rates: frostRates, Urgent: 0.4},
		{Name: "centre loss", Rates: steadyRates, SetConditions: loseDataCentre},
		{Name: "slow store", Rates: rotatingRates, SetConditions: slowStore},
		{Name: "outage", Rates: rotatingRates, SetConditions: storeOutage},
	}
}

// fleetRate returns the requests per second that all targets complete without
// prefix cache hits.
func fleetRate(d deployment) float64 { return float64(d.Targets) * requestsPerTick }

// zipf divides a total rate among models by Zipf's law with exponent 0.9.
func zipf(rates []float64, total float64) {
	sum := 0.0
	for i := range rates {
		sum += 1 / math.Pow(float64(i+1), 0.9)
	}
	for i := range rates {
		rates[i] = total / sum / math.Pow(float64(i+1), 0.9)
	}
}

func steadyRates(d deployment, _ int, rates []float64) {
	zipf(rates, 0.65*fleetRate(d))
}

// crowdedRates exceeds the rate that the targets complete without prefix cache
// hits.
func crowdedRates(d deployment, _ int, rates []float64) {
	zipf(rates, 1.2*fleetRate(d))
}

// ramp rises linearly from 0 to 1 between two ticks.
func ramp(tick, from, to int) float64 {
	return min(1, max(0, float64(tick-from)/float64(to-from)))
}

// burstRates multiplies the demand for a tenth of the models by ten within two
// minutes, then lowers it again.
func burstRates(d deployment, tick int, rates []float64) {
	zipf(rates, 0.4*fleetRate(d))
	up := ramp(tick, 240, 360) - ramp(tick, 540, 600)
	for i := range max(1, d.Models/10) {
		rates[5+i] *= 1 + 9*up
	}
}

// rotatingRates gives three quarters of the demand to a fifth of the models,
// and changes these models every 100 ticks.
func rotatingRates(d deployment, tick int, rates []float64) {
	const period = 100
	hot := d.Models / 5
	first := tick / period * hot % d.Models
	for i := range rates {
		rates[i] = 0.25 * 0.65 * fleetRate(d) / float64(d.Models-hot)
	}
	for i := range hot {
		rates[(first+i)%d.Models] = 0.75 * 0.65 * fleetRate(d) / float64(hot)
	}
}

// frostRates multiplies the demand for a third of the models by up to ten
// within two minutes, limited to slightly more than all targets complete.
func frostRates(d deployment, tick int, rates []float64) {
	zipf(rates, 0.2*fleetRate(d))
	up := ramp(tick, 240, 360) - ramp(tick, 600, 700)
	affected := 0.0
	for i := 0; i < d.Models; i += 3 {
		affected += rates[i]
	}
	total := 1.25*fleetRate(d) - (0.2*fleetRate(d) - affected)
	factor := min(10, total/affected)
	for i := 0; i < d.Models; i += 3 {
		rates[i] *= 1 + (factor-1)*up
	}
}

func loseDataCentre(d deployment, tick int, m *tickState) {
	if tick < 300 || tick >= 540 {
		return
	}
	for i := range d.Targets {
		if i%dataCentres == 1 {
			m.Dead[i] = true
		}
	}
}

func slowStore(_ deployment, tick int, m *tickState) {
	if tick >= 240 {
		m.StoreSpeed = 0.1
	}
}

// storeOutage stops the table service for five minutes, during which one target
// fails permanently.
func storeOutage(_ deployment, tick int, m *tickState) {
	m.StoreDown = tick >= 300 && tick < 600
	m.Dead[0] = tick >= 400
}

// drawTrace generates the trace of a shape from a seed.
func drawTrace(d deployment, s shape, seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &trace{Name: s.Name, Catalog: drawCatalog(d, rng)}
	ranks := rng.Perm(d.Models)
	rates := make([]float64, d.Models)
	for tick := range traceTicks {
		m := tickState{Dead: map[int]bool{}, StoreSpeed: 1}
		if s.SetConditions != nil {
			s.SetConditions(d, tick, &m)
		}
		s.Rates(d, tick, rates)
		for rank, rate := range rates {
			for range poisson(rng, rate) {
				m.Arrivals = append(m.Arrivals, drawRequest(t.Catalog, modelID(ranks[rank]), tick, s.Urgent, rng))
			}
		}
		rng.Shuffle(len(m.Arrivals), func(i, j int) { m.Arrivals[i], m.Arrivals[j] = m.Arrivals[j], m.Arrivals[i] })
		t.Ticks = append(t.Ticks, m)
	}
	return t
}

func modelID(i int) string { return fmt.Sprintf("model-%02d", i) }

func drawCatalog(d deployment, rng *rand.Rand) *keeper.Catalog {
	c := keeper.NewCatalog()
	for i := range d.Models {
		name := modelID(i)
		c.Models[name] = keeper.Model{Name: name, Version: "v1", Copies: 1, Bytes: int64(8+rng.IntN(25)) * gibibyte}
	}
	for i := range d.Adapters {
		model := modelID(rng.IntN(d.Models))
		c.Adapters[model] = append(c.Adapters[model], keeper.Adapter{
			Model: model, Name: fmt.Sprintf("adapter-%02d", i), Version: "v1", Bytes: int64(64+rng.IntN(256)) << 20,
		})
	}
	return c
}

func drawRequest(c *keeper.Catalog, model string, tick int, urgent float64, rng *rand.Rand) request {
	r := request{
		Name: keeper.Name{Model: model, Version: "v1"}, Arrived: tick, Deadline: tick + normalDeadlineTicks, Entry: rng.IntN(entryInstances),
	}
	if rng.Float64() < urgent {
		r.Priority = 1
		r.Deadline = tick + urgentDeadlineTicks
	}
	adapters := c.Adapters[model]
	if len(adapters) > 0 && rng.Float64() < adapterShare {
		r.Name.Adapter = adapters[skewed(rng, len(adapters))].FullName()
	}
	r.Prefix = uint64(skewed(rng, prefixesPerModel)) + 1
	return r
}

// skewed returns a number below n; small numbers are more frequent.
func skewed(rng *rand.Rand, n int) int {
	f := rng.Float64()
	return int(f * f * float64(n))
}

// poisson returns a Poisson-distributed number.
func poisson(rng *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

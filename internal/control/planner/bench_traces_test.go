package planner_test

import (
	"fmt"
	"math"
	"math/rand/v2"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// A tick of the replay is one second.
const (
	traceTicks  = 720
	warmUpTicks = 120
	gibibyte    = 1 << 30
	dataCentres = 3
	entries     = 4 // entry instances

	requestsPerTick = 8.0 // that one target completes without prefix hits
	hitCost         = 0.7 // of a request whose prefix is cached, as a share of a full one
	prefixesOfModel = 64
	adapterShare    = 0.5 // of the requests to a model that has adapters
	usualTicks      = 5   // from arrival to the deadline of a usual request
	urgentTicks     = 2
	targetMemory    = 80 * gibibyte
)

// deployment is one of the two systems that the replay stands for.
type deployment struct {
	Name           string
	Targets        int
	Models         int
	Adapters       int
	LoadsPerSecond float64
	LoadsAtOnce    int
	AdaptersAtOnce int
	Policy         planner.Policy
	// MostMoveShare is the accepted share of the moves of the baseline with LRU loading.
	MostMoveShare float64
}

func deployments() []deployment {
	return []deployment{
		{
			Name: "Wilgenrand", Targets: 18, Models: 30, Adapters: 95, LoadsPerSecond: 2, LoadsAtOnce: 3,
			AdaptersAtOnce: 24, Policy: wilgenrandPolicy(), MostMoveShare: 0.25,
		},
		{
			Name: "Verein", Targets: 12, Models: 15, Adapters: 75, LoadsPerSecond: 1.5, LoadsAtOnce: 2,
			AdaptersAtOnce: 16, Policy: vereinPolicy(), MostMoveShare: 0.5,
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
	Entry    int // instance that takes it
}

// moment is the state of the surroundings in one tick.
type moment struct {
	Dead       map[int]bool // targets by number
	StoreSpeed float64      // of weight loads, 1 at full speed
	StoreDown  bool         // the table service takes no records
	Arrivals   []request
}

// trace is one replayed demand with what fails meanwhile.
type trace struct {
	Name    string
	Catalog *keeper.Catalog
	Ticks   []moment
}

// shape describes a trace before it is drawn.
type shape struct {
	Name string
	// Rates fills the requests per second of each model, by rank of popularity.
	Rates func(d deployment, tick int, rates []float64)
	// Urgent is the share of urgent requests.
	Urgent float64
	// Around changes the surroundings of a tick.
	Around func(d deployment, tick int, m *moment)
}

func shapes() []shape {
	return []shape{
		{Name: "steady", Rates: steadyRates},
		{Name: "crowded", Rates: crowdedRates},
		{Name: "burst", Rates: burstRates},
		{Name: "rotating", Rates: rotatingRates},
		{Name: "frost", Rates: frostRates, Urgent: 0.4},
		{Name: "centre loss", Rates: steadyRates, Around: loseDataCentre},
		{Name: "slow store", Rates: rotatingRates, Around: slowStore},
		{Name: "outage", Rates: rotatingRates, Around: storeOutage},
	}
}

func fleetRate(d deployment) float64 { return float64(d.Targets) * requestsPerTick }

// zipf fills rates with a total, split by popularity.
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

// crowdedRates need prefix hits to be served.
func crowdedRates(d deployment, _ int, rates []float64) {
	zipf(rates, 1.2*fleetRate(d))
}

// ramp rises from 0 to 1 between two ticks.
func ramp(tick, from, to int) float64 {
	return min(1, max(0, float64(tick-from)/float64(to-from)))
}

// burstRates multiplies the demand for a tenth of the models by ten within two
// minutes and lets it fall again.
func burstRates(d deployment, tick int, rates []float64) {
	zipf(rates, 0.4*fleetRate(d))
	up := ramp(tick, 240, 360) - ramp(tick, 540, 600)
	for i := range max(1, d.Models/10) {
		rates[5+i] *= 1 + 9*up
	}
}

// rotatingRates gives three quarters of the demand to a fifth of the models,
// others each 100 ticks.
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

// frostRates multiplies the demand for a third of the models by ten within two
// minutes, up to slightly more than the fleet completes.
func frostRates(d deployment, tick int, rates []float64) {
	zipf(rates, 0.2*fleetRate(d))
	up := ramp(tick, 240, 360) - ramp(tick, 600, 700)
	called := 0.0
	for i := 0; i < d.Models; i += 3 {
		called += rates[i]
	}
	total := 1.25*fleetRate(d) - (0.2*fleetRate(d) - called)
	factor := min(10, total/called)
	for i := 0; i < d.Models; i += 3 {
		rates[i] *= 1 + (factor-1)*up
	}
}

func loseDataCentre(d deployment, tick int, m *moment) {
	if tick < 300 || tick >= 540 {
		return
	}
	for i := range d.Targets {
		if i%dataCentres == 1 {
			m.Dead[i] = true
		}
	}
}

func slowStore(_ deployment, tick int, m *moment) {
	if tick >= 240 {
		m.StoreSpeed = 0.1
	}
}

// storeOutage stops the table service for five minutes, in which one target dies.
func storeOutage(_ deployment, tick int, m *moment) {
	m.StoreDown = tick >= 300 && tick < 600
	m.Dead[0] = tick >= 400
}

// draw makes the trace of a shape for a seed.
func draw(d deployment, s shape, seed uint64) *trace {
	rng := rand.New(rand.NewPCG(seed, 1))
	t := &trace{Name: s.Name, Catalog: drawCatalog(d, rng)}
	ranks := rng.Perm(d.Models)
	rates := make([]float64, d.Models)
	for tick := range traceTicks {
		m := moment{Dead: map[int]bool{}, StoreSpeed: 1}
		if s.Around != nil {
			s.Around(d, tick, &m)
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
		Name: keeper.Name{Model: model, Version: "v1"}, Arrived: tick, Deadline: tick + usualTicks, Entry: rng.IntN(entries),
	}
	if rng.Float64() < urgent {
		r.Priority = 1
		r.Deadline = tick + urgentTicks
	}
	adapters := c.Adapters[model]
	if len(adapters) > 0 && rng.Float64() < adapterShare {
		r.Name.Adapter = adapters[skewed(rng, len(adapters))].FullName()
	}
	r.Prefix = uint64(skewed(rng, prefixesOfModel)) + 1
	return r
}

// skewed returns a number below n, small ones more often.
func skewed(rng *rand.Rand, n int) int {
	f := rng.Float64()
	return int(f * f * float64(n))
}

func poisson(rng *rand.Rand, mean float64) int {
	limit := math.Exp(-mean)
	n := 0
	for p := rng.Float64(); p > limit; p *= rng.Float64() {
		n++
	}
	return n
}

package lender

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// smallLimits are limits below the number of instances, and one just above it.
var smallLimits = []keeper.Limit{
	{RequestsPerSecond: 1},
	{RequestsPerSecond: 1, Burst: 3},
	{RequestsPerSecond: 8, Burst: 5},
	{InFlight: 1},
	{InFlight: 2},
	{InFlight: 3},
	{InFlight: 5},
	{RequestsPerSecond: 20, Burst: 10, InFlight: 2},
}

// held is a request in flight until a moment.
type held struct {
	admitter *admitter.Admitter
	until    time.Time
}

// holding is a load whose requests take some time.
type holding struct {
	*load
	held         []held
	mostInFlight int
}

func newHolding(limit keeper.Limit, seed uint64) *holding {
	return &holding{load: &load{
		simulation: newSimulation(4, WithUnits(func(string) int { return limit.Units() })),
		random:     rand.New(rand.NewPCG(seed, 0)),
		teams:      map[string]keeper.Team{team: {Name: team, Limit: limit}},
		admitters:  map[*instance]*admitter.Admitter{},
	}}
}

// tick ends requests that are due and sends requests to an instance.
func (h *holding) tick(in *instance, requests int) int {
	a := h.admitterOf(in)
	in.need = a.Tick(h.now, h.teams)[team]
	before := len(h.held)
	for range requests {
		if a.Admit(h.now, h.teams[team]) == nil {
			h.admitted = append(h.admitted, h.now)
			lasts := time.Duration(h.random.IntN(3000)) * time.Millisecond
			h.held = append(h.held, held{admitter: a, until: h.now.Add(lasts)})
		}
	}
	h.mostInFlight = max(h.mostInFlight, len(h.held))
	return len(h.held) - before
}

// beat lets all instances exchange heartbeats with what they need at present.
func (h *holding) beat() {
	for _, in := range h.instances {
		h.admitterOf(in).Needing(h.now, h.teams, func(needs map[string]float64) { in.need = needs[team] })
	}
	h.exchange()
}

func (h *holding) release() {
	kept := h.held[:0]
	for _, r := range h.held {
		if h.now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		r.admitter.Release(team)
	}
	h.held = kept
}

// TestSmallLimits lets demand move over the instances against limits below their
// number.
func TestSmallLimits(t *testing.T) {
	const seeds, ticks, ticksPerHeartbeat = 10, 1200, 5
	for _, limit := range smallLimits {
		t.Run(fmt.Sprintf("%+v", limit), func(t *testing.T) {
			excess, inFlight, fewest := 0.0, 0, ticks
			for seed := range uint64(seeds) {
				h := newHolding(limit, seed)
				h.rounds(40)
				for i := range ticks {
					if i%ticksPerHeartbeat == 0 {
						h.beat()
					}
					h.release()
					for k, in := range h.instances {
						h.tick(in, h.random.IntN(1+(i/100+k)%4))
					}
					h.now = h.now.Add(tick)
				}
				if limit.RequestsPerSecond > 0 {
					limit.Burst = limit.BurstSize()
					excess = max(excess, windowExcess(h.admitted, limit))
				}
				inFlight = max(inFlight, h.mostInFlight)
				fewest = min(fewest, len(h.admitted))
			}
			t.Logf("largest excess %.2f, most in flight %d, fewest admissions in 60 s %d", excess, inFlight, fewest)
			assert.Zero(t, excess)
			if limit.InFlight > 0 {
				assert.LessOrEqual(t, inFlight, limit.InFlight)
			}
			assert.Greater(t, fewest, 10)
		})
	}
}

// idle lets heartbeats pass without requests.
func (h *holding) idle(lasts time.Duration) {
	for end := h.now.Add(lasts); h.now.Before(end); h.now = h.now.Add(5 * tick) {
		h.release()
		for _, in := range h.instances {
			h.tick(in, 0)
		}
		h.beat()
	}
}

// firstAdmission returns how long it takes until an instance lets a request in
// that comes again each tick, a minute at most.
func (h *holding) firstAdmission(in *instance) time.Duration {
	start := h.now
	for i := 0; h.now.Sub(start) < time.Minute; i++ {
		for _, other := range h.instances {
			if other != in {
				h.tick(other, 0)
			}
		}
		h.release()
		if h.tick(in, 1) > 0 {
			break
		}
		if i%5 == 0 {
			h.beat()
		}
		h.now = h.now.Add(tick)
	}
	return h.now.Sub(start)
}

// TestSmallLimitAnywhere checks that each instance can use a small limit when the
// others have no demand.
func TestSmallLimitAnywhere(t *testing.T) {
	const twoHeartbeats = 500 * time.Millisecond
	for _, limit := range smallLimits {
		t.Run(fmt.Sprintf("%+v", limit), func(t *testing.T) {
			h := newHolding(limit, 1)
			h.rounds(40)
			for k, in := range h.instances {
				soonest := h.firstAdmission(in)
				t.Logf("instance %d, demand elsewhere just before: first admission after %v", k, soonest)
				// The demand elsewhere decays, and the loans lapse.
				assert.Less(t, soonest, 8*time.Second)
			}
			for k, in := range h.instances {
				h.idle(8 * time.Second)
				most := twoHeartbeats
				if limit.RequestsPerSecond > 0 {
					most += time.Duration(float64(limit.BurstSize()) / limit.RequestsPerSecond * float64(time.Second))
				}
				soonest := h.firstAdmission(in)
				t.Logf("instance %d, no demand before: first admission after %v", k, soonest)
				assert.LessOrEqual(t, soonest, most)
			}
		})
	}
}

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

// smallLimits are limits with fewer units than there are instances, or with one
// unit more.
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

// inFlight is an admitted request that ends at until.
type inFlight struct {
	admitter *admitter.Admitter
	until    time.Time
}

// inFlightSimulation is an admissionSimulation whose requests stay in flight for
// some time.
type inFlightSimulation struct {
	*admissionSimulation
	inFlight     []inFlight
	mostInFlight int
}

func newInFlightSimulation(limit keeper.Limit, seed uint64) *inFlightSimulation {
	return &inFlightSimulation{admissionSimulation: &admissionSimulation{
		simulation: newSimulation(4, WithUnits(func(string) int { return limit.Units() })),
		random:     rand.New(rand.NewPCG(seed, 0)),
		teams:      map[string]keeper.Team{team: {Name: team, Limit: limit}},
		admitters:  map[*instance]*admitter.Admitter{},
	}}
}

// tick sends requests to an instance and returns the number admitted.
func (h *inFlightSimulation) tick(in *instance, requests int) int {
	a := h.admitterOf(in)
	in.need = a.Tick(h.now, h.teams)[team]
	before := len(h.inFlight)
	for range requests {
		if a.Admit(h.now, h.teams[team]) == nil {
			h.admitted = append(h.admitted, h.now)
			lasts := time.Duration(h.random.IntN(3000)) * time.Millisecond
			h.inFlight = append(h.inFlight, inFlight{admitter: a, until: h.now.Add(lasts)})
		}
	}
	h.mostInFlight = max(h.mostInFlight, len(h.inFlight))
	return len(h.inFlight) - before
}

// exchangeHeartbeats lets all instances exchange heartbeats that request what they
// need now.
func (h *inFlightSimulation) exchangeHeartbeats() {
	for _, in := range h.instances {
		h.admitterOf(in).WithNeedsLocked(h.now, h.teams, func(needs map[string]float64) { in.need = needs[team] })
	}
	h.exchange()
}

func (h *inFlightSimulation) releaseEnded() {
	kept := h.inFlight[:0]
	for _, r := range h.inFlight {
		if h.now.Before(r.until) {
			kept = append(kept, r)
			continue
		}
		r.admitter.Release(team)
	}
	h.inFlight = kept
}

// TestSmallLimits checks that the instances together keep to limits that have fewer
// units than there are instances, while demand moves between them.
func TestSmallLimits(t *testing.T) {
	const seeds, ticks, ticksPerHeartbeat = 10, 1200, 5
	for _, limit := range smallLimits {
		t.Run(fmt.Sprintf("%+v", limit), func(t *testing.T) {
			excess, inFlight, fewest := 0.0, 0, ticks
			for seed := range uint64(seeds) {
				h := newInFlightSimulation(limit, seed)
				h.rounds(40)
				for i := range ticks {
					if i%ticksPerHeartbeat == 0 {
						h.exchangeHeartbeats()
					}
					h.releaseEnded()
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

// idle exchanges heartbeats for the duration d without sending requests.
func (h *inFlightSimulation) idle(d time.Duration) {
	for end := h.now.Add(d); h.now.Before(end); h.now = h.now.Add(5 * tick) {
		h.releaseEnded()
		for _, in := range h.instances {
			h.tick(in, 0)
		}
		h.exchangeHeartbeats()
	}
}

// firstAdmission sends a request to an instance each tick and returns the time until
// one is admitted, at most a minute.
func (h *inFlightSimulation) firstAdmission(in *instance) time.Duration {
	start := h.now
	for i := 0; h.now.Sub(start) < time.Minute; i++ {
		for _, other := range h.instances {
			if other != in {
				h.tick(other, 0)
			}
		}
		h.releaseEnded()
		if h.tick(in, 1) > 0 {
			break
		}
		if i%5 == 0 {
			h.exchangeHeartbeats()
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
			h := newInFlightSimulation(limit, 1)
			h.rounds(40)
			for k, in := range h.instances {
				soonest := h.firstAdmission(in)
				t.Logf("instance %d, demand elsewhere just before: first admission after %v", k, soonest)
				// Until then, the measured demand elsewhere decays and the loans expire.
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

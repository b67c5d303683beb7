package lender

import (
	"fmt"
	"math"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// windowExcess returns by how many requests the admissions exceed rate and burst in
// the worst time window. One pass suffices: the worst window that ends at an
// admission starts at the lowest value of used so far.
func windowExcess(admitted []time.Time, limit keeper.Limit) float64 {
	worst, lowest := 0.0, 0.0
	for i, at := range admitted {
		used := float64(i) - limit.RequestsPerSecond*at.Sub(admitted[0]).Seconds()
		lowest = min(lowest, used)
		worst = max(worst, used-lowest+1-float64(limit.Burst))
	}
	return max(0, math.Round(worst*1e6)/1e6)
}

func TestWindowExcess(t *testing.T) {
	limit := keeper.Limit{RequestsPerSecond: 10, Burst: 2}
	now := time.Unix(1000, 0)
	assert.Zero(t, windowExcess([]time.Time{now, now, now.Add(100 * time.Millisecond)}, limit))
	assert.InDelta(t, 1, windowExcess([]time.Time{now, now, now}, limit), 1e-9)
}

// admissionSimulation is a simulation whose instances admit requests of one team at
// random.
type admissionSimulation struct {
	*simulation
	random    *rand.Rand
	teams     map[string]keeper.Team
	admitters map[*instance]*admitter.Admitter
	admitted  []time.Time
	stopped   []Member
}

const tick = 50 * time.Millisecond

// injectFault freezes or unfreezes a random instance with a probability of 2 %, and
// with 1 % lets it stop and adds another one.
func (l *admissionSimulation) injectFault() {
	in := l.instances[l.random.IntN(len(l.instances))]
	switch l.random.IntN(100) {
	case 0, 1:
		in.frozen = !in.frozen
	case 2:
		in.dead = true
		l.stopped = append(l.stopped, in.own)
		l.add()
		l.instances = l.instances[1:]
	}
}

func (l *admissionSimulation) admitterOf(in *instance) *admitter.Admitter {
	a := l.admitters[in]
	if a == nil {
		a = admitter.New(admitter.WithShare(in.Share))
		l.admitters[in] = a
	}
	return a
}

func (l *admissionSimulation) admitRandom(in *instance, most int) {
	a := l.admitterOf(in)
	in.need = a.Tick(l.now, l.teams)[team]
	for _, m := range l.stopped {
		in.MarkStopped(l.now, m)
	}
	for range l.random.IntN(most) {
		if a.Admit(l.now, l.teams[team]) == nil {
			a.Release(team)
			l.admitted = append(l.admitted, l.now)
		}
	}
}

// TestAdmissions checks that the instances together never admit more than the limit
// while demand moves between them and instances freeze and are replaced, and that
// they still admit a least number of requests.
func TestAdmissions(t *testing.T) {
	for _, c := range []struct {
		limit keeper.Limit
		least int
	}{
		{keeper.Limit{RequestsPerSecond: 40, Burst: 20}, 600},
		{keeper.Limit{RequestsPerSecond: 2, Burst: 3}, 10},
		{keeper.Limit{RequestsPerSecond: 2, Burst: 2}, 10},
		{keeper.Limit{RequestsPerSecond: 1, Burst: 1}, 5},
	} {
		t.Run(fmt.Sprintf("%+v", c.limit), func(t *testing.T) { assertAdmissions(t, c.limit, c.least) })
	}
}

func assertAdmissions(t *testing.T, limit keeper.Limit, least int) {
	const seeds, ticks, ticksPerHeartbeat = 20, 1200, 5
	fewest, excess := ticks, 0.0
	for seed := range uint64(seeds) {
		l := &admissionSimulation{
			simulation: newSimulation(4, WithUnits(func(string) int { return limit.Units() })), random: rand.New(rand.NewPCG(seed, 0)),
			teams:     map[string]keeper.Team{team: {Name: team, Limit: limit}},
			admitters: map[*instance]*admitter.Admitter{},
		}
		l.rounds(40)
		for i := range ticks {
			if i%ticksPerHeartbeat == 0 {
				l.exchange()
				l.injectFault()
			}
			for k, in := range l.instances {
				if l.isRunning(in) {
					l.admitRandom(in, 1+6*((i/100+k)%4))
				}
			}
			l.now = l.now.Add(tick)
		}
		fewest = min(fewest, len(l.admitted))
		excess = max(excess, windowExcess(l.admitted, limit))
		assert.Zero(t, windowExcess(l.admitted, limit), "seed %d", seed)
	}
	t.Logf("fewest admissions of %d seeds in 60 s: %d, largest excess %v", seeds, fewest, excess)
	assert.Greater(t, fewest, least)
}

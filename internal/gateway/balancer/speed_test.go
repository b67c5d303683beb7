package balancer_test

import (
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// samplesOf returns measurements of targets with the given slowness, each for a random model of
// a random target, with a spread as from prompts of which a part was cached.
func samplesOf(slowness map[string]float64, models map[string]float64, n int) []balancer.ReadSample {
	random := rand.New(rand.NewPCG(1, 2))
	out := make([]balancer.ReadSample, 0, n)
	targets, names := slices.Sorted(maps.Keys(slowness)), slices.Sorted(maps.Keys(models))
	for range n {
		target, model := targets[random.IntN(len(targets))], names[random.IntN(len(names))]
		noise := math.Exp(0.25 * random.NormFloat64())
		out = append(out, balancer.ReadSample{Target: target, Model: model, MillisPerToken: models[model] * slowness[target] * noise})
	}
	return out
}

var testModels = map[string]float64{"small": 0.02, "large": 0.08}

// unevenView returns a view of 12 engines, with the slowness of each: a third is slow and a third
// fast.
func unevenView() (*registrar.View, map[string]float64) {
	slowness := map[string]float64{}
	for i := range 12 {
		slowness[fmt.Sprintf("e%d", i)] = []float64{0.6, 1, 1.6}[i%3]
	}
	return view(len(slowness)), slowness
}

// learned returns a balancer that has learned the measurements of targets.
func learned(v *registrar.View, samples []balancer.ReadSample) *balancer.Balancer {
	b, _ := newTest()
	b.LearnReads(samples)
	b.Prune(v)
	return b
}

// TestSlowTargetIsToldFromLargeModel guards against prompts that are counted with the time of a
// usual target at a slow one, whose streams then pause.
func TestSlowTargetIsToldFromLargeModel(t *testing.T) {
	v, slowness := unevenView()
	b := learned(v, samplesOf(slowness, testModels, 2000))
	assert.InDelta(t, 1.6/0.6, b.Slowness("e2")/b.Slowness("e0"), 0.7)
	ratio := float64(b.ReadTime("large", 1000)) / float64(b.ReadTime("small", 1000))
	assert.InDelta(t, 4, ratio, 0.8)
}

// TestEqualTargetsCountAsEqual guards against a choice of targets by the noise of measurements,
// also if a few of them are slow for a while.
func TestEqualTargetsCountAsEqual(t *testing.T) {
	v, slowness := unevenView()
	for id := range slowness {
		slowness[id] = 1
	}
	slowness["e3"] = 3
	b := learned(v, samplesOf(slowness, testModels, 2000))
	for id := range slowness {
		assert.InDelta(t, 1, b.Slowness(id), 1e-9, id)
	}
}

// TestOddMeasurementsOfPeers guards against a peer whose measurements make a target look
// endlessly slow or fast.
func TestOddMeasurementsOfPeers(t *testing.T) {
	v, slowness := unevenView()
	samples := samplesOf(slowness, testModels, 2000)
	for range 100 {
		for _, millis := range []float64{math.Inf(1), math.NaN(), -1, 0, 1e300} {
			samples = append(samples, balancer.ReadSample{Target: "e1", Model: "odd", MillisPerToken: millis})
		}
	}
	b := learned(v, samples)
	assert.LessOrEqual(t, b.Slowness("e1"), 4.0)
	assert.Less(t, b.ReadTime("odd", 1000), time.Second)
}

// TestFastTargetTakesMoreOfTheLoad guards against equal numbers of prompts for targets of unequal
// speed.
func TestFastTargetTakesMoreOfTheLoad(t *testing.T) {
	v, slowness := unevenView()
	b := learned(v, samplesOf(slowness, map[string]float64{"m": 0.05}, 2000))
	counts := map[float64]int{}
	for range 24 {
		counts[slowness[mustPick(t, b, v, engineRequest(1000)).Target.ID]]++
	}
	assert.Greater(t, counts[0.6], counts[1.6])
}

package balancer_test

import (
	"maps"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
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

// TestSlowTargetIsToldFromLargeModel guards against prompts that are counted with the time of a
// usual target at a slow one, whose streams then pause.
func TestSlowTargetIsToldFromLargeModel(t *testing.T) {
	b := balancer.New()
	b.LearnReads(samplesOf(map[string]float64{"slow": 1.6, "usual": 1, "fast": 0.6}, testModels, 400))
	assert.InDelta(t, 1.6/0.6, b.Slowness("slow")/b.Slowness("fast"), 0.7)
	ratio := float64(b.ReadTime("large", 1000)) / float64(b.ReadTime("small", 1000))
	assert.InDelta(t, 4, ratio, 0.8)
}

// TestEqualTargetsCountAsEqual guards against a choice of targets by the noise of measurements.
func TestEqualTargetsCountAsEqual(t *testing.T) {
	b := balancer.New()
	b.LearnReads(samplesOf(map[string]float64{"a": 1, "b": 1, "c": 1}, testModels, 400))
	for _, target := range []string{"a", "b", "c", "unknown"} {
		assert.InDelta(t, 1, b.Slowness(target), 0.3, target)
	}
}

// TestOddMeasurementsOfPeers guards against a peer whose measurements make a target look
// endlessly slow or fast.
func TestOddMeasurementsOfPeers(t *testing.T) {
	b := balancer.New()
	for range 100 {
		for _, millis := range []float64{math.Inf(1), math.NaN(), -1, 0, 1e300} {
			b.LearnReads([]balancer.ReadSample{{Target: "t", Model: "m", MillisPerToken: millis}})
		}
	}
	assert.LessOrEqual(t, b.Slowness("t"), 4.0)
	assert.Less(t, b.ReadTime("m", 1000), time.Second)
}

// TestFastTargetTakesMoreOfTheLoad guards against equal numbers of prompts for targets of unequal
// speed.
func TestFastTargetTakesMoreOfTheLoad(t *testing.T) {
	b, _ := newTest()
	v := view(2)
	b.LearnReads(samplesOf(map[string]float64{"e0": 1.6, "e1": 0.6}, map[string]float64{"m": 0.05}, 400))
	counts := map[string]int{}
	for range 4 {
		counts[mustPick(t, b, v, engineRequest(1000)).Target.ID]++
	}
	assert.Greater(t, counts["e1"], counts["e0"])
}

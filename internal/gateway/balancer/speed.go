package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// The load pattern that this file answers: targets of one service differ in speed several
// times, and each of many instances sends a target too few requests to notice. A prompt that is
// sent to a slow target then takes far longer than it was counted with, and the running
// streams there pause beyond their goal while faster targets idle.

const (
	// defaultPrefillMillis is the assumed time to read one prompt token (prefill) until
	// there is a measurement, in milliseconds.
	defaultPrefillMillis = 0.05
	// minPrefillMillis and maxPrefillMillis limit the value of one measurement, in
	// milliseconds per token.
	minPrefillMillis = 0.002
	maxPrefillMillis = 0.5
	// modelSampleWeight and targetSampleWeight are the weights of one measurement in the
	// moving averages for its model and for its target. The first measurements of a target
	// weigh more, so that a slow one is noticed soon.
	modelSampleWeight  = 0.1
	targetSampleWeight = 0.1
	// delayedSampleShare is the weight of a measurement above the estimate relative to one
	// below: requests that this instance does not know of yet only ever prolong it.
	delayedSampleShare = 0.4
	// maxMeasuredLoad is the share of the slots of a target in use up to which a measurement
	// counts: at a full target the time includes the wait for a slot.
	maxMeasuredLoad = 0.5
	// firstSampleDivisor is the inverse of the weight of the first measurement of a target.
	firstSampleDivisor = 2
	// minSlowness and maxSlowness limit how far the speed of a target is taken to differ from
	// that of the others.
	minSlowness = 0.25
	maxSlowness = 4.0
	// ignoredSlowness is the deviation from 1, as a factor, that is within the variation of
	// the measurements of equal targets, and minSamples the number of measurements before
	// which a target counts as equal to the others.
	ignoredSlowness = 1.2
	minSamples      = 3
	// minUnevenness is the ratio of the slowness of the slowest tenth of the targets to that of
	// the fastest tenth from which their speeds count. Below it they are equal, and what is
	// measured is their load.
	minUnevenness = 2.0
	// minUnevenTargets is the number of measured targets below which that ratio says nothing.
	minUnevenTargets = 8
	// maxReadSamples bounds the measurements that are kept for the peers.
	maxReadSamples = 64
)

// ReadSample is a measurement of the time that a target took to read a prompt (prefill).
type ReadSample struct {
	Target string
	Model  string
	// MillisPerToken is that time for one token, in milliseconds.
	MillisPerToken float64
}

// speeds estimates the time to read prompts from the measurements of all instances of a data
// centre. The estimate is the product of a factor for the model and one for the target.
type speeds struct {
	models  map[string]float64 // milliseconds per token
	targets map[string]targetSpeed
	// isUneven reports whether the targets differ in speed, and usual is the median of their
	// slowness: only the product of the factors for model and target is measured.
	isUneven bool
	usual    float64
	// unsent holds the own measurements that the peers have not been sent.
	unsent []ReadSample
}

// targetSpeed is the estimate for a target.
type targetSpeed struct {
	// slowness is the time that the target takes relative to the others.
	slowness float64
	samples  int
}

func newSpeeds() speeds {
	return speeds{models: map[string]float64{}, targets: map[string]targetSpeed{}, usual: 1}
}

// ofModel returns the factor for a model, in milliseconds per token.
func (s *speeds) ofModel(model string) float64 {
	if millis, ok := s.models[model]; ok {
		return millis
	}
	return defaultPrefillMillis
}

// slowness returns how long a target takes relative to the others; 1 if they do not differ
// by more than the measurements vary.
func (s *speeds) slowness(target string) float64 {
	t, ok := s.targets[target]
	if !ok || !s.isUneven || t.samples < minSamples {
		return 1
	}
	slowness := t.slowness / s.usual
	if slowness < ignoredSlowness && slowness > 1/ignoredSlowness {
		return 1
	}
	return slowness
}

// atUsual returns the time to read one prompt token for a model at a target of usual speed, in
// milliseconds.
func (s *speeds) atUsual(model string) float64 { return s.ofModel(model) * s.usual }

// learn takes a measurement into account. What it differs from the estimate by is attributed
// in part to the model and in part to the target.
func (s *speeds) learn(sample ReadSample) {
	if !(sample.MillisPerToken > 0) || sample.Target == "" {
		return // reports of peers may hold anything
	}
	measured := min(max(sample.MillisPerToken, minPrefillMillis), maxPrefillMillis)
	t, ok := s.targets[sample.Target]
	if !ok {
		t.slowness = 1
	}
	ratio := measured / (s.ofModel(sample.Model) * t.slowness)
	share := 1.0
	if ratio > 1 {
		share = delayedSampleShare
	}
	weight := share * max(targetSampleWeight, 1/float64(firstSampleDivisor+t.samples))
	s.models[sample.Model] = s.ofModel(sample.Model) * math.Pow(ratio, share*modelSampleWeight)
	t.slowness = min(max(t.slowness*math.Pow(ratio, weight), minSlowness), maxSlowness)
	t.samples++
	s.targets[sample.Target] = t
}

// update decides whether the targets differ in speed, and drops those that are gone.
func (s *speeds) update(isKnown func(target string) bool) {
	measured := make([]float64, 0, len(s.targets))
	for id, t := range s.targets {
		switch {
		case !isKnown(id):
			delete(s.targets, id)
		case t.samples >= minSamples:
			measured = append(measured, t.slowness)
		}
	}
	s.isUneven, s.usual = false, 1
	if n := len(measured); n >= minUnevenTargets {
		slices.Sort(measured)
		s.isUneven = measured[n-1-n/10] >= minUnevenness*measured[n/10]
		s.usual = measured[n/2]
	}
}

// ReadTime returns the estimated time that a target of usual speed takes to read a prompt for
// a model.
func (b *Balancer) ReadTime(model string, prompt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.speeds.atUsual(model) * float64(prompt) * float64(time.Millisecond))
}

// Slowness returns how long a target takes to read prompts relative to the others; 1 if it
// does not differ from them.
func (b *Balancer) Slowness(target string) float64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.speeds.slowness(target)
}

// TakeReadSamples returns the measurements of this instance since the last call.
func (b *Balancer) TakeReadSamples() []ReadSample {
	b.mu.Lock()
	defer b.mu.Unlock()
	out := b.speeds.unsent
	b.speeds.unsent = nil
	return out
}

// LearnReads takes measurements of a peer into account.
func (b *Balancer) LearnReads(samples []ReadSample) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for _, sample := range samples {
		b.speeds.learn(sample)
	}
}

// isMeasurable reports whether a request that finds a load at its target measures the time to
// read its prompt: no other prompt is pending, and it waits for no slot.
func isMeasurable(load Load, target *registrar.Target) bool {
	return load.Pending == 0 && float64(load.InFlight) <= maxMeasuredLoad*float64(target.Slots)
}

// learnReadTime takes the time to the first byte of a request that measures it into account.
func (b *Balancer) learnReadTime(target, model string, prompt int, timeToFirstByte time.Duration) {
	if prompt <= 0 {
		return
	}
	sample := ReadSample{
		Target: target, Model: model, MillisPerToken: float64(timeToFirstByte.Microseconds()) / 1000 / float64(prompt),
	}
	b.speeds.learn(sample)
	if len(b.speeds.unsent) < maxReadSamples {
		b.speeds.unsent = append(b.speeds.unsent, sample)
	}
}

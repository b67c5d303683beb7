package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// Outcome classifies how a request ended at a target.
type Outcome int

const (
	// Answered means a complete answer that indicates no fault of the target.
	Answered Outcome = iota
	// Failed means an answer that indicates a fault of the target, or a corrupted one.
	Failed
	// Lost means that no complete answer arrived.
	Lost
	// Unreached means that no connection was made, so the request was not sent.
	Unreached
	// Shed means that the target refused the request.
	Shed
	// Abandoned means that this instance gave up the request for a reason other than a
	// fault of the target.
	Abandoned
)

const (
	// outcomeHalfLife is the time in which the weight of an outcome halves.
	outcomeHalfLife = 4 * time.Second
	// minSampleWeight is the total weight of outcomes below which a target is not judged.
	minSampleWeight = 3
	// ejectionFaultExcess is how far the fault share of a target may exceed the median of
	// the candidates before it gets no requests other than occasional probes.
	ejectionFaultExcess = 0.25
	// ignoredFaultExcess is the excess over the median fault share that is within normal
	// variation.
	ignoredFaultExcess = 0.05
	// probeAfter is the time without an outcome after which a target is tried again like
	// any other.
	probeAfter = 2 * time.Second
	// probeFaultFactor scales the recorded faults after a successful probe.
	probeFaultFactor = 0.5
	// faultPenalty is the weight of the excess fault share in the cost of a target.
	faultPenalty = 8.0
	// slowFirstByteFactor is the multiple of the median time to the first byte above which
	// a target counts as slow.
	slowFirstByteFactor = 1.5
	// lossesBeforeCooldown is the number of consecutive requests without an answer after
	// which a target gets no requests for initialCooldown.
	lossesBeforeCooldown = 2
	initialCooldown      = time.Second
	// maxCooldown limits the cooldown, which doubles with each failed probe.
	maxCooldown = 8 * time.Second
)

// health summarizes the outcomes of requests at a target, with exponentially decaying
// weights.
type health struct {
	// answers and faults are the decayed counts of outcomes and of faults, as of updatedAt.
	answers float64
	faults  float64
	// firstByteSeconds is the smoothed time to the first byte; 0 if unknown.
	firstByteSeconds  float64
	updatedAt         time.Time
	consecutiveLosses int
	cooldown          time.Duration
	// cooldownUntil is the deadline before which the target gets no requests.
	cooldownUntil time.Time
}

// decayFactor returns the weight at a later time of what was counted until h.updatedAt.
func (h *health) decayFactor(now time.Time) float64 {
	if h.updatedAt.IsZero() {
		return 1
	}
	return math.Exp2(-now.Sub(h.updatedAt).Seconds() / outcomeHalfLife.Seconds())
}

// decay applies the decay up to now to the counts.
func (h *health) decay(now time.Time) {
	factor := h.decayFactor(now)
	h.answers *= factor
	h.faults *= factor
	h.updatedAt = now
}

// add records an outcome; timeToFirstByte is 0 if no byte arrived.
func (h *health) add(outcome Outcome, timeToFirstByte time.Duration, now time.Time) {
	if outcome == Abandoned {
		return
	}
	isProbe := now.Sub(h.updatedAt) >= probeAfter
	h.decay(now)
	switch outcome {
	case Answered:
		if isProbe {
			h.faults *= probeFaultFactor
		}
		h.answers++
		h.consecutiveLosses = 0
		h.cooldown = 0
	case Failed:
		h.answers++
		h.faults++
	case Lost, Unreached:
		h.answers++
		h.faults++
		h.consecutiveLosses++
		h.startCooldownIfDue(now)
	case Shed, Abandoned:
	}
	if timeToFirstByte > 0 {
		h.smoothFirstByte(timeToFirstByte.Seconds())
	}
}

// smoothFirstByte adds a sample to the moving average of the time to the first byte.
func (h *health) smoothFirstByte(firstByteSeconds float64) {
	const weight = 0.2
	if h.firstByteSeconds == 0 {
		h.firstByteSeconds = firstByteSeconds
		return
	}
	h.firstByteSeconds += weight * (firstByteSeconds - h.firstByteSeconds)
}

// startCooldownIfDue starts a cooldown after lossesBeforeCooldown losses in a row. The
// count stays one below the limit, so that a single further loss starts the next cooldown.
func (h *health) startCooldownIfDue(now time.Time) {
	if h.consecutiveLosses < lossesBeforeCooldown {
		return
	}
	h.cooldown = min(max(2*h.cooldown, initialCooldown), maxCooldown)
	h.cooldownUntil = now.Add(h.cooldown)
	h.consecutiveLosses = lossesBeforeCooldown - 1
}

// faultShare returns the share of faults; 0 while the outcomes weigh less than
// minSampleWeight.
func (h *health) faultShare(now time.Time) float64 {
	if h.answers*h.decayFactor(now) < minSampleWeight {
		return 0
	}
	return h.faults / h.answers
}

// penalty returns the factor that raises the cost of a target, and whether the target gets
// no requests for now.
func (h *health) penalty(typical health, now time.Time) (factor float64, isExcluded bool) {
	if now.Before(h.cooldownUntil) {
		return 1, true
	}
	excess := max(h.faultShare(now)-typical.faults, 0)
	isProbe := now.Sub(h.updatedAt) >= probeAfter
	if isProbe || excess > ejectionFaultExcess {
		return 1, !isProbe
	}
	factor = 1
	if excess > ignoredFaultExcess {
		factor += faultPenalty * excess
	}
	if typical.firstByteSeconds > 0 && h.firstByteSeconds > slowFirstByteFactor*typical.firstByteSeconds {
		factor *= h.firstByteSeconds / typical.firstByteSeconds
	}
	return factor, false
}

// IsCoolingDown reports whether a target is in its cooldown after consecutive requests without
// an answer.
func (b *Balancer) IsCoolingDown(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	return l != nil && b.now().Before(l.health.cooldownUntil)
}

// typicalHealth returns the median fault share and the median time to the first byte of
// targets.
func (b *Balancer) typicalHealth(targets []*registrar.Target, now time.Time) health {
	shares := make([]float64, 0, len(targets))
	firstByteTimes := make([]float64, 0, len(targets))
	for _, t := range targets {
		l := b.localLoad(t.ID)
		shares = append(shares, l.health.faultShare(now))
		if l.health.firstByteSeconds > 0 {
			firstByteTimes = append(firstByteTimes, l.health.firstByteSeconds)
		}
	}
	return health{faults: median(shares), firstByteSeconds: median(firstByteTimes), updatedAt: now}
}

// median returns the lower median of values, 0 if there are none. It sorts values.
func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Ticket represents a request that counts towards the load of its target until End.
type Ticket struct {
	Target          *registrar.Target
	balancer        *Balancer
	request         Request
	chosenAt        time.Time
	timeToFirstByte time.Duration
	// pending is what the request still contributes to the pending time of its target, in
	// milliseconds.
	pending float64
	// measuresRead records that the time to the first byte measures the time to read the
	// prompt.
	measuresRead bool
	// isReturn records that the target had just begun to take requests again.
	isReturn bool
	ended    bool
}

// FirstByte records that the answer has begun, which means that the prompt has been read.
func (t *Ticket) FirstByte() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.timeToFirstByte > 0 || t.ended {
		return
	}
	t.timeToFirstByte = max(b.now().Sub(t.chosenAt), 1)
	l := b.localLoad(t.Target.ID)
	delete(l.unanswered, t)
	t.allowMoreReturns(l)
	if t.measuresRead {
		b.learnReadTime(t.Target.ID, t.request.Model, t.request.PromptTokens, t.timeToFirstByte)
	}
	t.releasePending()
}

// releasePending subtracts the request from the pending time of its target. The lock must
// be held.
func (t *Ticket) releasePending() {
	b := t.balancer
	l := b.localLoad(t.Target.ID)
	l.Pending = max(l.Pending-t.pending, 0)
	t.pending = 0
	b.reportChange(t.request.Grant, t.Target.ID)
	b.notifyWaiters()
}

// TimeToFirstByte returns the time from the choice of the target to the first byte; 0 if
// no byte has arrived.
func (t *Ticket) TimeToFirstByte() time.Duration { return t.timeToFirstByte }

// ChosenAt returns the time at which the target was chosen.
func (t *Ticket) ChosenAt() time.Time { return t.chosenAt }

// End records how the request ended and stops counting it; later calls have no effect.
func (t *Ticket) End(outcome Outcome) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	l := b.localLoad(t.Target.ID)
	delete(l.unanswered, t)
	l.InFlight--
	l.endGrant(t.request.Grant, outcome)
	l.tokens -= t.request.Tokens
	t.endReturn(l)
	if l.InFlight == 0 {
		l.Pending = 0 // removes accumulated rounding errors
	}
	l.health.add(outcome, t.timeToFirstByte, b.now())
	t.releasePending()
}

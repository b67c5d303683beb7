package balancer

import (
	"math"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// Outcome is how a request ended at a target.
type Outcome int

const (
	// Answered requests got a whole answer that tells of no fault of the target.
	Answered Outcome = iota
	// Failed requests got an answer that tells of a fault, or a spoiled one.
	Failed
	// Lost requests got no whole answer.
	Lost
	// Unreached requests never left, since no connection was made.
	Unreached
	// Shed requests were refused by the target.
	Shed
	// Abandoned requests were given up here for no fault of the target.
	Abandoned
)

const (
	// forgetTime is the time after which an outcome weighs half.
	forgetTime = 4 * time.Second
	// fewSamples is the weight of outcomes below which a target is not judged.
	fewSamples = 3
	// greyShare is the share of faults, beyond that of its siblings, from which
	// a target gets no requests but a sparing trial.
	greyShare = 0.25
	// usualExcess is the share of faults, beyond that of its siblings, that says nothing.
	usualExcess = 0.05
	// trialAfter is the time without an outcome after which a target is tried again
	// like any other.
	trialAfter = 2 * time.Second
	// trialRelief is what remains of the faults after a trial that succeeded.
	trialRelief = 0.5
	// greyPenalty weighs the share of faults of a target beyond that of its siblings.
	greyPenalty = 8.0
	// slowFactor is how many times the usual time to the first byte counts as slow.
	slowFactor = 1.5
	// lostInRow is the number of requests in a row without an answer from which
	// a target is left alone for restTime.
	lostInRow = 2
	restTime  = time.Second
	// longestRest bounds the rest, which doubles with each failed trial.
	longestRest = 8 * time.Second
)

// record is what the answers of a target say of it, older ones weighing less.
type record struct {
	answers float64
	faults  float64
	// first is the smoothed time to the first byte, in seconds; 0 if unknown.
	first float64
	at    time.Time
	inRow int
	rest  time.Duration
	// restsUntil is the deadline until which the target gets nothing.
	restsUntil time.Time
}

// faded returns the weight of what was counted until r.at at a later time.
func (r *record) faded(now time.Time) float64 {
	if r.at.IsZero() {
		return 1
	}
	return math.Exp2(-now.Sub(r.at).Seconds() / forgetTime.Seconds())
}

func (r *record) fade(now time.Time) {
	factor := r.faded(now)
	r.answers *= factor
	r.faults *= factor
	r.at = now
}

// add takes an outcome; first is the time to the first byte, 0 if none came.
func (r *record) add(outcome Outcome, first time.Duration, now time.Time) {
	if outcome == Abandoned {
		return
	}
	isTrial := now.Sub(r.at) >= trialAfter
	r.fade(now)
	switch outcome {
	case Answered:
		if isTrial {
			r.faults *= trialRelief
		}
		r.answers++
		r.inRow = 0
		r.rest = 0
	case Failed:
		r.answers++
		r.faults++
	case Lost, Unreached:
		r.answers++
		r.faults++
		r.inRow++
		r.restIfDue(now)
	case Shed, Abandoned:
	}
	if first > 0 {
		r.smooth(first.Seconds())
	}
}

func (r *record) smooth(first float64) {
	const weight = 0.2
	if r.first == 0 {
		r.first = first
		return
	}
	r.first += weight * (first - r.first)
}

func (r *record) restIfDue(now time.Time) {
	if r.inRow < lostInRow {
		return
	}
	r.rest = min(max(2*r.rest, restTime), longestRest)
	r.restsUntil = now.Add(r.rest)
	r.inRow = lostInRow - 1
}

// share returns the share of faults; 0 while there are too few answers to tell.
func (r *record) share(now time.Time) float64 {
	if r.answers*r.faded(now) < fewSamples {
		return 0
	}
	return r.faults / r.answers
}

// penalty returns the factor by which a target counts as more loaded than it is,
// and whether it gets no requests for now.
func (r *record) penalty(typical record, now time.Time) (factor float64, out bool) {
	if now.Before(r.restsUntil) {
		return 1, true
	}
	excess := max(r.share(now)-typical.faults, 0)
	isTrial := now.Sub(r.at) >= trialAfter
	if isTrial || excess > greyShare {
		return 1, !isTrial
	}
	factor = 1
	if excess > usualExcess {
		factor += greyPenalty * excess
	}
	if typical.first > 0 && r.first > slowFactor*typical.first {
		factor *= r.first / typical.first
	}
	return factor, false
}

// IsResting reports whether a target is left alone since it did not answer.
func (b *Balancer) IsResting(id string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	l := b.loads[id]
	return l != nil && b.now().Before(l.record.restsUntil)
}

// typical returns the median share of faults and time to the first byte of targets.
func (b *Balancer) typical(targets []*registrar.Target, now time.Time) record {
	shares := make([]float64, 0, len(targets))
	firsts := make([]float64, 0, len(targets))
	for _, t := range targets {
		l := b.load(t.ID)
		shares = append(shares, l.record.share(now))
		if l.record.first > 0 {
			firsts = append(firsts, l.record.first)
		}
	}
	return record{faults: median(shares), first: median(firsts), at: now}
}

func median(values []float64) float64 {
	if len(values) == 0 {
		return 0
	}
	slices.Sort(values)
	return values[(len(values)-1)/2]
}

// Ticket is a request that counts at its target until it ends.
type Ticket struct {
	Target   *registrar.Target
	balancer *Balancer
	request  Request
	since    time.Time
	first    time.Duration
	// pending is what the request still adds to the pending time of its target.
	pending float64
	// isAlone tells that nothing was pending at the target when it was chosen.
	isAlone bool
	ended   bool
}

// FirstByte tells that the answer began, so that the prompt has been read.
func (t *Ticket) FirstByte() {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.first > 0 || t.ended {
		return
	}
	t.first = max(b.now().Sub(t.since), 1)
	delete(b.load(t.Target.ID).unanswered, t)
	if t.isAlone {
		b.learnPace(t.request.Model, t.request.Prompt, t.first)
	}
	t.settlePending()
}

// settlePending takes the request out of what is pending. It is called with the lock held.
func (t *Ticket) settlePending() {
	b := t.balancer
	l := b.load(t.Target.ID)
	l.Pending = max(l.Pending-t.pending, 0)
	t.pending = 0
	b.changed(t.Target.ID)
	b.wake()
}

// First returns the time from the choice of the target to the first byte; 0 before it.
func (t *Ticket) First() time.Duration { return t.first }

// Since returns when the target was chosen.
func (t *Ticket) Since() time.Time { return t.since }

// End tells how the request ended; later calls do nothing.
func (t *Ticket) End(outcome Outcome) {
	b := t.balancer
	b.mu.Lock()
	defer b.mu.Unlock()
	if t.ended {
		return
	}
	t.ended = true
	l := b.load(t.Target.ID)
	delete(l.unanswered, t)
	l.InFlight--
	l.tokens -= t.request.Tokens
	if l.InFlight == 0 {
		l.Pending = 0 // takes the rounding out
	}
	l.record.add(outcome, t.first, b.now())
	t.settlePending()
}

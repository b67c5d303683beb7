// Package quarantiner finds requests that crash the targets on which they run, and
// refuses them on all instances. It identifies a request by a fingerprint of its
// content, so that a resend by the caller, with another ID and to another instance,
// counts as the same request.
//
// All requests that ran on a target when it crashed are reported. From some number of
// crashes on a request is a suspect: one copy of it runs at a time, and no two suspects
// run on one target, so that a further crash shows which of them was the cause. A
// convicted request is refused until a deadline. A suspect that gets past the point of
// its crash is cleared. There are two ways to agree on who runs a suspect:
//
// Owners (the default). A request is a suspect from its first crash on and convicted by
// its second. A suspect has one owner, the instance that saw the crash; meanwhile all
// other instances refuse it. Before the owner runs a suspect, it claims a target,
// announces suspect and target to its peers and waits for their answers. It continues
// only if no peer claims either of them. This guarantees that a request crashes at most
// two targets before it is convicted, whatever the number of resends and instances,
// provided that each resend follows the end of the previous send and that peers answer
// within the timeout of an announcement. Copies that are sent at the same time before the
// first crash are not yet suspects and may each crash one target.
//
// Trials (WithTrials), for many instances, and targets that often end for other reasons. What is
// suspected is a trait of requests: the content, or a part of a prompt, which requests share that
// differ otherwise. A trait is a suspect from its second crash on. One instance, the examiner,
// decides for all others: it collects the crashes (report.go), permits the runs of requests with
// suspects, which are then called trials (trial.go), judges which trait of a run was the cause
// (judgement.go), and tells all others its verdicts (share.go). Whole answers clear what they
// speak for (answer.go, traffic.go).
//
// If a suspect shares its target with a request that crashes a target for the first time,
// the crash is attributed to the suspect instead of that request.
package quarantiner

import (
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrConvicted reports that a request is refused because it crashed targets.
	ErrConvicted = errors.New("request crashes targets")
	// ErrWait reports that a request must wait until a suspect has finished.
	ErrWait = errors.New("another suspect runs")
	// ErrElsewhere reports that the request is a suspect owned by another instance.
	ErrElsewhere = errors.New("request is being examined at another instance")
)

const (
	// suspectTTL is how long a crash counts against a request after its latest one.
	suspectTTL = 10 * time.Minute
	// convictionTTL is how long a request remains convicted.
	convictionTTL = time.Hour
	// clearedTTL is how long the verdict that a suspect was cleared is sent to peers.
	clearedTTL = 5 * time.Second
	// maxRecords bounds the requests that an instance remembers.
	maxRecords = 4096
)

// rules say when a request is a suspect and when it is convicted.
type rules struct {
	suspectCrashes    int
	convictingCrashes int
	// hasTrials reports that crashes alone convict nobody: one of them must have ended a trial.
	hasTrials bool
}

var ownerRules = rules{suspectCrashes: 1, convictingCrashes: 2}

// Place identifies one incarnation of a target. An incarnation crashes at most once,
// so that a place also identifies a crash.
type Place struct {
	Target      string
	Incarnation string
}

func (p Place) String() string { return p.Target + "/" + p.Incarnation }

// Quarantiner holds the suspects and convicted requests known to one instance.
type Quarantiner struct {
	instance string
	rules    rules
	// alive reports whether a peer is alive. The suspects of one that is not can be
	// taken over.
	alive func(instance string) bool

	mu      sync.Mutex
	records map[Trait]*record
	// attributions holds the suspect that a crash is attributed to, by place.
	attributions map[string]attribution
	// trials holds the run that a suspect was permitted, by place; only with trials.
	trials map[string]trial
	// crashedAt holds when a crash was first reported, by place; only with trials.
	crashedAt map[string]time.Time
	// changed holds the records whose verdict peers have not been told; only with trials.
	changed map[Trait]bool
	counts  Counts
	traffic *traffic
}

// trial is the permitted run of a request that bears a suspect.
type trial struct {
	// traits holds all traits of the request.
	traits   []Trait
	deadline time.Time
}

// attribution names the suspects that a crash is attributed to, until a deadline.
type attribution struct {
	// traits holds the suspect, or all traits of the run that was its trial.
	traits   []Trait
	deadline time.Time
	// isTrial reports that the crash ended a trial of the suspects.
	isTrial bool
	// spared holds what the crash was not held against since it ended a trial.
	spared []Loss
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithAlive sets the function that reports whether a peer is alive. Without it every
// peer counts as alive.
func WithAlive(alive func(instance string) bool) Option {
	return func(q *Quarantiner) { q.alive = alive }
}

// WithTrials makes an examiner decide on suspects in place of their owners.
func WithTrials() Option {
	return func(q *Quarantiner) { q.rules = trialRules }
}

// New returns the quarantiner of an instance, without suspects.
func New(instance string, opts ...Option) *Quarantiner {
	q := &Quarantiner{
		instance: instance, rules: ownerRules, alive: func(string) bool { return true },
		records: map[Trait]*record{}, attributions: map[string]attribution{},
		trials: map[string]trial{}, crashedAt: map[string]time.Time{}, changed: map[Trait]bool{}, traffic: newTraffic(),
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// activeRecord returns the record of a trait if it has not expired, or nil.
func (q *Quarantiner) activeRecord(now time.Time, t Trait) *record {
	r := q.records[t]
	if r == nil || !now.Before(r.deadline) {
		return nil
	}
	return r
}

// makeRecord returns the record of a trait, and creates it if there is none.
func (q *Quarantiner) makeRecord(now time.Time, t Trait, owner string, term int) *record {
	r := q.activeRecord(now, t)
	if r == nil {
		q.prune(now)
		r = &record{owner: owner, term: term}
		t.Service, t.Name = strings.Clone(t.Service), strings.Clone(t.Name)
		q.records[t] = r
	}
	return r
}

func (q *Quarantiner) isSuspect(r *record) bool { return len(r.crashes) >= q.rules.suspectCrashes }

func (q *Quarantiner) isConvicted(now time.Time, r *record) bool {
	if q.rules.hasTrials {
		return now.Before(r.verdict.convictedUntil)
	}
	return len(r.crashes) >= q.rules.convictingCrashes
}

// countCrash counts the crash of a place against a request.
func (q *Quarantiner) countCrash(now time.Time, r *record, place string) {
	if !r.addCrash(place) {
		return
	}
	ttl := suspectTTL
	if q.isConvicted(now, r) {
		ttl = convictionTTL
	}
	r.extend(now.Add(ttl))
}

// hasOtherSuspect reports whether a suspect other than some traits has claimed a target, or a place.
func (q *Quarantiner) hasOtherSuspect(now time.Time, target string, traits ...Trait) bool {
	for other, r := range q.records {
		if r.target == target && q.hasValidClaim(now, r) && !slices.Contains(traits, other) {
			return true
		}
	}
	return false
}

// hasValidClaim reports whether a claim of a target counts: its record has not expired, nor
// has the claim, and its owner is alive.
func (q *Quarantiner) hasValidClaim(now time.Time, r *record) bool {
	switch {
	case r.target == "" || !now.Before(r.deadline):
		return false
	case q.rules.hasTrials:
		return now.Before(r.claimDeadline)
	default:
		return r.owner == q.instance || q.alive(r.owner)
	}
}

// attribute returns the suspects that a crash is attributed to; none if none ran there.
func (q *Quarantiner) attribute(now time.Time, place Place) attribution {
	name := place.String()
	if a, known := q.attributions[name]; known {
		return a
	}
	a := attribution{deadline: now.Add(suspectTTL), isTrial: q.rules.hasTrials}
	if q.rules.hasTrials {
		a.traits = q.trialAt(now, name) // the crash of an earlier incarnation says nothing of a trial
	} else {
		a.traits = q.suspectsOn(now, place.Target)
	}
	if len(a.traits) > 0 {
		q.attributions[name] = a
	}
	return a
}

// suspectsOn returns the suspects that run on a target. If the suspects of several owners have
// claimed it, only those of the owner with the lowest ID were confirmed.
func (q *Quarantiner) suspectsOn(now time.Time, target string) []Trait {
	var suspects []Trait
	owner := ""
	for t, r := range q.records {
		if r.target != target || !q.isSuspect(r) || !q.hasValidClaim(now, r) {
			continue
		}
		if len(suspects) == 0 || r.owner < owner {
			suspects, owner = nil, r.owner
		}
		if r.owner == owner {
			suspects = append(suspects, t)
		}
	}
	return suspects
}

// prune deletes what has expired, and what matters least if there are too many records.
func (q *Quarantiner) prune(now time.Time) {
	for t, r := range q.records {
		if !now.Before(r.deadline) || len(q.records) >= maxRecords && len(r.crashes) == 0 {
			q.remove(t)
		}
	}
	for len(q.records) >= maxRecords {
		q.remove(q.leastImportant(now))
	}
	for place, b := range q.attributions {
		if !now.Before(b.deadline) {
			delete(q.attributions, place)
		}
	}
	for place, run := range q.trials {
		if !now.Before(run.deadline) {
			delete(q.trials, place)
		}
	}
	for place, at := range q.crashedAt {
		if !now.Before(at.Add(suspectTTL)) {
			delete(q.crashedAt, place)
		}
	}
}

func (q *Quarantiner) remove(t Trait) {
	delete(q.records, t)
	delete(q.changed, t)
}

// leastImportant returns the record to drop for another one: one that is not convicted before
// a convicted one, of few crashes before one of many, and of these the one that ends first.
func (q *Quarantiner) leastImportant(now time.Time) Trait {
	var least Trait
	var found *record
	for t, r := range q.records {
		if found == nil || q.isLessImportant(now, r, found) {
			least, found = t, r
		}
	}
	return least
}

func (q *Quarantiner) isLessImportant(now time.Time, a, b *record) bool {
	if isConvicted := q.isConvicted(now, a); isConvicted != q.isConvicted(now, b) {
		return !isConvicted
	}
	if len(a.crashes) != len(b.crashes) {
		return len(a.crashes) < len(b.crashes)
	}
	return a.deadline.Before(b.deadline)
}

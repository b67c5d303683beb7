package quarantiner

import (
	"slices"
	"time"

	"github.com/go-faster/errors"
)

// trialRules make a request a suspect from its second crash on: after a first one nearly all
// requests that ran on the target are innocent, and they are sent again at once. A third crash
// convicts it, if it ended a trial.
var trialRules = rules{suspectCrashes: 2, convictingCrashes: 3, hasTrials: true}

const (
	// trialConvictionTTL is how long a request remains convicted by a trial. It is a suspect
	// again then, so that it can end one more target.
	trialConvictionTTL = 10 * time.Minute
	// doubtWindow is the time between two ends of targets from which they have nothing to do with
	// each other. A trial is one run of a request; what ends other targets at the same moment, on
	// which the request does not run, may have ended that of the trial too.
	doubtWindow = 500 * time.Millisecond
	// begunConvictingCrashes is the number of crashes that convict a trait if answers had begun where
	// targets ended: what runs long is lost by chance more often.
	begunConvictingCrashes = 4
	// enoughTrialCrashes is the number of crashes in trials that convict a trait whatever else ended at
	// these moments, and enoughBegunTrialCrashes the same if answers had begun.
	enoughTrialCrashes      = 3
	enoughBegunTrialCrashes = 5
	// answeredTrialCrashes is the number of crashes in trials that convict a shared trait of which it
	// is known that requests with it have been answered whole, some time ago.
	answeredTrialCrashes = 2
	// maxChanceLead is the number of crashes by which a shared trait may lead a content of the same run
	// by chance.
	maxChanceLead = 1
	// tiedTrialCrashes is the number of crashes in trials that convict traits which were in all of
	// them together.
	tiedTrialCrashes = 3
	// refutedTTL is how long peers are told that a suspect was cleared.
	refutedTTL = time.Minute
	// objectionTime is how long a shared trait runs freely once it is a suspect, in which instances
	// that have relayed answers to requests with it say so. Where most requests bear it, it runs
	// freely for commonObjectionTime, in which one of them will be answered.
	objectionTime       = 100 * time.Millisecond
	commonObjectionTime = 3 * time.Second
)

// sharedVerdict is what an examiner tells its peers of a record.
type sharedVerdict struct {
	// isShared is set once the trait has been a suspect.
	isShared bool
	// revision increases with each change.
	revision int64
	// trialCrashes are the crashes that ended a trial, in the order of their reports.
	trialCrashes []string
	// convictedUntil is zero unless the trait is convicted, or was.
	convictedUntil time.Time
	// tied holds the traits that were convicted together with it, as each run that crashed its target
	// bore all of them. Requests that bear all are refused, others with the trait need permits.
	tied []Trait
	// since is when the trait was convicted, or else when it became a suspect.
	since time.Time
}

// Counts are the numbers of verdicts that an instance has reached as examiner.
type Counts struct {
	Suspects    int
	Convictions int
	// TakenBack counts convictions that were refuted before their time.
	TakenBack int
}

// Counts returns the verdicts since the start.
func (q *Quarantiner) Counts() Counts {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.counts
}

// IsEmpty reports whether nothing is held against any trait, so that no request need be
// checked.
func (q *Quarantiner) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// CheckAll reports whether a request with some traits needs a permit of the examiner, as one of
// them is a suspect. The error is ErrConvicted if it must not run, or ErrWait if that is about to
// be decided.
func (q *Quarantiner) CheckAll(now time.Time, traits []Trait) (isSuspect bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	held, _, err := q.suspectsAmong(now, traits)
	return len(held) > 0 || err != nil, err
}

// suspectsAmong returns the traits that run by permit only, and the suspects that still run freely.
// The error is that of a convicted one; ErrConvicted goes before ErrWait.
func (q *Quarantiner) suspectsAmong(now time.Time, traits []Trait) (held, free []Trait, err error) {
	for _, t := range traits {
		r := q.activeRecord(now, t)
		switch {
		case r == nil || !q.isSuspect(r):
		case q.isConvicted(now, r) && containsAll(traits, r.verdict.tied):
			if reason := q.convictedError(now, t, r); err == nil || errors.Is(reason, ErrConvicted) {
				err = reason
			}
		case q.isHeld(now, t, r):
			held = append(held, t)
		default:
			free = append(free, t)
		}
	}
	return held, free, err
}

// isHeld reports whether requests with a suspect need permits. A shared one needs a verdict, and
// time for objections or a further crash. One that most requests bear is at the end of nearly every target: it is not
// held unless none of the answers that were lost with it had begun.
func (q *Quarantiner) isHeld(now time.Time, t Trait, r *record) bool {
	switch {
	case !t.isShared() || q.isConvicted(now, r):
		return true
	case !r.verdict.isShared:
		return false
	case !q.traffic.isCommon(t):
		return len(r.crashes) >= q.rules.convictingCrashes || !now.Before(r.verdict.since.Add(objectionTime))
	default:
		return len(r.begun) == 0 && !now.Before(r.verdict.since.Add(commonObjectionTime))
	}
}

// IsAnyHeld reports whether peers have been told that one of some traits is a suspect or
// convicted, so that the examiner has to learn of an answer.
func (q *Quarantiner) IsAnyHeld(now time.Time, traits []Trait) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return slices.ContainsFunc(traits, func(t Trait) bool {
		r := q.activeRecord(now, t)
		return r != nil && r.verdict.isShared && len(r.crashes) > 0
	})
}

// BeginTrial permits, at the examiner, a run of a request with some traits at a place until a
// deadline. A request without a suspect needs no permit and is not recorded. The error is
// ErrConvicted, or ErrWait if one of the suspects runs elsewhere or another one runs there.
func (q *Quarantiner) BeginTrial(now time.Time, traits []Trait, place Place, deadline time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	held, free, err := q.suspectsAmong(now, traits)
	if err != nil || len(held) == 0 {
		return err
	}
	isTried := func(t Trait) bool { return q.hasValidClaim(now, q.records[t]) }
	if slices.ContainsFunc(held, isTried) || q.hasOtherSuspect(now, place.String(), held...) {
		return ErrWait
	}
	for _, t := range append(held, slices.DeleteFunc(free, isTried)...) {
		r := q.records[t]
		r.target, r.claimDeadline = place.String(), deadline
	}
	q.trials[place.String()] = trial{traits: slices.Clone(traits), deadline: deadline}
	return nil
}

// trialAt returns the traits of the request whose trial runs at a place; none if there is none.
func (q *Quarantiner) trialAt(now time.Time, place string) []Trait {
	if len(q.suspectsOn(now, place)) == 0 {
		return nil
	}
	return q.trials[place].traits
}

// EndTrial records, at the examiner, that a trial is over and did not crash its target. If another
// run has crashed the target, that is held against what it was not held against for the trial.
func (q *Quarantiner) EndTrial(now time.Time, traits []Trait, place Place) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	for _, t := range traits {
		if r := q.activeRecord(now, t); r != nil && r.target == name {
			r.target = ""
		}
	}
	delete(q.trials, name)
	a := q.attributions[name]
	isAttributed := slices.ContainsFunc(traits, func(t Trait) bool { return slices.Contains(a.traits, t) })
	if !a.isTrial || !isAttributed {
		return
	}
	delete(q.attributions, name) // the trial ended before its target, or never began
	for _, l := range a.spared {
		if q.isHeldAgainst(now, l.Trait, attribution{}, q.crashedAt[name]) {
			q.holdAgainst(now, l, name)
		}
	}
}

package quarantiner

import (
	"fmt"
	"slices"
	"strings"
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

// ConvictedError is an ErrConvicted that says what the verdict rests on.
type ConvictedError struct {
	// Trait is what is convicted.
	Trait Trait
	// Crashes holds the places that crashed under requests with the trait.
	Crashes []string
	// Age is the time since the conviction, and Left the time until it ends.
	Age  time.Duration
	Left time.Duration
}

func (e *ConvictedError) Error() string {
	cause := "it"
	if e.Trait.Kind == Part {
		cause = fmt.Sprintf("part %s of its prompt", e.Trait.Name)
	}
	return fmt.Sprintf("%v: %d ended under %s (%s); known for %d ms, refused for another %d ms",
		ErrConvicted, len(e.Crashes), cause, strings.Join(e.Crashes, ", "), e.Age.Milliseconds(), e.Left.Milliseconds())
}

// Is reports whether target is ErrConvicted.
func (e *ConvictedError) Is(target error) bool { return target == ErrConvicted }

// convictedError returns the error for a convicted trait. It is ErrWait at first: a report that
// is still on its way can take the conviction back.
func (q *Quarantiner) convictedError(now time.Time, t Trait, r *record) error {
	if !q.rules.hasTrials {
		return ErrConvicted
	}
	v := r.verdict
	if now.Before(v.since.Add(doubtWindow)) {
		return ErrWait
	}
	return &ConvictedError{Trait: t, Crashes: r.crashes, Age: now.Sub(v.since), Left: v.convictedUntil.Sub(now)}
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
// time for objections. One that most requests bear is at the end of nearly every target: it is not
// held unless none of the answers that were lost with it had begun.
func (q *Quarantiner) isHeld(now time.Time, t Trait, r *record) bool {
	switch {
	case !t.isShared() || q.isConvicted(now, r):
		return true
	case !r.verdict.isShared:
		return false
	case !q.traffic.isCommon(t):
		return !now.Before(r.verdict.since.Add(objectionTime))
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

// Loss is a trait of requests that were lost with their target.
type Loss struct {
	Trait Trait
	// HasBegun reports that the answer to one of them had begun.
	HasBegun bool
}

// ReportCrash records, at the examiner, that a place crashed while requests ran on it. If a
// trial ran there, the crash is held against its traits, and against other suspects, alone. If one
// of the requests was convicted, it is held against nothing else.
func (q *Quarantiner) ReportCrash(now time.Time, place Place, losses []Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	q.noteCrashTime(now, name)
	cause := q.attribute(now, place)
	if len(cause.traits) == 0 {
		cause = q.attributeToConvicted(now, name, losses)
	}
	for _, l := range losses {
		if q.isHeldAgainst(now, l.Trait, cause, q.crashedAt[name]) {
			q.holdAgainst(now, l, name)
		} else if cause.isTrial && !slices.Contains(cause.spared, l) {
			cause.spared = append(cause.spared, l)
		}
	}
	if cause.isTrial {
		q.attributions[name] = cause
		q.endTrialsByCrash(now, cause.traits, losses, name)
	}
	q.judgeRecentTrials(now)
}

// KeepCrash records a crash at an instance that may become the examiner. Nothing follows from
// it yet.
func (q *Quarantiner) KeepCrash(now time.Time, place Place, losses []Loss) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	q.noteCrashTime(now, name)
	cause := q.attribute(now, place)
	for _, l := range losses {
		if !q.isHeldAgainst(now, l.Trait, cause, q.crashedAt[name]) {
			continue
		}
		r := q.makeRecord(now, l.Trait, q.instance, 0)
		if !r.verdict.isShared { // else what counts is the verdict of the examiner
			q.countLoss(now, r, l, name)
		}
	}
}

func (q *Quarantiner) noteCrashTime(now time.Time, place string) {
	if _, known := q.crashedAt[place]; !known {
		q.prune(now)
		q.crashedAt[place] = now
	}
}

// attributeToConvicted attributes a crash to the convicted traits among those of the requests that
// were lost, and clears others of it that earlier reports have named.
func (q *Quarantiner) attributeToConvicted(now time.Time, place string, losses []Loss) attribution {
	a := attribution{deadline: now.Add(suspectTTL)}
	for _, l := range losses {
		if r := q.activeRecord(now, l.Trait); r != nil && q.isConvicted(now, r) {
			a.traits = append(a.traits, l.Trait)
		}
	}
	if len(a.traits) == 0 {
		return a
	}
	q.attributions[place] = a
	q.clearOthers([]string{place}, func(t Trait, _ *record) bool { return slices.Contains(a.traits, t) || !a.explains(t) })
	return a
}

// isHeldAgainst reports whether a crash that has a cause counts against a trait.
func (q *Quarantiner) isHeldAgainst(now time.Time, t Trait, cause attribution, endedAt time.Time) bool {
	r := q.activeRecord(now, t)
	isSuspect := r != nil && q.isSuspect(r)
	switch {
	case len(cause.traits) == 0 || slices.Contains(cause.traits, t):
	case cause.isTrial && !isSuspect, !cause.isTrial && cause.explains(t):
		return false
	}
	return !q.traffic.speaksFor(t, endedAt)
}

// explains reports whether the cause of a crash clears another trait of it. A content does not
// clear shared traits, which it may bear itself.
func (a attribution) explains(t Trait) bool {
	return !t.isShared() || slices.ContainsFunc(a.traits, Trait.isShared)
}

// holdAgainst counts a crash against a trait and makes it a suspect if that is due.
func (q *Quarantiner) holdAgainst(now time.Time, l Loss, place string) {
	r := q.makeRecord(now, l.Trait, q.instance, 0)
	wasSuspect := r.verdict.isShared && q.isSuspect(r)
	before := len(r.crashes) + len(r.begun)
	q.countLoss(now, r, l, place)
	isNew := len(r.crashes)+len(r.begun) != before
	switch {
	case !q.isSuspect(r):
	case !wasSuspect: // also if KeepCrash has counted the crash before
		r.verdict.isShared = true
		r.verdict.since = now
		q.counts.Suspects++
		q.change(l.Trait, r)
	case isNew:
		q.change(l.Trait, r)
	}
}

// countLoss counts a crash against a trait.
func (q *Quarantiner) countLoss(now time.Time, r *record, l Loss, place string) {
	q.countCrash(now, r, place)
	if l.HasBegun && contains(r.crashes, place) {
		r.begun = insertSorted(r.begun, place)
	}
}

// change marks a verdict as one that peers have to be told.
func (q *Quarantiner) change(t Trait, r *record) {
	r.verdict.revision++
	q.changed[t] = true
}

// endTrialsByCrash records that a crash ended the trial of some traits.
func (q *Quarantiner) endTrialsByCrash(now time.Time, traits []Trait, losses []Loss, place string) {
	for _, t := range traits {
		r := q.activeRecord(now, t)
		isLost := slices.ContainsFunc(losses, func(l Loss) bool { return l.Trait == t })
		if r == nil || !isLost || !contains(r.crashes, place) {
			continue
		}
		if r.target == place {
			r.target = ""
		}
		if !slices.Contains(r.verdict.trialCrashes, place) {
			r.verdict.trialCrashes = append(r.verdict.trialCrashes, place)
			r.trialEndedAt = q.crashedAt[place]
			q.change(t, r)
		}
	}
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

// NoteAnswer records, at the examiner, that a request with some traits was answered whole at a
// time: its content does not crash its targets, whatever is held against it, and its shared
// traits have not crashed those that ended before, or within answerAge after it.
func (q *Quarantiner) NoteAnswer(now time.Time, traits []Trait, answeredAt time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, t := range traits {
		if t.isShared() {
			q.traffic.noteAnswer(answeredAt, t)
		}
		r := q.activeRecord(now, t)
		switch {
		case r == nil || len(r.crashes) == 0:
		case t.isShared():
			q.clearUntil(now, t, r, answeredAt.Add(answerAge))
		default:
			q.refute(now, t, r)
		}
	}
}

// clearUntil clears a trait of the crashes before a time, and of those of unknown times.
func (q *Quarantiner) clearUntil(now time.Time, t Trait, r *record, until time.Time) {
	left := slices.DeleteFunc(slices.Clone(r.crashes), func(place string) bool { return q.crashedAt[place].Before(until) })
	if len(left) == 0 {
		q.refute(now, t, r)
		return
	}
	if len(left) == len(r.crashes) {
		return
	}
	r.clearCrashes(slices.DeleteFunc(slices.Clone(r.crashes), func(place string) bool { return contains(left, place) }))
	if q.isConvicted(now, r) && len(left) < q.rules.convictingCrashes {
		q.takeBack(t, r)
	}
	if r.verdict.isShared {
		q.change(t, r)
	}
}

// refute clears a trait of all that is held against it.
func (q *Quarantiner) refute(now time.Time, t Trait, r *record) {
	if !r.verdict.isShared {
		q.remove(t)
		return
	}
	if q.isConvicted(now, r) {
		q.counts.TakenBack++
	}
	r.clearCrashes(r.crashes)
	r.verdict.convictedUntil, r.trialEndedAt, r.verdict.tied = time.Time{}, time.Time{}, nil
	r.target = ""
	r.deadline = now.Add(refutedTTL)
	q.change(t, r)
	q.untie(t)
}

// untie records that a trait that was cleared is not convicted together with others any more.
func (q *Quarantiner) untie(cleared Trait) {
	for t, r := range q.records {
		if !slices.Contains(r.verdict.tied, cleared) {
			continue
		}
		r.verdict.tied = slices.DeleteFunc(slices.Clone(r.verdict.tied), func(other Trait) bool { return other == cleared })
		q.change(t, r)
	}
}

// containsAll reports whether traits contain all of some.
func containsAll(traits, some []Trait) bool {
	return !slices.ContainsFunc(some, func(t Trait) bool { return !slices.Contains(traits, t) })
}

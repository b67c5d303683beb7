package quarantiner

import (
	"fmt"
	"slices"
	"strings"
	"time"
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
	// maxTrialCrashes is the number of crashes in trials that convict a request, whatever else
	// ended at these moments.
	maxTrialCrashes = 3
	// refutedTTL is how long peers are told that a suspect was cleared.
	refutedTTL = time.Minute
)

// sharedVerdict is what an examiner tells its peers of a record.
type sharedVerdict struct {
	// isShared is set once the request has been a suspect.
	isShared bool
	// revision increases with each change.
	revision int64
	// trialCrashes are the crashes that ended a trial, in the order of their reports.
	trialCrashes []string
	// convictedUntil is zero unless the request is convicted, or was.
	convictedUntil time.Time
	// since is when the request was convicted, or else when it became a suspect.
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
	// Crashes holds the places that the request has crashed.
	Crashes []string
	// Age is the time since the conviction, and Left the time until it ends.
	Age  time.Duration
	Left time.Duration
}

func (e *ConvictedError) Error() string {
	return fmt.Sprintf("%v: %d ended under it (%s); known for %d ms, refused for another %d ms",
		ErrConvicted, len(e.Crashes), strings.Join(e.Crashes, ", "), e.Age.Milliseconds(), e.Left.Milliseconds())
}

// Is reports whether target is ErrConvicted.
func (e *ConvictedError) Is(target error) bool { return target == ErrConvicted }

// convictedError returns the error for a convicted request. It is ErrWait at first: a report that
// is still on its way can take the conviction back.
func (q *Quarantiner) convictedError(now time.Time, r *record) error {
	if !q.rules.hasTrials {
		return ErrConvicted
	}
	v := r.verdict
	if now.Before(v.since.Add(doubtWindow)) {
		return ErrWait
	}
	return &ConvictedError{Crashes: r.crashes, Age: now.Sub(v.since), Left: v.convictedUntil.Sub(now)}
}

// IsEmpty reports whether nothing is held against any request, so that no request need be
// checked.
func (q *Quarantiner) IsEmpty() bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	return len(q.records) == 0
}

// ReportCrash records, at the examiner, that a place crashed while requests ran on it. If a
// trial ran there, the crash is held against its request, and against other suspects, alone.
func (q *Quarantiner) ReportCrash(now time.Time, place Place, requests []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	if _, known := q.crashedAt[name]; !known {
		q.prune(now)
		q.crashedAt[name] = now
	}
	cause, isAttributed := q.attribute(now, place)
	for _, f := range requests {
		r := q.activeRecord(now, f)
		if isAttributed && f != cause && (r == nil || !q.isSuspect(r)) {
			continue
		}
		q.holdAgainst(now, q.makeRecord(now, f, q.instance, 0), f, name)
	}
	if isAttributed && q.attributions[name].isTrial && slices.Contains(requests, cause) {
		q.endTrialByCrash(now, cause, name)
	}
	q.judgeRecentTrials(now)
}

// KeepCrash records a crash at an instance that may become the examiner. Nothing follows from
// it yet.
func (q *Quarantiner) KeepCrash(now time.Time, place Place, requests []Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	cause, isAttributed := q.attribute(now, place)
	for _, f := range requests {
		if isAttributed && f != cause {
			continue
		}
		q.countCrash(now, q.makeRecord(now, f, q.instance, 0), name)
	}
}

// holdAgainst counts a crash against a request and makes it a suspect if that is due.
func (q *Quarantiner) holdAgainst(now time.Time, r *record, f Fingerprint, place string) {
	before := len(r.crashes)
	q.countCrash(now, r, place)
	isNew := len(r.crashes) != before
	switch {
	case !q.isSuspect(r):
	case !r.verdict.isShared: // also if KeepCrash has counted the crash before
		r.verdict.isShared = true
		r.verdict.since = now
		q.counts.Suspects++
		q.change(f, r)
	case isNew:
		q.change(f, r)
	}
}

// change marks a verdict as one that peers have to be told.
func (q *Quarantiner) change(f Fingerprint, r *record) {
	r.verdict.revision++
	q.changed[f] = true
}

// endTrialByCrash records that a crash ended the trial of a request.
func (q *Quarantiner) endTrialByCrash(now time.Time, f Fingerprint, place string) {
	r := q.activeRecord(now, f)
	if r == nil {
		return
	}
	q.holdAgainst(now, r, f, place)
	if r.target == place {
		r.target = ""
	}
	if slices.Contains(r.verdict.trialCrashes, place) {
		return
	}
	r.verdict.trialCrashes = append(r.verdict.trialCrashes, place)
	r.trialEndedAt = q.crashedAt[place]
	q.change(f, r)
}

// BeginTrial permits, at the examiner, a run of a request at a place until a deadline. A
// request that is no suspect needs no permit and is not recorded. The error is ErrConvicted,
// or ErrWait if the suspect runs elsewhere or another one runs there.
func (q *Quarantiner) BeginTrial(now time.Time, f Fingerprint, place Place, deadline time.Time) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, f)
	switch {
	case r == nil || !q.isSuspect(r):
		return nil
	case q.isConvicted(now, r):
		return q.convictedError(now, r)
	case q.hasValidClaim(now, r) || q.hasOtherSuspect(now, place.String(), f):
		return ErrWait
	}
	r.target, r.claimDeadline = place.String(), deadline
	return nil
}

// EndTrial records, at the examiner, that a trial is over and did not crash its target. If the
// request was answered whole, nothing is held against it any more.
func (q *Quarantiner) EndTrial(now time.Time, f Fingerprint, place Place, isAnswered bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, f)
	if r == nil {
		return
	}
	name := place.String()
	if r.target == name {
		r.target = ""
	}
	if a := q.attributions[name]; a.fingerprint == f && a.isTrial {
		delete(q.attributions, name) // the trial ended before its target, or never began
	}
	if isAnswered {
		q.refute(now, f, r)
	}
}

// Refute records, at the examiner, that a request was answered whole: it does not crash its
// targets, whatever is held against it.
func (q *Quarantiner) Refute(now time.Time, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.activeRecord(now, f); r != nil {
		q.refute(now, f, r)
	}
}

func (q *Quarantiner) refute(now time.Time, f Fingerprint, r *record) {
	if len(r.crashes) == 0 {
		return
	}
	if !r.verdict.isShared {
		q.remove(f)
		return
	}
	if q.isConvicted(now, r) {
		q.counts.TakenBack++
	}
	r.clearCrashes(r.crashes)
	r.verdict.trialCrashes, r.verdict.convictedUntil, r.trialEndedAt = nil, time.Time{}, time.Time{}
	r.target = ""
	r.deadline = now.Add(refutedTTL)
	q.change(f, r)
}

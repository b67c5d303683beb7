package quarantiner

import (
	"slices"
	"time"
)

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

package quarantiner

import (
	"slices"
	"time"
)

// maxSharedCrashes bounds the crashes that a verdict names: copies of a request that are sent at the
// same moment can crash more targets.
const maxSharedCrashes = 64

// Verdict is what an examiner tells its peers of a trait that is or was a suspect.
type Verdict struct {
	Trait Trait
	// Revision is higher in a later verdict.
	Revision int64
	// Crashes holds the places that are held against the trait; none if it was cleared.
	Crashes []string
	// Begun holds those of them at which the answer to a lost request had begun.
	Begun []string
	// FirstCrash is when the first of them ended, as far as the examiner knows.
	FirstCrash time.Time
	// TrialCrashes holds those of them that ended a trial.
	TrialCrashes []string
	// Since is when the trait was convicted, or else when it became a suspect.
	Since time.Time
	// ConvictedUntil is zero if the trait is not convicted.
	ConvictedUntil time.Time
	// Tied holds the traits that were convicted together with it: only requests that bear all are
	// refused.
	Tied []Trait
	// Deadline is when the verdict ends.
	Deadline time.Time
}

// Changes returns the verdicts that have changed since the last call.
func (q *Quarantiner) Changes(now time.Time) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]Verdict, 0, len(q.changed))
	for t := range q.changed {
		if r := q.activeRecord(now, t); r != nil {
			out = append(out, q.share(t, r))
		}
	}
	clear(q.changed)
	return out
}

// Shared returns all verdicts, for an instance that has missed some.
func (q *Quarantiner) Shared(now time.Time) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := []Verdict{}
	for t, r := range q.records {
		if r.verdict.isShared && now.Before(r.deadline) {
			out = append(out, q.share(t, r))
		}
	}
	return out
}

// VerdictsOn returns the verdicts on some traits.
func (q *Quarantiner) VerdictsOn(now time.Time, traits []Trait) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := []Verdict{}
	for _, t := range traits {
		if r := q.activeRecord(now, t); r != nil && r.verdict.isShared {
			out = append(out, q.share(t, r))
		}
	}
	return out
}

func (q *Quarantiner) share(t Trait, r *record) Verdict {
	v := r.verdict
	return Verdict{
		Trait: t, Revision: v.revision, FirstCrash: q.firstCrash(r),
		Crashes:      r.crashes[:min(len(r.crashes), maxSharedCrashes)],
		Begun:        r.begun[:min(len(r.begun), maxSharedCrashes)],
		TrialCrashes: v.trialCrashes[max(len(v.trialCrashes)-maxSharedCrashes, 0):],
		Since:        v.since, Tied: v.tied, ConvictedUntil: v.convictedUntil, Deadline: r.deadline,
	}
}

// firstCrash returns when the first crash of a record was reported here, or that it became a suspect.
func (q *Quarantiner) firstCrash(r *record) time.Time {
	first := r.verdict.since
	for _, place := range r.crashes {
		if at, known := q.crashedAt[place]; known {
			first = earlier(first, at)
		}
	}
	return first
}

// Name returns what the verdict says at a time: Suspect, Convicted or Cleared.
func (v Verdict) Name(now time.Time) string {
	switch {
	case now.Before(v.ConvictedUntil):
		return stateConvicted
	case len(v.Crashes) >= trialRules.suspectCrashes:
		return stateSuspect
	default:
		return stateCleared
	}
}

// MergeShared adds verdicts that an examiner has reached, and returns those that are new. A
// verdict that is not later than the known one is ignored; see goesBefore.
func (q *Quarantiner) MergeShared(now time.Time, verdicts []Verdict) (added []Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range verdicts {
		isValid := now.Before(v.Deadline) && max(len(v.Crashes), len(v.Begun), len(v.TrialCrashes), len(v.Tied)) <= maxSharedCrashes
		if isValid && q.mergeShared(now, v) {
			added = append(added, v)
		}
	}
	return added
}

// mergeShared adds a verdict and reports whether it is new.
func (q *Quarantiner) mergeShared(now time.Time, v Verdict) bool {
	r := q.activeRecord(now, v.Trait)
	if r != nil && r.verdict.isShared && !q.goesBefore(now, v, r) {
		return false
	}
	r = q.makeRecord(now, v.Trait, q.instance, 0)
	if len(v.Crashes) == 0 {
		r.clearCrashes(r.crashes)
	}
	r.crashes = slices.Sorted(slices.Values(v.Crashes))
	r.begun = slices.Sorted(slices.Values(v.Begun))
	r.deadline = earlier(v.Deadline, now.Add(trialConvictionTTL+suspectTTL))
	r.trialEndedAt = time.Time{}
	r.verdict = sharedVerdict{
		isShared: true, revision: v.Revision, trialCrashes: v.TrialCrashes, since: v.Since, tied: v.Tied,
		convictedUntil: earlier(v.ConvictedUntil, now.Add(trialConvictionTTL)),
	}
	return true
}

// goesBefore reports whether a verdict replaces that of a record: it is later, or of two that
// different examiners have reached at the same time the one that convicts, or else the one that
// clears.
func (q *Quarantiner) goesBefore(now time.Time, v Verdict, r *record) bool {
	isConvicted := now.Before(v.ConvictedUntil)
	switch {
	case v.Revision != r.verdict.revision:
		return v.Revision > r.verdict.revision
	case isConvicted != q.isConvicted(now, r):
		return isConvicted
	default:
		return len(v.Crashes) < q.rules.suspectCrashes && q.isSuspect(r)
	}
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

// Digest identifies the verdicts that an instance knows; 0 if it knows none.
func (q *Quarantiner) Digest(now time.Time) int64 {
	q.mu.Lock()
	defer q.mu.Unlock()
	digest := uint64(0)
	for t, r := range q.records {
		if r.verdict.isShared && now.Before(r.deadline) {
			digest ^= t.digest(r.verdict.revision, q.isSuspect(r), q.isConvicted(now, r))
		}
	}
	return int64(digest >> 1)
}

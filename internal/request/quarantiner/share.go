package quarantiner

import (
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// maxSharedCrashes bounds the crashes that a verdict names: copies of a request that are sent at the
// same moment can crash more targets.
const maxSharedCrashes = 64

// Verdict is what an examiner tells its peers of a request that is or was a suspect.
type Verdict struct {
	Fingerprint Fingerprint
	// Revision is higher in a later verdict.
	Revision int64
	// Crashes holds the places that are held against the request; none if it was cleared.
	Crashes []string
	// TrialCrashes holds those of them that ended a trial.
	TrialCrashes []string
	// Since is when the request was convicted, or else when it became a suspect.
	Since time.Time
	// ConvictedUntil is zero if the request is not convicted.
	ConvictedUntil time.Time
	// Deadline is when the verdict ends.
	Deadline time.Time
}

// Changes returns the verdicts that have changed since the last call.
func (q *Quarantiner) Changes(now time.Time) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make([]Verdict, 0, len(q.changed))
	for f := range q.changed {
		if r := q.activeRecord(now, f); r != nil {
			out = append(out, r.share(f))
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
	for f, r := range q.records {
		if r.verdict.isShared && now.Before(r.deadline) {
			out = append(out, r.share(f))
		}
	}
	return out
}

// VerdictsOn returns the verdicts on some requests.
func (q *Quarantiner) VerdictsOn(now time.Time, requests []Fingerprint) []Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := []Verdict{}
	for _, f := range requests {
		if r := q.activeRecord(now, f); r != nil && r.verdict.isShared {
			out = append(out, r.share(f))
		}
	}
	return out
}

func (r *record) share(f Fingerprint) Verdict {
	v := r.verdict
	return Verdict{
		Fingerprint: f, Revision: v.revision,
		Crashes:      r.crashes[:min(len(r.crashes), maxSharedCrashes)],
		TrialCrashes: v.trialCrashes[max(len(v.trialCrashes)-maxSharedCrashes, 0):],
		Since:        v.since, ConvictedUntil: v.convictedUntil, Deadline: r.deadline,
	}
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
// verdict that is not later than the known one is ignored, unless it alone convicts.
func (q *Quarantiner) MergeShared(now time.Time, verdicts []Verdict) (added []Verdict) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range verdicts {
		isValid := now.Before(v.Deadline) && len(v.Crashes) <= maxSharedCrashes && len(v.TrialCrashes) <= maxSharedCrashes
		if isValid && q.mergeShared(now, v) {
			added = append(added, v)
		}
	}
	return added
}

// mergeShared adds a verdict and reports whether it is new.
func (q *Quarantiner) mergeShared(now time.Time, v Verdict) bool {
	r := q.activeRecord(now, v.Fingerprint)
	if r != nil && r.verdict.isShared {
		alone := v.Revision == r.verdict.revision && now.Before(v.ConvictedUntil) && !q.isConvicted(now, r)
		if v.Revision <= r.verdict.revision && !alone {
			return false
		}
	}
	r = q.makeRecord(now, v.Fingerprint, q.instance, 0)
	if len(v.Crashes) == 0 {
		r.clearCrashes(r.crashes)
	}
	r.crashes = slices.Sorted(slices.Values(v.Crashes))
	r.deadline = earlier(v.Deadline, now.Add(trialConvictionTTL+suspectTTL))
	r.trialEndedAt = time.Time{}
	r.verdict = sharedVerdict{
		isShared: true, revision: v.Revision, trialCrashes: v.TrialCrashes, since: v.Since,
		convictedUntil: earlier(v.ConvictedUntil, now.Add(trialConvictionTTL)),
	}
	return true
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
	for f, r := range q.records {
		if r.verdict.isShared && now.Before(r.deadline) {
			text := binary.BigEndian.AppendUint64(f[:], uint64(r.verdict.revision))
			digest ^= xxhash.Sum64(text)
		}
	}
	return int64(digest >> 1)
}

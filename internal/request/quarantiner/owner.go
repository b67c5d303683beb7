package quarantiner

import (
	"slices"
	"time"
)

// Check reports whether a request is a suspect. The error is ErrConvicted or
// ErrElsewhere if it must not run here, or ErrWait if that is about to be decided.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) (suspect bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, ContentTrait(f))
	switch {
	case r == nil || !q.isSuspect(r):
		return false, nil
	case q.isConvicted(now, r):
		return true, q.convictedError(now, ContentTrait(f), r)
	case !q.rules.hasTrials && r.owner != q.instance && q.alive(r.owner):
		return true, ErrElsewhere
	}
	return true, nil
}

// Begin claims a target for a request. The error is ErrWait if another suspect runs
// on the target or another copy of this suspect runs. If shared is set, a request
// that is no suspect may share the target with one.
func (q *Quarantiner) Begin(now time.Time, target string, f Fingerprint, shared bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, ContentTrait(f))
	isSuspect := r != nil && q.isSuspect(r)
	if (isSuspect || !shared) && q.hasOtherSuspect(now, target, ContentTrait(f)) {
		return ErrWait
	}
	if !isSuspect {
		return nil
	}
	if r.target != "" && r.owner == q.instance {
		return ErrWait
	}
	if r.owner != q.instance {
		r.owner = q.instance
		r.term++
	}
	r.target = target
	return nil
}

// Confirm returns nil if a suspect that was claimed and announced may run, that is,
// if no peer has claimed the suspect or its target with precedence. Of two
// concurrent claims, that of the lower instance ID has precedence. Otherwise the
// claim is released and the error is ErrConvicted, ErrElsewhere or ErrWait.
func (q *Quarantiner) Confirm(now time.Time, f Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, ContentTrait(f))
	switch {
	case r == nil || !q.isSuspect(r):
		return nil
	case r.owner != q.instance:
		return ErrElsewhere
	case q.isConvicted(now, r):
		r.target = ""
		return ErrConvicted
	}
	for other, o := range q.records {
		if other != ContentTrait(f) && o.target == r.target && o.owner < q.instance && q.hasValidClaim(now, o) {
			r.target = ""
			return ErrWait
		}
	}
	return nil
}

// Crashed records that a place crashed while a request ran on it, and reports
// whether the request is now convicted. It must be called before End. If a suspect ran
// on the target, the crash is attributed to the suspect alone.
func (q *Quarantiner) Crashed(now time.Time, place Place, f Fingerprint) (convicted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	if suspects := q.attribute(now, place).traits; len(suspects) > 0 && !slices.Contains(suspects, ContentTrait(f)) {
		return false
	}
	r := q.makeRecord(now, ContentTrait(f), q.instance, 0)
	q.countCrash(now, r, name)
	return q.isConvicted(now, r)
}

// End records that a request no longer runs on a target.
func (q *Quarantiner) End(target string, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[ContentTrait(f)]; r != nil && r.owner == q.instance && r.target == target {
		r.target = ""
	}
}

// Clear records that a suspect got past the point of its crash.
func (q *Quarantiner) Clear(now time.Time, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, ContentTrait(f))
	if r == nil || q.isConvicted(now, r) || r.owner != q.instance {
		return
	}
	if !q.isSuspect(r) {
		return
	}
	r.clearCrashes(r.crashes)
	r.target = ""
	r.deadline = now.Add(clearedTTL)
}

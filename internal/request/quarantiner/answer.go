package quarantiner

import (
	"slices"
	"time"
)

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
	cleared := slices.DeleteFunc(slices.Clone(r.crashes), func(place string) bool { return !q.crashedAt[place].Before(until) })
	if len(cleared) == len(r.crashes) {
		q.refute(now, t, r)
		return
	}
	if len(cleared) == 0 {
		return
	}
	r.clearCrashes(cleared)
	if q.isConvicted(now, r) && len(r.crashes) < q.rules.convictingCrashes {
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

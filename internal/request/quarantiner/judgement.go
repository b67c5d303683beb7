package quarantiner

import (
	"slices"
	"time"
)

// judgeRecentTrials judges each trait whose trial a crash has just ended. A later report can
// change the judgement within doubtWindow.
func (q *Quarantiner) judgeRecentTrials(now time.Time) {
	for t, r := range q.records {
		if now.Sub(r.trialEndedAt) <= doubtWindow {
			q.judge(now, t, r)
		}
	}
}

// judge convicts a trait whose trial a crash has ended, or takes the conviction back.
func (q *Quarantiner) judge(now time.Time, t Trait, r *record) {
	v := &r.verdict
	tied := q.tiedWith(now, t, r)
	isDue := q.isHeld(now, t, r) && q.isProven(t, r) && !q.isOutranked(now, t, r, tied)
	switch isConvicted := q.isConvicted(now, r); {
	case isDue && isConvicted:
		if len(tied) < len(v.tied) {
			v.tied = tied
			q.change(t, r)
		}
	case isDue:
		v.since, v.convictedUntil, v.tied = now, now.Add(trialConvictionTTL), tied
		r.extend(v.convictedUntil.Add(suspectTTL))
		q.counts.Convictions++
		q.change(t, r)
		q.explainCrashes(now, t, r)
	case isConvicted:
		q.takeBack(t, r)
	}
}

// isProven reports whether the crashes of a trait, and the trials that they have ended, show that it
// is the cause.
func (q *Quarantiner) isProven(t Trait, r *record) bool {
	crashes, enoughTrials := q.rules.convictingCrashes, enoughTrialCrashes
	if len(r.begun) > 0 {
		crashes, enoughTrials = begunConvictingCrashes, enoughBegunTrialCrashes
	}
	trials := len(r.verdict.trialCrashes)
	switch {
	case trials == 0 || len(r.crashes) < crashes:
		return false
	case trials >= enoughTrials:
		return true
	case t.isShared() && (q.isOutnumbered(r) || trials < answeredTrialCrashes && q.wasAnswered(t)):
		return false
	default:
		return !q.isDoubtful(t, r)
	}
}

// wasAnswered reports whether it is known here that requests with a shared trait were answered whole.
func (q *Quarantiner) wasAnswered(t Trait) bool {
	_, known := q.traffic.lastAnswer(t)
	return known
}

// isOutnumbered reports whether more targets have ended since the first crash of a record, for which
// nothing is convicted, than those that it explains: its trait may have been there by chance. If an
// answer had begun where one ended, any other end counts.
func (q *Quarantiner) isOutnumbered(r *record) bool {
	first := q.firstCrash(r)
	others := 0
	for place, at := range q.crashedAt {
		a, known := q.attributions[place]
		isExplained := contains(r.crashes, place) || known && !a.isTrial
		if !isExplained && !at.Before(first) {
			others++
		}
	}
	if len(r.begun) > 0 {
		return others > 0
	}
	return others > len(r.crashes)
}

// isDoubtful reports whether the last crash that ended a trial of a trait may have another cause: a
// target on which no request with the trait ran ended at the same moment, or a suspect ran beside it.
// Beside a shared trait, which many requests bear, one counts that explains as much.
func (q *Quarantiner) isDoubtful(t Trait, r *record) bool {
	for place, at := range q.crashedAt {
		isNear := at.Sub(r.trialEndedAt).Abs() <= doubtWindow
		_, hasCause := q.attributions[place]
		if isNear && !hasCause && !contains(r.crashes, place) {
			return true
		}
	}
	last := r.lastTrialCrash()
	for other, o := range q.records {
		isBeside := other != t && contains(o.crashes, last) && !slices.Contains(o.verdict.trialCrashes, last)
		explainsAsMuch := len(o.crashes) >= len(r.crashes) && o.compare(r) >= 0
		if isBeside && q.isSuspect(o) && (!t.isShared() || explainsAsMuch) {
			return true
		}
	}
	return false
}

// isOutranked reports whether another trait of the same run explains more than one whose trial a
// crash has ended, or as much by fewer requests. Two that explain as much may come apart in a
// further trial; after some of them both are taken for the cause. One that is not held back, as most
// requests bear it, does not count.
func (q *Quarantiner) isOutranked(now time.Time, t Trait, r *record, tied []Trait) bool {
	for other, o := range q.records {
		if other == t || !o.sharesTrial(r) || !q.isHeld(now, other, o) {
			continue
		}
		if q.outranks(other, o, t, r) {
			return true
		}
	}
	return len(r.verdict.trialCrashes) < tiedTrialCrashes && len(tied) > 0
}

// outranks reports whether a trait explains more than another one of the same run. A content that
// was lost more than once goes before a shared trait that explains hardly more: what else the
// latter was lost by may be chance.
func (q *Quarantiner) outranks(t Trait, r *record, other Trait, o *record) bool {
	switch {
	case t.isShared() == other.isShared():
		return r.compare(o) > 0
	case t.isShared():
		return !q.outranks(other, o, t, r)
	case len(r.crashes) > 1:
		return q.lead(o, r) <= maxChanceLead
	default:
		return r.compare(o) >= 0
	}
}

// lead returns the number of crashes that a record explains, another one of the same run does not,
// and no suspect of other runs that explains further ones.
func (q *Quarantiner) lead(r, other *record) int {
	lead := 0
	for _, place := range r.crashes {
		if !contains(other.crashes, place) && !q.isExplainedElsewhere(place, r) {
			lead++
		}
	}
	return lead
}

// isExplainedElsewhere reports whether a suspect was lost at a place that was lost where the trait of
// a record was not.
func (q *Quarantiner) isExplainedElsewhere(place string, r *record) bool {
	for _, o := range q.records {
		isWider := slices.ContainsFunc(o.crashes, func(other string) bool { return !contains(r.crashes, other) })
		if o != r && q.isSuspect(o) && contains(o.crashes, place) && isWider {
			return true
		}
	}
	return false
}

// tiedWith returns the traits of the same run that explain as much as one whose trial a crash has
// ended, by as many requests.
func (q *Quarantiner) tiedWith(now time.Time, t Trait, r *record) []Trait {
	tied := []Trait{}
	for other, o := range q.records {
		isRival := other != t && o.sharesTrial(r) && q.isHeld(now, other, o)
		if isRival && o.compare(r) == 0 && other.isShared() == t.isShared() {
			tied = append(tied, other)
		}
	}
	return tied
}

// explainCrashes clears all others of the crashes of a trait that is convicted. What the same run
// bore and explains as much stays a suspect, unless fewer requests bear it.
func (q *Quarantiner) explainCrashes(now time.Time, cause Trait, convicted *record) {
	a := attribution{traits: []Trait{cause}, deadline: now.Add(suspectTTL)}
	for _, place := range convicted.crashes {
		if _, known := q.attributions[place]; !known {
			q.attributions[place] = a
		}
	}
	q.clearOthers(convicted.crashes, func(t Trait, r *record) bool {
		isNarrower := cause.isShared() && !t.isShared()
		explainsAsMuch := convicted.sharesTrial(r) && r.compare(convicted) >= 0 && !isNarrower
		return t == cause || explainsAsMuch || !a.explains(t)
	})
}

// clearOthers clears all traits of the crashes of places, but for some that are kept.
func (q *Quarantiner) clearOthers(places []string, isKept func(t Trait, r *record) bool) {
	for t, r := range q.records {
		if isKept(t, r) {
			continue
		}
		before := len(r.crashes)
		r.clearCrashes(places)
		if len(r.crashes) == before {
			continue
		}
		if len(r.crashes) < q.rules.convictingCrashes && !r.verdict.convictedUntil.IsZero() {
			q.takeBack(t, r)
		}
		if r.verdict.isShared {
			q.change(t, r)
		}
	}
}

// takeBack ends a conviction before its time.
func (q *Quarantiner) takeBack(t Trait, r *record) {
	r.verdict.convictedUntil, r.verdict.tied = time.Time{}, nil
	q.counts.TakenBack++
	q.change(t, r)
}

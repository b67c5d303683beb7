package quarantiner

import "time"

// judgeRecentTrials judges each request whose trial a crash has just ended. A later report can
// change the judgement within doubtWindow.
func (q *Quarantiner) judgeRecentTrials(now time.Time) {
	for f, r := range q.records {
		if now.Sub(r.trialEndedAt) <= doubtWindow {
			q.judge(now, f, r)
		}
	}
}

// judge convicts a request whose trial a crash has ended, or takes the conviction back.
func (q *Quarantiner) judge(now time.Time, f Fingerprint, r *record) {
	v := &r.verdict
	isProven := len(v.trialCrashes) >= maxTrialCrashes || !q.isDoubtful(f, r)
	isDue := len(r.crashes) >= q.rules.convictingCrashes && isProven
	switch isConvicted := q.isConvicted(now, r); {
	case isDue && !isConvicted:
		v.since, v.convictedUntil = now, now.Add(trialConvictionTTL)
		r.extend(v.convictedUntil.Add(suspectTTL))
		q.counts.Convictions++
		q.change(f, r)
		q.explainCrashes(now, f, r)
	case !isDue && isConvicted:
		v.convictedUntil = time.Time{}
		q.counts.TakenBack++
		q.change(f, r)
	}
}

// isDoubtful reports whether the last crash that ended a trial of a request may have another
// cause: a target on which the request did not run ended at the same moment, or another suspect
// ran beside it.
func (q *Quarantiner) isDoubtful(f Fingerprint, r *record) bool {
	for place, at := range q.crashedAt {
		isNear := at.Sub(r.trialEndedAt).Abs() <= doubtWindow
		_, hasCause := q.attributions[place]
		if isNear && !hasCause && !contains(r.crashes, place) {
			return true
		}
	}
	last := r.verdict.trialCrashes[len(r.verdict.trialCrashes)-1]
	for other, o := range q.records {
		if other != f && q.isSuspect(o) && contains(o.crashes, last) {
			return true
		}
	}
	return false
}

// explainCrashes clears all other requests of the crashes of one that is convicted.
func (q *Quarantiner) explainCrashes(now time.Time, cause Fingerprint, convicted *record) {
	for _, place := range convicted.crashes {
		if _, known := q.attributions[place]; !known {
			q.attributions[place] = attribution{fingerprint: cause, deadline: now.Add(suspectTTL)}
		}
	}
	for f, r := range q.records {
		if f == cause {
			continue
		}
		before := len(r.crashes)
		r.clearCrashes(convicted.crashes)
		if len(r.crashes) != before && r.verdict.isShared {
			q.change(f, r)
		}
	}
}

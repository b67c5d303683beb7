package quarantiner

import (
	"slices"
	"strconv"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// States of a verdict.
const (
	stateSuspect   = "Suspect"
	stateConvicted = "Convicted"
	stateCleared   = "Cleared"
)

const (
	fingerprintBase = 16
	// mostConvicted bounds the heartbeat, which carries all verdicts each time.
	mostConvicted = 64
)

// Verdicts returns what this instance tells its peers: its own suspects, those
// that it cleared a moment ago, and the latest that are convicted.
func (q *Quarantiner) Verdicts(now time.Time) []messenger.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	list, convicted := []messenger.Verdict{}, []messenger.Verdict{}
	for f, r := range q.records {
		switch {
		case !now.Before(r.deadline):
		case r.isConvicted():
			convicted = append(convicted, verdictOf(f, r))
		case r.owner == q.instance:
			list = append(list, verdictOf(f, r))
		}
	}
	slices.SortFunc(convicted, func(a, b messenger.Verdict) int { return b.Deadline.Compare(a.Deadline) })
	return append(list, convicted[:min(mostConvicted, len(convicted))]...)
}

func verdictOf(f Fingerprint, r *record) messenger.Verdict {
	v := messenger.Verdict{
		Fingerprint: strconv.FormatUint(uint64(f), fingerprintBase), Deadline: r.deadline,
		Crashes: len(r.crashes), Places: slices.Clone(r.crashes), Owner: r.owner, Term: r.term, Target: r.target,
	}
	switch {
	case r.isConvicted():
		v.State = stateConvicted
	case r.isSuspect():
		v.State = stateSuspect
	default:
		v.State = stateCleared
		v.Places = slices.Clone(r.forgiven)
	}
	return v
}

// Merge takes over the verdicts of a peer. Crashes add up by place, so that one
// crash that several instances saw counts once. Verdicts that are not well
// formed are passed over.
func (q *Quarantiner) Merge(verdicts []messenger.Verdict, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range verdicts {
		f, err := strconv.ParseUint(v.Fingerprint, fingerprintBase, 64)
		if err != nil || v.Owner == "" || !now.Before(v.Deadline) {
			continue
		}
		q.merge(Fingerprint(f), v, now)
	}
}

func (q *Quarantiner) merge(f Fingerprint, v messenger.Verdict, now time.Time) {
	r := q.find(now, f)
	if r == nil {
		q.prune(now)
		r = &record{owner: v.Owner, term: v.Term}
		q.records[f] = r
	}
	isOlder := v.Term < r.term || v.Term == r.term && v.Owner > r.owner
	if !isOlder && (r.owner != v.Owner || v.Owner != q.instance) {
		r.owner = v.Owner
		r.term = v.Term
		r.target = v.Target
	}
	if v.State == stateCleared {
		r.forgive(v.Places)
		if !r.isSuspect() {
			r.deadline = v.Deadline
		}
	} else {
		wasSuspect := r.isSuspect()
		for _, place := range v.Places {
			if wasSuspect && !slices.Contains(r.crashes, place) {
				// It ran apart there, so that no other one is to blame.
				q.blamed[place] = blame{fingerprint: f, deadline: now.Add(suspicion)}
			}
			r.add(place, now)
		}
	}
	// A peer's clock does not lengthen what this instance would hold against f.
	if latest := now.Add(conviction); v.Deadline.After(r.deadline) {
		r.deadline = v.Deadline
		if r.deadline.After(latest) {
			r.deadline = latest
		}
	}
}

package quarantiner

import (
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// States of a verdict in messages between peers.
const (
	stateSuspect   = "Suspect"
	stateConvicted = "Convicted"
	stateCleared   = "Cleared"
)

// maxConvicted bounds the size of the heartbeat, each of which contains all verdicts.
const maxConvicted = 64

// Verdicts returns the verdicts that this instance sends to its peers: the suspects
// that it owns, those that it cleared within clearedTTL, and the convicted requests
// with the latest deadlines.
func (q *Quarantiner) Verdicts(now time.Time) []messenger.Verdict {
	q.mu.Lock()
	defer q.mu.Unlock()
	verdicts, convicted := []messenger.Verdict{}, []messenger.Verdict{}
	for t, r := range q.records {
		switch {
		case !now.Before(r.deadline):
		case q.isConvicted(now, r):
			convicted = append(convicted, q.verdictOf(now, t.Fingerprint, r))
		case r.owner == q.instance:
			verdicts = append(verdicts, q.verdictOf(now, t.Fingerprint, r))
		}
	}
	slices.SortFunc(convicted, func(a, b messenger.Verdict) int { return b.Deadline.Compare(a.Deadline) })
	return append(verdicts, convicted[:min(maxConvicted, len(convicted))]...)
}

func (q *Quarantiner) verdictOf(now time.Time, f Fingerprint, r *record) messenger.Verdict {
	v := messenger.Verdict{
		Fingerprint: f.String(), Deadline: r.deadline,
		Crashes: len(r.crashes), Places: slices.Clone(r.crashes), Owner: r.owner, Term: r.term, Target: r.target,
	}
	switch {
	case q.isConvicted(now, r):
		v.State = stateConvicted
	case q.isSuspect(r):
		v.State = stateSuspect
	default:
		v.State = stateCleared
		v.Places = slices.Clone(r.clearedCrashes)
	}
	return v
}

// Merge adds the verdicts of a peer. Crashes are merged by place, so that a crash
// that several instances saw counts once. Malformed and expired verdicts are ignored.
func (q *Quarantiner) Merge(verdicts []messenger.Verdict, now time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	for _, v := range verdicts {
		f, ok := ParseFingerprint(v.Fingerprint)
		if !ok || v.Owner == "" || !now.Before(v.Deadline) {
			continue
		}
		q.merge(f, v, now)
	}
}

func (q *Quarantiner) merge(f Fingerprint, v messenger.Verdict, now time.Time) {
	t := ContentTrait(f)
	r := q.makeRecord(now, t, v.Owner, v.Term)
	isOlder := v.Term < r.term || v.Term == r.term && v.Owner > r.owner
	if !isOlder && (r.owner != v.Owner || v.Owner != q.instance) {
		r.owner = v.Owner
		r.term = v.Term
		r.target = v.Target
	}
	if v.State == stateCleared {
		r.clearCrashes(v.Places)
		if !q.isSuspect(r) {
			r.deadline = v.Deadline
		}
	} else {
		wasSuspect := q.isSuspect(r)
		for _, place := range v.Places {
			if wasSuspect && !contains(r.crashes, place) {
				// A suspect runs with no other suspect on its target, so the crash is
				// attributed to it alone.
				q.attributions[place] = attribution{traits: []Trait{t}, deadline: now.Add(suspectTTL)}
			}
			q.countCrash(now, r, place)
		}
	}
	// The deadline is bounded, so that a peer whose clock is ahead cannot extend it
	// beyond that of a conviction by this instance now.
	if latest := now.Add(convictionTTL); v.Deadline.After(r.deadline) {
		r.deadline = v.Deadline
		if r.deadline.After(latest) {
			r.deadline = latest
		}
	}
}

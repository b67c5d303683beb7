package quarantiner_test

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// simInstance is an instance with its real quarantiner.
type simInstance struct {
	number int
	isUp   bool
	q      *quarantiner.Quarantiner
	// starts counts its incarnations.
	starts int
	// isCut is set while it reaches no other instance, and healedAt is when it last did again.
	isCut    bool
	healedAt time.Time
	// knowsPeers is set once it has read the verdicts of a peer, or if it was there from the start.
	knowsPeers bool
	// reports holds what it has to tell examiners.
	reports []*simReport
}

type simReport struct {
	at       time.Time
	place    quarantiner.Place
	losses   []quarantiner.Loss
	informed map[[2]int]bool // by instance and incarnation
}

func (r *simReport) traits() []quarantiner.Trait {
	out := []quarantiner.Trait{}
	for _, l := range r.losses {
		out = append(out, l.Trait)
	}
	return out
}

func (s *simulation) startInstance(i *simInstance) {
	i.isUp = true
	i.starts++
	i.q = quarantiner.New(fmt.Sprintf("i%d", i.number), quarantiner.WithTrials())
	i.reports, i.knowsPeers = nil, false
	starts := i.starts
	s.After(simStart, func() {
		peers := slices.DeleteFunc(slices.Clone(s.instances), func(p *simInstance) bool { return p == i || !p.isUp })
		if i.starts == starts && len(peers) > 0 {
			s.merge(i, peers[s.random.IntN(len(peers))].q.Shared(s.Now()))
			i.knowsPeers = true
		}
	})
}

// merge adds verdicts to what an instance knows, which objects to those that its answers refute.
func (s *simulation) merge(i *simInstance, verdicts []quarantiner.Verdict) {
	for _, objection := range i.q.Objections(s.Now(), i.q.MergeShared(s.Now(), verdicts)) {
		s.tellAnswer(i, []quarantiner.Trait{objection.Trait}, objection.At)
	}
}

// tellAnswer tells the examiner that a request with some traits was answered whole at a time.
func (s *simulation) tellAnswer(from *simInstance, traits []quarantiner.Trait, at time.Time) {
	examiner := s.examiners(from)[0]
	s.After(simHop, func() {
		if examiner.isUp {
			examiner.q.NoteAnswer(s.Now(), traits, at)
			s.spread(examiner)
		}
	})
}

// examiners returns the instances that examine as an instance sees it, the examiner first.
func (s *simulation) examiners(of *simInstance) []*simInstance {
	out := []*simInstance{}
	for _, i := range s.instances {
		if i.isUp && reaches(of, i) && len(out) < 2 {
			out = append(out, i)
		}
	}
	return out
}

// reaches reports whether a message of an instance reaches another one.
func reaches(from, to *simInstance) bool { return from == to || !from.isCut && !to.isCut }

// spread tells all instances the verdicts that an examiner has reached.
func (s *simulation) spread(from *simInstance) {
	changes := from.q.Changes(s.Now())
	if len(changes) == 0 {
		return
	}
	for _, to := range s.instances {
		if to == from || !reaches(from, to) || s.random.Float64() < s.lossShare {
			continue
		}
		s.After(s.between(simHop, 2*simHop), func() {
			if to.isUp {
				s.merge(to, changes)
			}
		})
	}
}

// exchange makes each instance compare its verdicts with those of its peers, and pass its reports
// on to new examiners.
func (s *simulation) exchange() {
	for _, i := range s.instances {
		if !i.isUp {
			continue
		}
		for _, peer := range s.instances {
			if peer.isUp && reaches(i, peer) && i.q.Digest(s.Now()) != peer.q.Digest(s.Now()) {
				s.merge(i, peer.q.Shared(s.Now()))
			}
		}
		for _, r := range i.reports {
			s.tell(i, r)
		}
	}
}

// tell passes a report on to the examiners that have not received it.
func (s *simulation) tell(from *simInstance, r *simReport) {
	for n, e := range s.examiners(from) {
		key := [2]int{e.number, e.starts}
		if r.informed[key] {
			continue
		}
		r.informed[key] = true
		if n > 0 || s.Now().Sub(r.at) > simFresh {
			e.q.KeepCrash(s.Now(), r.place, r.losses)
			continue
		}
		traits := r.traits()
		s.merge(e, from.q.VerdictsOn(s.Now(), traits))
		e.q.ReportCrash(s.Now(), r.place, r.losses)
		s.merge(from, e.q.VerdictsOn(s.Now(), traits))
		s.spread(e)
	}
}

// isInTouch reports whether an instance must know what the others know.
func (s *simulation) isInTouch(i *simInstance) bool {
	return !i.isCut && s.Now().Sub(i.healedAt) > 2*simHeartbeat
}

package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// deniedBound is how many of some sound requests may be refused for good: the users' bound.
func deniedBound(sound int) int { return 5 + sound/500 }

// lateAfterThird returns the runs of a part that began later than 4 s after its third end.
func (p *simPart) lateAfterThird() int {
	if len(p.ends) < 3 {
		return 0
	}
	late := 0
	for _, at := range p.runs {
		if at.After(p.ends[2].Add(4 * time.Second)) {
			late++
		}
	}
	return late
}

// addCompany makes callers send requests with guilty parts beside one of a few rare sound parts, and
// sound requests with these parts: what ends targets is often seen in the company of the same part.
func (s *simulation) addCompany(p *prompts, guilty, rare int) []*simPart {
	parts := []*simPart{}
	for n := range rare {
		parts = append(parts, &simPart{name: fmt.Sprintf("rare%d", n)})
	}
	bad := []*simPart{}
	for n := range guilty {
		b := &simPart{name: fmt.Sprintf("guilty%d", n), endsTargets: true, isMidway: s.random.IntN(2) == 0}
		bad = append(bad, b)
		pause := s.between(300*time.Millisecond, 1200*time.Millisecond)
		var next func()
		next = func() {
			burst := 1
			if s.random.IntN(6) == 0 {
				burst = 3
			}
			for range burst {
				s.send(s.newPrompt(p.first, b, parts[s.random.IntN(len(parts))]), func(bool) {})
			}
			s.After(s.between(pause/2, 2*pause), next)
		}
		s.After(s.between(0, 2*time.Second), next)
	}
	// Sound requests with these parts may come late, or rarely: nothing speaks for the parts before.
	soundAfter, gap := s.between(0, 12*time.Second), s.between(30*time.Millisecond, 600*time.Millisecond)
	s.After(soundAfter, func() {
		s.Every(gap, func() { s.addPrompt(p.first, parts[s.random.IntN(len(parts))]) })
	})
	return bad
}

// TestCompanyOfGuiltyPartsIsNotConvicted guards against sound requests that are refused for good since
// they share a part with guilty ones: whatever ends a target is held against all that its requests bear.
func TestCompanyOfGuiltyPartsIsNotConvicted(t *testing.T) {
	worst, late, soundTotal, deniedTotal := 0, 0, 0, 0
	for seed := range uint64(historySeeds) {
		s := newSimulation(t, seed, 4, 12)
		p := s.addPartTraffic(40 * time.Millisecond)
		guilty := s.addCompany(p, 1+int(seed)%4, 1+s.random.IntN(3))
		if seed%3 == 0 {
			s.addKills(2 * time.Second)
		}
		s.play()
		denied, sound := 0, 0
		for _, c := range s.contents {
			if c.badPart() == nil {
				sound++
				denied += min(c.refusedForGood, 1)
			}
		}
		soundTotal += sound
		deniedTotal += denied
		worst = max(worst, denied)
		assert.LessOrEqual(t, denied, deniedBound(sound), "seed %d: sound requests refused for good of %d", seed, sound)
		for _, part := range guilty {
			late = max(late, part.lateAfterThird())
			assert.LessOrEqual(t, part.lateAfterThird(), maxRunsLate, "seed %d: late runs of %s, %d ends", seed, part.name, len(part.ends))
		}
	}
	t.Logf("%d of %d sound requests refused for good, %d in one history; at most %d late runs", deniedTotal, soundTotal, worst, late)
}

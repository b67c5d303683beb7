package quarantiner_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// addContent adds a content that a caller sends until it is answered, a few times for one that
// ends no targets, or again and again.
func (s *simulation) addContent(endsTargets bool, copies int) *simContent {
	c := &simContent{fingerprint: fingerprint(100 + len(s.contents)), endsTargets: endsTargets}
	s.contents = append(s.contents, c)
	var sendAgain func(left int)
	sendAgain = func(left int) {
		s.send(c, func(isAnswered bool) {
			if left > 0 && !isAnswered {
				s.After(s.between(20*time.Millisecond, 800*time.Millisecond), func() { sendAgain(left - 1) })
			}
		})
	}
	left := 6
	if endsTargets {
		left = 1000
	}
	for range copies {
		sendAgain(left)
	}
	return c
}

// addTraffic makes callers send contents that end no targets.
func (s *simulation) addTraffic() {
	s.Every(8*time.Millisecond, func() { s.addContent(false, 1) })
}

func (s *simulation) randomTargets(n int) []*simTarget {
	out := []*simTarget{}
	for _, at := range s.random.Perm(len(s.targets))[:n] {
		out = append(out, s.targets[at])
	}
	return out
}

// addKills kills one target now and then, and several at once.
func (s *simulation) addKills(meanGap time.Duration) {
	var next func()
	next = func() {
		n := 1
		if s.random.IntN(2) == 0 {
			n = 2 + s.random.IntN(len(s.targets)/3)
		}
		s.kill(s.randomTargets(n))
		s.After(s.between(meanGap/4, 2*meanGap), next)
	}
	s.After(meanGap, next)
}

// addRestarts ends the examiner now and then; it starts without a memory.
func (s *simulation) addRestarts(meanGap time.Duration) {
	s.Every(meanGap, func() {
		i := s.instances[0]
		i.isUp = false
		s.takeovers++
		s.takenOverAt = s.Now()
		s.After(s.between(100*time.Millisecond, time.Second), func() {
			s.startInstance(i)
			s.takenOverAt = s.Now()
		})
	})
}

// addCuts cuts one instance after the other off from the others for a while.
func (s *simulation) addCuts(meanGap time.Duration) {
	s.Every(meanGap, func() {
		i := s.instances[s.random.IntN(len(s.instances))]
		if i.isCut {
			return
		}
		i.isCut = true
		s.takeovers++
		s.takenOverAt = s.Now()
		s.After(s.between(200*time.Millisecond, 2*meanGap), func() {
			i.isCut, i.healedAt, s.takenOverAt = false, s.Now(), s.Now()
		})
	})
}

// assertStopped checks that what ends targets runs only by permit once all instances must know
// that it has ended two, and that few of these trials are permitted. A target that it ends while
// another such request is about to run there on trial is held against that one.
func (s *simulation) assertStopped(maxTrials int) {
	trials := 0
	for _, c := range s.contents {
		trials += c.trialsLost
	}
	for _, c := range s.contents {
		if c.endsTargets {
			require.Positive(s.t, c.targetsLost)
			assert.LessOrEqual(s.t, c.lateRuns, trials-c.trialsLost, "runs without a permit")
			assert.LessOrEqual(s.t, c.trialsLost, maxTrials, "trials")
		}
	}
}

// assertInnocentServed checks that no other content is refused for good, unless something else
// ended its trial and no other target at that time, or three of its trials.
func (s *simulation) assertInnocentServed() {
	for _, c := range s.contents {
		if !c.endsTargets && c.endedAlone == 0 && c.endedTrials < 3 {
			assert.Zero(s.t, c.refusedForGood, "requests refused that end no targets")
		}
	}
}

func (s *simulation) refusedInnocent() (refused, sends int) {
	for _, c := range s.contents {
		if !c.endsTargets {
			refused += c.refusedForGood
			sends += c.sends
		}
	}
	return refused, sends
}

const historySeeds = 40

// eachHistory plays a history for each seed.
func eachHistory(t *testing.T, play func(s *simulation)) {
	for seed := range uint64(historySeeds) {
		s := newSimulation(t, seed, 4, 12)
		s.addTraffic()
		play(s)
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestOnlyRequestsThatEndTargetsAreStopped checks both sides of the error in random histories:
// what ends targets is stopped within its bound, what does not is served.
func TestOnlyRequestsThatEndTargetsAreStopped(t *testing.T) {
	t.Run("sent again by one caller", func(t *testing.T) {
		eachHistory(t, func(s *simulation) {
			s.addContent(true, 1)
			s.play()
			s.assertStopped(1)
			s.assertInnocentServed()
		})
	})
	t.Run("in copies at the same moment, and several of them", func(t *testing.T) {
		eachHistory(t, func(s *simulation) {
			for range 3 {
				s.addContent(true, 1+s.random.IntN(5))
			}
			s.play()
			s.assertStopped(5) // one more for each of the two others
			s.assertInnocentServed()
		})
	})
	t.Run("while targets are killed, one or several at once", func(t *testing.T) {
		refused, sends := 0, 0
		eachHistory(t, func(s *simulation) {
			s.addKills(700 * time.Millisecond)
			s.addContent(true, 1+s.random.IntN(3))
			s.play()
			s.assertStopped(3)
			s.assertInnocentServed()
			r, n := s.refusedInnocent()
			refused, sends = refused+r, sends+n
		})
		t.Logf("%d of %d sends refused that end no targets", refused, sends)
		assert.LessOrEqual(t, refused, sends/500, "the users' bound on proper requests that are denied")
	})
	t.Run("while instances are cut off from one another", func(t *testing.T) {
		eachHistory(t, func(s *simulation) {
			s.addCuts(2 * time.Second)
			s.addContent(true, 1)
			s.play()
			require.Positive(t, s.takeovers)
			s.assertStopped(3 + s.takeovers) // each side has an examiner of its own
			s.assertInnocentServed()
		})
	})
	t.Run("while verdicts are lost and the examiner starts anew", func(t *testing.T) {
		eachHistory(t, func(s *simulation) {
			s.lossShare = 0.3
			s.spreadTime = simHeartbeat + 6*simHop
			s.addRestarts(1500 * time.Millisecond)
			s.addContent(true, 1)
			s.play()
			require.Positive(t, s.takeovers)
			s.assertStopped(3)
			s.assertInnocentServed()
		})
	})
}

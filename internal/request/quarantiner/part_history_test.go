package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

const (
	// simContact is how long instances may take to act on the fifth end, and maxRunsLate how many runs
	// may begin later: the users' bounds.
	simContact  = 3 * time.Second
	maxRunsLate = 3
	// maxEnds is how many targets a part ends: two until it is a suspect, three trials if it always
	// came with another one, and one more if that was chance.
	maxEnds = 2 + 3 + 1
	// maxDoubtfulEnds is how many targets a part ends that other targets end beside: two until it is a
	// suspect, one in the time for objections, and five trials.
	maxDoubtfulEnds = 2 + 1 + 5
	// sendsAtOnce is how many requests a caller with a bad part has under way at the same time.
	sendsAtOnce = 2
	// minPassed is the share of sound requests that nothing keeps back once the cause is known.
	minPassed = 0.95
)

// prompts holds the parts that sound requests bear: one that all share, and others.
type prompts struct {
	first     *simPart
	documents []*simPart
}

// addPartTraffic makes callers send requests that end no targets: all share the first part of their
// prompts, and each has one of some other parts. Low numbers are more frequent.
func (s *simulation) addPartTraffic(gap time.Duration) *prompts {
	p := &prompts{first: &simPart{name: "first"}}
	for n := range 30 {
		p.documents = append(p.documents, &simPart{name: fmt.Sprintf("document%d", n)})
	}
	s.Every(gap, func() {
		s.addPrompt(p.first, p.documents[s.random.IntN(1+s.random.IntN(len(p.documents)))])
	})
	s.Every(simHeartbeat/10, func() { s.assertNeverKeptBack(p.first) })
	return p
}

// addPrompt makes a caller send a request until it is answered, a few times.
func (s *simulation) addPrompt(parts ...*simPart) *simContent {
	c := s.newPrompt(parts...)
	var sendAgain func(left int)
	sendAgain = func(left int) {
		s.send(c, func(isAnswered bool) {
			if left > 0 && !isAnswered {
				s.After(s.between(20*time.Millisecond, 800*time.Millisecond), func() { sendAgain(left - 1) })
			}
		})
	}
	sendAgain(4)
	return c
}

func (s *simulation) newPrompt(parts ...*simPart) *simContent {
	c := &simContent{fingerprint: fingerprint(100 + len(s.contents)), parts: parts, sentAt: s.Now()}
	s.contents = append(s.contents, c)
	return c
}

// addBadPart makes callers send requests with a part that ends targets, no two alike, one after the
// other or several at once, and some of them once more.
func (s *simulation) addBadPart(p *prompts, name string, isMidway bool, callers int, pause time.Duration) *simPart {
	bad := &simPart{name: name, endsTargets: true, isMidway: isMidway}
	var next func()
	next = func() {
		c := s.newPrompt(p.first, bad, p.documents[s.random.IntN(len(p.documents))])
		s.send(c, func(bool) {
			s.After(s.between(pause/4, 2*pause), next)
			if s.random.IntN(4) == 0 {
				s.send(c, func(bool) {})
			}
		})
	}
	for range callers {
		s.After(s.between(0, pause), next)
	}
	return bad
}

// addBadContent makes a caller send one content again and again that ends targets, and whose parts
// sound requests share.
func (s *simulation) addBadContent(p *prompts) {
	c := s.newPrompt(p.first, p.documents[s.random.IntN(len(p.documents))])
	c.endsTargets = true
	var sendAgain func()
	sendAgain = func() {
		s.send(c, func(bool) { s.After(s.between(100*time.Millisecond, 500*time.Millisecond), sendAgain) })
	}
	s.After(s.between(0, 5*time.Second), sendAgain)
}

// assertNeverKeptBack checks that requests that share a part need no permit for it anywhere.
func (s *simulation) assertNeverKeptBack(part *simPart) {
	for _, i := range s.instances {
		isSuspect, err := i.q.CheckAll(s.Now(), []quarantiner.Trait{quarantiner.PartTrait("chat", part.name)})
		require.False(s.t, isSuspect || err != nil, "part %s is a suspect", part.name)
	}
}

// assertPartStopped checks how many targets ended under a part, and that hardly any run of it began
// later than simContact after the fifth end.
func (s *simulation) assertPartStopped(bad *simPart, maxEnds int) {
	require.NotEmpty(s.t, bad.ends)
	assert.LessOrEqual(s.t, len(bad.ends), maxEnds, "targets ended")
	if len(bad.ends) < 5 {
		return
	}
	late := 0
	for _, at := range bad.runs {
		if at.After(bad.ends[4].Add(simContact)) {
			late++
		}
	}
	assert.LessOrEqual(s.t, late, maxRunsLate, "runs after the fifth end")
}

// assertSoundPass checks that sound requests are not refused for good, and that hardly any is kept back
// once the bad parts are known.
func (s *simulation) assertSoundPass(maxRefused int, bad ...*simPart) {
	known := start
	for _, part := range bad {
		require.False(s.t, part.convictedAt.IsZero(), "never refused")
		if part.convictedAt.After(known) {
			known = part.convictedAt
		}
	}
	refused, kept, sent := 0, 0, 0
	for _, c := range s.contents {
		if c.badPart() != nil || len(c.parts) == 0 {
			continue
		}
		refused += c.refusedForGood
		if c.sentAt.After(known) {
			sent++
			kept += min(c.keptBack, 1)
		}
	}
	assert.LessOrEqual(s.t, refused, maxRefused, "sound requests refused for good")
	assert.LessOrEqual(s.t, float64(kept), (1-minPassed)*float64(sent), "of %d sound requests kept back", sent)
}

// eachPartHistory plays a history with prompts for each seed.
func eachPartHistory(t *testing.T, play func(s *simulation, p *prompts)) {
	for seed := range uint64(historySeeds) {
		s := newSimulation(t, seed, 4, 12)
		play(s, s.addPartTraffic(20*time.Millisecond))
		if t.Failed() {
			t.Fatalf("seed %d", seed)
		}
	}
}

// TestOnlyPartsThatEndTargetsAreStopped checks both sides of the error in random histories: requests
// with a part that ends targets are stopped within their bound, others pass.
func TestOnlyPartsThatEndTargetsAreStopped(t *testing.T) {
	for name, isMidway := range map[string]bool{"before the answer": false, "in its middle": true} {
		t.Run("by one caller, "+name, func(t *testing.T) {
			eachPartHistory(t, func(s *simulation, p *prompts) {
				bad := s.addBadPart(p, "bad", isMidway, 1, 400*time.Millisecond)
				s.play()
				s.assertPartStopped(bad, maxEnds)
				s.assertSoundPass(0, bad)
			})
		})
	}
	t.Run("by several callers at once, and two parts", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			one := s.addBadPart(p, "bad1", false, 3, 600*time.Millisecond)
			two := s.addBadPart(p, "bad2", s.random.IntN(2) == 0, 2, 800*time.Millisecond)
			s.play()
			s.assertPartStopped(one, 12)
			s.assertPartStopped(two, 12)
			s.assertSoundPass(0, one, two)
		})
	})
	t.Run("five ends within a second", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			bad := s.addBadPart(p, "bad", false, 10, time.Second)
			s.play()
			s.assertPartStopped(bad, 20)
			s.assertSoundPass(0, bad)
		})
	})
	t.Run("slowly, five ends within a minute", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			s.until = start.Add(time.Minute)
			bad := s.addBadPart(p, "bad", false, 1, 5*time.Second)
			s.play()
			s.assertPartStopped(bad, maxEnds)
		})
	})
	t.Run("while targets are killed, one or several at once", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			s.addKills(700 * time.Millisecond)
			callers := 1 + s.random.IntN(3)
			bad := s.addBadPart(p, "bad", s.random.IntN(2) == 0, callers, 400*time.Millisecond)
			s.play()
			s.assertPartStopped(bad, maxDoubtfulEnds+sendsAtOnce*callers)
		})
	})
	t.Run("beside one content that ends targets, and kills", func(t *testing.T) {
		refused, sends := 0, 0
		eachPartHistory(t, func(s *simulation, p *prompts) {
			s.addKills(1500 * time.Millisecond)
			s.addBadContent(p)
			bad := s.addBadPart(p, "bad", s.random.IntN(2) == 0, 1, 400*time.Millisecond)
			s.play()
			s.assertPartStopped(bad, maxDoubtfulEnds+sendsAtOnce)
			for _, c := range s.contents {
				if c.badPart() == nil && !c.endsTargets {
					refused += c.refusedForGood
					sends += c.sends
				}
			}
		})
		t.Logf("%d of %d sound sends refused for good", refused, sends)
		assert.LessOrEqual(t, refused, sends/500, "the users' bound on proper requests that are denied")
	})
	t.Run("while instances are cut off from one another", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			s.addCuts(2 * time.Second)
			bad := s.addBadPart(p, "bad", false, 1, 400*time.Millisecond)
			s.play()
			s.assertPartStopped(bad, maxEnds+s.takeovers)
		})
	})
	t.Run("while verdicts are lost and the examiner starts anew", func(t *testing.T) {
		eachPartHistory(t, func(s *simulation, p *prompts) {
			s.lossShare = 0.3
			s.addRestarts(1500 * time.Millisecond)
			bad := s.addBadPart(p, "bad", false, 1, 400*time.Millisecond)
			s.play()
			s.assertPartStopped(bad, maxEnds+s.takeovers)
		})
	})
}

// TestPartsAreNotBlamedForKills guards against sound requests that are refused since targets were
// killed, one or a rack of them, again and again.
func TestPartsAreNotBlamedForKills(t *testing.T) {
	refused, kept, sends := 0, 0, 0
	eachPartHistory(t, func(s *simulation, _ *prompts) {
		s.addKills(700 * time.Millisecond)
		s.play()
		for _, c := range s.contents {
			refused += c.refusedForGood
			kept += c.keptBack
			sends += c.sends
		}
	})
	t.Logf("%d of %d sends refused for good, %d need a permit", refused, sends, kept)
	assert.LessOrEqual(t, refused, sends/500, "the users' bound on proper requests that are denied")
}

package prober

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

// TestOneProbeServesAllRequestsLostTogether guards against as many probes as requests were lost.
func TestOneProbeServesAllRequestsLostTogether(t *testing.T) {
	probes := 0
	release := make(chan connector.Presence)
	p := New(func(_ string, _ time.Time, _ func()) connector.Presence {
		probes++
		return <-release
	})
	target := Incarnation{Target: "t1", StartMilliseconds: 1}
	first, second := p.Examine(target, "a"), p.Examine(target, "a")
	assert.NotEqual(t, connector.Absent, first.Presence())
	release <- connector.Absent
	<-first.Done
	<-second.Settled
	assert.Equal(t, connector.Absent, second.Presence())
	assert.Equal(t, connector.Absent, p.Examine(target, "a").Presence(), "an end is final")
	assert.Equal(t, 1, probes)
}

// TestTargetThatGoesOnIsExaminedAgain guards against an end that an earlier probe hides.
func TestTargetThatGoesOnIsExaminedAgain(t *testing.T) {
	answers := []connector.Presence{connector.Present, connector.Unknown, connector.Absent}
	p := New(func(_ string, _ time.Time, onOpen func()) connector.Presence {
		next := answers[0]
		answers = answers[1:]
		if next == connector.Present {
			onOpen()
		}
		return next
	})
	target := Incarnation{Target: "t1", StartMilliseconds: 1}
	for _, want := range answers {
		e := p.Examine(target, "a")
		<-e.Done
		assert.Equal(t, want, e.Presence())
	}
	other := p.Examine(Incarnation{Target: "t1", StartMilliseconds: 1}, "a")
	assert.Equal(t, connector.Absent, other.Presence())
	p.now = func() time.Time { return time.Now().Add(2 * endTTL) }
	p.Prune()
	assert.Empty(t, p.states)
}

package measurer_test

import (
	"bytes"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/state/measurer"
)

var epoch = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestRates(t *testing.T) {
	t.Run("the rate converges to a constant demand", func(t *testing.T) {
		m := measurer.New(epoch)
		now := epoch
		for range 20 {
			for range 10 {
				m.CountRequest("oak")
			}
			now = now.Add(2 * time.Second)
			m.Rates(now)
		}
		assert.InDelta(t, 5, m.Rates(now)["oak"], 0.1)
	})
	t.Run("a model without demand is removed from the rates", func(t *testing.T) {
		m := measurer.New(epoch)
		m.CountRequest("oak")
		now := epoch
		for range 30 {
			now = now.Add(time.Second)
			m.Rates(now)
		}
		assert.Empty(t, m.Rates(now))
	})
	t.Run("a second call at the same time keeps the count", func(t *testing.T) {
		m := measurer.New(epoch)
		m.CountRequest("oak")
		assert.Empty(t, m.Rates(epoch))
		assert.InDelta(t, 0.3, m.Rates(epoch.Add(time.Second))["oak"], 0.001)
	})
}

func TestObserve(t *testing.T) {
	m := measurer.New(epoch)
	const teams = 3000
	for i := range teams {
		m.Observe(measurer.Request{
			Team: fmt.Sprint(i), Class: "oak", Outcome: measurer.Answered, Elapsed: time.Second, UntilFirstByte: time.Millisecond,
		})
	}
	m.Observe(measurer.Request{Team: "1", Class: "oak", Outcome: measurer.Refused})
	var text bytes.Buffer
	require.NoError(t, m.WriteJSON(&text))
	t.Run("histograms and outcomes by team and class", func(t *testing.T) {
		for _, name := range []string{
			`"Team.1.Microseconds"`, `"Team.1.FirstMicroseconds"`, `"Team.1.Refused"`, `"Class.oak.Microseconds"`,
		} {
			assert.Contains(t, text.String(), name)
		}
	})
	t.Run("the number of names is limited", func(t *testing.T) {
		assert.Contains(t, text.String(), `"other.Microseconds"`)
		assert.NotContains(t, text.String(), `"Team.2999.Microseconds"`)
	})
}

func TestCountAnswer(t *testing.T) {
	m := measurer.New(epoch)
	m.CountAnswer(measurer.Answer{Framing: "Close"})
	m.CountAnswer(measurer.Answer{Framing: "Close", IsWhole: true})
	m.CountAnswer(measurer.Answer{Framing: "Close", IsWhole: true})
	var text strings.Builder
	require.NoError(t, m.WriteText(&text))
	assert.Contains(t, text.String(), "crocusring_framing_broken{name=\"Close\"} 1\n")
	assert.Contains(t, text.String(), "crocusring_framing_whole{name=\"Close\"} 2\n")
	assert.Contains(t, text.String(), "crocusring_framing_whole{name=\"Chunks\"} 0\n")
}

func TestText(t *testing.T) {
	m := measurer.New(time.Now())
	m.Observe(measurer.Request{Team: "a.b", Class: "c", Outcome: measurer.Answered, Elapsed: 3 * time.Millisecond, UntilFirstByte: time.Millisecond})
	m.Observe(measurer.Request{Team: "a.b", Class: "c", Outcome: measurer.Refused})
	var text strings.Builder
	require.NoError(t, m.WriteText(&text))
	assert.Contains(t, text.String(), "crocusring_team_answered{name=\"a.b\"} 1\n")
	assert.Contains(t, text.String(), "crocusring_class_refused{name=\"c\"} 1\n")
	assert.Contains(t, text.String(), "crocusring_class_microseconds{name=\"c\",quantile=\"0.5\"} 3000\n")
	assert.Contains(t, text.String(), "crocusring_class_microseconds_count{name=\"c\"} 1\n")
}

func TestCountEvent(t *testing.T) {
	m := measurer.New(time.Now())
	m.CountEvent(measurer.CutTargetEnded, 2)
	var out strings.Builder
	require.NoError(t, m.WriteText(&out))
	assert.Contains(t, out.String(), `crocusring_cut{name="TargetEnded"} 2`)
	assert.Contains(t, out.String(), `crocusring_cut{name="TargetPresent"} 0`)
}

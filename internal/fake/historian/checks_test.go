package historian_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/fake/historian"
)

// good returns a history without a fault: an answered stream, a keyed request
// sent twice, one refused as not run, and a bad one that is convicted.
func good() historian.History {
	return historian.History{
		Sends: []historian.Send{
			{ID: "a", Repeatable: true, Status: 200, AnswerID: "a", Want: []string{"x", "y"}, Got: []string{"x", "y"}, Ended: true},
			{ID: "b", Key: "k", Status: 200, AnswerID: "b", Want: []string{"z"}, Got: []string{"z"}, Ended: true},
			{ID: "c", Key: "k", Status: 503, AnswerID: "c", NotRun: true, RetryAfter: true},
			{ID: "d", Status: 503, AnswerID: "d", Code: "NotRun", NotRun: true, RetryAfter: true},
			{ID: "e", Prompt: "bad", Crashing: true, Repeatable: true, Status: 422, AnswerID: "e", Code: "Quarantined"},
		},
		Executions: []historian.Execution{
			{RequestID: "a", Target: "1"},
			{RequestID: "a", Target: "2", From: 1},
			{RequestID: "b", Key: "k"},
			{RequestID: "e"},
			{RequestID: "e"},
		},
		Crashes: []historian.Crash{{Target: "1", Prompt: "bad"}, {Target: "2", Prompt: "bad"}},
	}
}

func TestEachRuleIsSeenBroken(t *testing.T) {
	cases := []struct {
		name  string
		rule  historian.Rule
		spoil func(h *historian.History)
	}{
		{"end too early", historian.WholeAnswer, func(h *historian.History) { h.Sends[0].Got = []string{"x"} }},
		{"answer of another", historian.OwnAnswer, func(h *historian.History) { h.Sends[0].AnswerID = "z" }},
		{"gap", historian.NoGapNorRepeat, func(h *historian.History) { h.Sends[0].Got = []string{"y"}; h.Sends[0].Ended = false }},
		{"repeat", historian.NoGapNorRepeat, func(h *historian.History) { h.Sends[0].Got = []string{"x", "x"}; h.Sends[0].Ended = false }},
		{"too much", historian.NoGapNorRepeat, func(h *historian.History) {
			h.Sends[0].Got = []string{"x", "y", "y"}
			h.Sends[0].Ended = false
		}},
		{"refused and run", historian.NotRunIsTrue, func(h *historian.History) {
			h.Executions = append(h.Executions, historian.Execution{RequestID: "d"})
		}},
		{"key refused everywhere and run", historian.NotRunIsTrue, func(h *historian.History) { h.Sends = h.Sends[2:] }},
		{"key run twice", historian.AtMostOnce, func(h *historian.History) {
			h.Executions = append(h.Executions, historian.Execution{RequestID: "c", Key: "k"})
		}},
		{"request without key run twice", historian.AtMostOnce, func(h *historian.History) { h.Sends[0].Repeatable = false }},
		{"third crash", historian.CrashBound, func(h *historian.History) {
			h.Crashes = append(h.Crashes, historian.Crash{Target: "3", Prompt: "bad"})
		}},
		{"innocent convicted", historian.OnlyBadConvicted, func(h *historian.History) { h.Sends[4].Crashing = false }},
		{"no word when to come back", historian.SaysWhenToReturn, func(h *historian.History) { h.Sends[3].RetryAfter = false }},
	}
	assert.Empty(t, historian.Check(good()))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := good()
			c.spoil(&h)
			found := historian.Check(h)
			if assert.Len(t, found, 1) {
				assert.Equal(t, c.rule, found[0].Rule)
			}
		})
	}
}

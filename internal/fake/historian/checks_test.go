package historian_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/fake/historian"
)

// validHistory returns a history without violations: an answered stream, a keyed
// request that is sent twice, a request that is refused as not run, and one that
// crashes targets and is quarantined.
func validHistory() historian.History {
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

func TestCheckDetectsEachViolation(t *testing.T) {
	cases := []struct {
		name    string
		rule    historian.Rule
		corrupt func(h *historian.History)
	}{
		{"answer ends early", historian.WholeAnswer, func(h *historian.History) { h.Sends[0].Got = []string{"x"} }},
		{"answer to another request", historian.OwnAnswer, func(h *historian.History) { h.Sends[0].AnswerID = "z" }},
		{"missing part", historian.NoGapNorRepeat, func(h *historian.History) { h.Sends[0].Got = []string{"y"}; h.Sends[0].Ended = false }},
		{"repeated part", historian.NoGapNorRepeat, func(h *historian.History) { h.Sends[0].Got = []string{"x", "x"}; h.Sends[0].Ended = false }},
		{"extra part", historian.NoGapNorRepeat, func(h *historian.History) {
			h.Sends[0].Got = []string{"x", "y", "y"}
			h.Sends[0].Ended = false
		}},
		{"refused as not run but run", historian.NotRunIsTrue, func(h *historian.History) {
			h.Executions = append(h.Executions, historian.Execution{RequestID: "d"})
		}},
		{"all sends of a key refused as not run but run", historian.NotRunIsTrue, func(h *historian.History) { h.Sends = h.Sends[2:] }},
		{"request with key run twice", historian.AtMostOnce, func(h *historian.History) {
			h.Executions = append(h.Executions, historian.Execution{RequestID: "c", Key: "k"})
		}},
		{"request without key run twice", historian.AtMostOnce, func(h *historian.History) { h.Sends[0].Repeatable = false }},
		{"third crash", historian.CrashBound, func(h *historian.History) {
			h.Crashes = append(h.Crashes, historian.Crash{Target: "3", Prompt: "bad"})
		}},
		{"harmless request quarantined", historian.OnlyBadConvicted, func(h *historian.History) { h.Sends[4].Crashing = false }},
		{"no retry delay", historian.SaysWhenToReturn, func(h *historian.History) { h.Sends[3].RetryAfter = false }},
	}
	assert.Empty(t, historian.Check(validHistory()))
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			h := validHistory()
			c.corrupt(&h)
			found := historian.Check(h)
			if assert.Len(t, found, 1) {
				assert.Equal(t, c.rule, found[0].Rule)
			}
		})
	}
}

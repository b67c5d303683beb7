package historian

import (
	"fmt"
	"slices"
)

// Rule is a promise that is checked on a history.
type Rule string

// The rules.
const (
	WholeAnswer      Rule = "WholeAnswer"
	OwnAnswer        Rule = "OwnAnswer"
	NoGapNorRepeat   Rule = "NoGapNorRepeat"
	NotRunIsTrue     Rule = "NotRunIsTrue"
	AtMostOnce       Rule = "AtMostOnce"
	CrashBound       Rule = "CrashBound"
	OnlyBadConvicted Rule = "OnlyBadConvicted"
	SaysWhenToReturn Rule = "SaysWhenToReturn"
)

// Violation is one place where a history breaks a rule.
type Violation struct {
	Rule    Rule
	Subject string // an ID, a key or a prompt
	Detail  string
}

// mostCrashes is how many targets one request may crash over all its sends.
const mostCrashes = 2

const codeQuarantined = "Quarantined"

// Check returns where a history breaks any rule.
func Check(h History) []Violation {
	return slices.Concat(
		checkWhole(h), checkOwn(h), checkTokens(h), checkNotRun(h), checkAtMostOnce(h),
		checkCrashes(h), checkConvicted(h), checkRetryAfter(h),
	)
}

// checkWhole: an answer that ended is all of the answer.
func checkWhole(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Ended && !slices.Equal(s.Got, s.Want) {
			found = append(found, Violation{WholeAnswer, s.ID, fmt.Sprintf("%d of %d parts", len(s.Got), len(s.Want))})
		}
	}
	return found
}

// checkOwn: an answer names the request that it belongs to.
func checkOwn(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Status != 0 && s.AnswerID != s.ID {
			found = append(found, Violation{OwnAnswer, s.ID, "answer of " + s.AnswerID})
		}
	}
	return found
}

// checkTokens: what came of an answer is its beginning, part by part.
func checkTokens(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		for i, got := range s.Got {
			if i >= len(s.Want) || got != s.Want[i] {
				found = append(found, Violation{NoGapNorRepeat, s.ID, fmt.Sprintf("part %d is %q", i, got)})
				break
			}
		}
	}
	return found
}

// checkNotRun: a request whose every send was refused as not run was not run.
func checkNotRun(h History) []Violation {
	mayHaveRun := map[string]bool{}
	for _, s := range h.Sends {
		if s.Key != "" && !s.NotRun {
			mayHaveRun[s.Key] = true
		}
	}
	ran := map[string]bool{}
	for _, e := range h.Executions {
		ran[e.RequestID] = true
		if e.Key != "" && !mayHaveRun[e.Key] {
			ran[e.Key] = true
		}
	}
	var found []Violation
	for _, s := range h.Sends {
		if s.NotRun && (s.Key == "" && ran[s.ID] || s.Key != "" && ran[s.Key]) {
			found = append(found, Violation{NotRunIsTrue, s.ID, s.Code})
		}
	}
	return found
}

// checkAtMostOnce: a request that may not be repeated is started once at most.
func checkAtMostOnce(h History) []Violation {
	starts := map[string]int{}
	for _, e := range h.Executions {
		starts[requestName(e.Key, e.RequestID)]++
	}
	var found []Violation
	seen := map[string]bool{}
	for _, s := range h.Sends {
		name := requestName(s.Key, s.ID)
		if !s.Repeatable && starts[name] > 1 && !seen[name] {
			seen[name] = true
			found = append(found, Violation{AtMostOnce, name, fmt.Sprintf("%d starts", starts[name])})
		}
	}
	return found
}

func requestName(key, id string) string {
	if key != "" {
		return key
	}
	return id
}

// checkCrashes: a request crashes a bounded number of targets over all sends.
func checkCrashes(h History) []Violation {
	crashes := map[string]int{}
	var found []Violation
	for _, c := range h.Crashes {
		crashes[c.Prompt]++
		if crashes[c.Prompt] == mostCrashes+1 {
			found = append(found, Violation{CrashBound, c.Prompt, "crashed " + c.Target})
		}
	}
	return found
}

// checkConvicted: only a request that crashes targets is refused for it.
func checkConvicted(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Code == codeQuarantined && !s.Crashing {
			found = append(found, Violation{OnlyBadConvicted, s.ID, s.Prompt})
		}
	}
	return found
}

// checkRetryAfter: a refusal for lack of means says when to come back.
func checkRetryAfter(h History) []Violation {
	const unavailable = 503
	var found []Violation
	for _, s := range h.Sends {
		if s.Status == unavailable && !s.RetryAfter {
			found = append(found, Violation{SaysWhenToReturn, s.ID, s.Code})
		}
	}
	return found
}

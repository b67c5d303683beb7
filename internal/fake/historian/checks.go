package historian

import (
	"fmt"
	"slices"
)

// Rule is a guarantee of the system that is checked on a history.
type Rule string

// The rules. The function that checks a rule is named "check" and the name of the rule.
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

// Violation is one violation of a rule in a history.
type Violation struct {
	Rule    Rule
	Subject string // an ID, a key or a prompt
	Detail  string
}

// maxCrashes is the maximum number of crashes that one prompt may cause over all sends.
const maxCrashes = 2

const codeQuarantined = "Quarantined"

// Check returns all violations of the rules in a history.
func Check(h History) []Violation {
	return slices.Concat(
		checkWholeAnswer(h), checkOwnAnswer(h), checkNoGapNorRepeat(h), checkNotRunIsTrue(h), checkAtMostOnce(h),
		checkCrashBound(h), checkOnlyBadConvicted(h), checkSaysWhenToReturn(h),
	)
}

// checkWholeAnswer checks that an answer with its end marker is complete.
func checkWholeAnswer(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Ended && !slices.Equal(s.Got, s.Want) {
			found = append(found, Violation{WholeAnswer, s.ID, fmt.Sprintf("%d of %d parts", len(s.Got), len(s.Want))})
		}
	}
	return found
}

// checkOwnAnswer checks that an answer carries the ID of the request that it answers.
func checkOwnAnswer(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Status != 0 && s.AnswerID != s.ID {
			found = append(found, Violation{OwnAnswer, s.ID, "answer of " + s.AnswerID})
		}
	}
	return found
}

// checkNoGapNorRepeat checks that the received parts of an answer are its first parts,
// in order.
func checkNoGapNorRepeat(h History) []Violation {
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

// checkNotRunIsTrue checks that a request was not run if all its sends were refused as
// not run.
func checkNotRunIsTrue(h History) []Violation {
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

// checkAtMostOnce checks that a request that must not be repeated is started at most once.
func checkAtMostOnce(h History) []Violation {
	starts := map[string]int{}
	for _, e := range h.Executions {
		starts[requestIdentity(e.Key, e.RequestID)]++
	}
	var found []Violation
	seen := map[string]bool{}
	for _, s := range h.Sends {
		name := requestIdentity(s.Key, s.ID)
		if !s.Repeatable && starts[name] > 1 && !seen[name] {
			seen[name] = true
			found = append(found, Violation{AtMostOnce, name, fmt.Sprintf("%d starts", starts[name])})
		}
	}
	return found
}

// requestIdentity returns the key of a request, or the ID of its only send if it has none.
func requestIdentity(key, id string) string {
	if key != "" {
		return key
	}
	return id
}

// checkCrashBound checks that a prompt causes at most maxCrashes crashes over all sends.
func checkCrashBound(h History) []Violation {
	crashes := map[string]int{}
	var found []Violation
	for _, c := range h.Crashes {
		crashes[c.Prompt]++
		if crashes[c.Prompt] == maxCrashes+1 {
			found = append(found, Violation{CrashBound, c.Prompt, "crashed " + c.Target})
		}
	}
	return found
}

// checkOnlyBadConvicted checks that only requests that crash targets are refused as
// quarantined.
func checkOnlyBadConvicted(h History) []Violation {
	var found []Violation
	for _, s := range h.Sends {
		if s.Code == codeQuarantined && !s.Crashing {
			found = append(found, Violation{OnlyBadConvicted, s.ID, s.Prompt})
		}
	}
	return found
}

// checkSaysWhenToReturn checks that an answer with status 503 says when to retry.
func checkSaysWhenToReturn(h History) []Violation {
	const unavailable = 503
	var found []Violation
	for _, s := range h.Sends {
		if s.Status == unavailable && !s.RetryAfter {
			found = append(found, Violation{SaysWhenToReturn, s.ID, s.Code})
		}
	}
	return found
}

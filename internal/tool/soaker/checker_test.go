package soaker

import (
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/platform/simulator"
)

// testChecker is a checker with a clock that the test advances.
type testChecker struct {
	*Checker
	time time.Time
}

func newTestChecker() *testChecker {
	c := &testChecker{Checker: NewChecker(), time: time.Unix(1000, 0)}
	c.now = func() time.Time { return c.time }
	return c
}

var (
	orderRoute     = route{Route: simulator.Route{Kind: "unsafe"}, services: []string{plainService}}
	safeRoute      = route{Route: simulator.Route{Kind: "safe"}, services: []string{plainService}}
	streamRoute    = route{Route: simulator.Route{Kind: "streaming"}, services: []string{engineService}}
	resumableRoute = route{Route: simulator.Route{Kind: "streaming", Resumable: true}, services: []string{engineService}}
)

func testCall(id string) simulator.Call {
	return simulator.Call{ID: id, Method: "POST", Path: "/x", Body: "b", Timeout: time.Second}
}

func (c *testChecker) testRun(id, target, service string) simulator.Run {
	return simulator.Run{Request: id, Target: target, Service: service, Method: "POST", Path: "/x", Began: c.time}
}

func (c *testChecker) wholeRun(id, target, service string) simulator.Run {
	run := c.testRun(id, target, service)
	run.Ended, run.IsWhole = c.time, true
	return run
}

func (c *testChecker) answer(id, target, body string) simulator.Answer {
	return simulator.Answer{
		Status: 200, ID: id, Stamp: target + "." + id, Body: body, Began: c.time, Ended: c.time.Add(10 * time.Millisecond),
	}
}

func (c *testChecker) refusal() simulator.Answer {
	return simulator.Answer{Status: 503, Began: c.time, Ended: c.time.Add(10 * time.Millisecond)}
}

// endByPart ends many targets by requests with a part, and some more later.
func endByPart(c *testChecker, late int) {
	for n := range 3*actedOnEnds + late {
		at := c.time
		if n >= 3*actedOnEnds {
			at = at.Add(contactTime + time.Second)
		}
		c.TargetEnded(simulator.Run{Cause: "bad", Parts: []string{simulator.CommonPart, "bad"}, Ended: at}, true)
	}
}

// deny lets instances refuse requests for good.
func deny(c *testChecker, endsTargets bool) {
	for n := range 2 * deniedSlack {
		call := testCall(fmt.Sprint(n))
		c.RequestSent(call, safeRoute, "i1")
		if endsTargets {
			c.MarkCrashing(call.ID)
		}
		c.Answered(call, simulator.Answer{Status: 400, Began: c.time, Ended: c.time}, true, false)
	}
	c.Finish()
}

// passOnLeave lets i1 pass on an answer of t1 that says that it leaves.
func passOnLeave(c *testChecker) {
	c.RequestSent(testCall("a"), safeRoute, "i1")
	c.Began(c.testRun("a", "t1", plainService))
	answer := c.answer("a", "t1", "run of a: b")
	answer.IsLeaving = true
	c.Answered(testCall("a"), answer, true, false)
}

// runWhole lets t1 run a request and send its answer whole.
func runWhole(c *testChecker) {
	c.RequestSent(testCall("a"), orderRoute, "i1")
	c.Began(c.testRun("a", "t1", plainService))
	c.Ended(c.wholeRun("a", "t1", plainService))
}

// finishUnanswered ends a soak in which the caller of that request got a failure.
func finishUnanswered(c *testChecker) {
	c.Answered(testCall("a"), simulator.Answer{Status: 502, Began: c.time, Ended: c.time}, true, false)
	c.Finish()
}

// turnAway lets t1 turn requests of an instance away, at times after now, of which the first is
// told for how long.
func turnAway(c *testChecker, instance string, quiet time.Duration, after ...time.Duration) {
	for n, at := range after {
		id := fmt.Sprint(instance, "-", c.time.Add(at).UnixNano(), "-", n)
		c.RequestSent(testCall(id), safeRoute, instance)
		c.TurnedAway(simulator.TurnedAway{Target: "t1", Request: id, At: c.time.Add(at), Until: c.time.Add(after[0] + quiet)})
	}
}

func assertViolations(t *testing.T, c *testChecker, want ...Promise) {
	t.Helper()
	got := []Promise{}
	for _, v := range c.Violations() {
		got = append(got, v.Promise)
	}
	assert.Equal(t, append([]Promise{}, want...), got)
}

// TestCheckerDetectsViolations feeds the checker a violation of each kind, and similar
// histories that are correct, and checks that it reports exactly the violations.
func TestCheckerDetectsViolations(t *testing.T) {
	const completeBody = "run of a: b"
	for name, test := range map[string]struct {
		do   func(c *testChecker)
		want []Promise
	}{
		"cancelled request that its link held back": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			endDisturbance := c.LinkDisturbed("t1")
			c.CallerCancelled("a")
			c.time = c.time.Add(2 * time.Second)
			endDisturbance()
			run := c.testRun("a", "t1", plainService)
			c.Began(run)
			run.Ended = c.time
			c.Ended(run)
		}},
		"request after a leave that was passed on": {want: []Promise{AfterLeave}, do: func(c *testChecker) {
			passOnLeave(c)
			c.time = c.time.Add(leaveTimeout + time.Millisecond)
			c.RequestSent(testCall("b"), safeRoute, "i1")
			c.Began(c.testRun("b", "t1", plainService))
		}},
		"request after a leave that another instance passed on, or an earlier incarnation": {do: func(c *testChecker) {
			passOnLeave(c)
			c.time = c.time.Add(leaveTimeout + time.Millisecond)
			c.RequestSent(testCall("b"), safeRoute, "i2")
			c.Began(c.testRun("b", "t1", plainService))
			c.TargetReturned("t1")
			c.RequestSent(testCall("c"), safeRoute, "i1")
			c.Began(c.testRun("c", "t1", plainService))
		}},
		"request to the target at which a stream of a leaving one went on": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), resumableRoute, "i1")
			c.Began(c.testRun("a", "t1", engineService))
			c.Began(c.testRun("a", "t2", engineService))
			answer := c.answer("a", "t1", "run of a: b")
			answer.IsLeaving = true
			c.Answered(testCall("a"), answer, true, false)
			c.time = c.time.Add(leaveTimeout + time.Millisecond)
			c.RequestSent(testCall("b"), resumableRoute, "i1")
			c.Began(c.testRun("b", "t2", engineService))
		}},
		"request to a target whose earlier incarnation has announced its leave": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), safeRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.TargetReturned("t1")
			answer := c.answer("a", "t1", "run of a: b")
			answer.IsLeaving = true
			c.Answered(testCall("a"), answer, true, false)
			c.time = c.time.Add(leaveTimeout + time.Millisecond)
			c.RequestSent(testCall("b"), safeRoute, "i1")
			c.Began(c.testRun("b", "t1", plainService))
		}},
		"requests before the time that a target named": {want: []Promise{TooSoon}, do: func(c *testChecker) {
			turnAway(c, "i1", 2*time.Second, 0, time.Second, time.Second, time.Second)
		}},
		"requests on their way, and after the time": {do: func(c *testChecker) {
			turnAway(c, "i1", 2*time.Second, 0, 100*time.Millisecond, 200*time.Millisecond, 300*time.Millisecond, time.Second, time.Second)
			turnAway(c, "i1", 2*time.Second, 3*time.Second)
			turnAway(c, "i2", 2*time.Second, 0, time.Second, time.Second)
			c.InstanceDisturbed("i2")
			turnAway(c, "i2", time.Second, 0, 800*time.Millisecond)
		}},
		"whole answer lost": {want: []Promise{WholeLost}, do: func(c *testChecker) {
			runWhole(c)
			finishUnanswered(c)
		}},
		"whole answer lost beside a disturbance of its target": {do: func(c *testChecker) {
			endDisturbance := c.TargetDisturbed("t1")
			runWhole(c)
			endDisturbance()
			finishUnanswered(c)
		}},
		"none": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Ended(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), c.answer("a", "t1", completeBody), true, true)
		}},
		"ran twice": {want: []Promise{RunsTwice}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Began(c.testRun("a", "t2", plainService))
		}},
		"over the limit": {want: []Promise{OverLimit}, do: func(c *testChecker) {
			c.Exceeded(simulator.Excess{Target: "t1", PerSecond: 1, Count: 12, Allowed: 11})
		}},
		"a safe request may run twice": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), safeRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Began(c.testRun("a", "t2", plainService))
		}},
		"refused after it ran": {want: []Promise{RefusalLied}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), c.refusal(), true, false)
		}},
		"ran after it was refused": {want: []Promise{RefusalLied}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Answered(testCall("a"), c.refusal(), true, false)
			c.Began(c.testRun("a", "t1", plainService))
		}},
		"answer of another request": {want: []Promise{WrongAnswer}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), c.answer("other", "t1", completeBody), true, false)
		}},
		"answer of a target that did not run it": {want: []Promise{WrongAnswer}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), c.answer("a", "t2", completeBody), true, false)
		}},
		"incomplete answer": {want: []Promise{WrongAnswer}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), c.answer("a", "t1", completeBody[:4]), true, false)
		}},
		"a connection error is no wrong answer": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.Answered(testCall("a"), simulator.Answer{Status: 200, Err: errors.New("cut"), Began: c.time, Ended: c.time}, true, false)
		}},
		"incomplete stream that ends normally": {want: []Promise{BrokenOrder}, do: func(c *testChecker) {
			call := testCall("a")
			call.Model = "m1"
			c.RequestSent(call, streamRoute, "i1")
			c.Began(c.testRun("a", "t1", engineService))
			c.Answered(call, c.answer("a", "t1", wholeStream("a")[:20]), true, false)
		}},
		"stream resumed on another target": {do: func(c *testChecker) {
			call := testCall("a")
			call.Model = "m1"
			c.RequestSent(call, resumableRoute, "i1")
			c.Began(c.testRun("a", "t1", engineService))
			c.Began(c.testRun("a", "t2", engineService))
			c.Answered(call, c.answer("a", "t1", wholeStream("a")), true, false)
		}},
		"run without a sent request": {want: []Promise{NotAsked}, do: func(c *testChecker) { c.Began(c.testRun("x", "t1", plainService)) }},
		"run by another service": {want: []Promise{WrongRoute}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.Began(c.testRun("a", "t1", engineService))
		}},
		"run under another path": {want: []Promise{WrongRoute}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			run := c.testRun("a", "t1", plainService)
			run.Path = "/y"
			c.Began(run)
		}},
		"overfilled": {want: []Promise{Overfilled}, do: func(c *testChecker) {
			c.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 1, Overfills: true})
		}},
		"two holders": {want: []Promise{TwoHolders}, do: func(c *testChecker) {
			c.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 4})
			c.Ordered(simulator.Order{Target: "t2", Holder: "i2", Fence: 4})
		}},
		"late": {want: []Promise{LateAnswer}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			a := c.refusal()
			a.Ended = c.time.Add(time.Second + answerSlack + time.Millisecond)
			c.Answered(testCall("a"), a, true, false)
		}},
		"no answer at all": {want: []Promise{LateAnswer}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			end := c.time.Add(time.Second + answerSlack + time.Millisecond)
			c.Answered(testCall("a"), simulator.Answer{Err: errors.New("timeout"), Began: c.time, Ended: end}, true, false)
		}},
		"late during a disturbance": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			a := c.refusal()
			a.Ended = c.time.Add(time.Minute)
			c.Answered(testCall("a"), a, false, false)
		}},
		"request after a target has left": {want: []Promise{AfterDrain}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.TargetLeft("t1")
			c.time = c.time.Add(drainTimeout + time.Millisecond)
			c.Began(c.testRun("a", "t1", plainService))
		}},
		"a request that ends targets sent on": {want: []Promise{SentOn}, do: func(c *testChecker) {
			for range maxEnds + 1 {
				c.TargetEnded(simulator.Run{Cause: "bad"}, true)
			}
		}},
		"two requests that end few targets": {do: func(c *testChecker) {
			for range maxEnds {
				c.TargetEnded(simulator.Run{Cause: "bad"}, true)
				c.TargetEnded(simulator.Run{Cause: "worse"}, true)
			}
		}},
		"a request that ends targets while instances are disturbed": {do: func(c *testChecker) {
			for n := range 50 {
				c.TargetEnded(simulator.Run{Cause: "bad"}, n%maxEnds > 0)
			}
		}},
		"requests with a part that ends targets sent on": {want: []Promise{SentOn}, do: func(c *testChecker) { endByPart(c, maxLateEnds+1) }},
		"requests with a part that ends few targets":     {do: func(c *testChecker) { endByPart(c, maxLateEnds) }},
		"requests refused for good":                      {want: []Promise{Denied}, do: func(c *testChecker) { deny(c, false) }},
		"requests that end targets refused for good":     {do: func(c *testChecker) { deny(c, true) }},
		"request after a target has returned": {do: func(c *testChecker) {
			c.RequestSent(testCall("a"), orderRoute, "i1")
			c.TargetLeft("t1")
			c.TargetReturned("t1")
			c.time = c.time.Add(drainTimeout + time.Millisecond)
			c.Began(c.testRun("a", "t1", plainService))
		}},
		"run ends late after a cancellation": {want: []Promise{WorkedOn}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), safeRoute, "i1")
			run := c.testRun("a", "t1", plainService)
			c.Began(run)
			c.CallerCancelled("a")
			run.Ended = c.time.Add(cancelTimeout + time.Millisecond)
			c.Ended(run)
		}},
		"run still open after a cancellation": {want: []Promise{WorkedOn}, do: func(c *testChecker) {
			c.RequestSent(testCall("a"), safeRoute, "i1")
			c.Began(c.testRun("a", "t1", plainService))
			c.CallerCancelled("a")
			c.time = c.time.Add(time.Minute)
			c.Finish()
		}},
		"not served after recovery": {want: []Promise{NotBack}, do: func(c *testChecker) {
			for _, id := range []string{"a", "b"} {
				c.RequestSent(testCall(id), orderRoute, "i1")
				c.Answered(testCall(id), c.refusal(), true, true)
			}
			c.Finish()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			c := newTestChecker()
			test.do(c)
			assertViolations(t, c, test.want...)
		})
	}
}

// TestUnexpectedExit checks that the exit of a process that was not asked to stop is
// reported, with a program that exits at once.
func TestUnexpectedExit(t *testing.T) {
	found := make(chan string, 1)
	p := &process{name: "i1", program: "go", logDirectory: t.TempDir(), onUnexpectedExit: func(name string, _ error) { found <- name }}
	require.NoError(t, p.start())
	assert.Equal(t, "i1", <-found)
}

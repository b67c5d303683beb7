package soaker

import (
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
	b := &testChecker{Checker: NewChecker(), time: time.Unix(1000, 0)}
	b.now = func() time.Time { return b.time }
	return b
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

func (b *testChecker) testRun(id, target, service string) simulator.Run {
	return simulator.Run{Request: id, Target: target, Service: service, Method: "POST", Path: "/x", Began: b.time}
}

func (b *testChecker) answer(id, target, body string) simulator.Answer {
	return simulator.Answer{
		Status: 200, ID: id, Stamp: target + "." + id, Body: body, Began: b.time, Ended: b.time.Add(10 * time.Millisecond),
	}
}

func (b *testChecker) refusal() simulator.Answer {
	return simulator.Answer{Status: 503, Began: b.time, Ended: b.time.Add(10 * time.Millisecond)}
}

func assertViolations(t *testing.T, b *testChecker, want ...Promise) {
	t.Helper()
	got := []Promise{}
	for _, v := range b.Violations() {
		got = append(got, v.Promise)
	}
	assert.Equal(t, append([]Promise{}, want...), got)
}

// TestCheckerDetectsViolations feeds the checker a violation of each kind, and similar
// histories that are correct, and checks that it reports exactly the violations.
func TestCheckerDetectsViolations(t *testing.T) {
	const completeBody = "run of a: b"
	for name, test := range map[string]struct {
		do   func(b *testChecker)
		want []Promise
	}{
		"none": {do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Ended(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), b.answer("a", "t1", completeBody), true, true)
		}},
		"ran twice": {want: []Promise{RunsTwice}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Began(b.testRun("a", "t2", plainService))
		}},
		"a safe request may run twice": {do: func(b *testChecker) {
			b.RequestSent(testCall("a"), safeRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Began(b.testRun("a", "t2", plainService))
		}},
		"refused after it ran": {want: []Promise{RefusalLied}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), b.refusal(), true, false)
		}},
		"ran after it was refused": {want: []Promise{RefusalLied}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Answered(testCall("a"), b.refusal(), true, false)
			b.Began(b.testRun("a", "t1", plainService))
		}},
		"answer of another request": {want: []Promise{WrongAnswer}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), b.answer("other", "t1", completeBody), true, false)
		}},
		"answer of a target that did not run it": {want: []Promise{WrongAnswer}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), b.answer("a", "t2", completeBody), true, false)
		}},
		"incomplete answer": {want: []Promise{WrongAnswer}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), b.answer("a", "t1", completeBody[:4]), true, false)
		}},
		"a connection error is no wrong answer": {do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.Answered(testCall("a"), simulator.Answer{Status: 200, Err: errors.New("cut"), Began: b.time, Ended: b.time}, true, false)
		}},
		"incomplete stream that ends normally": {want: []Promise{BrokenOrder}, do: func(b *testChecker) {
			call := testCall("a")
			call.Model = "m1"
			b.RequestSent(call, streamRoute)
			b.Began(b.testRun("a", "t1", engineService))
			b.Answered(call, b.answer("a", "t1", wholeStream("a")[:20]), true, false)
		}},
		"stream resumed on another target": {do: func(b *testChecker) {
			call := testCall("a")
			call.Model = "m1"
			b.RequestSent(call, resumableRoute)
			b.Began(b.testRun("a", "t1", engineService))
			b.Began(b.testRun("a", "t2", engineService))
			b.Answered(call, b.answer("a", "t1", wholeStream("a")), true, false)
		}},
		"run without a sent request": {want: []Promise{NotAsked}, do: func(b *testChecker) { b.Began(b.testRun("x", "t1", plainService)) }},
		"run by another service": {want: []Promise{WrongRoute}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.Began(b.testRun("a", "t1", engineService))
		}},
		"run under another path": {want: []Promise{WrongRoute}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			run := b.testRun("a", "t1", plainService)
			run.Path = "/y"
			b.Began(run)
		}},
		"overfilled": {want: []Promise{Overfilled}, do: func(b *testChecker) {
			b.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 1, Overfills: true})
		}},
		"two holders": {want: []Promise{TwoHolders}, do: func(b *testChecker) {
			b.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 4})
			b.Ordered(simulator.Order{Target: "t2", Holder: "i2", Fence: 4})
		}},
		"late": {want: []Promise{LateAnswer}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			a := b.refusal()
			a.Ended = b.time.Add(time.Second + answerSlack + time.Millisecond)
			b.Answered(testCall("a"), a, true, false)
		}},
		"no answer at all": {want: []Promise{LateAnswer}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			end := b.time.Add(time.Second + answerSlack + time.Millisecond)
			b.Answered(testCall("a"), simulator.Answer{Err: errors.New("timeout"), Began: b.time, Ended: end}, true, false)
		}},
		"late during a disturbance": {do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			a := b.refusal()
			a.Ended = b.time.Add(time.Minute)
			b.Answered(testCall("a"), a, false, false)
		}},
		"request after a target has left": {want: []Promise{AfterDrain}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.TargetLeft("t1")
			b.time = b.time.Add(drainTimeout + time.Millisecond)
			b.Began(b.testRun("a", "t1", plainService))
		}},
		"request after a target has returned": {do: func(b *testChecker) {
			b.RequestSent(testCall("a"), orderRoute)
			b.TargetLeft("t1")
			b.TargetReturned("t1")
			b.time = b.time.Add(drainTimeout + time.Millisecond)
			b.Began(b.testRun("a", "t1", plainService))
		}},
		"run ends late after a cancellation": {want: []Promise{WorkedOn}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), safeRoute)
			run := b.testRun("a", "t1", plainService)
			b.Began(run)
			b.CallerCancelled("a")
			run.Ended = b.time.Add(cancelTimeout + time.Millisecond)
			b.Ended(run)
		}},
		"run still open after a cancellation": {want: []Promise{WorkedOn}, do: func(b *testChecker) {
			b.RequestSent(testCall("a"), safeRoute)
			b.Began(b.testRun("a", "t1", plainService))
			b.CallerCancelled("a")
			b.time = b.time.Add(time.Minute)
			b.Finish()
		}},
		"not served after recovery": {want: []Promise{NotBack}, do: func(b *testChecker) {
			for _, id := range []string{"a", "b"} {
				b.RequestSent(testCall(id), orderRoute)
				b.Answered(testCall(id), b.refusal(), true, true)
			}
			b.Finish()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newTestChecker()
			test.do(b)
			assertViolations(t, b, test.want...)
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

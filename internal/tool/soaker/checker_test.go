package soaker

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/platform/simulator"
)

// bench is a checker with a clock that the test moves.
type bench struct {
	*Checker
	time time.Time
}

func newBench() *bench {
	b := &bench{Checker: NewChecker(), time: time.Unix(1000, 0)}
	b.now = func() time.Time { return b.time }
	return b
}

var (
	orders  = route{Route: simulator.Route{Kind: "unsafe"}, services: []string{desk}}
	looks   = route{Route: simulator.Route{Kind: "safe"}, services: []string{desk}}
	streams = route{Route: simulator.Route{Kind: "streaming"}, services: []string{fleet}}
	resumed = route{Route: simulator.Route{Kind: "streaming", Resumable: true}, services: []string{fleet}}
)

func callOf(id string) simulator.Call {
	return simulator.Call{ID: id, Method: "POST", Path: "/x", Body: "b", Timeout: time.Second}
}

func (b *bench) runOf(id, target, service string) simulator.Run {
	return simulator.Run{Request: id, Target: target, Service: service, Method: "POST", Path: "/x", Began: b.time}
}

func (b *bench) answer(id, target, body string) simulator.Answer {
	return simulator.Answer{
		Status: 200, ID: id, Stamp: target + "." + id, Body: body, Began: b.time, Ended: b.time.Add(10 * time.Millisecond),
	}
}

func (b *bench) refusal() simulator.Answer {
	return simulator.Answer{Status: 503, Began: b.time, Ended: b.time.Add(10 * time.Millisecond)}
}

func assertFound(t *testing.T, b *bench, want ...Promise) {
	t.Helper()
	got := []Promise{}
	for _, v := range b.Found() {
		got = append(got, v.Promise)
	}
	assert.Equal(t, append([]Promise{}, want...), got)
}

// TestPlantedFaults plants a fault for each promise and checks that it is found.
func TestPlantedFaults(t *testing.T) {
	const whole = "run of a: b"
	for name, plant := range map[string]struct {
		do   func(b *bench)
		want []Promise
	}{
		"none": {do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Ended(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), b.answer("a", "t1", whole), true, true)
		}},
		"ran twice": {want: []Promise{RunsTwice}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Began(b.runOf("a", "t2", desk))
		}},
		"a safe one may run twice": {do: func(b *bench) {
			b.Send(callOf("a"), looks)
			b.Began(b.runOf("a", "t1", desk))
			b.Began(b.runOf("a", "t2", desk))
		}},
		"refused after it ran": {want: []Promise{RefusalLied}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), b.refusal(), true, false)
		}},
		"ran after it was refused": {want: []Promise{RefusalLied}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Answered(callOf("a"), b.refusal(), true, false)
			b.Began(b.runOf("a", "t1", desk))
		}},
		"answer of another request": {want: []Promise{WrongAnswer}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), b.answer("other", "t1", whole), true, false)
		}},
		"answer of a target that did not run it": {want: []Promise{WrongAnswer}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), b.answer("a", "t2", whole), true, false)
		}},
		"half an answer": {want: []Promise{WrongAnswer}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), b.answer("a", "t1", whole[:4]), true, false)
		}},
		"an answer that was broken off is told": {do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", desk))
			b.Answered(callOf("a"), simulator.Answer{Status: 200, Err: errors.New("cut"), Began: b.time, Ended: b.time}, true, false)
		}},
		"a stream that ends early as if whole": {want: []Promise{BrokenOrder}, do: func(b *bench) {
			call := callOf("a")
			call.Model = "m1"
			b.Send(call, streams)
			b.Began(b.runOf("a", "t1", fleet))
			b.Answered(call, b.answer("a", "t1", wholeStream("a")[:20]), true, false)
		}},
		"a stream that went on elsewhere": {do: func(b *bench) {
			call := callOf("a")
			call.Model = "m1"
			b.Send(call, resumed)
			b.Began(b.runOf("a", "t1", fleet))
			b.Began(b.runOf("a", "t2", fleet))
			b.Answered(call, b.answer("a", "t1", wholeStream("a")), true, false)
		}},
		"nobody sent it": {want: []Promise{NotAsked}, do: func(b *bench) { b.Began(b.runOf("x", "t1", desk)) }},
		"another service": {want: []Promise{WrongRoute}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Began(b.runOf("a", "t1", fleet))
		}},
		"another path": {want: []Promise{WrongRoute}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			run := b.runOf("a", "t1", desk)
			run.Path = "/y"
			b.Began(run)
		}},
		"overfilled": {want: []Promise{Overfilled}, do: func(b *bench) {
			b.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 1, Overfills: true})
		}},
		"two holders": {want: []Promise{TwoHolders}, do: func(b *bench) {
			b.Ordered(simulator.Order{Target: "t1", Holder: "i1", Fence: 4})
			b.Ordered(simulator.Order{Target: "t2", Holder: "i2", Fence: 4})
		}},
		"late": {want: []Promise{LateAnswer}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			a := b.refusal()
			a.Ended = b.time.Add(time.Second + answerSlack + time.Millisecond)
			b.Answered(callOf("a"), a, true, false)
		}},
		"no answer at all": {want: []Promise{LateAnswer}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			end := b.time.Add(time.Second + answerSlack + time.Millisecond)
			b.Answered(callOf("a"), simulator.Answer{Err: errors.New("timeout"), Began: b.time, Ended: end}, true, false)
		}},
		"late in a disturbance": {do: func(b *bench) {
			b.Send(callOf("a"), orders)
			a := b.refusal()
			a.Ended = b.time.Add(time.Minute)
			b.Answered(callOf("a"), a, false, false)
		}},
		"after a target has left": {want: []Promise{AfterDrain}, do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Left("t1")
			b.time = b.time.Add(drainTime + time.Millisecond)
			b.Began(b.runOf("a", "t1", desk))
		}},
		"a target that is back": {do: func(b *bench) {
			b.Send(callOf("a"), orders)
			b.Left("t1")
			b.Back("t1")
			b.time = b.time.Add(drainTime + time.Millisecond)
			b.Began(b.runOf("a", "t1", desk))
		}},
		"worked on": {want: []Promise{WorkedOn}, do: func(b *bench) {
			b.Send(callOf("a"), looks)
			run := b.runOf("a", "t1", desk)
			b.Began(run)
			b.Quit("a")
			run.Ended = b.time.Add(cancelTime + time.Millisecond)
			b.Ended(run)
		}},
		"works on still": {want: []Promise{WorkedOn}, do: func(b *bench) {
			b.Send(callOf("a"), looks)
			b.Began(b.runOf("a", "t1", desk))
			b.Quit("a")
			b.time = b.time.Add(time.Minute)
			b.Finish()
		}},
		"not back": {want: []Promise{NotBack}, do: func(b *bench) {
			for _, id := range []string{"a", "b"} {
				b.Send(callOf(id), orders)
				b.Answered(callOf(id), b.refusal(), true, true)
			}
			b.Finish()
		}},
	} {
		t.Run(name, func(t *testing.T) {
			b := newBench()
			plant.do(b)
			assertFound(t, b, plant.want...)
		})
	}
}

// TestOwnEnd starts a program that ends by itself, as instances must not.
func TestOwnEnd(t *testing.T) {
	found := make(chan string, 1)
	p := &process{name: "i1", program: "go", logs: t.TempDir(), onOwnEnd: func(name string, _ error) { found <- name }}
	require.NoError(t, p.start())
	assert.Equal(t, "i1", <-found)
}

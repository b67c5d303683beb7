package soaker

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	host = "soak.example"
	// retryMost bounds the time after which a caller comes back.
	retryMost = 2 * time.Second
	// quitShare is the share of the requests whose caller leaves midway.
	quitShare = 0.04
	// callerPause is the mean time between two requests of a caller.
	callerPause = 60 * time.Millisecond
)

// route is a route with the services that may ever run its requests.
type route struct {
	simulator.Route
	services []string
	models   []string
}

// crowd is the callers of a soak. Each keeps its connections, asks instances which
// addresses to use, and uses an address until it fails or is no longer named.
type crowd struct {
	world   *world
	numbers atomic.Int64
	seed    uint64
}

// run lets one caller send requests until ctx is done.
func (c *crowd) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	caller := simulator.NewCaller()
	defer caller.Close()
	var addresses []string
	var until time.Time
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(callerPause)))
		if len(addresses) == 0 || time.Now().After(until) {
			addresses, until = c.locate(ctx, caller, random, addresses)
		}
		if len(addresses) == 0 {
			continue
		}
		n := random.IntN(len(addresses))
		if !c.send(ctx, caller, random, addresses[n]) {
			addresses = append(append([]string{}, addresses[:n]...), addresses[n+1:]...)
		}
	}
}

// locate asks up to three instances; what was known stays where none answers.
func (c *crowd) locate(ctx context.Context, caller *simulator.Caller, random *rand.Rand, known []string) ([]string, time.Time) {
	for range 3 {
		p := c.world.processes[random.IntN(len(c.world.processes))]
		asking, cancel := context.WithTimeout(ctx, time.Second)
		addresses, life, err := caller.Locate(asking, p.locator, host)
		cancel()
		if err == nil && len(addresses) > 0 {
			return addresses, time.Now().Add(life)
		}
	}
	return known, time.Now().Add(time.Second)
}

// send sends a request, once more where the answer asks to come back, and reports
// whether the address is of use.
func (c *crowd) send(ctx context.Context, caller *simulator.Caller, random *rand.Rand, address string) bool {
	r := c.world.routes[random.IntN(len(c.world.routes))]
	model := ""
	if len(r.models) > 0 {
		model = r.models[random.IntN(len(r.models))]
	}
	for range 2 {
		a := c.try(ctx, caller, random, address, r, model)
		switch {
		case a.Err != nil:
			return false
		case !isRefusal(a.Status) || a.RetryAfter == 0:
			return true
		}
		time.Sleep(min(time.Duration(a.RetryAfter*float64(time.Second)), retryMost))
	}
	return true
}

// try sends a request once, with an ID of its own.
func (c *crowd) try(ctx context.Context, caller *simulator.Caller, random *rand.Rand, address string, r route, model string) simulator.Answer {
	call := simulator.Call{
		ID: fmt.Sprintf("%x-%d", c.seed, c.numbers.Add(1)), Host: host, Method: http.MethodPost, Path: r.Prefix + "x",
		Body: fmt.Sprint(random.Uint32()), Model: model, Timeout: time.Duration(r.TimeoutMS) * time.Millisecond,
	}
	trying, cancel := context.WithTimeout(ctx, call.Timeout+5*time.Second)
	defer cancel()
	c.world.checker.Send(call, r)
	isTail := c.world.isTail()
	began := c.world.calmSince()
	wasCalm := c.world.isCalm(began)
	quits := random.Float64() < quitShare
	if quits {
		quit := time.AfterFunc(time.Duration(random.IntN(400))*time.Millisecond, func() {
			if wasCalm && c.world.isCalm(began) {
				c.world.checker.Quit(call.ID)
			}
			cancel()
		})
		defer quit.Stop()
	}
	a := caller.Do(trying, address, call)
	isOwn := quits || ctx.Err() != nil // the caller has left, or the soak is over
	c.world.checker.Answered(call, a, wasCalm && c.world.isCalm(began) && !isOwn, isTail && !isOwn)
	return a
}

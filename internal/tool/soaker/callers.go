package soaker

import (
	"context"
	"encoding/hex"
	"fmt"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	host = "soak.example"
	// maxRetryDelay limits the Retry-After delay that a caller waits.
	maxRetryDelay = 2 * time.Second
	// cancelShare is the share of requests that their caller cancels midway.
	cancelShare = 0.04
	// meanCallerPause is the mean time between two requests of a caller.
	meanCallerPause = 60 * time.Millisecond
)

// route is a route with the services that may run its requests under any version of the
// manifest, and the models that its requests name.
type route struct {
	simulator.Route
	services []string
	models   []string
	// step is the version of the manifest that added the route; 0 if all versions have it.
	step int
}

// callerGroup is the set of callers of a soak. Each keeps its connections open, asks
// instances for the addresses to use, and uses an address until a request to it fails or
// an instance no longer returns it.
type callerGroup struct {
	soak         *soak
	requestCount atomic.Int64
	seed         uint64
}

// run sends the requests of one caller until ctx is done.
func (c *callerGroup) run(ctx context.Context, number int) {
	random := rand.New(rand.NewPCG(c.seed, uint64(number)))
	caller := simulator.NewCaller()
	defer caller.Close()
	var addresses []string
	var until time.Time
	for ctx.Err() == nil {
		time.Sleep(time.Duration(random.ExpFloat64() * float64(meanCallerPause)))
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

// locate asks up to three instances for addresses and returns the first answer with its
// expiry. If none answers, it returns the previous addresses for another second.
func (c *callerGroup) locate(ctx context.Context, caller *simulator.Caller, random *rand.Rand, previous []string) ([]string, time.Time) {
	for range 3 {
		p := c.soak.processes[random.IntN(len(c.soak.processes))]
		locateCtx, cancel := context.WithTimeout(ctx, time.Second)
		addresses, ttl, err := caller.Locate(locateCtx, p.locatorAddress, host)
		cancel()
		if err == nil && len(addresses) > 0 {
			return addresses, time.Now().Add(ttl)
		}
	}
	return previous, time.Now().Add(time.Second)
}

// send sends a request, a second time if the answer is a refusal with a Retry-After, and
// reports whether the address can still be used.
func (c *callerGroup) send(ctx context.Context, caller *simulator.Caller, random *rand.Rand, address string) bool {
	r := c.soak.routes[random.IntN(len(c.soak.routes))]
	if random.Float64() < stepShare {
		r = c.soak.pickStep(random)
	}
	model := ""
	if len(r.models) > 0 {
		model = r.models[random.IntN(len(r.models))]
	}
	what := content{route: r, model: model, body: fmt.Sprint(random.Uint32()), parts: soundParts(random), key: c.soak.keys.pick(random)}
	for range 2 {
		answer := c.sendOnce(ctx, caller, random, address, what)
		switch {
		case answer.Err != nil:
			return false
		case !isRefusal(answer.Status) || answer.RetryAfter == 0:
			return true
		}
		time.Sleep(min(time.Duration(answer.RetryAfter*float64(time.Second)), maxRetryDelay))
	}
	return true
}

// content is what a request asks for: the same each time it is sent.
type content struct {
	route route
	model string
	body  string
	// parts holds those of the prompt that other requests bear as well.
	parts       []string
	endsTargets bool
	// key is that of the caller's account; empty without accounts.
	key string
}

// documents is the number of parts of prompts that some requests share.
const documents = 20

// soundParts returns the parts of a prompt: one that all share, and one of some others.
func soundParts(random *rand.Rand) []string {
	return []string{simulator.CommonPart, fmt.Sprintf("d%d", random.IntN(documents))}
}

// call returns the call that asks for the content. Calls of one content differ only in their ID.
func (c content) call(id string) simulator.Call {
	return simulator.Call{
		ID: id, Host: host, Method: http.MethodPost, Path: c.route.Prefix + "x",
		Body: c.body, Model: c.model, Parts: c.parts, Prompt: hex.EncodeToString([]byte(c.body)),
		Timeout: time.Duration(c.route.TimeoutMS) * time.Millisecond, Key: c.key,
	}
}

// sendOnce sends a request once, under a new ID, and passes the result to the checker.
func (c *callerGroup) sendOnce(ctx context.Context, caller *simulator.Caller, random *rand.Rand, address string, what content) simulator.Answer {
	r := what.route
	call := what.call(fmt.Sprintf("%x-%d", c.seed, c.requestCount.Add(1)))
	sendCtx, cancel := context.WithTimeout(ctx, call.Timeout+5*time.Second)
	defer cancel()
	c.soak.checker.RequestSent(call, r, c.soak.instanceAt(address))
	if what.endsTargets {
		c.soak.checker.MarkCrashing(call.ID)
	}
	isAfterRecovery := c.soak.isAfterRecovery()
	mark := c.soak.lastDisturbance()
	wasUndisturbed := c.soak.isUndisturbedSince(mark)
	cancels := random.Float64() < cancelShare && !what.endsTargets
	if cancels {
		cancelTimer := time.AfterFunc(time.Duration(random.IntN(400))*time.Millisecond, func() {
			if wasUndisturbed && c.soak.isUndisturbedSince(mark) {
				c.soak.checker.CallerCancelled(call.ID)
			}
			cancel()
		})
		defer cancelTimer.Stop()
	}
	answer := caller.Do(sendCtx, address, call)
	isAborted := cancels || ctx.Err() != nil // the caller cancelled, or the soak is over
	c.soak.checker.Answered(call, answer, wasUndisturbed && c.soak.isUndisturbedSince(mark) && !isAborted, isAfterRecovery && !isAborted)
	return answer
}

// Package conductor takes a caller's request through its life: from its route to
// a target, again to another one where that is allowed, and to one final answer.
//
// Three promises hold on every path. An answer that tells "not run" is given only
// if no byte of the request can have reached a target, or every target that it
// reached said that it did not run it. A request whose route does not allow
// repeats runs at most once. An answer counts as whole only if its target's was.
//
// Bodies are read whole before anything is sent: a target may answer before it has
// read a long body, and a repeat needs it again.
package conductor

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

const (
	// minimumLeft is the time that must be left to send a request to a target.
	minimumLeft = 10 * time.Millisecond
	// adapterPatience is how long a request waits for an adapter.
	adapterPatience = 1500 * time.Millisecond
	// askAgainAfter is the time between two times that a request asks for its adapter:
	// a target that has another order in hand may take one soon, and each place that is
	// made for an adapter takes that of another.
	askAgainAfter = 500 * time.Millisecond
	// fullPatience is the share of its aim that a request waits for a place.
	fullPatience = 0.5
	// waitShare is the share of its time that a request may wait for a target at all.
	waitShare = 0.5
	// recheckAfter is the longest time between two looks for a target.
	recheckAfter = 50 * time.Millisecond
)

// Demand is told of each request for a model.
type Demand struct {
	Service string
	Model   string
	Adapter string
	// Prompt is the number of tokens to read, Tokens those and the ones to make.
	Prompt int
	Tokens int
}

// Conductor serves callers' requests. The zero value is not usable; see New.
type Conductor struct {
	headers  Headers
	registry *registrar.Registrar
	balancer *balancer.Balancer
	budget   *budgeter.Budgeter
	pools    *connector.Pools
	log      logr.Logger
	now      func() time.Time
	// demand is told of each request for a model, and waiting of each look in vain.
	demand  func(Demand)
	waiting func(Demand)
	// ran is told of each stream that a target has run to its end, and how long it took.
	ran func(d Demand, took time.Duration)
	// ensureAdapter asks for an adapter to be served; it returns when it is, or why
	// it is not.
	ensureAdapter func(ctx context.Context, service, model, adapter string) error
	// expectModel returns in how long a target will serve a model that none serves, or
	// why none will.
	expectModel func(ctx context.Context, service, model string) (time.Duration, error)
	expected    expectations
	// observe is told of each request that ended.
	observe  func(measurer.Request)
	closing  atomic.Bool
	refusing atomic.Bool
	active   atomic.Int64
}

// Option changes a conductor at its construction.
type Option func(*Conductor)

// WithDemand sets what is told of requests for models.
func WithDemand(demand, waiting func(Demand)) Option {
	return func(c *Conductor) { c.demand, c.waiting = demand, waiting }
}

// WithRuns sets what is told of streams that a target has run to their end.
func WithRuns(ran func(d Demand, took time.Duration)) Option {
	return func(c *Conductor) { c.ran = ran }
}

// WithAdapters sets how an adapter is asked for.
func WithAdapters(ensure func(ctx context.Context, service, model, adapter string) error) Option {
	return func(c *Conductor) { c.ensureAdapter = ensure }
}

// WithModels sets how it is found out when a model that no target serves will be served.
func WithModels(expect func(ctx context.Context, service, model string) (time.Duration, error)) Option {
	return func(c *Conductor) { c.expectModel = expect }
}

// WithObserver sets what is told of each request that ended; its team is the route.
func WithObserver(observe func(measurer.Request)) Option {
	return func(c *Conductor) { c.observe = observe }
}

// WithLog sets the log.
func WithLog(log logr.Logger) Option { return func(c *Conductor) { c.log = log } }

// New returns a conductor of requests between callers and the targets of registry.
func New(headers Headers, registry *registrar.Registrar, b *balancer.Balancer, budget *budgeter.Budgeter, options ...Option) *Conductor {
	c := &Conductor{
		headers: headers, registry: registry, balancer: b, budget: budget, pools: connector.NewPools(),
		log: logr.Discard(), now: time.Now, demand: func(Demand) {}, waiting: func(Demand) {},
		ran:           func(Demand, time.Duration) {},
		observe:       func(measurer.Request) {},
		ensureAdapter: func(context.Context, string, string, string) error { return balancer.ErrNoAdapter },
		expectModel:   func(context.Context, string, string) (time.Duration, error) { return 0, balancer.ErrNoModel },
		expected:      expectations{known: map[modelKey]*expectation{}},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Close makes every answer the last one of its connection.
func (c *Conductor) Close() { c.closing.Store(true) }

// Refuse makes every new request, and each that waits for a target, be refused as not run.
func (c *Conductor) Refuse() { c.refusing.Store(true) }

// Active returns the number of requests that have no final answer yet.
func (c *Conductor) Active() int { return int(c.active.Load()) }

// Prune closes idle connections that have expired and forgets what is old.
func (c *Conductor) Prune() {
	c.pools.Prune(c.now())
	c.expected.forget(c.now())
}

// request is a caller's request on its way.
type request struct {
	id      string
	http    *http.Request
	body    []byte
	route   *registrar.Route
	service string
	// demand is what the request asks of an engine; its Model is empty for a plain one.
	demand   Demand
	affinity uint64
	arrived  time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	// sent counts the targets that the request has reached.
	sent int
	// mayRun tells that a target may have run the request or may be running it.
	mayRun   bool
	excluded map[string]bool
	// outcome and first, the time to the first byte of an answer, are for the metrics.
	outcome measurer.Outcome
	first   time.Duration
}

// ServeHTTP answers one request.
func (c *Conductor) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	c.active.Add(1)
	defer c.active.Add(-1)
	if c.closing.Load() {
		w.Header().Set("Connection", "close")
	}
	q, refusal := c.accept(w, r)
	if refusal != nil {
		c.refuse(w, r.Header.Get(c.headers.RequestID), refusal)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	defer c.tellEnd(q)
	c.serve(ctx, w, q)
}

// tellEnd tells how a request ended. It runs also when the answer is broken off.
func (c *Conductor) tellEnd(q *request) {
	c.observe(measurer.Request{
		Team: q.route.Name, Class: q.service, Outcome: q.outcome, Took: c.now().Sub(q.arrived), First: q.first,
	})
}

// serve sends the request until it has its final answer.
func (c *Conductor) serve(ctx context.Context, w http.ResponseWriter, q *request) {
	reply := &reply{conductor: c, writer: w, request: q}
	for {
		ticket, err := c.place(ctx, q)
		if err != nil {
			reply.giveUp(err)
			return
		}
		result := c.send(ctx, reply, ticket)
		if result == finished {
			q.outcome = measurer.Answered
			return
		}
		if !c.mayRepeat(q, result) {
			reply.giveUp(result.err())
			return
		}
		c.log.Info("request sent again", "request", q.id, "after", result.String(), "target", ticket.Target.ID, "sent", q.sent)
	}
}

// mayRepeat reports whether the request may go to another target.
func (c *Conductor) mayRepeat(q *request, result result) bool {
	if q.isOutOfTime(c.now()) || len(q.excluded) > mostTries {
		return false
	}
	if result == unreached {
		return true // no target has heard of it, so that it counts nowhere
	}
	if result != refused && (!q.route.IsRepeatable() || q.sent >= q.route.MaxAttempts) {
		return false
	}
	return c.budget.Repeat(q.service)
}

// errStops tells that the instance stops and waits for nothing more.
var errStops = errors.New("instance stops")

// mostTries bounds the targets that one request is offered to.
const mostTries = 4

// place finds a target, waiting for one where that can help.
func (c *Conductor) place(ctx context.Context, q *request) (*balancer.Ticket, error) {
	var askFrom time.Time // when an adapter may be asked for again
	for {
		changed, freed := c.registry.Changed(), c.balancer.Freed()
		ticket, err := c.balancer.Pick(c.registry.View(), balancer.Request{
			Service: q.service, Model: q.demand.Model, Adapter: q.demand.Adapter, Prompt: q.demand.Prompt,
			Tokens: q.demand.Tokens, Pause: float64(q.route.PauseMilliseconds), Affinity: q.affinity, Excluded: q.excluded,
		})
		if err == nil {
			return ticket, nil
		}
		if c.refusing.Load() {
			return nil, errStops
		}
		if errors.Is(err, balancer.ErrNoAdapter) && !c.now().Before(askFrom) {
			err := c.askAdapter(ctx, q)
			askFrom = c.now().Add(askAgainAfter)
			if err == nil {
				continue
			}
		}
		if errors.Is(err, balancer.ErrNoModel) {
			c.waiting(q.demand)
			if err := c.awaitModel(ctx, q); err != nil {
				return nil, err
			}
		}
		if !c.now().Before(q.patience(err)) {
			return nil, err
		}
		if !c.wait(ctx, q, changed, freed) {
			return nil, err
		}
	}
}

func (c *Conductor) askAdapter(ctx context.Context, q *request) error {
	ctx, cancel := context.WithDeadline(ctx, q.patience(balancer.ErrNoAdapter))
	defer cancel()
	err := c.ensureAdapter(ctx, q.service, q.demand.Model, q.demand.Adapter)
	if err != nil {
		c.log.Info("adapter not served", "request", q.id, "model", q.demand.Model, "adapter", q.demand.Adapter, "error", err.Error())
	}
	return err
}

// patience returns the deadline until which waiting may bring a target.
func (q *request) patience(reason error) time.Time {
	limit := q.arrived
	switch {
	case errors.Is(reason, balancer.ErrNoModel):
		return q.modelPatience()
	case errors.Is(reason, balancer.ErrNoAdapter):
		limit = limit.Add(adapterPatience)
	case errors.Is(reason, balancer.ErrFull):
		limit = limit.Add(time.Duration(fullPatience*float64(q.route.AimMilliseconds)) * time.Millisecond)
	}
	return q.leavingTime(limit)
}

// leavingTime returns a time until which the request may wait, or an earlier one that
// leaves a target the time to run it and its caller the time to hear of a refusal.
func (q *request) leavingTime(t time.Time) time.Time {
	most := time.Duration(waitShare * float64(q.deadline.Sub(q.arrived)))
	return q.arrived.Add(min(t.Sub(q.arrived), most))
}

// within returns a time, or the deadline of the request if that is earlier.
func (q *request) within(t time.Time) time.Time {
	if t.After(q.deadline) {
		return q.deadline
	}
	return t
}

// wait returns when a look for a target may succeed; false when the request ended.
func (c *Conductor) wait(ctx context.Context, q *request, changed, freed <-chan struct{}) bool {
	timer := time.NewTimer(min(recheckAfter, q.deadline.Sub(c.now())))
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-changed:
	case <-freed:
	case <-timer.C:
	}
	return true
}

// left returns the milliseconds until the final answer is due, for the header.
func (c *Conductor) left(q *request) string {
	return strconv.FormatInt(max(q.deadline.Sub(c.now()).Milliseconds(), 1), 10)
}

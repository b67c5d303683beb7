// Package conductor forwards a caller's request to a target, retries it on another target
// where its route allows that, and gives it exactly one final answer.
//
// It guarantees three things on every path. It answers that a request was not run only if
// no byte of the request can have reached a target, or if every target that it reached
// reported that it did not run it. A request whose route does not allow retries runs at most
// once. An answer is delivered as complete only if the target's answer was complete.
//
// Request bodies are read to their end before anything is sent: a target may answer
// before it has read a long body, and a retry needs the body again.
package conductor

import (
	"context"
	"net/http"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// minTimeLeft is the time before its deadline from which a request counts as out of
// time and is not sent again.
const minTimeLeft = 10 * time.Millisecond

// Demand describes what a request for a model asks of an engine.
type Demand struct {
	Service string
	Model   string
	Adapter string
	// PromptTokens is the number of tokens of the prompt, and Tokens the sum of these and of
	// the tokens to generate.
	PromptTokens int
	Tokens       int
}

// Conductor is the HTTP handler of callers' requests. The zero value is not usable; see
// New.
type Conductor struct {
	headers  Headers
	registry *registrar.Registrar
	balancer *balancer.Balancer
	budget   *budgeter.Budgeter
	limiter  *limiter.Limiter
	pools    *connector.Pools
	log      logr.Logger
	now      func() time.Time
	// demand is called for each request for a model, and modelWait for each attempt
	// to pick a target that fails because no target holds the model.
	demand    func(Demand)
	modelWait func(Demand)
	// streamEnd is called for each stream that a target has completed, with the time
	// that it took.
	streamEnd func(d Demand, took time.Duration)
	// ensureAdapter requests that an adapter is loaded. It returns nil once a target
	// serves the adapter, or the reason why none does.
	ensureAdapter func(ctx context.Context, service, model, adapter string) error
	// timeUntilServed returns the time until a target will serve a model that none serves
	// now, or the reason why none will.
	timeUntilServed  func(ctx context.Context, service, model string) (time.Duration, error)
	servingEstimates estimateCache
	// drainTime is how long a target takes requests after it has announced that it leaves.
	drainTime time.Duration
	// acquirePermit returns nil if the limit that a target names allows a request there now,
	// or a limiter.DeniedError.
	acquirePermit func(ctx context.Context, target *registrar.Target) error
	quarantine    Quarantine
	// chargeQuota is nil if there are no quotas.
	chargeQuota   ChargeQuota
	slots         Slots
	authenticator authenticator.Authenticator
	// hedger decides on second runs of requests; nil if there are none. hedgeEvent is called
	// for each event of one.
	hedger     *hedger.Hedger
	hedgeEvent func(HedgeEvent)
	// isRecent reports whether a route that the manifest does not have may be called unknown, and
	// routeUnconfirmed is called for each request on a route of which that is not known.
	isRecent         func() bool
	routeUnconfirmed func()
	// accountRefused is called for each request that is refused for its key.
	accountRefused func(reason error)
	// requestEnd is called when a request that was accepted ends.
	requestEnd func(measurer.Request)
	// answerEnd is called when an answer of a target that ran its request has ended.
	answerEnd func(measurer.Answer)
	// refusedBody is called when a request is refused for its body.
	refusedBody func(guarder.Cause)
	closing     atomic.Bool
	stop        atomic.Pointer[stopTimes]
	active      atomic.Int64
}

// Option configures a conductor in New.
type Option func(*Conductor)

// WithDemandObservers sets the functions that are called for each request for a model,
// and for each attempt to pick a target that fails because no target holds the model.
func WithDemandObservers(demand, modelWait func(Demand)) Option {
	return func(c *Conductor) { c.demand, c.modelWait = demand, modelWait }
}

// WithStreamObserver sets the function that is called for each stream that a target has
// completed.
func WithStreamObserver(streamEnd func(d Demand, took time.Duration)) Option {
	return func(c *Conductor) { c.streamEnd = streamEnd }
}

// WithAdapterLoader sets the function that requests that an adapter is loaded, and that
// waits for it.
func WithAdapterLoader(ensure func(ctx context.Context, service, model, adapter string) error) Option {
	return func(c *Conductor) { c.ensureAdapter = ensure }
}

// WithTimeUntilServed sets the function that returns the time until a model that no
// target serves will be served.
func WithTimeUntilServed(expect func(ctx context.Context, service, model string) (time.Duration, error)) Option {
	return func(c *Conductor) { c.timeUntilServed = expect }
}

// WithRequestObserver sets the function that is called for each request that ended. The
// Team of the measured request is the name of the route.
func WithRequestObserver(requestEnd func(measurer.Request)) Option {
	return func(c *Conductor) { c.requestEnd = requestEnd }
}

// WithAnswerObserver sets the function that is called for each answer of a target that has
// ended, complete or not.
func WithAnswerObserver(answerEnd func(measurer.Answer)) Option {
	return func(c *Conductor) { c.answerEnd = answerEnd }
}

// WithLimiter sets the limiter that keeps the limits which targets name, and the function
// that asks for a permit to send a request to a target. By default there are no limits.
func WithLimiter(l *limiter.Limiter, acquirePermit func(ctx context.Context, target *registrar.Target) error) Option {
	return func(c *Conductor) { c.limiter, c.acquirePermit = l, acquirePermit }
}

// WithRouteCheck sets the function that reports whether the manifest is known to be recent enough to call a route
// unknown, and the one that is called for each request that is refused since it is not. By default it always is.
func WithRouteCheck(isRecent func() bool, refused func()) Option {
	return func(c *Conductor) { c.isRecent, c.routeUnconfirmed = isRecent, refused }
}

// WithLog sets the logger. By default nothing is logged.
func WithLog(log logr.Logger) Option { return func(c *Conductor) { c.log = log } }

// New returns a conductor that forwards requests to the targets in registry.
func New(headers Headers, registry *registrar.Registrar, b *balancer.Balancer, budget *budgeter.Budgeter, options ...Option) *Conductor {
	c := &Conductor{
		headers: headers, registry: registry, balancer: b, budget: budget, limiter: limiter.New(limiter.Member{}, 1), pools: connector.NewPools(),
		log: logr.Discard(), now: time.Now, demand: func(Demand) {}, modelWait: func(Demand) {},
		streamEnd:        func(Demand, time.Duration) {},
		requestEnd:       func(measurer.Request) {},
		answerEnd:        func(measurer.Answer) {},
		refusedBody:      func(guarder.Cause) {},
		quarantine:       noQuarantine(),
		slots:            noSlots(),
		acquirePermit:    func(context.Context, *registrar.Target) error { return nil },
		ensureAdapter:    func(context.Context, string, string, string) error { return balancer.ErrNoAdapter },
		timeUntilServed:  func(context.Context, string, string) (time.Duration, error) { return 0, balancer.ErrNoModel },
		servingEstimates: estimateCache{byModel: map[modelKey]*servingEstimate{}},
		authenticator:    authenticator.Authenticator{View: registry.View, Currency: alwaysCurrent},
		isRecent:         func() bool { return true },
		routeUnconfirmed: func() {},
		accountRefused:   func(error) {},
	}
	for _, option := range options {
		option(c)
	}
	return c
}

func alwaysCurrent() (isConfirmed, isRecent bool) { return true, true }

// CloseConnections makes each answer from now on close its connection to the caller.
func (c *Conductor) CloseConnections() { c.closing.Store(true) }

// Active returns the number of requests that have no final answer yet.
func (c *Conductor) Active() int { return int(c.active.Load()) }

// Prune closes connections to targets that have been idle for too long and drops the expired
// estimates of when models are served.
func (c *Conductor) Prune() {
	c.pools.Prune(c.now())
	c.servingEstimates.prune(c.now())
}

// request is the state of a caller's request between its acceptance and its final answer.
type request struct {
	id          string
	httpRequest *http.Request
	body        []byte
	route       *registrar.Route
	// account is the account that the request is sent for; nil without one.
	account *registrar.Account
	// credential is what the caller says of its account, and hasAccounts reports whether that
	// counts.
	credential  authenticator.Credential
	hasAccounts bool
	// rank orders the request among those that wait, and at its target: 0 is first.
	rank    int
	service string
	// demand is what the request asks of an engine; its Model is empty for a plain
	// service.
	demand   Demand
	affinity uint64
	// parts holds the parts of the prompt that other requests may bear as well.
	parts   []string
	arrived time.Time
	// deadline is when the final answer is due.
	deadline time.Time
	// sent counts the sends of which at least a byte may have reached a target.
	sent int
	// mayHaveRun reports whether a target may have run the request or may still be
	// running it.
	mayHaveRun bool
	// content is the fingerprint of the content; zero until it is needed. See contentOf.
	content quarantiner.Fingerprint
	// run is the last send. isCut is set if its connection was cut, and silentSince if it ended while
	// the connection was open: when the target was last heard of.
	run         Run
	isCut       bool
	silentSince time.Time
	// status is that of the last answer of a target that ran the request.
	status   int
	excluded map[string]bool // the IDs of the targets that the request was offered to
	// unusedSlots counts the slots that were granted at targets that could not be used.
	unusedSlots int
	// isHedged reports that the request was sent to a second target before the first had failed.
	isHedged bool
	// outcome and firstByteAfter, the time from arrival to the first byte of an answer,
	// are for the metrics.
	outcome        measurer.Outcome
	firstByteAfter time.Duration
	// quotaEnd ends the charge to the quota of the account; nil without one.
	quotaEnd  func(hasRun bool)
	chargedAt time.Time
}

// ServeHTTP forwards one request and writes its final answer.
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
	defer c.observeEnd(q)
	c.serve(ctx, w, q)
}

// observeEnd reports how a request ended. It also runs when the answer is aborted by a
// panic.
func (c *Conductor) observeEnd(q *request) {
	q.endQuota()
	c.requestEnd(measurer.Request{
		Team: q.route.Name, Class: q.service, Outcome: q.outcome, Elapsed: c.now().Sub(q.arrived), UntilFirstByte: q.firstByteAfter,
	})
}

// serve sends the request to one target after another until it has its final answer.
func (c *Conductor) serve(ctx context.Context, w http.ResponseWriter, q *request) {
	reply := &reply{conductor: c, writer: w, request: q}
	for {
		ticket, err := c.pickTarget(ctx, q)
		if err != nil {
			reply.finishWithError(err)
			return
		}
		if err := c.renewCharge(q); err != nil {
			ticket.End(balancer.Abandoned)
			c.observeRunEnd(ctx, q, unreached)
			reply.finishWithError(err)
			return
		}
		result := c.sendHedged(ctx, reply, ticket)
		if result == finished {
			q.outcome = measurer.Answered
			return
		}
		if !reply.canContinue() || !c.mayRetry(q, result) {
			reply.finishWithError(result.err())
			return
		}
		c.log.Info("request sent again", "request", q.id, "after", result.String(), "target", ticket.Target.ID, "sent", q.sent)
	}
}

// mayRetry reports whether the request may be sent to another target.
func (c *Conductor) mayRetry(q *request, result result) bool {
	if q.isOutOfTime(c.now()) || len(q.excluded) > maxExcluded {
		return false
	}
	if result == unreached {
		return true // no target received it, so that it uses no retry budget
	}
	if result != refused && (!q.route.IsRepeatable() || q.sent >= q.route.MaxAttempts) {
		return false
	}
	return c.budget.AllowRetry(q.service)
}

// maxExcluded bounds retries: a request that was offered to more targets is not sent
// again.
const maxExcluded = 4

// millisecondsLeft returns the milliseconds until the final answer is due, at least 1, as
// the value of the deadline header.
func (c *Conductor) millisecondsLeft(q *request) string {
	return strconv.FormatInt(max(q.deadline.Sub(c.now()).Milliseconds(), 1), 10)
}

package conductor

import (
	"context"
	"maps"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
)

// HedgeEvent is something that is counted of second runs.
type HedgeEvent string

// Events of second runs.
const (
	// HedgeSent and HedgeWon count the second runs, and those whose answer the caller got.
	HedgeSent HedgeEvent = "Sent"
	HedgeWon  HedgeEvent = "Won"
	// HedgeNoRoom and HedgeNoBudget count the requests that had none when it was due, since no
	// other target had idle room, or since the limit was reached.
	HedgeNoRoom   HedgeEvent = "NoRoom"
	HedgeNoBudget HedgeEvent = "NoBudget"
)

// WithHedger sets what decides on second runs of requests, and the function that is called for
// each event of one. By default there are none.
func WithHedger(h *hedger.Hedger, observe func(HedgeEvent)) Option {
	return func(c *Conductor) {
		if h.Share() > 0 {
			c.hedger, c.hedgeEvent = h, observe
		}
	}
}

// sendHedged sends the request to a target and, if there is no good answer for long, to a second
// one as well. It relays the first good answer.
func (c *Conductor) sendHedged(ctx context.Context, reply *reply, ticket *balancer.Ticket) result {
	if c.hedger == nil {
		return c.sendOnce(ctx, reply, ticket)
	}
	ask := c.hedgeAsk(reply)
	if !ask.IsEligible() {
		return c.sendOnce(ctx, reply, ticket)
	}
	return c.sendRaced(ctx, reply, ticket, ask)
}

// sendRaced sends a request that may have a second run.
func (c *Conductor) sendRaced(ctx context.Context, reply *reply, ticket *balancer.Ticket, ask hedger.Ask) result {
	q := reply.request
	delay, isHedged := c.hedger.Delay(c.now(), q.deadline, ask)
	race := newRace(ctx, c.now)
	defer race.cancelAll()
	reply.race = race
	defer func() { reply.race = nil }()
	if !isHedged {
		result := c.sendOnce(race.contexts[firstRun], reply, ticket)
		c.observeRun(ask.Route, race, ticket)
		return result
	}
	second := newSecond(c, reply, ticket)
	timer := time.AfterFunc(delay, second.run)
	first := c.send(race.contexts[firstRun], reply, ticket)
	race.endFirst()
	isSent := !timer.Stop()
	// A request that is cut may become a suspect: no second run begins from here on.
	c.observeRunEnd(race.contexts[firstRun], q, first)
	c.observeRun(ask.Route, race, ticket)
	if !isSent {
		return first
	}
	if first == finished {
		second.flushIfRunning()
	}
	<-second.done
	if second.panicked != nil {
		panic(second.panicked)
	}
	return reply.join(second, first)
}

// sendOnce sends the request to one target and reports how the run has ended.
func (c *Conductor) sendOnce(ctx context.Context, reply *reply, ticket *balancer.Ticket) result {
	result := c.send(ctx, reply, ticket)
	c.observeRunEnd(ctx, reply.request, result)
	return result
}

// pool returns the targets that can serve the request.
func (q *request) pool() hedger.Pool { return hedger.Pool{Service: q.service, Model: q.demand.Model} }

func (c *Conductor) hedgeAsk(reply *reply) hedger.Ask {
	q := reply.request
	return hedger.Ask{
		Route: hedger.Route{Host: q.route.Host, Prefix: q.route.Prefix, Service: q.service}, Model: q.demand.Model,
		IsRepeatable: q.route.IsRepeatable(), HasBegun: reply.headSent, IsHedged: q.isHedged,
		IsSuspect: q.run.IsTrial || q.run.IsHeldAgainst, IsAllocated: q.demand.Model == "" && c.slots.IsScarce(q.service),
		Sent: q.sent, MaxAttempts: q.route.MaxAttempts,
	}
}

// observeRun records how long the first run took to a good answer, or until it was given up.
func (c *Conductor) observeRun(route hedger.Route, race *race, ticket *balancer.Ticket) {
	if claimedAt := race.claimedAt.Load(); claimedAt != nil {
		c.hedger.Observe(c.now(), route, claimedAt.Sub(ticket.ChosenAt()))
	}
}

// noteShort records that no target of a request had room.
func (c *Conductor) noteShort(q *request, cause error) {
	if c.hedger != nil && errors.Is(cause, balancer.ErrFull) {
		c.hedger.NoteShort(c.now(), q.pool())
	}
}

// second is the second run of a request. It has a request and a reply of its own, so that it
// shares with the first one only what does not change, and the race.
type second struct {
	conductor *Conductor
	reply     *reply
	first     *balancer.Ticket
	// sentBefore is the number of sends before both runs.
	sentBefore int
	// isSent and result are valid once done is closed. panicked is what a panic was called with.
	isSent   bool
	result   result
	panicked any
	done     chan struct{}
}

func newSecond(c *Conductor, first *reply, ticket *balancer.Ticket) *second {
	q := *first.request
	q.excluded = maps.Clone(q.excluded)
	q.excluded[ticket.Target.ID] = true
	q.isHedged = true
	out := &reply{conductor: c, writer: first.writer, request: &q, race: first.race, number: secondRun}
	return &second{conductor: c, reply: out, first: ticket, sentBefore: q.sent, result: unreached, done: make(chan struct{})}
}

// run sends the request to a second target if one has room, and relays its answer if that is
// the first good one.
func (s *second) run() {
	defer close(s.done)
	defer func() {
		if s.panicked = recover(); s.panicked != nil {
			s.reply.race.cancelAll()
		}
	}()
	c, q, ctx := s.conductor, s.reply.request, s.reply.race.contexts[secondRun]
	ticket := c.pickSecond(ctx, s.reply)
	if ticket == nil {
		return
	}
	s.isSent = true
	s.reply.race.isSecondRunning.Store(true)
	defer s.reply.race.isSecondRunning.Store(false)
	c.hedgeEvent(HedgeSent)
	c.log.Info("request sent to second target", "request", q.id, "first", s.first.Target.ID, "target", ticket.Target.ID,
		"sinceChoiceMilliseconds", c.now().Sub(s.first.ChosenAt()).Milliseconds(), "sent", q.sent)
	s.result = c.sendOnce(ctx, s.reply, ticket)
	if s.result == refused {
		c.hedger.NoteShort(c.now(), q.pool())
	}
	if s.reply.race.isWonBy(secondRun) {
		c.hedgeEvent(HedgeWon)
		c.log.Info("second target answered first", "request", q.id, "target", ticket.Target.ID, "result", s.result.String())
	}
}

// flushIfRunning sends what the caller gets at once if the second run has not ended yet.
func (s *second) flushIfRunning() {
	select {
	case <-s.done:
	default:
		if err := http.NewResponseController(s.reply.writer).Flush(); err != nil {
			s.conductor.log.V(1).Info("cannot flush the answer to the caller", "request", s.reply.request.id, "error", err.Error())
		}
	}
}

// pickSecond returns a target for the second run of a request, with the request counted there,
// or nil if it gets none.
func (c *Conductor) pickSecond(ctx context.Context, reply *reply) *balancer.Ticket {
	q, race := reply.request, reply.race
	pool := q.pool()
	if !race.isOpen() || c.isRefusing() || q.isOutOfTime(c.now()) || !c.hedger.MayStart(c.now(), pool) {
		return nil
	}
	if c.checkSecondAccount(q) != nil || c.isSuspect(q) || (q.demand.Model == "" && c.slots.IsScarce(q.service)) {
		return nil
	}
	r := q.balancerRequest()
	r.IsHedge = true
	ticket, err := c.balancer.Pick(c.registry.View(), r)
	if err != nil {
		c.hedgeEvent(HedgeNoRoom)
		if errors.Is(err, balancer.ErrShort) {
			c.hedger.NoteShort(c.now(), hedger.Pool{Service: q.service})
		}
		return nil
	}
	if limit, _ := c.limiter.Limit(ticket.Target.ID); limit.IsNamed {
		ticket.End(balancer.Abandoned)
		c.hedgeEvent(HedgeNoRoom)
		return nil
	}
	if !c.budget.AllowHedge(q.service, c.hedger.Share()) {
		ticket.End(balancer.Abandoned)
		c.hedgeEvent(HedgeNoBudget)
		return nil
	}
	if !c.beginSecond(ctx, reply, ticket) {
		ticket.End(balancer.Abandoned)
		return nil
	}
	return ticket
}

// beginSecond reports whether the second run may be sent, by all that is checked before a send.
func (c *Conductor) beginSecond(ctx context.Context, reply *reply, ticket *balancer.Ticket) bool {
	q := reply.request
	if c.beginRun(ctx, q, ticket.Target) != nil {
		return false
	}
	err := c.acquirePermit(ctx, ticket.Target)
	if err == nil {
		err = c.checkSecondAccount(q)
	}
	if err == nil && !q.run.IsTrial && !q.run.IsHeldAgainst && reply.race.isOpen() && !c.isRefusing() {
		return true
	}
	c.cancelRun(q)
	return false
}

// errNotCharged means that the first run was not charged to the quota of the account that the
// request has now.
var errNotCharged = errors.New("account has changed since the first run")

// checkSecondAccount returns why the second run may not be sent as far as its account goes.
func (c *Conductor) checkSecondAccount(q *request) error {
	before := q.account
	if err := c.checkAccount(q); err != nil {
		return err
	}
	if q.account != before {
		return errNotCharged
	}
	return nil
}

// isSuspect reports whether something is held against a trait of the request.
func (c *Conductor) isSuspect(q *request) bool {
	if c.quarantine.IsEmpty() {
		return false
	}
	run := Run{Service: q.service, Content: c.contentOf(q), Parts: q.parts}
	isSuspect, err := c.quarantine.Check(run.Traits())
	return isSuspect || err != nil
}

// join takes over what the second run has left, and returns the result of both.
func (r *reply) join(s *second, first result) result {
	if !s.isSent {
		return first
	}
	q, other := r.request, s.reply.request
	q.isHedged = true
	q.sent += other.sent - s.sentBefore
	q.mayHaveRun = q.mayHaveRun || other.mayHaveRun
	maps.Copy(q.excluded, other.excluded)
	isHeldAgainst := q.run.IsHeldAgainst || other.run.IsHeldAgainst
	defer func() { q.run.IsHeldAgainst = isHeldAgainst }()
	if r.race.isWonBy(secondRun) {
		q.run, q.status, q.firstByteAfter = other.run, other.status, other.firstByteAfter
		r.headSent, r.pendingHeader, r.mediaType, r.lastEvent = s.reply.headSent, s.reply.pendingHeader, s.reply.mediaType, s.reply.lastEvent
		return s.result
	}
	if r.race.isWonBy(firstRun) {
		return first
	}
	if r.fallback == nil {
		r.fallback = s.reply.fallback
	}
	return max(first, s.result) // the results are in the order of what the targets may have done
}

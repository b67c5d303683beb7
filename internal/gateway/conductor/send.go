package conductor

import (
	"context"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// result is how a send to a target ended for the request.
type result int

const (
	// finished requests have their final answer.
	finished result = iota
	// unreached: no byte left for the target.
	unreached
	// refused: the target says that it did not run the request.
	refused
	// failed: the target answered that it failed, and a repeat is allowed.
	failed
	// lost: no whole answer came; the request may have run.
	lost
)

var resultNames = map[result]string{
	finished: "finished", unreached: "unreached", refused: "refused by target", failed: "failed at target", lost: "answer lost",
}

func (r result) String() string { return resultNames[r] }

func (r result) err() error { return errors.New(r.String()) }

// MostBody bounds the body of an answer, in bytes: one that goes on is not an answer.
const MostBody = 64 << 20

const (
	// maxBuffered bounds the answers that are read whole before they are relayed, so
	// that one that ends early can still be replaced.
	maxBuffered = 64 << 10
	// maxRefusal bounds the body of a refusal, and refusalTime how long it is waited
	// for: it comes with its head, and the request waits meanwhile.
	maxRefusal  = 8 << 10
	refusalTime = 50 * time.Millisecond
)

// send offers the request to a target and relays its answer.
func (c *Conductor) send(ctx context.Context, reply *reply, ticket *balancer.Ticket) result {
	q := reply.request
	target := ticket.Target
	call := connector.Call{
		Request: c.buildRequest(q, reply, target), Context: ctx, FirstByte: q.deadline, Until: q.deadline,
	}
	answer, err := c.pools.For(target.Address).Do(call)
	fasthttp.ReleaseRequest(call.Request)
	q.excluded[target.ID] = true
	if errors.Is(err, connector.ErrNotSent) {
		ticket.End(unreachedOutcome(ctx))
		return unreached
	}
	q.sent++
	if err != nil {
		q.mayRun = true
		ticket.End(lostOutcome(ctx))
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.log.Info("no answer from target", "request", q.id, "target", target.ID, "error", err.Error(),
				"sinceChoiceMilliseconds", c.now().Sub(ticket.Since()).Milliseconds())
		}
		return lost
	}
	defer answer.Close()
	if err := c.passOverForeign(q, target, answer); err != nil {
		answer.Discard()
		q.mayRun = true
		ticket.End(balancer.Failed)
		c.log.Info("no answer of its own from target", "request", q.id, "target", target.ID, "error", err.Error())
		return lost
	}
	ticket.FirstByte()
	q.first = c.now().Sub(q.arrived)
	return c.relay(ctx, reply, ticket, answer)
}

// errForeign tells that an answer belongs to another request.
var errForeign = errors.New("answer belongs to another request")

// mostForeign bounds the answers to other requests that are passed over.
const mostForeign = 2

// passOverForeign passes over answers that belong to other requests, which a target may
// send twice or late, to the one of this request. A request that may run again does not
// wait for it.
func (c *Conductor) passOverForeign(q *request, target *registrar.Target, answer *connector.Answer) error {
	for range mostForeign + 1 {
		id := string(answer.Header.Peek(c.headers.RequestID))
		if id == q.id {
			return nil
		}
		c.log.Info("answer belongs to another request", "request", q.id, "target", target.ID, "belongsTo", id)
		if q.route.IsRepeatable() {
			return errForeign
		}
		if err := answer.Next(); err != nil {
			return err
		}
	}
	return errForeign
}

// unreachedOutcome blames the target for a failed connection unless the request
// had ended.
func unreachedOutcome(ctx context.Context) balancer.Outcome {
	if ctx.Err() != nil {
		return balancer.Abandoned
	}
	return balancer.Unreached
}

func lostOutcome(ctx context.Context) balancer.Outcome {
	if errors.Is(ctx.Err(), context.Canceled) {
		return balancer.Abandoned
	}
	return balancer.Lost
}

func (c *Conductor) buildRequest(q *request, reply *reply, target *registrar.Target) *fasthttp.Request {
	out := fasthttp.AcquireRequest()
	h := &out.Header
	h.DisableNormalizing()
	h.SetNoDefaultContentType(true)
	h.SetMethod(q.http.Method)
	h.SetRequestURI(q.http.RequestURI)
	h.SetHost(q.http.Host)
	c.headers.copyRequest(h, q.http.Header)
	h.Set(c.headers.Deadline, c.left(q))
	h.Set(c.headers.ExpectInstance, target.ID)
	if q.demand.Model != "" {
		h.Set(c.headers.Priority, strconv.Itoa(min(max(q.route.Priority, 0), 9)))
	}
	if reply.lastEvent != "" {
		h.Set(c.headers.LastEvent, reply.lastEvent)
	}
	if len(q.body) > 0 {
		out.SetBodyRaw(q.body)
	}
	return out
}

// relay hands the answer of a target to the caller, or says why it is not to be.
func (c *Conductor) relay(ctx context.Context, reply *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := reply.request
	status := answer.Header.StatusCode()
	if len(answer.Header.Peek(c.headers.NotRun)) > 0 || status == c.headers.MisdirectedAt {
		return c.takeRefusal(q, ticket, answer)
	}
	q.mayRun = true
	if len(answer.Header.Peek(c.headers.Stamp)) == 0 {
		answer.Discard()
		ticket.End(balancer.Failed)
		c.log.Info("answer without stamp", "request", q.id, "target", ticket.Target.ID, "status", status)
		return lost
	}
	if q.route.Kind == registrar.Streaming && status == http.StatusOK {
		return c.relayStream(ctx, reply, ticket, answer)
	}
	if reply.begun {
		answer.Discard()
		ticket.End(balancer.Failed)
		return lost
	}
	return c.relayWhole(ctx, reply, ticket, answer)
}

// takeRefusal reads the refusal of a target so that its connection can be used again.
func (c *Conductor) takeRefusal(q *request, ticket *balancer.Ticket, answer *connector.Answer) result {
	status := answer.Header.StatusCode()
	answer.SetUntil(q.within(c.now().Add(refusalTime)))
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxRefusal)); err != nil {
		c.log.V(1).Info("refusal cut", "request", q.id, "error", err.Error())
	}
	c.log.Info("target refused", "request", q.id, "target", ticket.Target.ID, "status", status, "model", q.demand.Model, "adapter", q.demand.Adapter)
	if status == c.headers.MisdirectedAt && q.demand.Model != "" {
		c.balancer.Overlay(balancer.Overlay{
			Target: ticket.Target.ID, Model: q.demand.Model, Adapter: q.demand.Adapter, Since: c.now(),
		})
	}
	ticket.End(balancer.Shed)
	return refused
}

// relayWhole reads an answer to its end before it goes to the caller, up to a size.
func (c *Conductor) relayWhole(ctx context.Context, reply *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := reply.request
	body, err := io.ReadAll(io.LimitReader(answer, maxBuffered))
	if err != nil {
		ticket.End(lostOutcome(ctx))
		c.log.Info("answer cut by target", "request", q.id, "target", ticket.Target.ID, "error", err.Error())
		return lost
	}
	status := answer.Header.StatusCode()
	if status >= http.StatusInternalServerError {
		ticket.End(balancer.Failed)
		if q.route.IsRepeatable() && len(body) < maxBuffered {
			reply.fallback = &whole{status: status, header: http.Header{}, body: body}
			copyAnswer(reply.fallback.header, &answer.Header)
			return failed
		}
	}
	copyAnswer(reply.writer.Header(), &answer.Header)
	if len(body) < maxBuffered {
		ticket.End(balancer.Answered)
		reply.deliver(status, body)
		return finished
	}
	return reply.relayLong(ctx, ticket, answer, body)
}

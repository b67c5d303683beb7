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

// result is the outcome of sending a request to a target.
type result int

const (
	// finished: the final answer was delivered.
	finished result = iota
	// unreached: no byte was sent to the target.
	unreached
	// refused: the target reported that it did not run the request.
	refused
	// failed: the target answered with an error, and a retry is allowed.
	failed
	// lost: no complete answer was received; the request may have run.
	lost
)

var resultNames = map[result]string{
	finished: "finished", unreached: "unreached", refused: "refused by target", failed: "failed at target", lost: "answer lost",
}

func (r result) String() string { return resultNames[r] }

func (r result) err() error { return errors.New(r.String()) }

// MaxAnswerBytes bounds the body of an answer. A longer one is treated as endless and cut
// off.
const MaxAnswerBytes = 64 << 20

const (
	// maxBufferedBytes bounds the answers that are read to their end before they are
	// relayed, so that one that ends early can still be replaced.
	maxBufferedBytes = 64 << 10
	// maxRefusalBytes bounds the body of a target's refusal, and refusalReadTimeout the
	// time to read it: targets send it together with its head, and the request waits
	// meanwhile.
	maxRefusalBytes    = 8 << 10
	refusalReadTimeout = 50 * time.Millisecond
)

// send sends the request to a target and relays its answer.
func (c *Conductor) send(ctx context.Context, reply *reply, ticket *balancer.Ticket) result {
	q := reply.request
	target := ticket.Target
	call := connector.Call{
		Request: c.buildRequest(q, reply, target), Context: ctx, FirstByte: q.deadline, AnswerDeadline: q.deadline,
		IsWithdrawn: func() bool { return !c.takesRequests(target) },
	}
	sentAt := c.noteSend(q, target)
	answer, err := c.pools.For(target.Address).Do(call)
	fasthttp.ReleaseRequest(call.Request)
	q.excluded[target.ID] = true
	if errors.Is(err, connector.ErrNotSent) {
		ticket.End(unreachedOutcome(ctx, err))
		return unreached
	}
	q.sent++
	if err != nil {
		q.mayHaveRun = true
		ticket.End(lostOutcome(ctx))
		if !reply.isBeaten() {
			q.noteLoss(err, q.run.SentAt)
		}
		if !errors.Is(ctx.Err(), context.Canceled) {
			c.log.Info("no answer from target", "request", q.id, "target", target.ID, "error", err.Error(),
				"sinceChoiceMilliseconds", c.now().Sub(ticket.ChosenAt()).Milliseconds())
		}
		return lost
	}
	defer answer.Close()
	if err := c.skipOtherAnswers(q, target, answer); err != nil {
		answer.Discard()
		q.mayHaveRun = true
		ticket.End(balancer.Failed)
		c.log.Info("target did not answer this request", "request", q.id, "target", target.ID, "error", err.Error())
		return lost
	}
	c.observeLimit(target, answer, sentAt)
	c.observeNotices(target, answer)
	ticket.FirstByte()
	q.firstByteAfter = c.now().Sub(q.arrived)
	return c.relay(ctx, reply, ticket, answer)
}

// errAnswerMismatch reports that the ID in an answer is that of another request.
var errAnswerMismatch = errors.New("answer belongs to another request")

// maxSkippedAnswers bounds the answers to other requests that are skipped on a
// connection.
const maxSkippedAnswers = 2

// skipOtherAnswers skips answers to other requests, which a target may send twice or
// late, up to the answer to this request. It fails at once for a repeatable request,
// which is sent again instead of waiting.
func (c *Conductor) skipOtherAnswers(q *request, target *registrar.Target, answer *connector.Answer) error {
	for range maxSkippedAnswers + 1 {
		id := string(answer.Header.Peek(c.headers.RequestID))
		if id == q.id {
			return nil
		}
		c.log.Info("answer belongs to another request", "request", q.id, "target", target.ID, "belongsTo", id)
		if q.route.IsRepeatable() {
			return errAnswerMismatch
		}
		if err := answer.Next(); err != nil {
			return err
		}
	}
	return errAnswerMismatch
}

// takesRequests reports whether the target that was chosen may still be sent a request. Between the
// choice and the send, the request may have waited for a permit or a connection, while the target
// has become known as leaving, was replaced, or has left the target table.
func (c *Conductor) takesRequests(target *registrar.Target) bool {
	known := c.registry.View().Targets[target.ID]
	return known != nil && known.StartMilliseconds == target.StartMilliseconds && !known.Leaving && !c.balancer.HasLeft(target)
}

// unreachedOutcome returns the balancer outcome of a request that could not be sent: it
// counts against the target unless the request had already ended or was withdrawn.
func unreachedOutcome(ctx context.Context, err error) balancer.Outcome {
	if ctx.Err() != nil || errors.Is(err, connector.ErrWithdrawn) {
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
	h.SetMethod(q.httpRequest.Method)
	h.SetRequestURI(q.httpRequest.RequestURI)
	h.SetHost(q.httpRequest.Host)
	c.headers.copyRequestHeaders(h, q.httpRequest.Header, q.hasAccounts)
	if q.account != nil {
		h.Set(c.headers.AccountName, q.account.Name)
	}
	h.Set(c.headers.Deadline, c.millisecondsLeft(q))
	h.Set(c.headers.ExpectInstance, target.ID)
	if q.demand.Model != "" {
		h.Set(c.headers.Priority, strconv.Itoa(q.rank))
	}
	if reply.lastEvent != "" {
		h.Set(c.headers.LastEvent, reply.lastEvent)
	}
	if len(q.body) > 0 {
		out.SetBodyRaw(q.body)
	}
	return out
}

// relay relays the answer of a target to the caller, or returns the reason why it cannot.
func (c *Conductor) relay(ctx context.Context, reply *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := reply.request
	status := answer.Header.StatusCode()
	if len(answer.Header.Peek(c.headers.NotRun)) > 0 || status == c.headers.MisdirectedStatus {
		return c.handleRefusal(q, ticket, answer)
	}
	q.mayHaveRun = true
	q.status = status
	if len(answer.Header.Peek(c.headers.Stamp)) == 0 {
		answer.Discard()
		ticket.End(balancer.Failed)
		c.log.Info("answer without stamp", "request", q.id, "target", ticket.Target.ID, "status", status)
		return lost
	}
	if q.route.Kind == registrar.Streaming && status == http.StatusOK {
		return c.relayStream(ctx, reply, ticket, answer)
	}
	if reply.headSent {
		answer.Discard()
		ticket.End(balancer.Failed)
		return lost
	}
	return c.relayBuffered(ctx, reply, ticket, answer)
}

// handleRefusal reads the refusal of a target to its end, so that the connection can be
// reused. If the target reports that it does not hold the model, the balancer is given an
// overlay that says so.
func (c *Conductor) handleRefusal(q *request, ticket *balancer.Ticket, answer *connector.Answer) result {
	status := answer.Header.StatusCode()
	answer.SetDeadline(q.capAtDeadline(c.now().Add(refusalReadTimeout)))
	if _, err := io.Copy(io.Discard, io.LimitReader(answer, maxRefusalBytes)); err != nil {
		c.log.V(1).Info("cannot read the refusal of a target", "request", q.id, "error", err.Error())
	}
	c.log.Info("target refused", "request", q.id, "target", ticket.Target.ID, "status", status, "model", q.demand.Model, "adapter", q.demand.Adapter)
	if status == c.headers.MisdirectedStatus && q.demand.Model != "" {
		c.balancer.Overlay(balancer.Overlay{
			Target: ticket.Target.ID, Model: q.demand.Model, Adapter: q.demand.Adapter, Since: c.now(),
		})
	}
	ticket.End(balancer.Shed)
	return refused
}

// relayBuffered reads an answer of up to maxBufferedBytes to its end before it sends it
// to the caller. Longer answers are relayed while they are read.
func (c *Conductor) relayBuffered(ctx context.Context, reply *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := reply.request
	body, err := io.ReadAll(io.LimitReader(answer, maxBufferedBytes))
	q.run.HasBegun = len(body) > 0
	holdOf(q.httpRequest).Relay(int64(cap(body)))
	if err == nil && len(body) < maxBufferedBytes {
		err = c.checkEnd(ctx, ticket.Target, answer)
	}
	if reply.isBeaten() { // its connection is closed by this instance, which says nothing of the target
		ticket.End(balancer.Abandoned)
		return lost
	}
	if err != nil {
		ticket.End(lostOutcome(ctx))
		q.noteLoss(err, answer.LastHeard())
		c.noteAnswerEnd(answer, false)
		c.log.Info("answer cut by target", "request", q.id, "target", ticket.Target.ID, "framing", answer.Framing().String(), "error", err.Error())
		return lost
	}
	status := answer.Header.StatusCode()
	isWhole := len(body) < maxBufferedBytes
	if isWhole {
		c.noteAnswerEnd(answer, true)
	}
	if status >= http.StatusInternalServerError {
		ticket.End(balancer.Failed)
		if q.route.IsRepeatable() && isWhole {
			reply.fallback = &bufferedAnswer{status: status, header: http.Header{}, body: body}
			copyAnswerHeaders(reply.fallback.header, &answer.Header)
			return failed
		}
		if reply.canOtherWin() {
			return failed // an answer that is not good does not end the other run
		}
	}
	if !reply.claim() {
		ticket.End(balancer.Abandoned)
		return lost
	}
	copyAnswerHeaders(reply.writer.Header(), &answer.Header)
	if isWhole {
		ticket.End(balancer.Answered)
		reply.deliver(status, body)
		return finished
	}
	return reply.relayUnbuffered(ctx, ticket, answer, body)
}

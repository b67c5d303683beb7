package conductor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"strconv"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

// reply is the state of the answer to a caller.
type reply struct {
	conductor *Conductor
	writer    http.ResponseWriter
	request   *request
	// headSent reports whether the status line and the headers have been sent to the
	// caller.
	headSent bool
	// pendingHeader holds the headers of a stream until they are sent with its first
	// event.
	pendingHeader http.Header
	// mediaType is the content type of the stream that has begun, without parameters.
	mediaType string
	// lastEvent is the ID of the last event that was sent to the caller.
	lastEvent string
	// fallback is a target's error answer. It is delivered if a retry gets no better
	// one.
	fallback *bufferedAnswer
	// race decides whether this run answers the caller; nil if there is no other. number is
	// that of this run.
	race   *race
	number int
}

// bufferedAnswer is an answer that was read to its end.
type bufferedAnswer struct {
	status int
	header http.Header
	body   []byte
}

// canContinue reports whether another answer can follow what was sent to the caller: what
// has begun goes on only behind an event with an ID.
func (r *reply) canContinue() bool { return !r.headSent || r.lastEvent != "" }

// deliverFallback delivers the error answer of a target; it returns false if there is
// none.
func (r *reply) deliverFallback() bool {
	if r.fallback == nil {
		return false
	}
	for name, values := range r.fallback.header {
		r.writer.Header()[name] = values
	}
	r.deliver(r.fallback.status, r.fallback.body)
	return true
}

// deliver writes a complete answer whose headers are already set.
func (r *reply) deliver(status int, body []byte) {
	r.headSent = true
	if r.request.httpRequest.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(status)
	if _, err := r.writer.Write(body); err != nil {
		r.conductor.log.V(1).Info("cannot write the answer to the caller", "request", r.request.id, "error", err.Error())
	}
}

// relayBufferBytes is the size of the buffer through which io.Copy relays an answer.
const relayBufferBytes = 32 << 10

// relayUnbuffered relays an answer that is too long to be read to its end first. If the
// answer ends early or reaches MaxAnswerBytes, the connection to the caller is aborted.
func (r *reply) relayUnbuffered(ctx context.Context, ticket *balancer.Ticket, answer *connector.Answer, head []byte) result {
	r.headSent = true
	holdOf(r.request.httpRequest).Relay(relayBufferBytes)
	r.writer.WriteHeader(answer.Header.StatusCode())
	n, err := io.Copy(r.writer, io.LimitReader(io.MultiReader(bytes.NewReader(head), answer), MaxAnswerBytes))
	if err == nil {
		err = r.conductor.checkEnd(ctx, ticket.Target, answer)
	}
	isWhole := err == nil && n < MaxAnswerBytes
	r.conductor.noteAnswerEnd(answer, isWhole)
	if !isWhole {
		ticket.End(lostOutcome(ctx))
		r.request.noteLoss(err, answer.LastHeard())
		return lost
	}
	ticket.End(balancer.Answered)
	return finished
}

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

// reply is the answer to a caller as far as it has come.
type reply struct {
	conductor *Conductor
	writer    http.ResponseWriter
	request   *request
	// begun tells that the head of the answer has gone to the caller.
	begun bool
	// head holds the headers of a stream that go out with its first event.
	head http.Header
	// lastEvent is the ID of the last event that went to the caller.
	lastEvent string
	// fallback is a target's answer that tells of a failure; it is delivered if a
	// repeat brings no better one.
	fallback *whole
}

// whole is an answer that was read to its end.
type whole struct {
	status int
	header http.Header
	body   []byte
}

// deliverFallback delivers the failure that a target answered; false if there is none.
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

// deliver writes a whole answer whose headers are set.
func (r *reply) deliver(status int, body []byte) {
	r.begun = true
	if r.request.http.Method != http.MethodHead && status != http.StatusNoContent && status != http.StatusNotModified {
		r.writer.Header().Set("Content-Length", strconv.Itoa(len(body)))
	}
	r.writer.WriteHeader(status)
	if _, err := r.writer.Write(body); err != nil {
		r.conductor.log.V(1).Info("answer not delivered", "request", r.request.id, "error", err.Error())
	}
}

// relayLong relays an answer that is too long to be read whole first. One that
// ends early, or does not end, breaks the connection to the caller.
func (r *reply) relayLong(ctx context.Context, ticket *balancer.Ticket, answer *connector.Answer, head []byte) result {
	r.begun = true
	r.writer.WriteHeader(answer.Header.StatusCode())
	n, err := io.Copy(r.writer, io.LimitReader(io.MultiReader(bytes.NewReader(head), answer), MostBody))
	if err != nil || n == MostBody {
		ticket.End(lostOutcome(ctx))
		return lost
	}
	ticket.End(balancer.Answered)
	return finished
}

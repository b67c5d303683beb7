package conductor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/splitter"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

const (
	// maxEventBytes bounds an event.
	maxEventBytes = 64 << 10
	// stallFactor is how many times as long as callers are assumed to wait for an event a
	// target may send parts of one: some callers may wait longer than others.
	stallFactor = 1.5
)

// relayStream relays events as they arrive. It sends only complete events, so that
// another target can resume the stream after the last of them.
func (c *Conductor) relayStream(ctx context.Context, r *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := r.request
	flusher := http.NewResponseController(r.writer)
	next, err := r.newContinuation(string(answer.Header.ContentType()))
	if err != nil {
		return c.rejectContinuation(q, ticket, answer, err)
	}
	if !r.headSent {
		// The headers are sent with the first event. Until then the answer can still be
		// replaced by another one.
		r.pendingHeader = http.Header{}
		copyAnswerHeaders(r.pendingHeader, &answer.Header)
	}
	stream := splitter.New(answer)
	gaps := gapMeter{last: c.now()}
	for {
		events, readErr := stream.Next()
		if r.isBeaten() {
			ticket.End(balancer.Abandoned)
			return lost
		}
		if len(events) > 0 {
			if err := next.check(events); err != nil {
				return c.rejectContinuation(q, ticket, answer, err)
			}
			if !r.claim() {
				ticket.End(balancer.Abandoned)
				return lost
			}
			if err := r.writeEvents(flusher, events); err != nil {
				ticket.End(balancer.Abandoned)
				return lost
			}
			gaps.mark(c.now())
			q.run.HasBegun = true
		}
		switch {
		case errors.Is(readErr, io.EOF) && next.isEmpty():
			return c.rejectContinuation(q, ticket, answer, errors.Wrap(errNoContinuation, "no events"))
		case readErr != nil:
			return c.endStream(ctx, r, ticket, answer, streamEnd{cause: readErr, unfinishedBytes: stream.Unfinished(), longestGap: gaps.longest})
		case stream.Unfinished() > maxEventBytes || gaps.isStalled(c.now(), q):
			ticket.End(balancer.Failed)
			c.log.Info("stream cut off for lack of complete events", "request", q.id, "target", ticket.Target.ID,
				"lastEvent", r.lastEvent, "bytes", stream.Unfinished())
			return lost
		}
	}
}

// rejectContinuation records that an answer does not go on with the stream that has begun.
func (c *Conductor) rejectContinuation(q *request, ticket *balancer.Ticket, answer *connector.Answer, err error) result {
	answer.Discard()
	ticket.End(balancer.Failed)
	c.log.Info("stream not continued", "request", q.id, "target", ticket.Target.ID, "error", err.Error())
	return lost
}

// streamEnd describes how the answer of a target to a stream ended.
type streamEnd struct {
	// cause is io.EOF if the stream is complete.
	cause error
	// unfinishedBytes is the number of bytes behind the last complete event.
	unfinishedBytes int
	longestGap      time.Duration
}

// endStream records the end of a stream. Only a complete one is the final answer.
func (c *Conductor) endStream(ctx context.Context, r *reply, ticket *balancer.Ticket, answer *connector.Answer, end streamEnd) result {
	q := r.request
	isWhole := errors.Is(end.cause, io.EOF)
	if isWhole {
		if err := c.checkEnd(ctx, ticket.Target, answer); err != nil {
			isWhole, end.cause = false, err
		}
	}
	c.noteAnswerEnd(answer, isWhole)
	switch {
	case !isWhole:
		ticket.End(lostOutcome(ctx))
		q.noteLoss(end.cause, answer.LastHeard())
		c.log.Info("stream cut by target", "request", q.id, "target", ticket.Target.ID, "lastEvent", r.lastEvent,
			"framing", answer.Framing().String(), "bytesAfterLastEvent", end.unfinishedBytes, "error", end.cause.Error())
		return lost
	case !r.headSent:
		ticket.End(balancer.Failed)
		c.log.Info("stream without events", "request", q.id, "target", ticket.Target.ID)
		return lost
	}
	ticket.End(balancer.Answered)
	c.reportStreamEnd(q, ticket)
	c.log.V(1).Info("stream completed", "request", q.id, "target", ticket.Target.ID, "framing", answer.Framing().String(),
		"model", q.demand.Model, "tokens", q.demand.Tokens, "firstMilliseconds", ticket.TimeToFirstByte().Milliseconds(),
		"waitedMilliseconds", ticket.ChosenAt().Sub(q.arrived).Milliseconds(), "longestPauseMilliseconds", end.longestGap.Milliseconds())
	return finished
}

// noteAnswerEnd reports that an answer of a target has ended.
func (c *Conductor) noteAnswerEnd(answer *connector.Answer, isWhole bool) {
	c.answerEnd(measurer.Answer{Framing: answer.Framing().String(), IsWhole: isWhole})
}

// reportStreamEnd reports how long a target took for a stream of a model.
func (c *Conductor) reportStreamEnd(q *request, ticket *balancer.Ticket) {
	if q.demand.Model != "" {
		c.streamEnd(q.demand, c.now().Sub(ticket.ChosenAt()))
	}
}

// gapMeter measures the longest gap between events.
type gapMeter struct {
	last    time.Time
	longest time.Duration
}

func (m *gapMeter) mark(now time.Time) {
	m.longest = max(m.longest, now.Sub(m.last))
	m.last = now
}

// isStalled reports whether a target has sent no complete event for longer than any
// caller waits for one. A stream of complete events is never stalled, however slow.
func (m *gapMeter) isStalled(now time.Time, q *request) bool {
	return now.Sub(m.last).Seconds() > stallFactor*q.abandonedAfter().Seconds()
}

func (r *reply) writeEvents(flusher *http.ResponseController, events []byte) error {
	if !r.headSent {
		r.headSent = true
		for name, values := range r.pendingHeader {
			r.writer.Header()[name] = values
		}
		r.writer.WriteHeader(http.StatusOK)
	}
	if _, err := r.writer.Write(events); err != nil {
		return err
	}
	if id := lastEventID(events); id != "" {
		r.lastEvent = id
	}
	return flusher.Flush()
}

// lastEventID returns the ID of the last event that has one; empty if none does.
func lastEventID(events []byte) string {
	field := []byte("id:")
	for rest := events; ; {
		at := bytes.LastIndex(rest, field)
		if at < 0 {
			return ""
		}
		if at == 0 || isLineEnd(rest[at-1]) {
			line := events[at+len(field):]
			if end := bytes.IndexAny(line, "\r\n"); end >= 0 {
				line = line[:end]
			}
			return string(bytes.TrimSpace(line))
		}
		rest = rest[:at]
	}
}

func isLineEnd(b byte) bool { return b == '\n' || b == '\r' }

package conductor

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

const (
	// eventBuffer is the size at which reading events begins.
	eventBuffer = 4 << 10
	// maxEvent bounds an event, in bytes.
	maxEvent = 64 << 10
	// stalledFactor is how many times longer than callers wait for an event a target may
	// send parts of one: some callers may wait longer than others.
	stalledFactor = 1.5
)

// eventEnd ends an event.
var eventEnd = []byte("\n\n")

// relayStream relays events as they come, whole ones only, so that another target
// can go on after the last of them.
func (c *Conductor) relayStream(ctx context.Context, r *reply, ticket *balancer.Ticket, answer *connector.Answer) result {
	q := r.request
	flusher := http.NewResponseController(r.writer)
	if !r.begun {
		// The head goes out with the first event: until then another answer may be given.
		r.head = http.Header{}
		copyAnswer(r.head, &answer.Header)
	}
	buffer := make([]byte, 0, eventBuffer)
	pauses := pauseMeter{last: c.now()}
	for {
		if len(buffer) == cap(buffer) {
			buffer = append(buffer, make([]byte, cap(buffer))...)[:len(buffer)]
		}
		n, readErr := answer.Read(buffer[len(buffer):cap(buffer)])
		buffer = buffer[:len(buffer)+n]
		end := bytes.LastIndex(buffer, eventEnd) + len(eventEnd)
		if end < len(eventEnd) {
			end = 0
		}
		isEnd := errors.Is(readErr, io.EOF)
		if isEnd {
			end = len(buffer)
		}
		if end > 0 {
			if err := r.writeEvents(flusher, buffer[:end]); err != nil {
				ticket.End(balancer.Abandoned)
				return lost
			}
			pauses.mark(c.now())
			buffer = append(buffer[:0], buffer[end:]...)
		}
		switch {
		case isEnd && !r.begun:
			ticket.End(balancer.Failed)
			c.log.Info("stream without events", "request", q.id, "target", ticket.Target.ID)
			return lost
		case isEnd:
			ticket.End(balancer.Answered)
			c.tellRun(q, ticket)
			c.log.V(1).Info("stream answered", "request", q.id, "target", ticket.Target.ID, "model", q.demand.Model,
				"tokens", q.demand.Tokens, "firstMilliseconds", ticket.First().Milliseconds(),
				"waitedMilliseconds", ticket.Since().Sub(q.arrived).Milliseconds(),
				"longestPauseMilliseconds", pauses.longest.Milliseconds())
			return finished
		case readErr != nil:
			ticket.End(lostOutcome(ctx))
			c.log.Info("stream cut by target", "request", q.id, "target", ticket.Target.ID, "lastEvent", r.lastEvent)
			return lost
		case len(buffer) > maxEvent || pauses.isStalled(c.now(), q):
			ticket.End(balancer.Failed)
			c.log.Info("stream without whole events cut", "request", q.id, "target", ticket.Target.ID,
				"lastEvent", r.lastEvent, "bytes", len(buffer))
			return lost
		}
	}
}

// tellRun tells how long a target took for a stream for a model.
func (c *Conductor) tellRun(q *request, ticket *balancer.Ticket) {
	if q.demand.Model != "" {
		c.ran(q.demand, c.now().Sub(ticket.Since()))
	}
}

// pauseMeter finds the longest pause between events.
type pauseMeter struct {
	last    time.Time
	longest time.Duration
}

func (m *pauseMeter) mark(now time.Time) {
	m.longest = max(m.longest, now.Sub(m.last))
	m.last = now
}

// isStalled reports whether what a target sends amounts to no event for so long that
// nobody waits for it any more. Whole events make a stream sound, however slow.
func (m *pauseMeter) isStalled(now time.Time, q *request) bool {
	return now.Sub(m.last).Seconds() > stalledFactor*q.abandonedAfter().Seconds()
}

func (r *reply) writeEvents(flusher *http.ResponseController, events []byte) error {
	if !r.begun {
		r.begun = true
		for name, values := range r.head {
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

// lastEventID returns the ID of the last event that names one; empty if none does.
func lastEventID(events []byte) string {
	field := []byte("id:")
	rest := events
	if at := bytes.LastIndex(events, []byte("\nid:")); at >= 0 {
		rest = events[at+1:]
	}
	if !bytes.HasPrefix(rest, field) {
		return ""
	}
	line, _, _ := bytes.Cut(rest[len(field):], []byte("\n"))
	return string(bytes.TrimSpace(line))
}

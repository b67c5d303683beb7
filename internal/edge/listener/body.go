package listener

import (
	"bytes"
	"encoding/json"
	"io"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	typeEvents = "text/event-stream"
	typeJSON   = "application/json"
	// unknownSize selects chunked encoding for a body stream. If reading such a body
	// fails, the connection is closed without the last chunk, so that the caller
	// detects that the answer is incomplete.
	unknownSize = -1
)

// errCallerDisconnected means that the caller closed its connection before the answer was
// written.
var errCallerDisconnected = errors.New("caller disconnected")

// eventBody is the body of a streamed answer: the events of a stream up to its end
// marker, or up to an error event if the stream cannot be completed.
type eventBody struct {
	stream *dispatcher.Stream
	// onClose is called once, with nil or the error that ended the answer.
	onClose func(err error)

	event        []byte // the last event, as sent to the caller
	unread       []byte // the part of event that Read has not returned yet
	firstEventAt time.Time
	ended        bool
	failure      error
}

// next returns the next event, valid until the next call. The error is io.EOF.
func (b *eventBody) next() ([]byte, error) {
	if b.ended {
		return nil, io.EOF
	}
	data, err := b.stream.Next()
	if err != nil {
		b.ended = true
		b.event = b.finalEvent(err)
		return b.event, nil
	}
	if b.firstEventAt.IsZero() {
		b.firstEventAt = time.Now()
	}
	b.event = appendData(b.event[:0], data)
	return b.event, nil
}

// finalEvent returns the event that ends the answer: the end marker, or an error event.
func (b *eventBody) finalEvent(err error) []byte {
	if errors.Is(err, io.EOF) {
		return append(b.event[:0], "data: [DONE]\n\n"...)
	}
	b.failure = err
	_, refusal := refusalFor(err, time.Now())
	refusal.NotRun = false
	b.event = append(b.event[:0], "event: error\n"...)
	return appendData(b.event, encodeRefusal(refusal))
}

// appendData appends a server-sent event whose data fields are the lines of data.
func appendData(event, data []byte) []byte {
	for {
		line, rest, more := bytes.Cut(data, []byte("\n"))
		event = append(event, "data: "...)
		event = append(event, line...)
		event = append(event, '\n')
		if !more {
			return append(event, '\n')
		}
		data = rest
	}
}

// Read fills p with events. It blocks only for the first one; further ones are added
// if they have already been received.
func (b *eventBody) Read(p []byte) (int, error) {
	n := 0
	for {
		if len(b.unread) == 0 {
			event, err := b.next()
			if err != nil {
				return n, err
			}
			b.unread = event
		}
		copied := copy(p[n:], b.unread)
		n += copied
		b.unread = b.unread[copied:]
		if n == len(p) || b.ended || !b.stream.Buffered() {
			return n, nil
		}
	}
}

// Close ends the request and cancels it if its answer is incomplete.
func (b *eventBody) Close() error {
	b.stream.Close()
	if !b.ended && b.failure == nil {
		b.failure = errCallerDisconnected
	}
	if b.onClose != nil {
		b.onClose(b.failure)
		b.onClose = nil
	}
	return nil
}

func encodeRefusal(refusal messenger.Refusal) []byte {
	if refusal.Addresses == nil {
		refusal.Addresses = []string{}
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		return []byte("{}")
	}
	return body
}

// entryBody is the body of an answer that is read from the record of a keyed request.
type entryBody struct {
	reader   *deduper.Reader
	deadline time.Time
	unread   []byte
	onClose  func()
}

func (b *entryBody) Read(p []byte) (int, error) {
	if len(b.unread) == 0 {
		part, err := b.reader.Next(b.deadline)
		if err != nil {
			return 0, err
		}
		if part == nil {
			return 0, io.EOF
		}
		b.unread = part
	}
	n := copy(p, b.unread)
	b.unread = b.unread[n:]
	return n, nil
}

// Close releases the entry.
func (b *entryBody) Close() error {
	b.onClose()
	return nil
}

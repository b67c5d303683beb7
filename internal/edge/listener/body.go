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
	// unknownSize is the size of a body that is sent in chunks. An error of such
	// a body closes the connection without the last chunk, so that the caller
	// sees that the answer is not whole.
	unknownSize = -1
)

// errCallerGone tells that the caller no longer reads its answer.
var errCallerGone = errors.New("caller is gone")

// eventBody is the body of a streamed answer: the events of a stream to its end
// marker, or to an error event if the stream cannot be completed.
type eventBody struct {
	stream *dispatcher.Stream
	// closed is called once with how the answer ended.
	closed func(err error)

	event   []byte // the last event, as the caller gets it
	rest    []byte // the part of it that was not read yet
	first   time.Time
	ended   bool
	failure error
}

// next returns the next event, valid until the next call. The error is io.EOF.
func (b *eventBody) next() ([]byte, error) {
	if b.ended {
		return nil, io.EOF
	}
	data, err := b.stream.Next()
	if err != nil {
		b.ended = true
		b.event = b.last(err)
		return b.event, nil
	}
	if b.first.IsZero() {
		b.first = time.Now()
	}
	b.event = appendData(b.event[:0], data)
	return b.event, nil
}

// last returns the event that ends the answer.
func (b *eventBody) last(err error) []byte {
	if errors.Is(err, io.EOF) {
		return append(b.event[:0], "data: [DONE]\n\n"...)
	}
	b.failure = err
	_, refusal := refusalOf(err, time.Now())
	refusal.NotRun = false
	b.event = append(b.event[:0], "event: error\n"...)
	return appendData(b.event, encodeRefusal(refusal))
}

// appendData appends an event with the lines of data.
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

// Read reads whole events as long as they have arrived already and fit into p.
func (b *eventBody) Read(p []byte) (int, error) {
	n := 0
	for {
		if len(b.rest) == 0 {
			event, err := b.next()
			if err != nil {
				return n, err
			}
			b.rest = event
		}
		copied := copy(p[n:], b.rest)
		n += copied
		b.rest = b.rest[copied:]
		if n == len(p) || b.ended || !b.stream.Buffered() {
			return n, nil
		}
	}
}

// Close ends the request; one that is not answered in full is cancelled.
func (b *eventBody) Close() error {
	b.stream.Close()
	if !b.ended && b.failure == nil {
		b.failure = errCallerGone
	}
	if b.closed != nil {
		b.closed(b.failure)
		b.closed = nil
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

// recordBody is the body of an answer from the record of an entry.
type recordBody struct {
	reader   *deduper.Reader
	deadline time.Time
	rest     []byte
	closed   func()
}

func (b *recordBody) Read(p []byte) (int, error) {
	if len(b.rest) == 0 {
		part, err := b.reader.Next(b.deadline)
		if err != nil {
			return 0, err
		}
		if part == nil {
			return 0, io.EOF
		}
		b.rest = part
	}
	n := copy(p, b.rest)
	b.rest = b.rest[n:]
	return n, nil
}

// Close ends the use of the record.
func (b *recordBody) Close() error {
	b.closed()
	return nil
}

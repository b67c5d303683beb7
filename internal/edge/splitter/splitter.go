// Package splitter reads an answer that is a stream of server-sent events as whole events.
// It reports the end of a stream only if the stream is complete: where its framing says
// so and no event is unfinished.
package splitter

import (
	"io"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

// ErrTruncated means that an answer ended inside an event, or that it has no event and its
// framing does not show that it was to have none.
var ErrTruncated = errors.New("stream ended inside an event")

// initialBufferBytes is the initial size of the buffer for events.
const initialBufferBytes = 4 << 10

// Reader reads the events of one answer. The zero value is not usable; see New.
type Reader struct {
	answer  io.Reader
	framing connector.Framing
	scanner scanner
	buffer  []byte
	// returned is the number of bytes at the start of buffer that Next has returned.
	returned int
}

// New returns a reader of the events of an answer.
func New(answer *connector.Answer) *Reader {
	return newReader(answer, answer.Framing())
}

func newReader(answer io.Reader, framing connector.Framing) *Reader {
	return &Reader{answer: answer, framing: framing, buffer: make([]byte, 0, initialBufferBytes)}
}

// Next reads once from the answer and returns the whole events that this has completed, as
// they were sent and valid until the next call; there may be none. The error, which may
// come with events, is io.EOF after a complete stream, ErrTruncated, or that of the answer.
func (r *Reader) Next() ([]byte, error) {
	r.discardReturned()
	if len(r.buffer) == cap(r.buffer) {
		r.buffer = append(r.buffer, make([]byte, cap(r.buffer))...)[:len(r.buffer)]
	}
	start := len(r.buffer)
	n, err := r.answer.Read(r.buffer[start:cap(r.buffer)])
	r.buffer = r.buffer[:start+n]
	if end := r.scanner.scan(r.buffer[start:]); end > 0 {
		r.returned = start + end
	}
	if err == io.EOF && !r.isComplete() {
		err = ErrTruncated
	}
	return r.buffer[:r.returned], err
}

// Unfinished returns the number of bytes that were read of an event that is not complete.
func (r *Reader) Unfinished() int { return len(r.buffer) - r.returned }

func (r *Reader) discardReturned() {
	rest := copy(r.buffer, r.buffer[r.returned:])
	r.buffer = r.buffer[:rest]
	r.returned = 0
}

// isComplete reports whether a stream whose answer has ended is complete. A connection
// that is closed before the first event completes no stream.
func (r *Reader) isComplete() bool {
	if r.scanner.inEvent {
		return false
	}
	return r.scanner.hasEvents || r.framing != connector.FramedByClose
}

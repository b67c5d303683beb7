package streamer

import (
	"bufio"
	"bytes"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

// Event is one event of a stream. Data is the text of the event; it is valid until the
// next call of Stream.Next.
type Event struct {
	Index int
	Data  []byte
}

// Stream is an answer that is being received.
type Stream struct {
	nextIndex int
	answer    *connector.Answer
	events    eventReader
	ended     bool
}

// endMarker is the text of the last event of a whole answer.
var endMarker = []byte("[DONE]")

// Next returns the next event that was not received before. The error is io.EOF
// after the end marker, and ErrTruncated, ErrCrossed, ErrFailed, ErrMalformed or
// one of the connector's errors if the stream cannot continue.
func (s *Stream) Next() (Event, error) {
	if s.ended {
		return Event{}, io.EOF
	}
	for {
		index, err := s.events.read()
		if err != nil {
			return Event{}, err
		}
		switch {
		case bytes.Equal(s.events.data, endMarker):
			s.ended = true
			return Event{}, io.EOF
		case index < 0:
			return Event{}, errors.Wrap(ErrMalformed, "event has no number")
		case index < s.nextIndex:
			continue // a resumed stream may begin before the requested event
		case index > s.nextIndex:
			return Event{}, errors.Wrapf(ErrTruncated, "token %d is missing", s.nextIndex)
		}
		s.nextIndex++
		return Event{Index: index, Data: s.events.data}, nil
	}
}

// Buffered reports whether bytes of a further event have already been received.
func (s *Stream) Buffered() bool {
	return s.events.lines.Buffered() > 0
}

// endReadTimeout bounds how long Close waits for the end of the body behind the end marker.
const endReadTimeout = 50 * time.Millisecond

// Close ends the stream. After the end marker it reads the rest of the body, so that
// the connection can be reused, if that comes at once. A stream that has not reached its
// end marker is cancelled at the engine by closing its connection.
func (s *Stream) Close() {
	if !s.ended || s.answer.Framing() == connector.FramedByClose {
		s.answer.Discard()
		return
	}
	s.answer.SetDeadline(time.Now().Add(endReadTimeout))
	n, err := io.Copy(io.Discard, io.LimitReader(s.events.lines, eventBufferBytes))
	if err != nil || n > 0 {
		s.answer.Discard()
		return
	}
	s.answer.Close()
}

// eventReader reads server-sent events and checks that they belong to the request with
// the given id.
type eventReader struct {
	id    []byte
	lines *bufio.Reader
	// data is the text of the last event; longLine holds a line that is
	// longer than the buffer of lines.
	data     []byte
	longLine []byte
}

// read reads one event into data and returns its number, or -1 if it has none.
func (r *eventReader) read() (int, error) {
	r.data = r.data[:0]
	index := -1
	hasData := false
	for {
		line, err := r.readLine()
		if errors.Is(err, io.EOF) {
			return 0, ErrTruncated
		}
		if err != nil {
			return 0, err
		}
		if len(line) == 0 {
			if hasData {
				return index, nil
			}
			index = -1
			continue
		}
		field, value, _ := bytes.Cut(line, []byte(":"))
		value = bytes.TrimPrefix(value, []byte(" "))
		switch string(field) {
		case "id":
			index, err = r.number(value)
		case "event":
			err = checkKind(value)
		case "data":
			err = r.appendLine(value, hasData)
			hasData = true
		}
		if err != nil {
			return 0, err
		}
	}
}

// readLine returns the next line without its end, valid until the next call.
func (r *eventReader) readLine() ([]byte, error) {
	line, err := r.lines.ReadSlice('\n')
	if errors.Is(err, bufio.ErrBufferFull) {
		r.longLine = r.longLine[:0]
		for errors.Is(err, bufio.ErrBufferFull) {
			r.longLine = append(r.longLine, line...)
			if len(r.longLine) > maxEventBytes {
				return nil, errors.Wrap(ErrFailed, "event too large")
			}
			line, err = r.lines.ReadSlice('\n')
		}
		r.longLine = append(r.longLine, line...)
		line = r.longLine
	}
	if err != nil {
		return nil, err
	}
	line = line[:len(line)-1]
	return bytes.TrimSuffix(line, []byte("\r")), nil
}

// number returns the number in the ID of an event, which has the form
// REQUEST:NUMBER.
func (r *eventReader) number(value []byte) (int, error) {
	id, number, _ := bytes.Cut(value, []byte(":"))
	if !bytes.Equal(id, r.id) {
		return 0, errors.Wrapf(ErrCrossed, "event of %q in the stream of %q", id, r.id)
	}
	n, err := strconv.Atoi(string(number))
	if err != nil || n < 0 {
		return 0, errors.Wrapf(ErrMalformed, "event number %q", number)
	}
	return n, nil
}

// checkKind returns ErrFailed for an error event.
func checkKind(value []byte) error {
	if string(value) == "error" {
		return errors.Wrap(ErrFailed, "error event")
	}
	return nil
}

// appendLine appends one line to data. The lines of an event are separated by a line
// feed; follows is true for all but the first.
func (r *eventReader) appendLine(value []byte, follows bool) error {
	if len(r.data)+len(value)+1 > maxEventBytes {
		return errors.Wrap(ErrFailed, "event too large")
	}
	if follows {
		r.data = append(r.data, '\n')
	}
	r.data = append(r.data, value...)
	return nil
}

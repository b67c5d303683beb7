package conductor

import (
	"io"
	"net"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/guarder"
)

const (
	// defaultMaxBodyBytes bounds a request body where the manifest sets no limit.
	defaultMaxBodyBytes = 8 << 20
	// bodyReadTimeout bounds how long a caller may take to send a request body, and
	// bodyPauseTimeout how long it may send nothing of it.
	bodyReadTimeout  = 10 * time.Second
	bodyPauseTimeout = 4 * time.Second
	// firstBodyBytes is the first size of the buffer of a body of unknown length.
	firstBodyBytes = 4 << 10
)

// errNoMemory means that the instance holds as much for callers as it may.
var errNoMemory = errors.New("memory for requests is used up")

// bodyReader reads the body of a request into memory that is charged before it is taken.
type bodyReader struct {
	hold     *guarder.Hold
	body     io.Reader
	control  *http.ResponseController
	now      func() time.Time
	until    time.Time
	maxBytes int64
	buffer   []byte
}

// readBody reads the body of a request, of at most maxBytes. What it takes stays charged to
// the connection until the answer is written.
func (c *Conductor) readBody(w http.ResponseWriter, r *http.Request, maxBytes int) ([]byte, *Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	control := http.NewResponseController(w)
	reader := &bodyReader{
		hold: holdOf(r), body: r.Body, control: control, now: c.now, until: c.now().Add(bodyReadTimeout), maxBytes: int64(maxBytes),
	}
	reader.hold.SetEvictable(true, time.Now())
	err := reader.read(r.ContentLength)
	reader.hold.SetEvictable(false, time.Now())
	if err != nil {
		reader.hold.Release(int64(cap(reader.buffer)))
		w.Header().Set("Connection", "close") // the rest of the body is not read
		return nil, c.bodyRefusal(err)
	}
	// The server goes on reading the connection to detect that the caller has closed it,
	// and that read must not fail at the deadline of the body.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.V(1).Info("cannot clear the read deadline of a request body", "error", err.Error())
	}
	return reader.buffer, nil
}

// errBodyTooLarge means that a body is longer than the manifest allows.
var errBodyTooLarge = errors.New("body too large")

// bodyRefusal returns the refusal of a request whose body was not read.
func (c *Conductor) bodyRefusal(err error) *Refusal {
	var timeout net.Error
	switch {
	case errors.Is(err, errBodyTooLarge):
		c.refusedBody(BodyTooLarge)
		return &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: err.Error()}
	case errors.Is(err, errNoMemory):
		c.refusedBody(BodyNoMemory)
		return &Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: shortRetryDelay}
	case errors.As(err, &timeout) && timeout.Timeout():
		c.refusedBody(BodyTooSlow)
		return &Refusal{Status: http.StatusRequestTimeout, Reason: "body did not arrive in time"}
	default:
		return &Refusal{Status: http.StatusBadRequest, Reason: "body cannot be read: " + err.Error()}
	}
}

// read reads a body of a length that is negative if it is unknown.
func (b *bodyReader) read(length int64) error {
	switch {
	case length > b.maxBytes:
		return errBodyTooLarge
	case length >= 0:
		if err := b.grow(length); err != nil {
			return err
		}
	}
	for {
		if length < 0 && len(b.buffer) == cap(b.buffer) {
			// Room for one byte more than maxBytes shows whether the body is too long.
			if err := b.grow(min(max(2*int64(cap(b.buffer)), firstBodyBytes), b.maxBytes+1)); err != nil {
				return err
			}
		}
		n, err := b.readPart(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]
		switch {
		case int64(len(b.buffer)) > b.maxBytes:
			return errBodyTooLarge
		case errors.Is(err, io.EOF) && (length < 0 || int64(len(b.buffer)) == length):
			return nil
		case err != nil:
			return err
		case int64(len(b.buffer)) == length:
			return b.readEnd()
		}
	}
}

// readEnd reads the end of a body whose bytes are all there, so that the server notices it.
func (b *bodyReader) readEnd() error {
	var rest [1]byte
	n, err := b.readPart(rest[:])
	if n == 0 && errors.Is(err, io.EOF) {
		return nil
	}
	return err
}

// readPart reads once, and fails if nothing arrives in time.
func (b *bodyReader) readPart(p []byte) (int, error) {
	deadline := b.now().Add(bodyPauseTimeout)
	if b.until.Before(deadline) {
		deadline = b.until
	}
	if err := b.control.SetReadDeadline(deadline); err != nil && !errors.Is(err, http.ErrNotSupported) {
		return 0, errors.Wrap(err, "set read deadline")
	}
	if b.hold.IsEvicted() { // an eviction after this makes the read fail
		return 0, errNoMemory
	}
	n, err := b.body.Read(p)
	if err != nil && b.hold.IsEvicted() {
		return n, errNoMemory
	}
	if n > 0 {
		b.noteProgress(n)
	}
	return n, err
}

// noteProgress records progress each time the buffer has grown by guarder.ProgressBytes.
func (b *bodyReader) noteProgress(n int) {
	if before := len(b.buffer); (before+n)/guarder.ProgressBytes > before/guarder.ProgressBytes {
		b.hold.Progress(time.Now())
	}
}

// grow gives the buffer a capacity that is charged before it is taken.
func (b *bodyReader) grow(size int64) error {
	if !b.hold.Reserve(size) {
		return errNoMemory
	}
	old := b.buffer
	b.buffer = append(make([]byte, 0, size), old...)
	b.hold.Release(int64(cap(old)))
	return nil
}

// holdOf returns what is held for the connection of a request.
func holdOf(r *http.Request) *guarder.Hold {
	conn, _ := r.Context().Value(connKey{}).(net.Conn)
	return guarder.HoldOf(conn)
}

// Causes of refused bodies.
const (
	BodyTooLarge guarder.Cause = "BodyTooLarge"
	BodyNoMemory guarder.Cause = "BodyNoMemory"
	BodyTooSlow  guarder.Cause = "BodyTooSlow"
)

// WithBodyObserver sets the function that is called for each request that is refused for its
// body.
func WithBodyObserver(refused func(guarder.Cause)) Option {
	return func(c *Conductor) { c.refusedBody = refused }
}

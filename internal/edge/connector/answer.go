package connector

import (
	"bufio"
	"context"
	"io"
	"net/http/httputil"
	"strconv"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/peeker"
)

// maxHeads limits the heads that are read for one answer; all but the last are
// interim (1xx) ones.
const maxHeads = 16

// maxSkippedBytes limits the body that Next skips, in bytes.
const maxSkippedBytes = 64 << 10

var errNoFinalHead = errors.New("interim answers only")

// lengthChunked is the content length that fasthttp reports for a chunked body.
const lengthChunked = -1

// Framing is how the head of an answer defines where its body ends.
type Framing int

const (
	// FramedByLength means that the head states the length, or that there is no body.
	FramedByLength Framing = iota
	// FramedByChunks means that the last chunk ends the body.
	FramedByChunks
	// FramedByClose means that the head states neither, and that the body ends when the
	// target closes the connection.
	FramedByClose
)

var framingNames = map[Framing]string{FramedByLength: "Length", FramedByChunks: "Chunks", FramedByClose: "Close"}

func (f Framing) String() string { return framingNames[f] }

// Answer is an answer whose head has been read. Read returns its body and then
// io.EOF, but only if the body is complete according to its HTTP framing.
type Answer struct {
	Header fasthttp.ResponseHeader

	pool     *Pool
	conn     *conn
	call     Call
	body     io.Reader
	bodyDone bool
	framing  Framing
	// stopWatch stops watching the context of the call and reports whether it was
	// still active; nil for a call without a context.
	stopWatch func() bool
}

// watch closes the connection as soon as the context of the call is done.
func (a *Answer) watch() {
	if a.call.Context == nil {
		return
	}
	raw := a.conn.Conn
	a.stopWatch = context.AfterFunc(a.call.Context, func() { _ = raw.Close() })
}

// Framing returns how the head of the answer defines where its body ends.
func (a *Answer) Framing() Framing { return a.framing }

// readHead reads the head of the final answer and skips the heads of interim ones.
func (a *Answer) readHead() error {
	for range maxHeads {
		// The header takes a status of 0 for 200.
		line, err := a.conn.reader.Peek(peeker.StatusBytes)
		if err != nil {
			return err
		}
		if _, err := peeker.ParseStatus(line); err != nil {
			return err
		}
		if err := a.Header.Read(a.conn.reader); err != nil {
			return err
		}
		if a.Header.StatusCode() >= fasthttp.StatusOK {
			a.findBody()
			return nil
		}
	}
	return errNoFinalHead
}

// Next skips the rest of this answer and reads the head of the one that follows it on
// the connection. The error is one of those of Do.
func (a *Answer) Next() error {
	if _, err := io.Copy(io.Discard, io.LimitReader(a, maxSkippedBytes)); err != nil {
		return err
	}
	if !a.bodyDone || a.Header.ConnectionClose() {
		return errors.Wrapf(ErrCut, "%s: nothing can follow this answer", a.pool.address)
	}
	a.Header.Reset()
	a.bodyDone = false
	if err := a.readHead(); err != nil {
		return a.classifyError(err)
	}
	return nil
}

// findBody selects the reader of the body according to the framing in the head.
func (a *Answer) findBody() {
	a.framing = FramedByLength
	switch length := a.Header.ContentLength(); {
	case a.hasNoBody():
		a.body = eofReader{}
	case length >= 0:
		a.body = &exactReader{reader: a.conn.reader, left: length}
	case length == lengthChunked:
		a.framing = FramedByChunks
		a.body = &chunkedBody{reader: httputil.NewChunkedReader(a.conn.reader), tail: a.conn.reader}
	default:
		// The body ends when the connection is closed; a reset cuts it.
		a.framing = FramedByClose
		a.body = a.conn.reader
		a.Header.SetConnectionClose()
	}
}

// LastHeard returns when the last byte was received. The answer must not be closed.
func (a *Answer) LastHeard() time.Time { return a.conn.lastActivity }

// SetDeadline replaces the deadline for the whole answer.
func (a *Answer) SetDeadline(until time.Time) {
	a.call.AnswerDeadline = until
	a.conn.until = until
}

// hasNoBody reports whether HTTP defines the answer to have no body, regardless of
// its Content-Length.
func (a *Answer) hasNoBody() bool {
	status := a.Header.StatusCode()
	return a.call.Request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// eofReader reads an empty body.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Read reads the body. The error is io.EOF or one of those of Do.
func (a *Answer) Read(p []byte) (int, error) {
	if a.bodyDone {
		// Further bytes on the connection belong to the next answer.
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.bodyDone = true
		return n, io.EOF
	}
	return n, a.classifyError(err)
}

// Close releases the answer. Its connection returns to the pool only if the body
// was read to its end; otherwise it is closed, which cancels a running request.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	// If the watch has already fired, it closes the connection, possibly right now.
	notCanceled := a.stopWatch == nil || a.stopWatch()
	if a.bodyDone && notCanceled && !a.Header.ConnectionClose() {
		a.pool.put(a.conn, a.keepAliveTimeout())
	} else {
		a.conn.Close()
	}
	a.conn = nil
}

// keepAliveTimeout returns the idle timeout in the target's Keep-Alive header; 0 if
// there is none.
func (a *Answer) keepAliveTimeout() time.Duration {
	for _, field := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if seconds, err := strconv.Atoi(text); err == nil {
			return time.Duration(seconds) * time.Second
		}
	}
	return 0
}

// Discard releases the answer and closes its connection.
func (a *Answer) Discard() {
	a.bodyDone = false
	a.Close()
}

// exactReader reads a body of known length. A shorter body fails with
// io.ErrUnexpectedEOF.
type exactReader struct {
	reader *bufio.Reader
	left   int
}

func (r *exactReader) Read(p []byte) (int, error) {
	if r.left == 0 {
		return 0, io.EOF
	}
	if len(p) > r.left {
		p = p[:r.left]
	}
	n, err := r.reader.Read(p)
	r.left -= n
	if err == io.EOF && r.left > 0 {
		return n, io.ErrUnexpectedEOF
	}
	return n, err
}

// chunkedBody reads a chunked body together with the empty line that ends it,
// so that the connection can be reused.
type chunkedBody struct {
	reader io.Reader
	tail   *bufio.Reader
}

func (r *chunkedBody) Read(p []byte) (int, error) {
	n, err := r.reader.Read(p)
	if err != io.EOF {
		return n, err
	}
	line, tailErr := r.tail.ReadSlice('\n')
	if tailErr != nil {
		return n, io.ErrUnexpectedEOF
	}
	if len(line) > len("\r\n") {
		return n, errors.New("trailers after a chunked body are not supported")
	}
	return n, io.EOF
}

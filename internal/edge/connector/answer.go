package connector

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http/httputil"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// mostHeads bounds the heads of one answer, which are interim ones but for the last.
const mostHeads = 16

// maxPassedOver bounds the body of an answer that is passed over, in bytes.
const maxPassedOver = 64 << 10

var errNoFinalHead = errors.New("interim answers only")

// Content lengths with a meaning of their own in fasthttp.
const lengthChunked = -1

// Answer is an answer whose head was read. Its body is read through Read until
// io.EOF, which comes only if the body is whole as HTTP sees it.
type Answer struct {
	Header fasthttp.ResponseHeader

	pool  *Pool
	conn  *conn
	call  Call
	body  io.Reader
	whole bool
	// framed tells that the end of the body can be told from a cut.
	framed bool
	// unwatch ends the wait for the context of the call; nil without one.
	unwatch func() bool
}

// watch closes the connection as soon as the context of the call is done.
func (a *Answer) watch() {
	if a.call.Context == nil {
		return
	}
	raw := a.conn.Conn
	a.unwatch = context.AfterFunc(a.call.Context, func() { _ = raw.Close() })
}

// IsFramed reports whether the head of the answer tells where its body ends. The
// body of any other answer ends with the connection, which a cut does as well.
func (a *Answer) IsFramed() bool { return a.framed }

// readHead reads the head of the final answer, past those of interim ones.
func (a *Answer) readHead() error {
	for range mostHeads {
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

// Next passes over this answer and reads the head of the one that follows it on the
// connection. The error is one of those of Do.
func (a *Answer) Next() error {
	if _, err := io.Copy(io.Discard, io.LimitReader(a, maxPassedOver)); err != nil {
		return err
	}
	if !a.whole || a.Header.ConnectionClose() {
		return errors.Wrapf(ErrCut, "%s: nothing can follow this answer", a.pool.address)
	}
	a.Header.Reset()
	a.whole = false
	if err := a.readHead(); err != nil {
		return a.readError(err)
	}
	return nil
}

// findBody finds out from the head where the body ends.
func (a *Answer) findBody() {
	a.framed = true
	switch length := a.Header.ContentLength(); {
	case a.hasNoBody():
		a.body = eofReader{}
	case length >= 0:
		a.body = &exactReader{reader: a.conn.reader, left: length}
	case length == lengthChunked:
		a.body = &chunkedBody{reader: httputil.NewChunkedReader(a.conn.reader), tail: a.conn.reader}
	default:
		// Without a length the end of the connection ends the body, which
		// cannot be told from a cut.
		a.framed = false
		a.body = a.conn.reader
		a.Header.SetConnectionClose()
	}
}

// SetUntil moves the deadline for the whole answer.
func (a *Answer) SetUntil(until time.Time) {
	a.call.Until = until
	a.conn.until = until
}

// hasNoBody reports whether an answer ends with its head, whatever its head says.
func (a *Answer) hasNoBody() bool {
	status := a.Header.StatusCode()
	return a.call.Request.Header.IsHead() || status == fasthttp.StatusNoContent || status == fasthttp.StatusNotModified
}

// eofReader reads an empty body.
type eofReader struct{}

func (eofReader) Read([]byte) (int, error) { return 0, io.EOF }

// Read reads the body. The error is io.EOF or one of those of Do.
func (a *Answer) Read(p []byte) (int, error) {
	if a.whole {
		// What follows on the connection belongs to the next answer.
		return 0, io.EOF
	}
	n, err := a.body.Read(p)
	if err == nil {
		return n, nil
	}
	if err == io.EOF {
		a.whole = true
		return n, io.EOF
	}
	return n, a.readError(err)
}

// Close ends the use of the answer. Its connection is pooled only if the body
// was read to its end; it is closed otherwise, which cancels a running request.
func (a *Answer) Close() {
	if a.conn == nil {
		return
	}
	// A context that is done closes the connection, perhaps right now.
	isCalm := a.unwatch == nil || a.unwatch()
	if a.whole && isCalm && !a.Header.ConnectionClose() {
		a.pool.put(a.conn, a.keptFor())
	} else {
		a.conn.Close()
	}
	a.conn = nil
}

// keptFor returns how long the target keeps an idle connection; 0 if it does not say.
func (a *Answer) keptFor() time.Duration {
	for _, field := range strings.Split(string(a.Header.Peek("Keep-Alive")), ",") {
		text, ok := strings.CutPrefix(strings.TrimSpace(field), "timeout=")
		if !ok {
			continue
		}
		if whole, err := strconv.Atoi(text); err == nil {
			return time.Duration(whole) * time.Second
		}
	}
	return 0
}

// Discard ends the use of the answer and closes its connection.
func (a *Answer) Discard() {
	a.whole = false
	a.Close()
}

// exactReader reads a body of known length. A shorter body is an error.
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
// so that the connection can be used again.
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

// isOpen reports whether the other end of an idle connection has neither closed
// it nor sent anything that nobody asked for.
func isOpen(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		open = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && open
}

package guarder

import (
	"fmt"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// errRefused ends the connection of a client that was refused. It is a time-out to the server,
// which then writes no answer of its own.
var errRefused error = refusedError{}

type refusedError struct{}

func (refusedError) Error() string   { return "client refused" }
func (refusedError) Timeout() bool   { return true }
func (refusedError) Temporary() bool { return false }

// headFactor is what a byte of a head is charged: it is kept in the buffer, as text, and as an
// entry of a header.
const headFactor = 4

// meterFactor is what a byte of a metered connection is charged, since buffers grow by copying.
const meterFactor = 2

// Conn is a guarded connection. The server reports its state by HTTPState or FastState.
type Conn struct {
	net.Conn
	guard *Guard
	hold  *Hold
	// isEnded is set when the connection is ended or refused, and isClosed when the server
	// has closed it.
	isEnded  atomic.Bool
	isClosed atomic.Bool
	// counted guards the decrease of the number of open connections.
	counted sync.Once

	mu sync.Mutex
	// isActive is set from the end of a head to the end of its answer.
	isActive bool
	hasAsked bool // a whole request was read before
	head     headMeter
	headFrom time.Time
	// quietSince is when the connection became idle or last sent something.
	quietSince time.Time
	// writeFrom is when the current part of an answer was given to the client; zero while
	// nothing is written.
	writeFrom time.Time
}

// HoldOf returns the hold of a connection; nil if it is not guarded.
func HoldOf(conn net.Conn) *Hold {
	if c, isGuarded := conn.(*Conn); isGuarded {
		return c.hold
	}
	return nil
}

// HTTPState is the callback of http.Server for changes of the state of a connection.
func HTTPState(conn net.Conn, state http.ConnState) {
	c, isGuarded := conn.(*Conn)
	switch {
	case !isGuarded:
	case state == http.StateActive:
		c.begin()
	case state == http.StateIdle:
		c.idle()
	}
}

// FastState is the callback of fasthttp.Server for changes of the state of a connection.
func FastState(conn net.Conn, state fasthttp.ConnState) {
	c, isGuarded := conn.(*Conn)
	switch {
	case !isGuarded:
	case state == fasthttp.StateActive:
		c.begin()
	case state == fasthttp.StateIdle:
		c.idle()
	}
}

// begin records that the head of a request was read.
func (c *Conn) begin() {
	c.mu.Lock()
	c.isActive, c.hasAsked = true, true
	c.mu.Unlock()
	if !c.guard.isMetered {
		c.hold.SetEvictable(false, time.Now())
	}
}

// idle records that an answer was written, and releases what was held for the request.
func (c *Conn) idle() {
	c.mu.Lock()
	c.isActive, c.hasAsked = false, true
	c.head = headMeter{}
	c.quietSince = time.Now()
	c.mu.Unlock()
	c.hold.Shrink(connBytes)
}

// closePriority returns whether the connection may be closed for a new one, and its place in the
// order in which connections are closed.
func (c *Conn) closePriority(now time.Time) closePriority {
	c.mu.Lock()
	defer c.mu.Unlock()
	quiet := now.Sub(c.quietSince)
	out := closePriority{rank: rankIdle, since: c.quietSince}
	switch {
	case c.isActive && !c.writeFrom.IsZero():
		out.rank, out.since = rankUnread, c.writeFrom
		out.isClosable = now.Sub(c.writeFrom) >= minUnread
	case c.isActive:
		out.rank = rankUnread
		out.isClosable = c.guard.closeAfter > 0 && quiet >= c.guard.closeAfter
	default:
		out.isClosable = quiet >= minQuiet
	}
	if !c.hasAsked {
		out.rank = rankUnused
	}
	return out
}

// Read reads from the client. It refuses a head that exceeds its limits.
func (c *Conn) Read(p []byte) (int, error) {
	if c.isEnded.Load() {
		return 0, errRefused
	}
	if c.guard.isMetered {
		return c.readMetered(p)
	}
	if c.isInRequest() {
		return c.Conn.Read(p)
	}
	return c.readHead(p)
}

func (c *Conn) isInRequest() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.isActive
}

// readMetered reads from the client and charges all of it.
func (c *Conn) readMetered(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if n == 0 {
		return n, err
	}
	now := time.Now()
	c.mu.Lock()
	c.quietSince = now
	c.mu.Unlock()
	c.hold.SetEvictable(true, now)
	if !c.hold.Add(meterFactor*int64(n), now) {
		return 0, c.refuse(NoMemory, http.StatusServiceUnavailable)
	}
	return n, err
}

// readHead reads a part of a head.
func (c *Conn) readHead(p []byte) (int, error) {
	limits := c.guard.limits()
	c.mu.Lock()
	hasBegun := c.head.bytes > 0
	deadline := c.headFrom.Add(limits.HeadTimeout)
	if !hasBegun {
		deadline = c.quietSince.Add(c.waitTimeout(limits))
	}
	c.mu.Unlock()
	if err := c.SetReadDeadline(deadline); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		return c.noteHead(p[:n], limits)
	}
	var timeout net.Error
	if hasBegun && errors.As(err, &timeout) && timeout.Timeout() {
		return 0, c.refuse(HeadTooSlow, http.StatusRequestTimeout)
	}
	return n, err
}

// waitTimeout returns how long the connection may send nothing before a head.
func (c *Conn) waitTimeout(limits Limits) time.Duration {
	if !c.hasAsked {
		return firstByteTimeout
	}
	return limits.IdleTimeout
}

// noteHead measures and charges a part of a head.
func (c *Conn) noteHead(p []byte, limits Limits) (int, error) {
	now := time.Now()
	c.mu.Lock()
	if c.head.bytes == 0 {
		c.headFrom = now
	}
	before := c.head.bytes
	c.head.add(p)
	grown := c.head.bytes - before
	isTooLarge := c.head.exceeds(limits.HeadBytes, limits.HeadLines)
	c.quietSince = now
	c.mu.Unlock()
	if isTooLarge {
		return 0, c.refuse(HeadTooLarge, http.StatusRequestHeaderFieldsTooLarge)
	}
	c.hold.SetEvictable(true, now)
	if !c.hold.Add(headFactor*int64(grown), now) && !c.hold.Reserve(headFactor*int64(grown)) {
		return 0, c.refuse(NoMemory, http.StatusServiceUnavailable)
	}
	return len(p), nil
}

// writePartBytes is what a client must read within writeTimeout.
const writePartBytes = 16 << 10

// Write writes to the client, which must read each part of it in time.
func (c *Conn) Write(p []byte) (int, error) {
	written := 0
	for {
		if c.isEnded.Load() {
			return written, errRefused
		}
		if err := c.SetWriteDeadline(time.Now().Add(writeTimeout)); err != nil {
			return written, err
		}
		part := p[written:min(len(p), written+writePartBytes)]
		c.noteWrite(time.Now())
		n, err := c.Conn.Write(part)
		c.noteWrite(time.Time{})
		written += n
		if err != nil {
			c.noteWriteError(err)
			return written, err
		}
		if written == len(p) {
			return written, nil
		}
	}
}

func (c *Conn) noteWrite(from time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.writeFrom = from
}

func (c *Conn) noteWriteError(err error) {
	var timeout net.Error
	if errors.As(err, &timeout) && timeout.Timeout() {
		c.guard.refused(NotRead)
	}
}

// Close closes the connection and releases what is held for it. The server calls it when no
// handler uses the connection any more.
func (c *Conn) Close() error {
	if !c.isClosed.CompareAndSwap(false, true) {
		return net.ErrClosed
	}
	c.end()
	c.hold.Shrink(0)
	return nil
}

// end closes the connection for the client.
func (c *Conn) end() {
	c.isEnded.Store(true)
	c.Conn.Close()
	c.guard.remove(c)
	c.counted.Do(func() { c.guard.open.Add(-1) })
}

// closeEvicted ends a connection whose memory is needed. While a handler reads the body, the
// read fails, so that the handler can answer.
func (c *Conn) closeEvicted() {
	c.guard.refused(Evicted)
	if !c.guard.isMetered && c.isInRequest() {
		_ = c.SetReadDeadline(time.Unix(1, 0))
		return
	}
	c.end()
}

const (
	// lingerTime and lingerBytes bound what is read from a client that was refused, so that
	// it can read the answer before the connection is reset.
	lingerTime  = 200 * time.Millisecond
	lingerBytes = 256 << 10
	// lingerPartBytes is the size of one read of it.
	lingerPartBytes = 4 << 10
	// refusalRetrySeconds is when a client may come again that was refused for lack of memory.
	refusalRetrySeconds = "0.5"
)

// refuse answers a request that was not run and ends the connection.
func (c *Conn) refuse(cause Cause, status int) error {
	c.guard.refused(cause)
	retry := ""
	if status == http.StatusServiceUnavailable {
		retry = "Retry-After: " + refusalRetrySeconds + "\r\n"
	}
	_ = c.SetDeadline(time.Now().Add(lingerTime))
	_, err := fmt.Fprintf(c.Conn, "HTTP/1.1 %d %s\r\n%sContent-Length: 0\r\nConnection: close\r\n\r\n", status, http.StatusText(status), retry)
	c.isEnded.Store(true)
	if err != nil {
		return errRefused
	}
	_ = c.CloseWrite()
	part := make([]byte, lingerPartBytes)
	for read := 0; read < lingerBytes; {
		n, err := c.Conn.Read(part)
		if err != nil {
			break
		}
		read += n
	}
	return errRefused
}

// CloseWrite closes the sending side of the connection.
func (c *Conn) CloseWrite() error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		return tcp.CloseWrite()
	}
	return nil
}

// SetLinger sets what the close of the connection does with unsent bytes.
func (c *Conn) SetLinger(seconds int) error {
	if tcp, isTCP := c.Conn.(*net.TCPConn); isTCP {
		return tcp.SetLinger(seconds)
	}
	return nil
}

// SyscallConn returns the raw connection.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	raw, isRaw := c.Conn.(syscall.Conn)
	if !isRaw {
		return nil, errors.New("connection without a descriptor")
	}
	return raw.SyscallConn()
}

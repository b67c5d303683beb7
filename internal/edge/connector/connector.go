// Package connector sends one HTTP request at a time over a TCP connection to a
// target and tells exactly how far it came. It repeats nothing, checks that a
// pooled connection is still open before it uses it, and pools only those
// connections whose answer was read to its end.
package connector

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent tells that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent to target")
	// ErrRefused is ErrNotSent where the target refuses connections, as one that
	// does not run does.
	ErrRefused = errors.Wrap(ErrNotSent, "connection refused")
	// ErrSilent tells that a target sent nothing for longer than a limit.
	ErrSilent = errors.New("target is silent")
	// ErrDeadline tells that the deadline of the request passed before the whole
	// answer came. It says nothing about the target.
	ErrDeadline = errors.New("deadline passed during request to target")
	// ErrCanceled tells that the context of the request ended.
	ErrCanceled = errors.New("request to target canceled")
	// ErrCut tells that a connection ended before the whole answer came.
	ErrCut = errors.New("connection to target was cut")
)

const (
	dialTimeout = 500 * time.Millisecond
	// silentLimit is how long a connection that has carried nothing at the
	// deadline of its request must have waited to make its siblings suspect.
	silentLimit = 2 * time.Second
	mostIdle    = 64 // pooled connections for each target
	// idleLife is how long an idle connection is kept where the target does not say
	// when it closes it, and idleMargin how much sooner than that otherwise.
	idleLife   = 15 * time.Second
	idleMargin = time.Second
	// poolLife is how long a pool without idle connections is kept: longer than a
	// request lasts, whose connection comes back to it.
	poolLife        = time.Minute
	readBufferSize  = 8 << 10
	writeBufferSize = 8 << 10
)

// Pool holds connections to one target. The zero value is not usable; see New.
type Pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	now     func() time.Time

	mu   sync.Mutex
	idle []*conn
	// usedAt is when a connection was last taken or put back.
	usedAt time.Time
	// epoch is raised when the pooled connections are distrusted; connections
	// of an earlier epoch are closed and not pooled.
	epoch int
}

// New returns an empty pool of connections to address.
func New(address string) *Pool {
	return &Pool{address: address, dial: dialTCP, now: time.Now, usedAt: time.Now()}
}

func dialTCP(ctx context.Context, address string) (net.Conn, error) {
	var dialer net.Dialer
	return dialer.DialContext(ctx, "tcp", address)
}

// conn is one connection with its buffers.
type conn struct {
	timedConn
	reader  *bufio.Reader
	writer  *bufio.Writer
	epoch   int
	expires time.Time
}

// timedConn bounds every read by the nearer of a gap from now and a deadline.
type timedConn struct {
	net.Conn
	gap     time.Duration
	until   time.Time
	written int
	// heardAt is when the connection last carried a byte, or its request was sent.
	heardAt time.Time
}

func (c *timedConn) Read(p []byte) (int, error) {
	limit := c.until
	if c.gap > 0 {
		if next := time.Now().Add(c.gap); next.Before(limit) {
			limit = next
		}
	}
	if err := c.SetReadDeadline(limit); err != nil {
		return 0, err
	}
	n, err := c.Conn.Read(p)
	if n > 0 {
		c.heardAt = time.Now()
	}
	return n, err
}

func (c *timedConn) Write(p []byte) (int, error) {
	n, err := c.Conn.Write(p)
	c.written += n
	return n, err
}

// Call describes one request.
type Call struct {
	Request *fasthttp.Request
	// Context ends the call when it is done, by closing the connection; nil for
	// a call that is not canceled.
	Context context.Context
	// Fresh asks for a new connection. A request that may not be repeated needs
	// one, since a pooled connection can end just as it is used.
	Fresh bool
	// FirstByte is the deadline for the head of the answer.
	FirstByte time.Time
	// Until is the deadline for the whole answer.
	Until time.Time
	// Gap bounds the time between two reads of the body; 0 for no bound.
	Gap time.Duration
}

func (c Call) isCanceled() bool { return c.context().Err() != nil }

// context returns the context of the call, which a call that is not canceled lacks.
func (c Call) context() context.Context {
	if c.Context == nil {
		return context.Background()
	}
	return c.Context
}

// Do sends a request and reads the head of the answer. The error is ErrNotSent,
// ErrSilent, ErrDeadline, ErrCanceled or ErrCut. The caller must close the answer.
func (p *Pool) Do(call Call) (*Answer, error) {
	if call.isCanceled() {
		return nil, errors.Wrap(ErrNotSent, ErrCanceled.Error())
	}
	c, err := p.take(call)
	if err != nil {
		return nil, err
	}
	if call.isCanceled() {
		// The caller has left while the connection was made.
		c.Close()
		return nil, errors.Wrap(ErrNotSent, ErrCanceled.Error())
	}
	a := &Answer{pool: p, conn: c, call: call}
	a.watch()
	c.written = 0
	c.gap = 0
	c.until = earlier(call.FirstByte, call.Until)
	c.heardAt = time.Now()
	if err := c.send(call); err != nil {
		sorted := a.readError(err)
		a.Discard()
		if c.written == 0 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, sorted
	}
	if err := a.readHead(); err != nil {
		err = a.readError(err)
		a.Discard()
		return nil, err
	}
	c.until = call.Until
	c.gap = call.Gap
	return a, nil
}

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}

func (c *conn) send(call Call) error {
	if err := c.SetWriteDeadline(c.until); err != nil {
		return err
	}
	if err := call.Request.Write(c.writer); err != nil {
		return err
	}
	return c.writer.Flush()
}

// readError sorts an error of an exchange. A silent connection makes its pooled
// siblings suspect, since what lost track of it may have lost them as well. The
// deadline of a request alone does not.
func (a *Answer) readError(err error) error {
	if a.call.isCanceled() {
		return errors.Wrap(ErrCanceled, a.pool.address)
	}
	if !isTimeout(err) {
		return errors.Wrapf(ErrCut, "%s: %v", a.pool.address, err)
	}
	now := time.Now()
	if now.Before(a.call.Until) {
		a.pool.Distrust()
		return errors.Wrap(ErrSilent, a.pool.address)
	}
	if now.Sub(a.conn.heardAt) >= silentLimit {
		a.pool.Distrust()
	}
	return errors.Wrap(ErrDeadline, a.pool.address)
}

// isTimeout reports whether err is that of a passed read or write deadline. The
// head is read by fasthttp, which replaces the error of the connection.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &netErr) && netErr.Timeout())
}

// Distrust closes the pooled connections and keeps those now in use from being pooled.
func (p *Pool) Distrust() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.epoch++
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

func (p *Pool) take(call Call) (*conn, error) {
	for !call.Fresh {
		c := p.pop()
		if c == nil {
			break
		}
		if p.now().Before(c.expires) && isOpen(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	timeout := min(dialTimeout, call.Until.Sub(p.now()))
	if timeout <= 0 {
		return nil, errors.Wrap(ErrNotSent, ErrDeadline.Error())
	}
	ctx, cancel := context.WithTimeout(call.context(), timeout)
	defer cancel()
	raw, err := p.dial(ctx, p.address)
	if errors.Is(err, syscall.ECONNREFUSED) {
		return nil, errors.Wrap(ErrRefused, p.address)
	}
	if err != nil {
		return nil, errors.Wrap(ErrNotSent, err.Error())
	}
	c := &conn{timedConn: timedConn{Conn: raw}, epoch: epoch}
	c.reader = bufio.NewReaderSize(&c.timedConn, readBufferSize)
	c.writer = bufio.NewWriterSize(&c.timedConn, writeBufferSize)
	return c, nil
}

func (p *Pool) pop() *conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.usedAt = p.now()
	if len(p.idle) == 0 {
		return nil
	}
	c := p.idle[len(p.idle)-1]
	p.idle = p.idle[:len(p.idle)-1]
	return c
}

// put pools a connection that the target keeps for a while; 0 if it does not say.
func (p *Pool) put(c *conn, kept time.Duration) {
	// An expired read deadline would make isOpen fail.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	now := p.now()
	c.expires = now.Add(idleTime(kept))
	p.mu.Lock()
	p.usedAt = now
	keep := c.epoch == p.epoch && len(p.idle) < mostIdle && c.reader.Buffered() == 0
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// idleTime returns how long a connection may be idle that the target keeps for a
// while; 0 if it does not say.
func idleTime(kept time.Duration) time.Duration {
	switch {
	case kept <= 0:
		return idleLife
	case kept < 2*idleMargin:
		return min(kept/2, idleLife)
	default:
		return min(kept-idleMargin, idleLife)
	}
}

// Package connector sends one HTTP request at a time over a TCP connection to a
// target and reports in its error how far the request got. It never retries a
// request, checks that a pooled connection is still open before it uses it, and
// pools only connections whose answer was read to its end.
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

	"github.com/crocusring/crocusring/internal/wire/peeker"
)

var (
	// ErrNotSent means that no byte of the request left this process.
	ErrNotSent = errors.New("request not sent to target")
	// ErrRefused is an ErrNotSent whose cause is that the target refuses connections,
	// as when its process is not running.
	ErrRefused = errors.Wrap(ErrNotSent, "connection refused")
	// ErrWithdrawn is an ErrNotSent of a call that was withdrawn while its connection was made.
	ErrWithdrawn = errors.Wrap(ErrNotSent, "call withdrawn")
	// ErrSilent means that the target sent nothing until the deadline of the head or
	// for the gap between two reads, while the deadline of the whole answer had not
	// passed.
	ErrSilent = errors.New("target is silent")
	// ErrDeadline means that the deadline of the request passed before the whole
	// answer arrived. It is no evidence of a fault of the target.
	ErrDeadline = errors.New("deadline passed during request to target")
	// ErrCanceled means that the context of the request is done.
	ErrCanceled = errors.New("request to target canceled")
	// ErrCut means that the connection ended before the whole answer arrived.
	ErrCut = errors.New("connection to target was cut")
)

const (
	dialTimeout = 500 * time.Millisecond
	// silenceThreshold is how long a connection must have been silent when the
	// deadline of its request passes for the pooled connections to be invalidated.
	silenceThreshold = 2 * time.Second
	maxIdleConns     = 64 // per target
	// maxIdleTime limits how long an idle connection is kept. If the target announces
	// its own idle timeout, the connection is closed keepAliveMargin before that.
	maxIdleTime     = 15 * time.Second
	keepAliveMargin = time.Second
	// unusedPoolLifetime is how long a pool without idle connections is kept. It is
	// longer than a request lasts, since the connection of a request in flight
	// returns to the pool.
	unusedPoolLifetime = time.Minute
	readBufferSize     = 8 << 10
	writeBufferSize    = 8 << 10
)

// Pool is a connection pool for one target. The zero value is not usable; see New.
type Pool struct {
	address string
	dial    func(ctx context.Context, address string) (net.Conn, error)
	now     func() time.Time

	mu   sync.Mutex
	idle []*conn
	// usedAt is when a connection was last requested or returned.
	usedAt time.Time
	// epoch is incremented when the pooled connections are invalidated; connections
	// of an earlier epoch are closed instead of pooled.
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

// timedConn makes a read time out after gap or at the deadline until, whichever is
// earlier.
type timedConn struct {
	net.Conn
	gap     time.Duration // 0 for none
	until   time.Time
	written int // bytes
	// lastActivity is when the last byte was received, or else when the exchange began.
	lastActivity time.Time
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
		c.lastActivity = time.Now()
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
	// Context cancels the call when it is done, by closing the connection; nil for
	// a call that cannot be canceled.
	Context context.Context
	// Fresh requires a new connection. A request that must not be repeated needs
	// one, since the target may close a pooled connection just as it is used.
	Fresh bool
	// IsWithdrawn, if set, is asked once there is a connection, right before the request is sent: the
	// reasons for which the target was chosen may not hold any more.
	IsWithdrawn func() bool
	// FirstByte is the deadline for the head of the answer.
	FirstByte time.Time
	// AnswerDeadline is the deadline for the whole answer.
	AnswerDeadline time.Time
	// Gap limits how long a single read of the body may wait; 0 for no limit.
	Gap time.Duration
}

func (c Call) isCanceled() bool { return c.context().Err() != nil }

// context returns the context of the call, or the background context if it has none.
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
	c, err := p.get(call)
	if err != nil {
		return nil, err
	}
	if call.isCanceled() {
		// The call was canceled while the connection was being made.
		c.Close()
		return nil, errors.Wrap(ErrNotSent, ErrCanceled.Error())
	}
	if call.IsWithdrawn != nil && call.IsWithdrawn() {
		c.Close()
		return nil, errors.Wrap(ErrWithdrawn, p.address)
	}
	a := &Answer{pool: p, conn: c, call: call}
	a.watch()
	c.written = 0
	c.gap = 0
	c.until = earlier(call.FirstByte, call.AnswerDeadline)
	c.lastActivity = time.Now()
	if err := c.send(call); err != nil {
		classified := a.classifyError(err)
		a.Discard()
		if c.written == 0 {
			return nil, errors.Wrap(ErrNotSent, err.Error())
		}
		return nil, classified
	}
	if err := a.readHead(); err != nil {
		err = a.classifyError(err)
		a.Discard()
		return nil, err
	}
	c.until = call.AnswerDeadline
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

// classifyError maps an error of an exchange to one of those of Do. A silent
// connection invalidates the pool, since what dropped the state of this
// connection on the network path may have dropped that of the pooled connections as
// well. A passed deadline alone does not.
func (a *Answer) classifyError(err error) error {
	if a.call.isCanceled() {
		return errors.Wrap(ErrCanceled, a.pool.address)
	}
	if !isTimeout(err) {
		return errors.Wrapf(ErrCut, "%s: %v", a.pool.address, err)
	}
	now := time.Now()
	if now.Before(a.call.AnswerDeadline) {
		a.pool.Invalidate()
		return errors.Wrap(ErrSilent, a.pool.address)
	}
	if now.Sub(a.conn.lastActivity) >= silenceThreshold {
		a.pool.Invalidate()
	}
	return errors.Wrap(ErrDeadline, a.pool.address)
}

// isTimeout reports whether err means that a read or write deadline passed. While
// it reads a head, fasthttp replaces the error of the connection by its own.
func isTimeout(err error) bool {
	var netErr net.Error
	return errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &netErr) && netErr.Timeout())
}

// Invalidate closes the pooled connections; those in use are closed when they are
// returned.
func (p *Pool) Invalidate() {
	p.mu.Lock()
	idle := p.idle
	p.idle = nil
	p.epoch++
	p.mu.Unlock()
	for _, c := range idle {
		c.Close()
	}
}

// get returns an open pooled connection, or a new one if the call requires that or
// none is pooled. The error is ErrNotSent.
func (p *Pool) get(call Call) (*conn, error) {
	for !call.Fresh {
		c := p.pop()
		if c == nil {
			break
		}
		if p.now().Before(c.expires) && peeker.IsIdle(c.Conn) {
			return c, nil
		}
		c.Close()
	}
	return p.connect(call.context(), min(dialTimeout, call.AnswerDeadline.Sub(p.now())))
}

// connect makes a new connection within a timeout. The error is ErrNotSent.
func (p *Pool) connect(ctx context.Context, timeout time.Duration) (*conn, error) {
	p.mu.Lock()
	epoch := p.epoch
	p.mu.Unlock()
	if timeout <= 0 {
		return nil, errors.Wrap(ErrNotSent, ErrDeadline.Error())
	}
	ctx, cancel := context.WithTimeout(ctx, timeout)
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

// pop removes and returns the connection that was pooled last; nil if there is none.
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

// put returns a connection to the pool. keepAlive is the idle timeout that the target
// announced; 0 for none.
func (p *Pool) put(c *conn, keepAlive time.Duration) {
	// A read deadline that has passed would make peeker.IsIdle fail.
	if err := c.SetReadDeadline(time.Time{}); err != nil {
		c.Close()
		return
	}
	now := p.now()
	c.expires = now.Add(idleTime(keepAlive))
	p.mu.Lock()
	p.usedAt = now
	keep := c.epoch == p.epoch && len(p.idle) < maxIdleConns && c.reader.Buffered() == 0
	if keep {
		p.idle = append(p.idle, c)
	}
	p.mu.Unlock()
	if !keep {
		c.Close()
	}
}

// idleTime returns how long a connection may stay in the pool, given the idle timeout
// that the target announced; 0 for none.
func idleTime(keepAlive time.Duration) time.Duration {
	switch {
	case keepAlive <= 0:
		return maxIdleTime
	case keepAlive < 2*keepAliveMargin:
		return min(keepAlive/2, maxIdleTime)
	default:
		return min(keepAlive-keepAliveMargin, maxIdleTime)
	}
}

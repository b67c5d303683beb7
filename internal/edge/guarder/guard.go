package guarder

import (
	"net"
	"runtime"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/go-faster/errors"
)

// Cause is why a client was refused or its connection closed.
type Cause string

// Causes.
const (
	// HeadTooLarge is a head with too many bytes or lines, and HeadTooSlow one that was not
	// there in time.
	HeadTooLarge Cause = "HeadTooLarge"
	HeadTooSlow  Cause = "HeadTooSlow"
	// NoMemory is a head, body or message for which the budget has no room, and Evicted a
	// connection that was closed for others.
	NoMemory Cause = "NoMemory"
	Evicted  Cause = "Evicted"
	// TooManyConns is a connection that was closed at once, since there are too many.
	TooManyConns Cause = "TooManyConns"
	// IdleClosed is an idle or silent connection that was closed for a new one.
	IdleClosed Cause = "IdleClosed"
	// NotRead is an answer that its client did not read for too long.
	NotRead Cause = "NotRead"
)

// Limits bound what a client sends. They may change while the guard is in use.
type Limits struct {
	HeadBytes int
	HeadLines int
	// HeadTimeout is the time from the first byte of a head to its end.
	HeadTimeout time.Duration
	// IdleTimeout is the time for which a connection may be idle between two requests.
	IdleTimeout time.Duration
}

// Default limits, which no ordinary client reaches.
const (
	DefaultHeadBytes   = 64 << 10
	DefaultHeadLines   = 256
	DefaultHeadTimeout = 10 * time.Second
	DefaultIdleTimeout = time.Minute
	// writeTimeout is how long a client may leave a part of an answer unread.
	writeTimeout = 5 * time.Second
	// firstByteTimeout is how long a new connection may send nothing.
	firstByteTimeout = 10 * time.Second
	// minQuiet is how long a connection must have been quiet to be closed for a new one. It is
	// short, since an ordinary client sends its head at once, and silent clients that connect
	// again must not keep it out.
	minQuiet = 30 * time.Millisecond
	// minUnread is how long a client must have left a part of an answer unread for the same.
	minUnread = 500 * time.Millisecond
)

// DefaultLimits returns the default limits.
func DefaultLimits() Limits {
	return Limits{
		HeadBytes: DefaultHeadBytes, HeadLines: DefaultHeadLines,
		HeadTimeout: DefaultHeadTimeout, IdleTimeout: DefaultIdleTimeout,
	}
}

// Guard bounds the connections of a listener. The zero value is not usable; see New.
type Guard struct {
	budget   *Budget
	share    Share
	maxConns int
	refused  func(Cause)
	limits   func() Limits
	// isMetered charges all that is read to the budget, for servers that read whole bodies
	// by themselves; otherwise only heads are measured and charged.
	isMetered bool
	// closeAfter is how long a connection may send nothing within a request before it may be
	// closed for a new one; 0 for never.
	closeAfter time.Duration

	mu    sync.Mutex
	conns map[*Conn]struct{}
	open  atomic.Int64
}

// Option configures a guard in New.
type Option func(*Guard)

// WithRefusals sets the function that is called for each client that is refused.
func WithRefusals(refused func(Cause)) Option {
	return func(g *Guard) { g.refused = refused }
}

// WithLimits sets the function that returns the current limits.
func WithLimits(limits func() Limits) Option { return func(g *Guard) { g.limits = limits } }

// WithMetering charges all that is read from a connection to a share of the budget until its
// answer is written.
func WithMetering(s Share) Option {
	return func(g *Guard) { g.isMetered, g.share = true, s }
}

// WithCloseAfter allows connections to be closed for new ones if they have sent nothing for
// closeAfter, also within a request.
func WithCloseAfter(closeAfter time.Duration) Option {
	return func(g *Guard) { g.closeAfter = closeAfter }
}

// New returns a guard that allows maxConns connections.
func New(budget *Budget, maxConns int, options ...Option) *Guard {
	g := &Guard{
		budget: budget, share: Reading, maxConns: maxConns, refused: func(Cause) {}, limits: DefaultLimits, conns: map[*Conn]struct{}{},
	}
	for _, option := range options {
		option(g)
	}
	return g
}

// Open returns the number of open connections.
func (g *Guard) Open() int { return int(g.open.Load()) }

// Wrap returns a listener whose connections are guarded.
func (g *Guard) Wrap(ln net.Listener) net.Listener { return &listener{Listener: ln, guard: g} }

type listener struct {
	net.Listener
	guard *Guard
	// accepted is the number of connections since the last yield.
	accepted int
}

// yieldInterval is the number of connections between two yields.
const yieldInterval = 8

func (l *listener) yield() {
	l.accepted++
	if l.accepted >= yieldInterval {
		l.accepted = 0
		runtime.Gosched()
	}
}

// acceptRetryDelay is the pause after an error that passes, such as a lack of descriptors.
const acceptRetryDelay = 20 * time.Millisecond

// Accept returns the next connection that the guard admits. A lack of descriptors or memory
// is waited for: it must not end the listener.
//
// It yields after every few connections. While connections wait to be accepted, it never blocks, and Go's
// scheduler runs the goroutines that serve them before those that the network has woken, among them
// those that follow the store and the other instances.
func (l *listener) Accept() (net.Conn, error) {
	for {
		l.yield()
		raw, err := l.Listener.Accept()
		switch {
		case err == nil:
			if c := l.guard.admit(raw, time.Now()); c != nil {
				return c, nil
			}
		case passes(err):
			l.guard.closeQuiet(time.Now())
			time.Sleep(acceptRetryDelay)
		default:
			return nil, err
		}
	}
}

// passes reports whether an error of Accept ends by itself.
func passes(err error) bool {
	for _, passing := range []error{syscall.EMFILE, syscall.ENFILE, syscall.ENOBUFS, syscall.ENOMEM, syscall.ECONNABORTED, syscall.EINTR} {
		if errors.Is(err, passing) {
			return true
		}
	}
	return false
}

// admit returns a new connection, for which a quiet one is closed if there are too many; nil
// if there is none to close.
func (g *Guard) admit(raw net.Conn, now time.Time) *Conn {
	if g.Open() >= g.maxConns && !g.closeQuiet(now) {
		g.refused(TooManyConns)
		raw.Close()
		return nil
	}
	c := &Conn{Conn: raw, guard: g, quietSince: now}
	c.hold = g.budget.Open(g.share, c.closeEvicted)
	c.hold.Force(connBytes, now)
	g.mu.Lock()
	g.conns[c] = struct{}{}
	g.mu.Unlock()
	g.open.Add(1)
	return c
}

// closeQuiet closes the connection that is best closed: one that has never sent a whole
// request, else an idle one, else one whose answer is not read, and of these the one that has
// been quiet for longest.
func (g *Guard) closeQuiet(now time.Time) bool {
	g.mu.Lock()
	var chosen *Conn
	var best closePriority
	for c := range g.conns {
		if q := c.closePriority(now); q.isClosable && (chosen == nil || q.goesBefore(best)) {
			chosen, best = c, q
		}
	}
	if chosen != nil {
		delete(g.conns, chosen)
	}
	g.mu.Unlock()
	if chosen == nil {
		return false
	}
	g.refused(IdleClosed)
	chosen.end()
	return true
}

// closePriority is how well a connection can be closed.
type closePriority struct {
	isClosable bool
	rank       closeRank
	since      time.Time
}

// closeRank orders connections that can be closed: the first one goes first.
type closeRank int

const (
	// rankUnused connections have never sent a whole request.
	rankUnused closeRank = iota
	rankIdle
	// rankUnread connections have an answer that is not read, or a request that does not go on.
	rankUnread
)

func (q closePriority) goesBefore(other closePriority) bool {
	if q.rank != other.rank {
		return q.rank < other.rank
	}
	return q.since.Before(other.since)
}

func (g *Guard) remove(c *Conn) {
	g.mu.Lock()
	defer g.mu.Unlock()
	delete(g.conns, c)
}

// Package breaker injects faults into the connections of a listener: it resets them as
// the crash of a process does, or makes them permanently silent while new ones work.
package breaker

import (
	"net"
	"sync"
	"sync/atomic"
)

// Listener is a net.Listener that keeps track of its open connections and injects faults
// into them. See New.
type Listener struct {
	net.Listener

	mu       sync.Mutex
	conns    map[*conn]struct{}
	refusing atomic.Bool
}

// Accept waits for the next connection. While the listener refuses connections, Accept
// closes them and continues to wait.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		accepted, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refusing.Load() {
			accepted.Close()
			continue
		}
		tracked := &conn{Conn: accepted, listener: l, closed: make(chan struct{})}
		l.mu.Lock()
		l.conns[tracked] = struct{}{}
		l.mu.Unlock()
		return tracked, nil
	}
}

// New returns a listener that accepts from ln.
func New(ln net.Listener) *Listener {
	return &Listener{Listener: ln, conns: map[*conn]struct{}{}}
}

// Refuse sets whether the listener closes new connections immediately.
func (l *Listener) Refuse(on bool) { l.refusing.Store(on) }

func (l *Listener) openConns() []*conn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*conn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

// CloseAll resets all open connections.
func (l *Listener) CloseAll() {
	for _, c := range l.openConns() {
		ResetOnClose(c.Conn)
		c.Close()
	}
}

// ResetOnClose makes the close of a TCP connection send a reset, as the crash of a process
// does.
func ResetOnClose(c net.Conn) {
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // it fails only if the connection is closed
	}
}

// SilenceAll makes all open connections permanently silent.
func (l *Listener) SilenceAll() {
	for _, c := range l.openConns() {
		c.silent.Store(true)
	}
}

// conn is a connection that can be made silent: it then discards writes, and reads block
// until it is closed.
type conn struct {
	net.Conn
	listener *Listener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *conn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *conn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

package engineer

import (
	"net"
	"sync"
	"sync/atomic"
)

// trackedListener knows its open connections, so that they can be closed or
// made silent from outside.
type trackedListener struct {
	net.Listener
	mu       sync.Mutex
	conns    map[*trackedConn]struct{}
	refusing atomic.Bool
}

func (l *trackedListener) Accept() (net.Conn, error) {
	for {
		conn, err := l.Listener.Accept()
		if err != nil {
			return nil, err
		}
		if l.refusing.Load() {
			conn.Close()
			continue
		}
		tracked := &trackedConn{Conn: conn, listener: l, closed: make(chan struct{})}
		l.mu.Lock()
		if l.conns == nil {
			l.conns = map[*trackedConn]struct{}{}
		}
		l.conns[tracked] = struct{}{}
		l.mu.Unlock()
		return tracked, nil
	}
}

func (l *trackedListener) refuse(on bool) { l.refusing.Store(on) }

func (l *trackedListener) all() []*trackedConn {
	l.mu.Lock()
	defer l.mu.Unlock()
	conns := make([]*trackedConn, 0, len(l.conns))
	for c := range l.conns {
		conns = append(conns, c)
	}
	return conns
}

func (l *trackedListener) closeAll() {
	for _, c := range l.all() {
		if tcp, ok := c.Conn.(*net.TCPConn); ok {
			_ = tcp.SetLinger(0)
		}
		c.Close()
	}
}

func (l *trackedListener) silenceAll() {
	for _, c := range l.all() {
		c.silent.Store(true)
	}
}

// trackedConn swallows what is written and blocks reads while it is silent.
type trackedConn struct {
	net.Conn
	listener *trackedListener
	silent   atomic.Bool
	once     sync.Once
	closed   chan struct{}
}

func (c *trackedConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	if c.silent.Load() && err == nil {
		<-c.closed
		return 0, net.ErrClosed
	}
	return n, err
}

func (c *trackedConn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return len(p), nil
	}
	return c.Conn.Write(p)
}

func (c *trackedConn) Close() error {
	c.once.Do(func() { close(c.closed) })
	c.listener.mu.Lock()
	delete(c.listener.conns, c)
	c.listener.mu.Unlock()
	return c.Conn.Close()
}

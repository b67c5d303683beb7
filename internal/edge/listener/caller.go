package listener

import (
	"context"
	"net"
	"syscall"
	"time"
)

// caller tells whether the caller of a request still waits for its answer.
// fasthttp notices only when it next writes to the connection.
type caller struct {
	context context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	done    chan struct{}
}

// watchCaller returns a caller whose context ends as soon as the other end
// closes conn, also if it only closes its sending side, as net/http does it.
// The connection must not be read until stop was called.
func watchCaller(conn net.Conn) *caller {
	c := &caller{conn: conn, done: make(chan struct{})}
	c.context, c.cancel = context.WithCancel(context.Background())
	sys, ok := conn.(syscall.Conn)
	if !ok {
		close(c.done)
		return c
	}
	raw, err := sys.SyscallConn()
	if err != nil || conn.SetReadDeadline(time.Time{}) != nil {
		close(c.done)
		return c
	}
	go c.watch(raw)
	return c
}

// watch ends when the connection has something to read, which is its end or a
// further request, or when its read deadline passes.
func (c *caller) watch(raw syscall.RawConn) {
	defer close(c.done)
	isClosed := false
	err := raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		n, _, err := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		if err == syscall.EAGAIN || err == syscall.EINTR {
			return false
		}
		isClosed = n == 0 || err != nil
		return true
	})
	if err == nil && isClosed {
		c.cancel()
	}
}

// stop ends the watch and leaves the connection as it was.
func (c *caller) stop() {
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	_ = c.conn.SetReadDeadline(time.Time{})
	c.cancel()
}

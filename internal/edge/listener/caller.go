package listener

import (
	"context"
	"net"
	"syscall"
	"time"
)

// callerWatch cancels a context when the caller of a request closes its connection.
// fasthttp itself notices that only at its next write to the connection.
type callerWatch struct {
	context context.Context
	cancel  context.CancelFunc
	conn    net.Conn
	done    chan struct{}
}

// watchCaller returns a callerWatch whose context is canceled as soon as the
// peer closes conn, or only its sending side, as net/http does. The connection
// must not be read until stop has returned.
func watchCaller(conn net.Conn) *callerWatch {
	c := &callerWatch{conn: conn, done: make(chan struct{})}
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
	go c.awaitReadable(raw)
	return c
}

// awaitReadable returns when the connection becomes readable, because it was closed or
// carries a further request, or when its read deadline passes.
func (c *callerWatch) awaitReadable(raw syscall.RawConn) {
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

// stop ends the watch and clears the read deadline of the connection.
func (c *callerWatch) stop() {
	_ = c.conn.SetReadDeadline(time.Unix(1, 0))
	<-c.done
	_ = c.conn.SetReadDeadline(time.Time{})
	c.cancel()
}

package breaker

import (
	"net"
	"syscall"
)

// SyscallConn implements syscall.Conn. It returns the raw connection of the underlying
// TCP connection.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil, net.ErrClosed
	}
	return tcp.SyscallConn()
}

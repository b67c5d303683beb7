package breaker

import (
	"net"
	"syscall"
)

// SyscallConn returns the raw connection, as that of a TCP connection does.
func (c *conn) SyscallConn() (syscall.RawConn, error) {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil, net.ErrClosed
	}
	return tcp.SyscallConn()
}

// Package peeker tells whether a connection that is kept for the next request can be used for
// it. Bytes that arrive while no request is on its way are the answer to none.
package peeker

import (
	"net"
	"syscall"
)

// IsIdle reports whether the peer of an idle connection has neither closed it nor
// sent unsolicited bytes.
func IsIdle(c net.Conn) bool {
	sys, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	idle := false
	err = raw.Read(func(fd uintptr) bool {
		var buf [1]byte
		_, _, recvErr := syscall.Recvfrom(int(fd), buf[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		idle = recvErr == syscall.EAGAIN || recvErr == syscall.EWOULDBLOCK
		return true
	})
	return err == nil && idle
}

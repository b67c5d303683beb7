package main

import (
	"net"
	"net/netip"
	"syscall"
	"time"
)

// darkPort holds a port on which nobody answers: its queue of new channels is full, so that
// opening packets are dropped, as by a machine without power.
type darkPort struct {
	fd      int
	fillers []net.Conn
}

// newDarkPort takes over the port of a listener that was just closed. It returns nil if the
// port cannot be taken.
func newDarkPort(address string) *darkPort {
	at, err := netip.ParseAddrPort(address)
	if err != nil {
		return nil
	}
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM, 0)
	if err != nil {
		return nil
	}
	_ = syscall.SetsockoptInt(fd, syscall.SOL_SOCKET, syscall.SO_REUSEADDR, 1)
	name := &syscall.SockaddrInet4{Port: int(at.Port()), Addr: at.Addr().As4()}
	if syscall.Bind(fd, name) != nil || syscall.Listen(fd, 0) != nil {
		_ = syscall.Close(fd)
		return nil
	}
	p := &darkPort{fd: fd}
	for range 8 { // the queue is full once a channel cannot be opened
		c, err := net.DialTimeout("tcp4", address, 50*time.Millisecond)
		if err != nil {
			break
		}
		p.fillers = append(p.fillers, c)
	}
	return p
}

func (p *darkPort) close() {
	_ = syscall.Close(p.fd)
	for _, c := range p.fillers {
		_ = c.Close()
	}
}

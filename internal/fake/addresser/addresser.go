// Package addresser returns free loopback addresses for the processes of a test. They are
// bound some time later, and no other process must take one meanwhile.
package addresser

import (
	"fmt"
	"net"
	"os"
	"sync/atomic"
	"syscall"

	"github.com/go-faster/errors"
)

// ErrNoAddress means that each address that was tried is in use.
var ErrNoAddress = errors.New("no free loopback address")

const (
	// firstPort and maxPorts bound the ports that are used.
	firstPort = 20000
	maxPorts  = 12000
	// hosts is the number of values that are used of a byte of the host.
	hosts       = 250
	maxAttempts = 1000
)

// used is the number of addresses that were tried.
var used atomic.Int32

// Free returns an address that no other process uses. Its host comes from the process ID:
// listeners and outgoing connections of other processes, which use 127.0.0.1, cannot take
// the port before it is bound. It skips a port that a process of an aborted run still holds.
func Free() (string, error) {
	pid := os.Getpid()
	for range maxAttempts {
		port := firstPort + int(used.Add(1))%maxPorts
		address := fmt.Sprintf("127.%d.%d.1:%d", pid/hosts%hosts+1, pid%hosts+1, port)
		free, err := isFree(address)
		if err != nil {
			return "", err
		}
		if free {
			return address, nil
		}
	}
	return "", ErrNoAddress
}

// isFree reports whether an address can be bound. No process is started meanwhile, since it
// would hold a copy of the listener until it executes its program.
func isFree(address string) (bool, error) {
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()
	ln, err := net.Listen("tcp4", address)
	if err != nil {
		return false, nil
	}
	if err := ln.Close(); err != nil {
		return false, errors.Wrap(err, "free address")
	}
	return true, nil
}

package poster

import (
	"net"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/peeker"
)

// errNotIdle reports that a kept connection was closed, or that bytes have arrived on it that are
// the answer to no request. Nothing of the next request was written.
var errNotIdle = errors.New("kept connection is not idle")

// checkedConn is a connection that takes no further request once it is not idle between two.
type checkedConn struct {
	net.Conn
	// isBetween is set while the last request was answered and the next one has not begun.
	isBetween bool
	scanner   statusScanner
	// maxBytes bounds the bytes of an answer, and read counts them.
	maxBytes, read int
}

func (c *checkedConn) Read(p []byte) (int, error) {
	c.isBetween = true
	n, err := c.Conn.Read(p)
	c.read += n
	if c.read > c.maxBytes {
		return 0, ErrTooLong
	}
	if scanErr := c.scanner.scan(p[:n]); scanErr != nil {
		return 0, scanErr
	}
	return n, err
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if c.isBetween && !peeker.IsIdle(c.Conn) {
		return 0, errNotIdle
	}
	if c.isBetween {
		c.scanner, c.read = statusScanner{}, 0
	}
	c.isBetween = false
	return c.Conn.Write(p)
}

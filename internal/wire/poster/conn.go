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
}

func (c *checkedConn) Read(p []byte) (int, error) {
	c.isBetween = true
	return c.Conn.Read(p)
}

func (c *checkedConn) Write(p []byte) (int, error) {
	if c.isBetween && !peeker.IsIdle(c.Conn) {
		return 0, errNotIdle
	}
	c.isBetween = false
	return c.Conn.Write(p)
}

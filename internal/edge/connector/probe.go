package connector

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
)

// Presence tells whether a process accepts connections at an address.
type Presence int

const (
	// Unknown means that nothing answered in time: only the way there may be interrupted.
	Unknown Presence = iota
	// Present means that a connection was made and stayed open.
	Present
	// Absent means that connections are refused, or closed as soon as they are made, as by a
	// proxy whose upstream has ended.
	Absent
)

// closeWatchTime is how long a new connection is watched for being closed at once.
const closeWatchTime = 30 * time.Millisecond

// Probe makes a new connection and reports whether a process is present. onConnect is called
// as soon as the connection is made. One that stays open is pooled.
func (p *Pool) Probe(until time.Time, onConnect func()) Presence {
	c, err := p.connect(context.Background(), min(dialTimeout, until.Sub(p.now())))
	if errors.Is(err, ErrRefused) {
		return Absent
	}
	if err != nil {
		return Unknown
	}
	onConnect()
	if err := c.SetReadDeadline(time.Now().Add(closeWatchTime)); err != nil {
		c.Close()
		return Unknown
	}
	var unasked [1]byte
	_, err = c.Conn.Read(unasked[:])
	switch {
	case isTimeout(err):
		p.put(c, 0)
		return Present
	case err == nil:
		c.Close()
		return Present
	case errors.Is(err, io.EOF):
		c.Close()
		return Absent
	default:
		c.Close()
		return Unknown // a target at its limit of connections resets new ones
	}
}

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

// closeWatchTimes are how long a new connection is watched for being closed at once: the first
// until it probably stays open, both until it does.
var closeWatchTimes = []time.Duration{5 * time.Millisecond, 25 * time.Millisecond}

// Probe makes a new connection and reports whether a process is present. onOpen is called once
// it is likely: the connection was made and not closed at once. One that stays open is pooled.
func (p *Pool) Probe(until time.Time, onOpen func()) Presence {
	c, err := p.connect(context.Background(), min(dialTimeout, until.Sub(p.now())))
	if errors.Is(err, ErrRefused) {
		return Absent
	}
	if err != nil {
		return Unknown
	}
	for _, watch := range closeWatchTimes {
		if presence := c.watchClose(watch); presence != Present {
			c.Close()
			return presence
		}
		onOpen()
	}
	p.put(c, 0)
	return Present
}

// watchClose reports whether an idle connection stays open for a time.
func (c *conn) watchClose(watch time.Duration) Presence {
	if err := c.SetReadDeadline(time.Now().Add(watch)); err != nil {
		return Unknown
	}
	var unasked [1]byte
	_, err := c.Conn.Read(unasked[:])
	switch {
	case isTimeout(err):
		return Present
	case errors.Is(err, io.EOF):
		return Absent
	default:
		return Unknown // a target at its limit of connections resets new ones
	}
}

package conductor

import (
	"context"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// closeProbeTimeout bounds the time that the end of an answer waits for the probe of its target.
const closeProbeTimeout = 300 * time.Millisecond

// errUnprovenEnd reports that an answer ended with its connection, and that its target is not known
// to go on. The connection of a process that has ended is closed in the same way.
var errUnprovenEnd = errors.Wrap(connector.ErrCut, "closed by a target that may have ended")

// checkEnd returns nil if an answer of a target that was read to its end is whole, and
// errUnprovenEnd otherwise. An answer that only the close of its connection ends is whole if its
// target goes on: it accepts a connection, and no other incarnation is known.
func (c *Conductor) checkEnd(ctx context.Context, target *registrar.Target, answer *connector.Answer) error {
	if answer.Framing() != connector.FramedByClose {
		return nil
	}
	known := c.registry.View().Targets[target.ID]
	if known == nil || known.StartMilliseconds != target.StartMilliseconds || !c.acceptsConnections(ctx, target.Address) {
		return errUnprovenEnd
	}
	return nil
}

// acceptsConnections reports whether a new connection is made and not closed at once. The probe
// starts after the answer has ended, so it joins no earlier one.
func (c *Conductor) acceptsConnections(ctx context.Context, address string) bool {
	opened, ended := make(chan struct{}), make(chan connector.Presence, 1)
	isOpen := false
	go func() {
		ended <- c.Probe(address, c.now().Add(closeProbeTimeout), func() {
			if !isOpen {
				isOpen = true
				close(opened)
			}
		})
	}()
	select {
	case <-opened:
		return true
	case presence := <-ended:
		return presence == connector.Present
	case <-ctx.Done():
		return false
	}
}

package runner

import (
	"context"
	"time"

	"github.com/go-faster/errors"
)

const (
	// drainTime covers the life of the last locate answer that names this
	// instance, and what peers may still hand out until they hear that it leaves.
	drainTime    = 11 * time.Second
	drainLimit   = 5 * time.Minute
	drainPoll    = 50 * time.Millisecond
	shutdownTime = 10 * time.Second
)

// stop is a planned stop: the instance is no longer handed out, serves those who
// still come until their addresses have lapsed, lets running requests finish,
// and gives the lease up.
func (n *Node) stop() error {
	n.log.Info("instance leaves")
	n.leaving.Store(true)
	if err := n.leaser.Release(); err != nil {
		n.log.Info("lease not released", "reason", err.Error())
	}
	n.exchanger.TickAndWait()
	quiet := n.now().Add(drainTime)
	limit := n.now().Add(drainLimit)
	for n.now().Before(quiet) || (n.listener.InFlight() > 0 && n.now().Before(limit)) {
		if n.killed.Err() != nil {
			break
		}
		time.Sleep(drainPoll)
	}
	ctx, cancel := context.WithTimeout(context.Background(), shutdownTime)
	defer cancel()
	if err := n.listener.Shutdown(ctx); err != nil {
		return errors.Wrap(err, "shut down")
	}
	n.log.Info("instance has left", "requests", n.listener.InFlight())
	return nil
}

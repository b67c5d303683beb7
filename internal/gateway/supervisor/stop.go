package supervisor

import (
	"context"
	"time"
)

const (
	// leaveDelay is how long an instance that stops still accepts all requests: callers
	// keep the addresses from a locator for a while.
	leaveDelay = 1200 * time.Millisecond
	// acceptShare is the share of the grace period after which no request is accepted.
	acceptShare = 0.3
	// shutdownMargin is the part of the grace period that is reserved for the shutdown of
	// the servers and the end of the process.
	shutdownMargin = 400 * time.Millisecond
	// stopPollInterval is the time between two checks whether all requests have ended.
	stopPollInterval = 20 * time.Millisecond
)

// stop shuts the instance down. It first has all locators drop its address and releases the
// lease, and then waits for the active requests to end within the grace period.
func (s *Supervisor) stop(servers *servers) {
	began := time.Now()
	s.log.Info("instance stops", "active", s.conductor.Active())
	s.leaving.Store(true)
	s.conductor.CloseConnections()
	s.updateLimitMembers()
	s.informer.SendStatus()
	go s.release()
	grace := seconds(s.settings.Bounds.GraceSeconds)
	end := began.Add(grace - shutdownMargin)
	s.conductor.Stop(began.Add(time.Duration(acceptShare*float64(grace))), end)
	time.Sleep(min(leaveDelay, grace/4))
	for time.Now().Before(end) && s.conductor.Active() > 0 {
		time.Sleep(stopPollInterval)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := servers.callers.Shutdown(ctx); err != nil {
		s.log.Info("requests aborted by the shutdown", "active", s.conductor.Active())
	}
	s.log.Info("instance stopped", "milliseconds", time.Since(began).Milliseconds())
}

// release releases the lease and removes the row of this instance from the store.
func (s *Supervisor) release() {
	if err := s.leaser.Release(); err != nil {
		s.log.Info("lease not released", "error", err.Error())
	}
	if err := s.writeRow(false); err != nil {
		s.log.Info("row of this instance not removed", "error", err.Error())
	}
}

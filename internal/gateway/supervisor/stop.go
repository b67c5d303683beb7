package supervisor

import (
	"context"
	"time"
)

const (
	// leaveTime is how long an instance that stops still takes requests: callers
	// keep the addresses that they were told for a while.
	leaveTime = 1200 * time.Millisecond
	// takeShare is the share of the grace time after which no request is taken.
	takeShare = 0.3
	// endMargin is the part of the grace time that is left for the end itself.
	endMargin = 400 * time.Millisecond
	// stopTick is the time between two looks at whether all requests have ended.
	stopTick = 20 * time.Millisecond
)

// stop ends the instance: out of the answers of all locators at once, the lease
// given up, the requests that are there finished.
func (s *Supervisor) stop(servers *servers) {
	began := time.Now()
	s.log.Info("instance stops", "active", s.conductor.Active())
	s.leaving.Store(true)
	s.conductor.Close()
	s.informer.Tell()
	go s.release()
	grace := seconds(s.settings.Bounds.GraceSeconds)
	end := began.Add(grace - endMargin)
	time.Sleep(min(leaveTime, grace/4))
	for time.Now().Before(end) && s.conductor.Active() > 0 {
		if time.Since(began) > time.Duration(takeShare*float64(grace)) {
			s.conductor.Refuse()
		}
		time.Sleep(stopTick)
	}
	ctx, cancel := context.WithDeadline(context.Background(), end)
	defer cancel()
	if err := servers.callers.Shutdown(ctx); err != nil {
		s.log.Info("requests were cut by the stop", "active", s.conductor.Active())
	}
	s.log.Info("instance stopped", "milliseconds", time.Since(began).Milliseconds())
}

// release gives up what the instance holds in the store.
func (s *Supervisor) release() {
	if err := s.leaser.Release(); err != nil {
		s.log.Info("lease not released", "error", err.Error())
	}
	if err := s.writeRow(false); err != nil {
		s.log.Info("own row not removed", "error", err.Error())
	}
}

package allocator

import (
	"slices"
	"time"
)

const (
	// refreshInterval is how long the targets and the loads of others are used without another
	// look.
	refreshInterval = 10 * time.Millisecond
	// idleTime is how long what was measured at an idle service is kept.
	idleTime = time.Minute
)

// service holds the queue, the targets and the estimates of one service.
type service struct {
	name    string
	waiting []*entry
	turns   turns
	returns returns
	// states holds what is known of each target, and targets those that take requests, as of
	// refreshedAt.
	states      map[string]*state
	targets     []target
	refreshedAt time.Time
	// granted is the number of slots in use that this allocator has granted, at all targets.
	granted int
	usedAt  time.Time
	// nextExpiry is no later than the deadline of each grant.
	nextExpiry time.Time
	// meanWork is the mean time of a request at the targets, and fullRate the number of requests
	// a second that all of them serve, as of the last estimate.
	meanWork time.Duration
	fullRate float64
}

func newService(name string) *service {
	return &service{
		name: name, states: map[string]*state{}, turns: turns{accounts: map[string]int64{}}, returns: newReturns(),
	}
}

func (s *service) isIdle(now time.Time) bool {
	return s.granted == 0 && len(s.waiting) == 0 && now.Sub(s.usedAt) > idleTime
}

// refresh reads the targets and the loads of others.
func (s *service) refresh(now time.Time, targetsOf func(string) []Target) {
	if len(s.waiting) > 0 {
		s.usedAt = now
	}
	if s.refreshedAt.IsZero() || now.Sub(s.refreshedAt) >= refreshInterval {
		s.refreshedAt = now
		s.setTargets(targetsOf(s.name))
	}
	s.estimate()
}

func (s *service) setTargets(targets []Target) {
	s.targets = s.targets[:0]
	known := map[string]bool{}
	for _, t := range targets {
		known[t.ID] = true
		st := s.states[t.ID]
		if st == nil {
			st = newState()
			s.states[t.ID] = st
		}
		s.targets = append(s.targets, target{Target: t, state: st})
	}
	for id, st := range s.states {
		if !known[id] && st.inUse == 0 {
			delete(s.states, id)
		}
	}
}

// estimate updates the mean work and the rate of all targets.
func (s *service) estimate() {
	s.meanWork, s.fullRate = initialWork, s.rate(nil)
	if len(s.targets) == 0 {
		return
	}
	sum := 0.0
	for i := range s.targets {
		sum += s.targets[i].work
	}
	s.meanWork = time.Duration(sum / float64(len(s.targets)) * float64(time.Second))
}

// hasRoom reports whether any target takes another request.
func (s *service) hasRoom() bool {
	return slices.ContainsFunc(s.targets, func(t target) bool { return t.load() < t.capacity() })
}

// choose returns the target with room where the request is expected to end first; nil if there
// is none.
func (s *service) choose(avoid []string) *target {
	var best *target
	bestCost := 0.0
	for i := range s.targets {
		t := &s.targets[i]
		if t.load() >= t.capacity() || slices.Contains(avoid, t.ID) {
			continue
		}
		if cost := t.cost(s.meanWork); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// rate returns the number of requests a second that the targets beside those to avoid serve.
func (s *service) rate(avoid []string) float64 {
	rate := 0.0
	for i := range s.targets {
		if !slices.Contains(avoid, s.targets[i].ID) {
			rate += s.targets[i].rate()
		}
	}
	return rate
}

// refusalReason returns why a request that gets no slot now is refused, given the number of
// those that wait before it; empty if it can wait.
func (s *service) refusalReason(now time.Time, e *entry, before int) Reason {
	if !now.Before(e.LatestStart) {
		return Late
	}
	rate := s.fullRate
	if len(e.Avoid) > 0 {
		rate = s.rate(e.Avoid)
	}
	if rate == 0 {
		return NoTarget
	}
	// The request waits at its target as well, for one of the slots to become free.
	wait := time.Duration(float64(before+1) / rate * float64(time.Second))
	wait += s.meanWork / slotsPerWaiting
	if before >= MaxWaiting || now.Add(wait).After(e.LatestStart) {
		return Backlog
	}
	return ""
}

// drainTime returns the time in which the requests that wait are served.
func (s *service) drainTime(waiting int) time.Duration {
	if s.fullRate == 0 {
		return s.meanWork
	}
	return min(time.Duration(float64(waiting+1)/s.fullRate*float64(time.Second)), maxRetryDelay)
}

package allocator

import (
	"slices"
	"time"
)

const (
	// slotsPerWaiting is the number of slots of a target for which one more request is sent
	// there than it can run, so that a slot that becomes free is not idle for a round trip.
	slotsPerWaiting = 3
	// refreshInterval is how long the targets and the loads of others are used without another
	// look.
	refreshInterval = 10 * time.Millisecond
	// initialWork is the assumed time of a request at a target until there is a measurement.
	initialWork = 50 * time.Millisecond
	// workWeight and faultWeight are the weights of a measurement in the moving averages.
	workWeight  = 0.08
	faultWeight = 0.1
	// minWork and maxWork bound one measurement.
	minWork = time.Millisecond
	maxWork = 10 * time.Second
	// faultPenalty is the weight of the share of faults in the cost of a target.
	faultPenalty = 8.0
	// minShare is the least share of the capacity of a target that its own grants are assumed
	// to get beside the requests of others.
	minShare = 0.25
	// maxDrainTime bounds the time after which a refused caller is to return.
	maxDrainTime = 10 * time.Second
	// idleTime is how long what was measured at an idle service is kept.
	idleTime = time.Minute
)

// service is the state of a service.
type service struct {
	name    string
	waiting []*entry
	turns   turns
	returns returns
	// inUse holds the number of grants by target, and granted their sum.
	inUse   map[string]int
	granted int
	// targets is as of refreshedAt.
	targets     []Target
	refreshedAt time.Time
	measured    map[string]*measurement
	usedAt      time.Time
	// nextExpiry is no later than the deadline of each grant.
	nextExpiry time.Time
}

// measurement is what the releases of a target show.
type measurement struct {
	// work is the mean time of a request that does not wait at the target.
	work float64
	// faults is the share of requests that ended in a fault.
	faults float64
}

func newService(name string) *service {
	return &service{
		name: name, inUse: map[string]int{}, measured: map[string]*measurement{},
		turns: turns{accounts: map[string]int64{}}, returns: newReturns(),
	}
}

func (t *Target) slots() int { return max(t.Slots, 1) }

// capacity is the number of requests that a target is sent at most.
func (t *Target) capacity() int { return t.slots() + t.slots()/slotsPerWaiting }

func (s *service) load(t *Target) int { return s.inUse[t.ID] + t.Others }

func (s *service) isIdle(now time.Time) bool {
	return s.granted == 0 && len(s.waiting) == 0 && now.Sub(s.usedAt) > idleTime
}

// refresh reads the targets and the loads of others.
func (s *service) refresh(now time.Time, targetsOf func(string) []Target) {
	if len(s.waiting) > 0 {
		s.usedAt = now
	}
	if !s.refreshedAt.IsZero() && now.Sub(s.refreshedAt) < refreshInterval {
		return
	}
	s.refreshedAt = now
	s.targets = targetsOf(s.name)
	known := map[string]bool{}
	for i := range s.targets {
		known[s.targets[i].ID] = true
	}
	for id := range s.measured {
		if !known[id] && s.inUse[id] == 0 {
			delete(s.measured, id)
			delete(s.inUse, id)
		}
	}
}

func (s *service) measurement(id string) *measurement {
	m := s.measured[id]
	if m == nil {
		m = &measurement{work: initialWork.Seconds()}
		s.measured[id] = m
	}
	return m
}

// observe learns from the end of a granted request.
func (s *service) observe(now time.Time, g *grant, isFault bool) {
	m := s.measurement(g.target)
	fault := 0.0
	if isFault {
		fault = 1
	}
	m.faults += faultWeight * (fault - m.faults)
	if isFault {
		return
	}
	took := min(max(now.Sub(g.since), minWork), maxWork).Seconds() / g.crowding
	m.work += workWeight * (took - m.work)
}

// meanWork returns the mean time of a request at the targets.
func (s *service) meanWork() time.Duration {
	if len(s.targets) == 0 {
		return initialWork
	}
	sum := 0.0
	for i := range s.targets {
		sum += s.measurement(s.targets[i].ID).work
	}
	return time.Duration(sum / float64(len(s.targets)) * float64(time.Second))
}

// choose returns the target with room where the request is expected to end first; nil if there
// is none.
func (s *service) choose(e *entry) *Target {
	mean := s.meanWork().Seconds()
	var best *Target
	bestCost := 0.0
	for i := range s.targets {
		t := &s.targets[i]
		if s.load(t) >= t.capacity() || slices.Contains(e.Avoid, t.ID) {
			continue
		}
		m := s.measurement(t.ID)
		// A target that fails requests soon must not look fast.
		work := max(m.work, mean) * (1 + faultPenalty*m.faults)
		if cost := work * float64(s.load(t)+1) / float64(t.slots()); best == nil || cost < bestCost {
			best, bestCost = t, cost
		}
	}
	return best
}

// rate returns the number of requests a second that the targets beside those to avoid serve.
func (s *service) rate(avoid []string) float64 {
	rate := 0.0
	for i := range s.targets {
		t := &s.targets[i]
		if slices.Contains(avoid, t.ID) {
			continue
		}
		share := max(1-float64(t.Others)/float64(t.capacity()), minShare)
		rate += share * float64(t.slots()) / s.measurement(t.ID).work
	}
	return rate
}

// refusalReason returns why a request that gets no slot now is refused, given the number of
// those that wait before it; empty if it can wait.
func (s *service) refusalReason(now time.Time, e *entry, before int) Reason {
	if !now.Before(e.LatestStart) {
		return Late
	}
	rate := s.rate(e.Avoid)
	if rate == 0 {
		return NoTarget
	}
	// The request waits at its target as well, for one of the slots to become free.
	wait := time.Duration(float64(before+1) / rate * float64(time.Second))
	wait += s.meanWork() / slotsPerWaiting
	if now.Add(wait).After(e.LatestStart) {
		return Backlog
	}
	return ""
}

// drainTime returns the time in which the requests that wait are served.
func (s *service) drainTime(waiting int) time.Duration {
	rate := s.rate(nil)
	if rate == 0 {
		return s.meanWork()
	}
	return min(time.Duration(float64(waiting+1)/rate*float64(time.Second)), maxDrainTime)
}

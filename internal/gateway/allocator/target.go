package allocator

import "time"

const (
	// slotsPerWaiting is the number of slots of a target, or a part of them, for which one more
	// request is sent there than it can run, so that a slot that becomes free is not idle for a round trip.
	slotsPerWaiting = 3
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
)

// target is a target that takes requests, with what is known of it.
type target struct {
	Target
	*state
}

// state is what the grants and releases of a target show.
type state struct {
	// inUse is the number of slots in use at this target that the allocator has granted.
	inUse int
	// work is the mean time of a request that does not wait at the target, in seconds.
	work float64
	// faults is the share of requests that ended in a fault.
	faults float64
}

func newState() *state { return &state{work: initialWork.Seconds()} }

// observe learns from the end of a granted request.
func (s *state) observe(took time.Duration, crowding float64, isFault bool) {
	fault := 0.0
	if isFault {
		fault = 1
	}
	s.faults += faultWeight * (fault - s.faults)
	if isFault {
		return
	}
	work := min(max(took, minWork), maxWork).Seconds() / crowding
	s.work += workWeight * (work - s.work)
}

func (t *target) slots() int { return max(t.Slots, 1) }

// capacity is the number of requests that a target is sent at most.
func (t *target) capacity() int { return t.slots() + (t.slots()+slotsPerWaiting-1)/slotsPerWaiting }

func (t *target) load() int { return t.inUse + t.Others }

// crowding returns the load of the target divided by its slots, at least 1: how much longer a
// request takes there since it waits for others.
func (t *target) crowding() float64 { return max(1, float64(t.load())/float64(t.slots())) }

// cost returns the time in which another request is expected to end, as far as it differs
// between targets. mean is the mean work of all targets: one that fails requests soon must not
// look fast.
func (t *target) cost(mean time.Duration) float64 {
	work := max(t.work, mean.Seconds()) * (1 + faultPenalty*t.faults)
	return work * float64(t.load()+1) / float64(t.slots())
}

// rate returns the number of requests a second that the target serves for the allocator.
func (t *target) rate() float64 {
	share := max(1-float64(t.Others)/float64(t.capacity()), minShare)
	return share * float64(t.slots()) / t.work
}

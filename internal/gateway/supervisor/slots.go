package supervisor

import (
	"context"
	"fmt"
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/gateway/allocator"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/state/ranker"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// scarceSlotsPerInstance is the number of slots of a plain service for each live instance
	// below which an allocator hands them out.
	scarceSlotsPerInstance = 2
	// maxAllocatedSlots is the number of slots of a service above which it has no allocator. It
	// bounds the work of the one instance that decides on all requests of the service.
	maxAllocatedSlots = 128
	// askTimeout is how long an allocator may take to answer, and maxHold how long it keeps an ask
	// that waits before it has the instance ask again.
	askTimeout = 150 * time.Millisecond
	maxHold    = 100 * time.Millisecond
	// allocatorCount is the number of instances that may be asked for the slots of a service: the
	// allocator and, while it does not answer, the one that takes its place.
	allocatorCount = 2
	// silentTime is how long an allocator that did not answer is not asked. It doubles with each
	// further time, up to maxSilentTime: a lost instance counts as live for some seconds.
	silentTime    = 500 * time.Millisecond
	maxSilentTime = 2 * time.Second
	// deliveryTime bounds the time between a decision and its delivery within the process.
	deliveryTime = 5 * time.Millisecond
	// slotTickInterval is the time between two looks for the live instances and for expired
	// slots.
	slotTickInterval = 250 * time.Millisecond
)

// slots gets slots of scarce plain services for the requests of this instance, and hands out
// those of the services whose allocator it is. See docs/design/slots.md.
type slots struct {
	supervisor *Supervisor
	allocator  *allocator.Allocator
	// allocatorID identifies this instance as an allocator.
	allocatorID int64
	// client has connections of its own: asks that wait must not keep other messages back.
	client  *poster.Client
	number  atomic.Int64
	members atomic.Pointer[slotMembers]

	releases *releaseQueue

	mu sync.Mutex
	// waiters holds a channel for each ask that this instance decides as an allocator.
	waiters map[allocator.Key]chan allocator.Answer
	// pauses holds the allocators that did not answer.
	pauses map[string]pause
	// known holds the allocator that was last asked, by service.
	known map[string]string
}

// slotMembers are the instances that may be allocators.
type slotMembers struct {
	names []string
	// live holds the incarnations of all live instances.
	live map[string]int64

	mu sync.Mutex
	// allocators holds the instances to ask for the slots of services, as far as they were
	// needed.
	allocators map[string][]string
}

// pause is how long an allocator that did not answer is not asked.
type pause struct {
	until time.Time
	time  time.Duration
}

func newSlots(s *Supervisor) *slots {
	out := &slots{
		supervisor: s, allocatorID: allocatorIDOf(s.settings.Instance, s.incarnation), client: poster.New(poster.WithMaxConnections(allocator.MaxWaiting)), releases: newReleaseQueue(),
		waiters: map[allocator.Key]chan allocator.Answer{}, pauses: map[string]pause{}, known: map[string]string{},
	}
	out.allocator = allocator.New(out.targetsOf)
	out.members.Store(&slotMembers{live: map[string]int64{}, allocators: map[string][]string{}})
	return out
}

// allocatorIDOf identifies an incarnation of an instance; it is never 0. It is short, since loads
// bear it.
func allocatorIDOf(instance string, incarnation int64) int64 {
	return int64(uint32(xxhash.Sum64String(fmt.Sprintf("%s/%d", instance, incarnation)))) | 1
}

// isScarce reports whether an allocator hands out the slots of a service.
func (s *slots) isScarce(service string) bool {
	view := s.supervisor.registry.View()
	if declared := view.Service(service); declared == nil || declared.Engine != nil {
		return false
	}
	instances := len(s.members.Load().names)
	if instances < 2 {
		return false // one instance knows all loads
	}
	limit := min(scarceSlotsPerInstance*instances, maxAllocatedSlots)
	count := 0
	for _, t := range view.TargetsOf(service) {
		count += t.Slots
		if t.Slots <= 0 || count >= limit { // a target may not say how many it has
			return false
		}
	}
	return count > 0
}

// allocatorOf returns the instance to ask for a slot of a service; empty if none answers.
func (s *slots) allocatorOf(service string) string {
	for _, name := range s.members.Load().allocatorsOf(service) {
		if !s.isPaused(name) {
			s.noteAllocator(service, name)
			return name
		}
	}
	return ""
}

// noteAllocator logs which instance is asked for the slots of a service, when that changes.
func (s *slots) noteAllocator(service, name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.known[service] == name {
		return
	}
	s.known[service] = name
	s.supervisor.log.Info("allocator of service changed", "service", service, "allocator", name)
}

// allocatorsOf returns the instances that hand out the slots of a service, in the order in which
// to ask them.
func (m *slotMembers) allocatorsOf(service string) []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	names, ok := m.allocators[service]
	if !ok {
		names = ranker.Order(service, m.names)
		names = names[:min(allocatorCount, len(names))]
		m.allocators[service] = names
	}
	return names
}

// updateMembers takes over which instances are live.
func (s *slots) updateMembers() {
	own := s.supervisor
	m := &slotMembers{live: map[string]int64{own.settings.Instance: own.incarnation}, allocators: map[string][]string{}}
	if own.isReady() {
		m.names = append(m.names, own.settings.Instance)
	}
	for _, peer := range own.informer.Peers() {
		status := peer.LastStatus
		m.live[status.Instance] = status.Incarnation
		if status.Ready && !status.Leaving {
			m.names = append(m.names, status.Instance)
		}
	}
	s.members.Store(m)
	s.mu.Lock()
	defer s.mu.Unlock()
	maps.DeleteFunc(s.pauses, func(name string, _ pause) bool {
		_, isLive := m.live[name]
		return !isLive
	})
}

// targetsOf returns the targets of a service with the requests there that this instance has not
// granted.
func (s *slots) targetsOf(service string) []allocator.Target {
	own := s.supervisor
	out := []allocator.Target{}
	for _, t := range own.registry.View().TargetsOf(service) {
		if !t.Leaving {
			out = append(out, allocator.Target{ID: t.ID, Slots: t.Slots, Others: own.balancer.InFlightBeside(t.ID, s.allocatorID)})
		}
	}
	return out
}

// maintain regularly ends what has expired, and updates the live instances and the metrics.
func (s *slots) maintain(ctx context.Context) {
	every(ctx, slotTickInterval, func() {
		s.updateMembers()
		s.deliver(s.allocator.Tick(time.Now(), s.members.Load().live))
		s.observe()
	})
}

// observe updates the metrics of the slots that this instance hands out.
func (s *slots) observe() {
	for _, status := range s.allocator.Statuses() {
		s.supervisor.measurer.SetSlots(status.Service, status.Granted, status.Waiting[:])
	}
}

// acquire returns a slot for a request of this instance.
func (s *slots) acquire(ctx context.Context, ask conductor.SlotAsk) (*balancer.Grant, error) {
	for {
		name := s.allocatorOf(ask.Service)
		if name == "" {
			return nil, conductor.ErrNoAllocator
		}
		number, askedAt := s.number.Add(1), time.Now()
		answer, err := s.ask(ctx, name, number, ask)
		if err == nil {
			s.noteAnswer(name)
		}
		switch {
		case ctx.Err() != nil:
			s.releases.add(name, number, false)
			return nil, ctx.Err()
		case err != nil:
			s.releases.add(name, number, false)
			s.notePause(name, ask.Service, askedAt, err)
			return nil, conductor.ErrNoAllocator
		case answer.Target != "":
			return &balancer.Grant{Target: answer.Target, AllocatorID: answer.AllocatorID, Release: func(isFault bool) {
				s.releases.add(name, number, isFault)
			}}, nil
		case answer.Refusal != "":
			return nil, &conductor.SlotRefusedError{Reason: answer.Refusal, RetryIn: milliseconds(answer.RetryMilliseconds)}
		case !time.Now().Before(ask.LatestStart):
			return nil, &conductor.SlotRefusedError{Reason: string(allocator.Late)}
		}
	}
}

func (s *slots) isPaused(name string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return time.Now().Before(s.pauses[name].until)
}

// noteAnswer records that an allocator answers.
func (s *slots) noteAnswer(name string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.pauses, name)
}

// notePause records that an allocator did not answer an ask: others do not wait for it for a
// while.
func (s *slots) notePause(name, service string, askedAt time.Time, cause error) {
	s.supervisor.measurer.CountEvent(measurer.SlotUnanswered, 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	known := s.pauses[name]
	if askedAt.Before(known.until) {
		return // it was sent at the same time as one that got no answer
	}
	duration := min(max(2*known.time, silentTime), maxSilentTime)
	s.pauses[name] = pause{until: time.Now().Add(duration), time: duration}
	s.supervisor.log.Info("allocator does not answer", "allocator", name, "service", service,
		"silentMilliseconds", duration.Milliseconds(), "error", cause.Error())
}

// decide waits for the decision of this instance on an ask. It returns false if there is none
// by a limit, or when done is closed.
func (s *slots) decide(done <-chan struct{}, ask allocator.Ask, limit time.Duration) (allocator.Answer, bool) {
	answers := make(chan allocator.Answer, 1)
	s.mu.Lock()
	s.waiters[ask.Key] = answers
	s.mu.Unlock()
	s.deliver(s.allocator.Ask(time.Now(), ask))
	timer := time.NewTimer(limit)
	defer timer.Stop()
	select {
	case answer := <-answers:
		return answer, true
	case <-timer.C:
	case <-done:
	}
	if !s.allocator.Withdraw(ask.Key) {
		timer.Reset(deliveryTime)
		select {
		case answer := <-answers:
			return answer, true
		case <-timer.C:
		}
	}
	s.mu.Lock()
	delete(s.waiters, ask.Key)
	s.mu.Unlock()
	return allocator.Answer{}, false
}

// deliver passes decisions to the asks that wait for them. A slot that none waits for is free.
func (s *slots) deliver(answers []allocator.Answer) {
	for len(answers) > 0 {
		unclaimed := []allocator.Release{}
		for _, answer := range answers {
			s.count(answer)
			if !s.deliverOne(answer) && answer.Target != "" {
				unclaimed = append(unclaimed, allocator.Release{Key: answer.Key})
			}
		}
		answers = s.allocator.Release(time.Now(), unclaimed)
	}
}

func (s *slots) deliverOne(answer allocator.Answer) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	waiter, ok := s.waiters[answer.Key]
	if !ok {
		return false
	}
	delete(s.waiters, answer.Key)
	waiter <- answer // the channel has room for the only answer
	return true
}

var slotEvents = map[allocator.Reason]measurer.Event{
	"": measurer.SlotGranted, allocator.Backlog: measurer.SlotRefusedBacklog,
	allocator.Late: measurer.SlotRefusedLate, allocator.NoTarget: measurer.SlotRefusedNoTarget,
}

func (s *slots) count(answer allocator.Answer) {
	s.supervisor.measurer.CountEvent(slotEvents[answer.Reason], 1)
}

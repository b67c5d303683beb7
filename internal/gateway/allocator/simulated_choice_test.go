package allocator_test

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/allocator"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
)

// firstAllocator is the allocator, and secondAllocator the one that takes its place or that some
// instances regard as the allocator.
const (
	firstAllocator  = 10
	secondAllocator = 41
	// lossNoticed is the time after which the loss of an instance is known.
	lossNoticed = 4 * statusInterval
)

func (s *simulation) isAllocatorLost() bool {
	return s.allocatorLostAt > 0 && s.elapsed() >= s.allocatorLostAt
}

// allocatorOf returns the allocator that an instance asks.
func (s *simulation) allocatorOf(i *simInstance) int {
	isSplit := s.splitAt > 0 && s.elapsed() >= s.splitAt && s.elapsed() < s.splitAt+2*time.Second
	isReplaced := s.allocatorLostAt > 0 && s.elapsed() >= s.allocatorLostAt+lossNoticed
	isSilent := s.now.Before(i.silences[firstAllocator].until)
	if isReplaced || isSilent || (isSplit && i.index%2 == 0) {
		return secondAllocator
	}
	return firstAllocator
}

func (s *simulation) allocator(index int) *allocator.Allocator {
	if a := s.allocators[index]; a != nil {
		return a
	}
	a := allocator.New(func(string) []allocator.Target {
		out := []allocator.Target{}
		for _, t := range s.view.TargetsOf(serviceName) {
			others := s.instances[index].balancer.InFlightBeside(t.ID, int64(index+1))
			out = append(out, allocator.Target{ID: t.ID, Slots: t.Slots, Others: others})
		}
		return out
	})
	s.allocators[index] = a
	return a
}

func (c *caller) request() balancer.Request {
	return balancer.Request{Service: serviceName, Excluded: c.excluded}
}

func (s *simulation) choose(c *caller) {
	if s.usesAllocator && !s.now.Before(c.instance.silences[s.allocatorOf(c.instance)].until) {
		avoid, err := c.instance.balancer.Unusable(s.view, c.request())
		if err == nil {
			s.ask(c, avoid)
			return
		}
	}
	s.chooseAlone(c)
}

// chooseAlone is today's choice: it waits for half of the latency goal.
func (s *simulation) chooseAlone(c *caller) {
	ticket, err := c.instance.balancer.Pick(s.view, c.request())
	if err == nil {
		s.send(c, ticket)
		return
	}
	if s.now.Sub(c.arrived) < goal/2 {
		s.after(5*time.Millisecond, func() { s.choose(c) })
		return
	}
	s.refuse(c, time.Duration((0.6+0.8*s.random.Float64())*0.15*float64(deadline)))
}

func (s *simulation) ask(c *caller, avoid []string) {
	s.out.asks++
	s.number++
	index := s.allocatorOf(c.instance)
	key := allocator.Key{Instance: nameOf(c.instance.index), Incarnation: 1, Number: s.number}
	ask := &simAsk{caller: c, allocator: index}
	s.asks[key] = ask
	s.after(askTimeout, func() { s.timeOut(key, ask) })
	s.after(s.latency(c.instance.index, index), func() {
		if s.isAllocatorLost() && index == firstAllocator {
			return
		}
		a := s.allocator(index)
		s.deliver(a.Ask(s.now, allocator.Ask{
			Key: key, Service: serviceName, Rank: c.rank, Account: c.account, Arrived: c.arrived, Goal: c.arrived.Add(goal),
			LatestStart: c.arrived.Add(goal), Deadline: c.arrived.Add(deadline), Content: c.content, Avoid: avoid,
		}))
		s.after(maxHold, func() {
			if a.Withdraw(key) {
				s.after(s.latency(c.instance.index, index), func() { s.askAgain(key, ask) })
			}
		})
	})
}

func (s *simulation) timeOut(key allocator.Key, ask *simAsk) {
	if ask.done {
		return
	}
	ask.done = true
	if silence := &ask.caller.instance.silences[ask.allocator]; !s.now.Before(silence.until) {
		silence.time = min(max(2*silence.time, silentTime), maxSilentTime)
		silence.until = s.now.Add(silence.time)
	}
	s.release(ask, key, false)
	s.chooseAlone(ask.caller)
}

func (s *simulation) askAgain(key allocator.Key, ask *simAsk) {
	if ask.done {
		return
	}
	ask.done = true
	delete(s.asks, key)
	s.choose(ask.caller)
}

func (s *simulation) release(ask *simAsk, key allocator.Key, isFault bool) {
	delete(s.asks, key)
	s.after(releaseBatch+s.latency(ask.caller.instance.index, ask.allocator), func() {
		s.deliver(s.allocator(ask.allocator).Release(s.now, []allocator.Release{{Key: key, IsFault: isFault}}))
	})
}

func (s *simulation) deliver(answers []allocator.Answer) {
	for _, answer := range answers {
		ask := s.asks[answer.Key]
		if ask == nil {
			continue
		}
		s.after(s.latency(ask.caller.instance.index, ask.allocator), func() { s.receive(answer, ask) })
	}
}

func (s *simulation) receive(answer allocator.Answer, ask *simAsk) {
	if ask.done || (s.isAllocatorLost() && ask.allocator == firstAllocator) {
		return
	}
	ask.done = true
	c := ask.caller
	c.instance.silences[ask.allocator].time = 0
	if answer.Target == "" {
		delete(s.asks, answer.Key)
		s.refuse(c, max(answer.RetryIn, 100*time.Millisecond))
		return
	}
	r := c.request()
	r.Grant = &balancer.Grant{Target: answer.Target, AllocatorID: int64(ask.allocator + 1), Release: func(isFault bool) {
		s.release(ask, answer.Key, isFault)
	}}
	ticket, err := c.instance.balancer.Pick(s.view, r)
	if err != nil {
		r.Grant.Release(false)
		s.choose(c)
		return
	}
	s.send(c, ticket)
}

// Targets.

func (s *simulation) send(c *caller, ticket *balancer.Ticket) {
	t := s.targets[ticket.Target.ID]
	c.excluded[t.id] = true
	s.after(localLatency+remoteLatency, func() {
		switch {
		case t.isLost:
			s.retry(c, ticket, balancer.Unreached)
		case t.running >= targetSlots && t.queue >= targetQueue:
			s.out.rejected++
			s.retry(c, ticket, balancer.Shed)
		case t.running >= targetSlots:
			t.queue++
			t.waiting = append(t.waiting, func() { s.work(c, ticket, t) })
		default:
			s.work(c, ticket, t)
		}
	})
}

// retry chooses another target for a request that has not run.
func (s *simulation) retry(c *caller, ticket *balancer.Ticket, outcome balancer.Outcome) {
	s.after(localLatency+remoteLatency, func() {
		ticket.End(outcome)
		if len(c.excluded) >= targetCount {
			s.refuse(c, time.Duration((0.6+0.8*s.random.Float64())*0.15*float64(deadline)))
			return
		}
		s.choose(c)
	})
}

func (s *simulation) work(c *caller, ticket *balancer.Ticket, t *simTarget) {
	t.running++
	took := time.Duration((0.5 + s.random.Float64()) * float64(meanWork))
	if s.random.Float64() < 0.01 {
		took *= 5
	}
	if s.now.Before(t.slowUntil) {
		took = took * 5 / 2
	}
	outcome := balancer.Answered
	if t.id == "t0" && s.random.Float64() < s.failingShare {
		outcome, took = balancer.Failed, 5*time.Millisecond
	}
	s.after(took, func() {
		t.running--
		if len(t.waiting) > 0 {
			next := t.waiting[0]
			t.waiting = t.waiting[1:]
			t.queue--
			next()
		}
		s.after(localLatency+remoteLatency, func() {
			if outcome == balancer.Answered {
				ticket.FirstByte()
			}
			ticket.End(outcome)
			s.end(c, outcome)
		})
	})
}

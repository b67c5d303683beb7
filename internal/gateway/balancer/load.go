package balancer

import (
	"maps"
	"time"
)

const (
	// defaultPace is the time that a token of a prompt takes until there is a
	// measurement, in milliseconds.
	defaultPace = 0.05
	// paceWeight is the weight of one measurement of a pace.
	paceWeight = 0.1
	// leastPace and mostPace bound what a measurement may say.
	leastPace = 0.002
	mostPace  = 0.5
)

// Load is what an instance has at one target.
type Load struct {
	// InFlight is the number of requests.
	InFlight int
	// Pending is the time that the target needs to read the prompts of those that
	// have no answer yet, in milliseconds.
	Pending float64
}

// peerLoad is what a peer told of its load, or the first instance of a data centre of
// that of all there. Sequence numbers rise within an
// incarnation.
type peerLoad struct {
	incarnation int64
	targets     map[string]toldLoad
	until       time.Time
}

type toldLoad struct {
	Load
	sequence int64
}

// SetPeer takes what a peer told of some targets. With until it told of all: it has
// nothing at the others, and what it has counts until then.
func (b *Balancer) SetPeer(instance string, incarnation, sequence int64, loads map[string]Load, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[instance]
	if ok && incarnation < p.incarnation && b.now().Before(p.until) {
		return
	}
	if !ok || incarnation != p.incarnation {
		p = &peerLoad{incarnation: incarnation, targets: map[string]toldLoad{}}
		b.peers[instance] = p
	}
	if !until.IsZero() {
		p.until = until
		maps.DeleteFunc(p.targets, func(id string, told toldLoad) bool {
			_, stays := loads[id]
			return !stays && told.sequence <= sequence
		})
	}
	for id, load := range loads {
		if sequence >= p.targets[id].sequence {
			p.targets[id] = toldLoad{Load: load, sequence: sequence}
		}
	}
	b.wake()
}

// Loads returns what this instance has at targets, all that has any with nil, and a
// number that rises with each call.
func (b *Balancer) Loads(ids map[string]bool) (sequence int64, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	loads = map[string]Load{}
	for id, l := range b.loads {
		if ids[id] || (ids == nil && l.InFlight > 0) {
			loads[id] = l.Load
		}
	}
	return b.sequence, loads
}

// Sum returns what this instance and some peers have at targets together, without those
// where they have nothing, and a number that rises with each call.
func (b *Balancer) Sum(peers []string) (sequence int64, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	loads = map[string]Load{}
	for id, l := range b.loads {
		loads[id] = l.Load
	}
	now := b.now()
	for _, name := range peers {
		p := b.peers[name]
		if p == nil || !now.Before(p.until) {
			continue
		}
		for id, told := range p.targets {
			loads[id] = loads[id].plus(told.Load)
		}
	}
	maps.DeleteFunc(loads, func(_ string, l Load) bool { return l.InFlight == 0 })
	return b.sequence, loads
}

// plus returns two loads together.
func (l Load) plus(other Load) Load {
	return Load{InFlight: l.InFlight + other.InFlight, Pending: l.Pending + other.Pending}
}

// Changed returns the loads of after that differ from those of before, and no load at
// the targets that after leaves out.
func Changed(before, after map[string]Load) map[string]Load {
	out := map[string]Load{}
	for id, l := range after {
		if before[id] != l {
			out[id] = l
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			out[id] = Load{}
		}
	}
	return out
}

// total returns what all instances have at a target. It is called with the lock held.
func (b *Balancer) total(id string, now time.Time) Load {
	sum := b.load(id).Load
	for _, p := range b.peers {
		if now.Before(p.until) {
			sum = sum.plus(p.targets[id].Load)
		}
	}
	return sum
}

// pace returns the time that a token of a prompt for a model takes, in milliseconds.
func (b *Balancer) pace(model string) float64 {
	if pace, ok := b.paces[model]; ok {
		return pace
	}
	return defaultPace
}

// ReadTime returns how long a target takes to read a prompt for a model, as learned.
func (b *Balancer) ReadTime(model string, prompt int) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return time.Duration(b.pace(model) * float64(prompt) * float64(time.Millisecond))
}

// learnPace takes the time to the first byte of a request that found nothing
// pending at its target.
func (b *Balancer) learnPace(model string, prompt int, first time.Duration) {
	if prompt <= 0 {
		return
	}
	measured := float64(first.Microseconds()) / 1000 / float64(prompt)
	measured = min(max(measured, leastPace), mostPace)
	pace := b.pace(model)
	b.paces[model] = pace + paceWeight*(measured-pace)
}

// wake lets those who wait for a place look again. It is called with the lock held.
func (b *Balancer) wake() {
	if !b.waiting {
		return
	}
	b.waiting = false
	close(b.freed)
	b.freed = make(chan struct{})
}

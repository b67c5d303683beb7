// Package disturber simulates machines and the ways between them in virtual time: machines freeze and are
// restarted, ways are cut, and messages are lost, late or doubled. All is drawn from one source of random
// numbers, so that a history repeats itself.
package disturber

import (
	"math/rand/v2"
	"time"

	"github.com/crocusring/crocusring/internal/fake/scheduler"
)

// Outside is the index of what is no machine and so never frozen, such as a store.
const Outside = -1

const (
	// minLatency and maxLatency bound the latency of messages that are not late.
	minLatency = time.Millisecond
	maxLatency = minLatency + 4*time.Millisecond
	// lateOneIn is how many messages there are for each one that is late.
	lateOneIn = 20
	// maxFreezeCheck is the longest time after which a frozen machine notices that it has been thawed.
	maxFreezeCheck = 500 * time.Millisecond
)

// Machine is a simulated machine.
type Machine struct {
	Index int
	// Incarnation is raised with each restart, which ends the actions of the one before.
	Incarnation int
	FrozenUntil time.Time
}

// Network holds machines and the ways between them. The zero value is not usable; see New.
type Network struct {
	*scheduler.Scheduler
	Random *rand.Rand
	// Machines holds each machine at its index.
	Machines []*Machine
	// Cut holds the ways, from an index to another, on which no message arrives, and Loss is the share of
	// messages that are lost.
	Cut  map[[2]int]bool
	Loss float64

	maxDelay    time.Duration
	doubleOneIn int
}

// Option configures a network.
type Option func(*Network)

// WithDoubles has one message in a number arrive twice. By default none does.
func WithDoubles(oneIn int) Option { return func(n *Network) { n.doubleOneIn = oneIn } }

// New returns a network without machines, in which a late message is at most maxDelay late.
func New(began time.Time, random *rand.Rand, maxDelay time.Duration, options ...Option) *Network {
	n := &Network{Scheduler: scheduler.New(began), Random: random, Cut: map[[2]int]bool{}, maxDelay: maxDelay}
	for _, option := range options {
		option(n)
	}
	return n
}

// AddMachine adds a machine.
func (n *Network) AddMachine() *Machine {
	m := &Machine{Index: len(n.Machines)}
	n.Machines = append(n.Machines, m)
	return m
}

// Delay returns a random time, at most the given one.
func (n *Network) Delay(most time.Duration) time.Duration {
	return time.Duration(n.Random.Float64() * float64(most))
}

// On runs an action of a machine after a time, once it is no longer frozen, unless it has been restarted.
func (n *Network) On(m *Machine, d time.Duration, run func()) {
	incarnation := m.Incarnation
	var attempt func()
	attempt = func() {
		switch {
		case m.Incarnation != incarnation:
		case n.Now().Before(m.FrozenUntil):
			// Heal may end the freeze earlier.
			n.After(min(m.FrozenUntil.Sub(n.Now()), maxFreezeCheck)+n.Delay(time.Millisecond), attempt)
		default:
			run()
		}
	}
	n.After(d, attempt)
}

// Send sends a message from an index to another one. It may be lost, late, or arrive twice.
func (n *Network) Send(from, to int, arrive func()) {
	if n.Cut[[2]int{from, to}] || n.Random.Float64() < n.Loss {
		return
	}
	times := 1
	if n.doubleOneIn > 0 && n.Random.IntN(n.doubleOneIn) == 0 {
		times = 2
	}
	for range times {
		latency := minLatency + n.Delay(maxLatency-minLatency)
		if n.Random.IntN(lateOneIn) == 0 {
			latency += n.Delay(n.maxDelay)
		}
		if to == Outside {
			n.After(latency, arrive)
			continue
		}
		n.On(n.Machines[to], latency, arrive)
	}
}

// Heal ends all disturbances.
func (n *Network) Heal() {
	clear(n.Cut)
	n.Loss = 0
	for _, m := range n.Machines {
		m.FrozenUntil = n.Now()
	}
}

// Find plays histories until one shows a fault, and returns its seed and how it does, or an empty text if
// none of them shows one. play returns an empty text for a history without a fault.
func Find(seeds int, play func(seed uint64) string) (seed uint64, violation string) {
	for seed := range uint64(seeds) {
		if violation := play(seed); violation != "" {
			return seed, violation
		}
	}
	return 0, ""
}

// Package prober finds out whether a target whose connection was cut has ended, or whether it
// goes on and only the connection is lost. One probe at a time examines an incarnation of a
// target, whatever the number of requests that were lost there. The package does no I/O: a
// caller passes the function that makes the probe.
package prober

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

const (
	// endTTL is how long the end of an incarnation is remembered: longer than requests that
	// were lost with it still come in.
	endTTL = time.Minute
	// probeTimeout bounds a probe.
	probeTimeout = 300 * time.Millisecond
)

// Incarnation identifies one run of a target.
type Incarnation struct {
	Target            string
	StartMilliseconds int64
}

// Examination is the examination of an incarnation whose connection was cut.
type Examination struct {
	// Settled is closed once it is known that the target has ended, once it is likely that it
	// accepts connections, or once the probe has failed.
	Settled <-chan struct{}
	// Done is closed at the end of the probe.
	Done  <-chan struct{}
	state *state
}

// Presence returns what is known of the incarnation. It is final once Done is closed: the
// incarnation has ended if it is absent.
func (e Examination) Presence() connector.Presence {
	e.state.mu.Lock()
	defer e.state.mu.Unlock()
	return e.state.presence
}

// state is the progress of an examination.
type state struct {
	settled chan struct{}
	done    chan struct{}

	mu        sync.Mutex
	isSettled bool
	presence  connector.Presence
	// finishedAt is zero until the probe is done.
	finishedAt time.Time
}

func (s *state) settle() {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.isSettled {
		s.isSettled = true
		close(s.settled)
	}
}

func (s *state) finish(presence connector.Presence, now time.Time) {
	s.mu.Lock()
	s.presence, s.finishedAt = presence, now
	s.mu.Unlock()
	s.settle()
	close(s.done)
}

// isCurrent reports whether another cut connection needs no probe of its own.
func (s *state) isCurrent(now time.Time) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.finishedAt.IsZero() || (s.presence == connector.Absent && now.Before(s.finishedAt.Add(endTTL)))
}

// Prober examines targets. The zero value is not usable; see New.
type Prober struct {
	probe func(address string, until time.Time, onOpen func()) connector.Presence
	now   func() time.Time

	mu     sync.Mutex
	states map[Incarnation]*state
}

// New returns a prober that makes its probes with the given function; see connector.Pool.Probe.
func New(probe func(address string, until time.Time, onOpen func()) connector.Presence) *Prober {
	return &Prober{probe: probe, now: time.Now, states: map[Incarnation]*state{}}
}

// Examine begins to examine an incarnation at an address, or joins the examination that runs.
func (p *Prober) Examine(target Incarnation, address string) Examination {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	s := p.states[target]
	if s == nil || !s.isCurrent(now) {
		s = &state{settled: make(chan struct{}), done: make(chan struct{})}
		p.states[target] = s
		go func() { s.finish(p.probe(address, now.Add(probeTimeout), s.settle), p.now()) }()
	}
	return Examination{Settled: s.settled, Done: s.done, state: s}
}

// Prune drops the examinations that are no longer needed.
func (p *Prober) Prune() {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := p.now()
	for target, s := range p.states {
		if !s.isCurrent(now) {
			delete(p.states, target)
		}
	}
}

package prober

import (
	"sync"
	"sync/atomic"
	"time"
)

const (
	// SilenceTTL is how long after the end of a run that had fallen silent a new start at the
	// address of its target shows that the target has ended: longer than targets take to start again.
	SilenceTTL = 10 * time.Second
	// maxSilences bounds the runs that are remembered.
	maxSilences = 512
)

// Silence is a run that has ended since its target had fallen silent: its connection was open, so
// that it does not show whether the target has ended.
type Silence struct {
	Target  Incarnation
	Address string
	// Since is when the target was last heard of in the run.
	Since time.Time
	// Settled is called once it is known whether the target has ended, or cannot be known any more.
	Settled  func(hasEnded bool)
	deadline time.Time
}

// Silences holds the runs that have fallen silent until it is known whether their targets have
// ended. The zero value is ready to use.
type Silences struct {
	mu   sync.Mutex
	open []Silence
	// left maps each incarnation that the target table has shown as leaving to the last time
	// that it did.
	left map[Incarnation]time.Time
	// count is the length of open, so that nothing is locked while there are none.
	count atomic.Int64
}

// Add records a run that has fallen silent. The one that was recorded first is given up if there are
// too many.
func (s *Silences) Add(now time.Time, run Silence) {
	run.deadline = now.Add(SilenceTTL)
	var dropped func(bool)
	s.mu.Lock()
	if len(s.open) >= maxSilences {
		dropped = s.open[0].Settled
		s.open = s.open[1:]
	}
	s.open = append(s.open, run)
	s.count.Store(int64(len(s.open)))
	s.mu.Unlock()
	if dropped != nil {
		dropped(false)
	}
}

// IsEmpty reports whether no run is open.
func (s *Silences) IsEmpty() bool { return s.count.Load() == 0 }

// Left records that a target leaves: it may end, and another one start at its address, for that
// reason.
func (s *Silences) Left(now time.Time, target Incarnation) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.left == nil {
		s.left = map[Incarnation]time.Time{}
	}
	s.left[target] = now
	for other, at := range s.left {
		if now.Sub(at) > endTTL {
			delete(s.left, other)
		}
	}
}

// Heard records that a target has answered another run: those that fell silent before have another
// cause.
func (s *Silences) Heard(target Incarnation, at time.Time) {
	if s.IsEmpty() {
		return
	}
	s.settle(func(run Silence) silenceState {
		if run.Target == target && run.Since.Before(at) {
			return targetGoesOn
		}
		return silenceOpen
	})
}

// Observe settles the runs by what is known of the targets: latestStart returns the latest start
// at an address, 0 if none is known, and isLeaving reports whether an incarnation has announced
// that it leaves.
func (s *Silences) Observe(now time.Time, latestStart func(address string) int64, isLeaving func(Incarnation) bool) {
	if s.IsEmpty() {
		return
	}
	s.settle(func(run Silence) silenceState {
		_, hasLeft := s.left[run.Target]
		switch {
		case hasLeft || isLeaving(run.Target):
			return targetGoesOn
		case run.Target.StartMilliseconds > 0 && latestStart(run.Address) > run.Target.StartMilliseconds:
			return hasEnded
		case !now.Before(run.deadline):
			return targetGoesOn
		default:
			return silenceOpen
		}
	})
}

// silenceState is what is known of the target of a silent run.
type silenceState int

const (
	silenceOpen silenceState = iota
	targetGoesOn
	hasEnded
)

func (s *Silences) settle(judge func(Silence) silenceState) {
	type settled struct {
		run      Silence
		hasEnded bool
	}
	var done []settled
	s.mu.Lock()
	kept := s.open[:0:0]
	for _, run := range s.open {
		v := judge(run)
		if v == silenceOpen {
			kept = append(kept, run)
			continue
		}
		done = append(done, settled{run, v == hasEnded})
	}
	s.open = kept
	s.count.Store(int64(len(kept)))
	s.mu.Unlock()
	for _, d := range done {
		d.run.Settled(d.hasEnded)
	}
}

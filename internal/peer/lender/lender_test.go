package lender

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const team = "wil"

// answer is an answer to a heartbeat, in transit to the sender of the heartbeat.
type answer struct {
	to, from *instance
	sentAt   time.Time
	acked    int64
	loans    Parts
	roster   Roster
}

type instance struct {
	*Lender
	need   float64
	frozen bool
	dead   bool
}

// simulation runs instances and a table service in virtual time.
type simulation struct {
	now          time.Time
	storedRoster Roster
	storeDown    bool
	instances    []*instance
	inTransit    []answer
	isBlocked    map[[2]*instance]bool
	created      int
	opts         []Option
}

func newSimulation(n int, opts ...Option) *simulation {
	s := &simulation{now: time.Unix(1000, 0), isBlocked: map[[2]*instance]bool{}, opts: opts}
	for range n {
		s.add()
	}
	return s
}

func (s *simulation) add() {
	s.created++
	own := Member{Instance: fmt.Sprintf("entry-%d", s.created), Incarnation: "a"}
	s.instances = append(s.instances, &instance{Lender: New(own, s.opts...), need: 0.2})
}

func (s *simulation) isRunning(in *instance) bool { return !in.frozen && !in.dead }

func (in *instance) partToRequest(now time.Time, of Member) float64 {
	if in.isSmall(team) {
		return in.Wants(now, of.Instance, Parts{team: in.need})[team]
	}
	have, _ := in.Share(now, team)
	return max(0, in.need-have+in.receivedLoans[of].parts[team])
}

// request sends a heartbeat that requests a loan from a to b, which answers at once.
// The answer stays in transit until deliver is called for it.
func (s *simulation) request(a, b *instance, sentAt time.Time) {
	if a == b || !s.isRunning(b) || s.isBlocked[[2]*instance{a, b}] {
		return
	}
	request := map[string]LoanRequest{team: {Part: a.partToRequest(s.now, b.own), Weight: 1}}
	reply := answer{to: a, from: b, sentAt: sentAt, loans: b.Lend(s.now, a.own, request, Parts{team: b.need})}
	reply.acked = b.AckedRoster(s.now)
	reply.roster = b.Roster()
	s.inTransit = append(s.inTransit, reply)
}

func (s *simulation) deliver(i int) {
	m := s.inTransit[i]
	s.inTransit = slices.Delete(s.inTransit, i, i+1)
	if s.isRunning(m.to) {
		m.to.Adopt(s.now, m.roster)
		m.to.HandleAnswer(s.now, m.sentAt, m.from.own, m.acked, m.loans)
	}
}

func (s *simulation) readStore(in *instance) {
	if s.isRunning(in) && !s.storeDown {
		in.Adopt(s.now, s.storedRoster)
		in.ConfirmFromStore(s.now, s.storedRoster.Number)
	}
}

// writeStore writes the next roster of an instance to the table service, if the
// stored roster is the one that the instance has.
func (s *simulation) writeStore(in *instance, alive []Member) {
	next, due := in.NextRoster(s.now, alive)
	if s.isRunning(in) && !s.storeDown && due && s.storedRoster.Number == in.Roster().Number {
		s.storedRoster = next
		in.Adopt(s.now, next)
		in.ConfirmFromStore(s.now, next.Number)
	}
}

func (s *simulation) total() float64 {
	total := 0.0
	for _, in := range s.instances {
		if !in.dead {
			part, _ := in.Share(s.now, team)
			total += part
		}
	}
	return total
}

// exchange runs one heartbeat interval without faults other than those set: all
// instances read the roster, write a new one if due, and exchange heartbeats.
func (s *simulation) exchange() {
	alive := []Member{}
	for _, in := range s.instances {
		s.readStore(in)
		if s.isRunning(in) {
			alive = append(alive, in.own)
		}
	}
	for _, in := range s.instances {
		s.writeStore(in, alive)
		for _, other := range s.instances {
			if s.isRunning(in) {
				s.request(in, other, s.now)
			}
		}
	}
	for len(s.inTransit) > 0 {
		s.deliver(0)
	}
}

func (s *simulation) round() {
	s.exchange()
	s.now = s.now.Add(250 * time.Millisecond)
}

func (s *simulation) rounds(n int) {
	for range n {
		s.round()
	}
}

const maxTotal = 1 + 1e-9

// TestShares checks that the parts in use never add up to more than the limit, with
// lost, late and reordered answers, frozen and new instances, blocked connections
// and an unavailable table service.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		units := rapid.SampledFrom([]int{0, 0, 1, 2, 3, 5}).Draw(t, "units")
		s := newSimulation(rapid.IntRange(1, 5).Draw(t, "instances"), WithUnits(func(string) int { return units }))
		s.rounds(rapid.IntRange(0, 40).Draw(t, "settle"))
		pick := func(name string) *instance { return rapid.SampledFrom(s.instances).Draw(t, name) }
		pass := func(t *rapid.T) {
			s.now = s.now.Add(time.Duration(rapid.IntRange(1, 1500).Draw(t, "ms")) * time.Millisecond)
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass": pass, "pass more": pass,
			"round": func(t *rapid.T) { s.rounds(rapid.IntRange(1, 20).Draw(t, "rounds")) },
			"ask": func(t *rapid.T) {
				late := time.Duration(rapid.SampledFrom([]int{0, 500, 2500}).Draw(t, "ms")) * time.Millisecond
				if a := pick("a"); s.isRunning(a) {
					for _, b := range s.instances {
						s.request(a, b, s.now.Add(-late))
					}
				}
			},
			"deliver all": func(*rapid.T) {
				for len(s.inTransit) > 0 {
					s.deliver(0)
				}
			},
			"deliver": func(t *rapid.T) {
				if len(s.inTransit) > 0 {
					s.deliver(rapid.IntRange(0, len(s.inTransit)-1).Draw(t, "i"))
				}
			},
			"lose": func(*rapid.T) { s.inTransit = nil },
			"read": func(*rapid.T) { s.readStore(pick("reader")) },
			"write": func(t *rapid.T) {
				// The writer may be mistaken about whether one instance is alive.
				wrong := pick("wrong")
				alive := []Member{}
				for _, in := range s.instances {
					if s.isRunning(in) != (in == wrong) {
						alive = append(alive, in.own)
					}
				}
				writer := pick("writer")
				s.readStore(writer)
				s.writeStore(writer, alive)
			},
			"store":  func(*rapid.T) { s.storeDown = !s.storeDown },
			"freeze": func(*rapid.T) { in := pick("frozen"); in.frozen = !in.frozen },
			"cut": func(*rapid.T) {
				pair := [2]*instance{pick("a"), pick("b")}
				s.isBlocked[pair] = !s.isBlocked[pair]
			},
			"need": func(t *rapid.T) {
				for _, in := range s.instances {
					in.need = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "need")
				}
			},
			"join": func(*rapid.T) {
				if len(s.instances) < 7 {
					s.add()
				}
			},
			"": func(t *rapid.T) {
				if total := s.total(); total > maxTotal {
					t.Fatalf("parts add up to %v", total)
				}
			},
		})
	})
}

// awaitTotal runs rounds until the parts add up to want and returns the time that
// takes.
func (s *simulation) awaitTotal(t *testing.T, want float64) time.Duration {
	t.Helper()
	start := s.now
	for s.total() < want {
		require.Less(t, s.now.Sub(start), time.Minute, "parts add up to %v", s.total())
		s.round()
		require.LessOrEqual(t, s.total(), maxTotal)
	}
	return s.now.Sub(start)
}

func TestDemandMovesShares(t *testing.T) {
	s := newSimulation(4)
	s.awaitTotal(t, 0.99)
	for _, in := range s.instances {
		in.need = 0.01
	}
	s.instances[2].need = 1
	s.rounds(8)
	part, _ := s.instances[2].Share(s.now, team)
	assert.Greater(t, part, 0.95)
	t.Run("also while the table service is down", func(t *testing.T) {
		s.storeDown = true
		s.rounds(100)
		s.instances[2].need = 0.01
		s.instances[0].need = 1
		s.rounds(12)
		part, _ := s.instances[0].Share(s.now, team)
		assert.Greater(t, part, 0.95)
	})
}

// TestRecovery checks how long it takes after the loss of instances until the whole
// limit can be used again.
func TestRecovery(t *testing.T) {
	for _, units := range []int{0, 1, 2, 3} {
		for _, lost := range []int{1, 2} {
			s := newSimulation(4, WithUnits(func(string) int { return units }))
			s.awaitTotal(t, 0.99)
			s.rounds(40)
			for _, in := range s.instances[:lost] {
				in.dead = true
			}
			took := s.awaitTotal(t, 0.99)
			t.Logf("%d of 4 lost, %d units: whole limit again after %v (without the time to notice), largest excess 0",
				lost, units, took)
			assert.Less(t, took, 8*time.Second)
		}
	}
	t.Run("all restarted", func(t *testing.T) {
		s := newSimulation(4)
		s.rounds(40)
		old := s.instances
		s.instances = nil
		for range old {
			s.add()
		}
		for _, gone := range old {
			gone.dead = true
		}
		for range 60 {
			s.round()
			for _, in := range s.instances {
				for _, gone := range old {
					in.MarkStopped(s.now, gone.own)
				}
			}
		}
		assert.Greater(t, s.total(), 0.99)
	})
}

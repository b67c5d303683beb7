package arbiter

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"
)

const (
	maxSize   = 5 // instances
	tick      = 250 * time.Millisecond
	pollTicks = 4 // between two reads of the table service
	inForce   = 3 * time.Second
)

// instance is what one entry instance knows.
type instance struct {
	arbiter  *Arbiter
	revision int64
	heardAt  [maxSize]time.Time
	told     [maxSize]int64
}

// change is an accepted change.
type change struct {
	revision int64
	at       time.Time
}

// cutMachine runs instances in virtual time over a network and a table service
// that can be cut off from each of them.
type cutMachine struct {
	size      int
	restarted bool
	now       time.Time
	ticks     int
	store     int64
	list      [maxSize]*instance
	storeCut  [maxSize]bool
	peerCut   [maxSize][maxSize]bool
	committed [maxSize]int64 // revision that awaits its confirmation
	accepted  []change
}

func newCutMachine(size int) *cutMachine {
	m := &cutMachine{size: size, now: time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC), store: 1}
	for i := range size {
		m.list[i] = &instance{arbiter: New()}
	}
	m.run(2 * pollTicks)
	return m
}

func (m *cutMachine) evidence(i int) Evidence {
	in := m.list[i]
	e := Evidence{Now: m.now, Revision: in.revision, Listed: m.size, Heard: 1}
	for j, at := range in.heardAt {
		if j != i && m.now.Sub(at) < Limit {
			e.Heard++
			e.Highest = max(e.Highest, in.told[j])
		}
	}
	return e
}

// commit changes the settings through an instance that may accept changes.
func (m *cutMachine) commit(i int) {
	if m.storeCut[i] || !m.evidence(i).HearsMost() {
		return
	}
	m.store++
	m.list[i].revision = m.store
	m.committed[i] = m.store
}

// run lets time pass. Instances exchange heartbeats and fetch newer settings,
// read the table service, and confirm what they committed.
func (m *cutMachine) run(ticks int) {
	for range ticks {
		m.now = m.now.Add(tick)
		m.ticks++
		for i, in := range m.list[:m.size] {
			if m.ticks%pollTicks == i%pollTicks && !m.storeCut[i] {
				in.revision = m.store
				in.arbiter.Confirm(m.now)
			}
			for j := range m.size {
				m.exchange(i, j)
			}
		}
		for i := range m.size {
			m.confirm(i)
		}
	}
}

// exchange is a heartbeat of one instance that another one answers.
func (m *cutMachine) exchange(i, j int) {
	if i == j || m.peerCut[i][j] {
		return
	}
	a, b := m.list[i], m.list[j]
	a.revision, b.revision = max(a.revision, b.revision), max(a.revision, b.revision)
	a.told[j], b.told[i] = b.revision, a.revision
	a.heardAt[j], b.heardAt[i] = m.now, m.now
	a.arbiter.Confirm(b.arbiter.ConfirmedAt())
}

// confirm accepts what an instance committed once most instances have it.
func (m *cutMachine) confirm(i int) {
	if m.committed[i] == 0 {
		return
	}
	holders := 1
	for j, revision := range m.list[i].told {
		if j != i && revision >= m.committed[i] {
			holders++
		}
	}
	if 2*holders > m.size {
		m.accepted = append(m.accepted, change{revision: m.committed[i], at: m.now})
		m.committed[i] = 0
	}
}

func (m *cutMachine) check(t *rapid.T) {
	for i, in := range m.list[:m.size] {
		if in.arbiter.Judge(m.evidence(i)) != nil {
			continue
		}
		for _, c := range m.accepted {
			if m.now.Sub(c.at) >= inForce {
				require.GreaterOrEqual(t, in.revision, c.revision, "instance %d goes on with an older revision", i)
			}
		}
	}
}

// split cuts an island, a set of bits, off from the others and the table service.
func (m *cutMachine) split(island int) {
	isIn := func(i int) bool { return island>>i&1 == 1 }
	for i := range m.size {
		m.storeCut[i] = isIn(i)
		for j := range m.size {
			m.peerCut[i][j] = isIn(i) != isIn(j)
		}
	}
}

func (m *cutMachine) actions() map[string]func(*rapid.T) {
	draw := func(t *rapid.T, label string) int { return rapid.IntRange(0, m.size-1).Draw(t, label) }
	return map[string]func(*rapid.T){
		"commit":  func(t *rapid.T) { m.commit(draw(t, "by")) },
		"run":     func(t *rapid.T) { m.run(rapid.IntRange(1, 16).Draw(t, "ticks")) },
		"outage":  func(t *rapid.T) { m.storeCut = [maxSize]bool{true, true, true, true, true} },
		"restore": func(t *rapid.T) { m.storeCut = [maxSize]bool{} },
		"island":  func(t *rapid.T) { m.split(rapid.IntRange(1, 1<<m.size-2).Draw(t, "island")) },
		"store":   func(t *rapid.T) { m.storeCut[draw(t, "of")] = rapid.Bool().Draw(t, "cut") },
		"peers": func(t *rapid.T) {
			i, j, cut := draw(t, "from"), draw(t, "to"), rapid.Bool().Draw(t, "cut")
			m.peerCut[i][j], m.peerCut[j][i] = cut, cut
		},
		"": m.check,
	}
}

// restart replaces an instance by one that knows nothing, once in a run.
func (m *cutMachine) restart(t *rapid.T) {
	if m.restarted {
		t.Skip("restarted already")
	}
	m.restarted = true
	i := rapid.IntRange(0, m.size-1).Draw(t, "of")
	m.list[i] = &instance{arbiter: New()}
	m.committed[i] = 0
}

// assertInForce cuts instances off from each other and from the table service at
// random: none goes on with settings older than those accepted 3 s ago.
func assertInForce(t *testing.T, start func() map[string]func(*rapid.T)) {
	t.Helper()
	for seed := 1; seed <= 5; seed++ {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			require.NoError(t, flag.Set("rapid.seed", fmt.Sprint(seed)))
			rapid.Check(t, func(t *rapid.T) {
				t.Repeat(start())
			})
		})
	}
}

func TestAcceptedIsInForce(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			assertInForce(t, func() map[string]func(*rapid.T) {
				m := newCutMachine(size)
				actions := m.actions()
				if size == 1 {
					delete(actions, "island")
				}
				return actions
			})
		})
	}
}

// TestAcceptedIsInForceAfterRestart has four instances, of which any two majorities
// share two, and one restart.
func TestAcceptedIsInForceAfterRestart(t *testing.T) {
	assertInForce(t, func() map[string]func(*rapid.T) {
		const size = 4
		m := newCutMachine(size)
		actions := m.actions()
		actions["restart"] = m.restart
		return actions
	})
}

// TestOutageStopsNobody keeps the table service down for an hour.
func TestOutageStopsNobody(t *testing.T) {
	m := newCutMachine(maxSize)
	m.storeCut = [maxSize]bool{true, true, true, true, true}
	m.run(int(time.Hour / tick))
	for i, in := range m.list {
		require.NoError(t, in.arbiter.Judge(m.evidence(i)))
	}
}

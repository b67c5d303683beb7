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
	maxInstances = 5
	tickInterval = 250 * time.Millisecond
	pollTicks    = 4               // between two reads of the table service by an instance
	inForceDelay = 3 * time.Second // from the acceptance of a change until every serving instance has it
)

// instance is the state of one entry instance.
type instance struct {
	arbiter  *Arbiter
	revision int64
	// heardAt is the time of the latest heartbeat exchange with each peer, and
	// reportedRevision the revision that the peer reported in it.
	heardAt          [maxInstances]time.Time
	reportedRevision [maxInstances]int64
}

// change is an accepted change of the settings.
type change struct {
	revision int64
	at       time.Time
}

// partitionModel simulates instances in virtual time. The network can partition
// each of them from its peers and from the table service.
type partitionModel struct {
	size                int
	restarted           bool
	now                 time.Time
	ticks               int
	storeRevision       int64
	instances           [maxInstances]*instance
	storeUnreachable    [maxInstances]bool
	peerUnreachable     [maxInstances][maxInstances]bool
	unconfirmedRevision [maxInstances]int64 // committed, not yet held by a majority; 0 if none
	accepted            []change
}

func newPartitionModel(size int) *partitionModel {
	m := &partitionModel{size: size, now: time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC), storeRevision: 1}
	for i := range size {
		m.instances[i] = &instance{arbiter: New()}
	}
	m.run(2 * pollTicks)
	return m
}

// evidence returns the evidence of an instance, in which a heartbeat counts as
// recent for ConfirmationTTL.
func (m *partitionModel) evidence(i int) Evidence {
	in := m.instances[i]
	e := Evidence{Now: m.now, Revision: in.revision, Listed: m.size, Received: 1}
	for j, at := range in.heardAt {
		if j != i && m.now.Sub(at) < ConfirmationTTL {
			e.Received++
			e.HighestPeerRevision = max(e.HighestPeerRevision, in.reportedRevision[j])
		}
	}
	return e
}

// commit changes the settings through an instance, if that instance may accept
// changes and reaches the table service.
func (m *partitionModel) commit(i int) {
	if m.storeUnreachable[i] || !m.evidence(i).ReachesMajority() {
		return
	}
	m.storeRevision++
	m.instances[i].revision = m.storeRevision
	m.unconfirmedRevision[i] = m.storeRevision
}

// run advances the virtual time. Instances exchange heartbeats, fetch newer
// settings from peers, read the table service, and confirm the changes that
// they committed.
func (m *partitionModel) run(ticks int) {
	for range ticks {
		m.now = m.now.Add(tickInterval)
		m.ticks++
		for i, in := range m.instances[:m.size] {
			if m.ticks%pollTicks == i%pollTicks && !m.storeUnreachable[i] {
				in.revision = m.storeRevision
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

// exchange sends a heartbeat from one instance to another, which answers it.
func (m *partitionModel) exchange(i, j int) {
	if i == j || m.peerUnreachable[i][j] {
		return
	}
	a, b := m.instances[i], m.instances[j]
	a.revision, b.revision = max(a.revision, b.revision), max(a.revision, b.revision)
	a.reportedRevision[j], b.reportedRevision[i] = b.revision, a.revision
	a.heardAt[j], b.heardAt[i] = m.now, m.now
	a.arbiter.Confirm(b.arbiter.ConfirmedAt())
}

// confirm accepts the change that an instance committed once a majority of the
// instances has it.
func (m *partitionModel) confirm(i int) {
	if m.unconfirmedRevision[i] == 0 {
		return
	}
	holders := 1
	for j, revision := range m.instances[i].reportedRevision {
		if j != i && revision >= m.unconfirmedRevision[i] {
			holders++
		}
	}
	if 2*holders > m.size {
		m.accepted = append(m.accepted, change{revision: m.unconfirmedRevision[i], at: m.now})
		m.unconfirmedRevision[i] = 0
	}
}

// check fails if an instance that may serve lacks a change that was accepted at
// least inForceDelay ago.
func (m *partitionModel) check(t *rapid.T) {
	for i, in := range m.instances[:m.size] {
		if in.arbiter.Judge(m.evidence(i)) != nil {
			continue
		}
		for _, c := range m.accepted {
			if m.now.Sub(c.at) >= inForceDelay {
				require.GreaterOrEqual(t, in.revision, c.revision, "instance %d serves with an older revision", i)
			}
		}
	}
}

// isolate partitions a set of instances, given as a bit mask, from the others
// and from the table service.
func (m *partitionModel) isolate(isolated int) {
	isIn := func(i int) bool { return isolated>>i&1 == 1 }
	for i := range m.size {
		m.storeUnreachable[i] = isIn(i)
		for j := range m.size {
			m.peerUnreachable[i][j] = isIn(i) != isIn(j)
		}
	}
}

func (m *partitionModel) actions() map[string]func(*rapid.T) {
	draw := func(t *rapid.T, label string) int { return rapid.IntRange(0, m.size-1).Draw(t, label) }
	return map[string]func(*rapid.T){
		"commit":  func(t *rapid.T) { m.commit(draw(t, "by")) },
		"run":     func(t *rapid.T) { m.run(rapid.IntRange(1, 16).Draw(t, "ticks")) },
		"outage":  func(t *rapid.T) { m.storeUnreachable = [maxInstances]bool{true, true, true, true, true} },
		"restore": func(t *rapid.T) { m.storeUnreachable = [maxInstances]bool{} },
		"isolate": func(t *rapid.T) { m.isolate(rapid.IntRange(1, 1<<m.size-2).Draw(t, "isolated")) },
		"store":   func(t *rapid.T) { m.storeUnreachable[draw(t, "of")] = rapid.Bool().Draw(t, "cut") },
		"peers": func(t *rapid.T) {
			i, j, cut := draw(t, "from"), draw(t, "to"), rapid.Bool().Draw(t, "cut")
			m.peerUnreachable[i][j], m.peerUnreachable[j][i] = cut, cut
		},
		"": m.check,
	}
}

// restart replaces an instance by one without any state, once per run.
func (m *partitionModel) restart(t *rapid.T) {
	if m.restarted {
		t.Skip("restarted already")
	}
	m.restarted = true
	i := rapid.IntRange(0, m.size-1).Draw(t, "of")
	m.instances[i] = &instance{arbiter: New()}
	m.unconfirmedRevision[i] = 0
}

// checkAcceptedInForce partitions instances from each other and from the table
// service at random. It checks that none serves with settings older than those
// accepted 3 s ago.
func checkAcceptedInForce(t *testing.T, start func() map[string]func(*rapid.T)) {
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

// TestAcceptedChangeIsInForce guards against instances that keep serving with
// outdated settings in a network partition.
func TestAcceptedChangeIsInForce(t *testing.T) {
	for _, size := range []int{1, 2, 3, 4, 5} {
		t.Run(fmt.Sprint(size, " instances"), func(t *testing.T) {
			checkAcceptedInForce(t, func() map[string]func(*rapid.T) {
				m := newPartitionModel(size)
				actions := m.actions()
				if size == 1 {
					delete(actions, "isolate")
				}
				return actions
			})
		})
	}
}

// TestAcceptedChangeIsInForceAfterRestart adds one restart, which loses the
// state of an instance. It uses four instances, because any two majorities of
// four have two instances in common, so that the loss of one leaves an instance
// with the accepted change.
func TestAcceptedChangeIsInForceAfterRestart(t *testing.T) {
	checkAcceptedInForce(t, func() map[string]func(*rapid.T) {
		const size = 4
		m := newPartitionModel(size)
		actions := m.actions()
		actions["restart"] = m.restart
		return actions
	})
}

// TestStoreOutageStopsNoInstance keeps the table service unreachable for an
// hour.
func TestStoreOutageStopsNoInstance(t *testing.T) {
	m := newPartitionModel(maxInstances)
	m.storeUnreachable = [maxInstances]bool{true, true, true, true, true}
	m.run(int(time.Hour / tickInterval))
	for i, in := range m.instances {
		require.NoError(t, in.arbiter.Judge(m.evidence(i)))
	}
}

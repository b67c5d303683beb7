package exchanger

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const unreachableAddress = "127.0.0.1:1"

func newExchanger() (*Exchanger, *time.Time) {
	clock := time.Unix(1000, 0)
	x := New(poster.New(), "credential", "entry-1", keeper.NewFleet(), Callbacks{
		Compose:          func(string) messenger.Heartbeat { return messenger.Heartbeat{} },
		Merge:            func(messenger.SettingsSince) {},
		Revision:         func() int64 { return 3 },
		OnLeavingTargets: func([]messenger.LeavingTarget) {},
		OnVerdicts:       func([]messenger.Verdict) {},
		OnAnswer:         func(messenger.HeartbeatAnswer, time.Time) {},
	})
	x.now = func() time.Time { return clock }
	return x, &clock
}

func heartbeat(sequence int64) messenger.Heartbeat {
	return messenger.Heartbeat{Instance: "entry-2", Incarnation: "a", Address: unreachableAddress, Sequence: sequence, Revision: 3}
}

// TestPeerReports checks which reports about other instances an exchanger applies and
// passes on.
func TestPeerReports(t *testing.T) {
	x, clock := newExchanger()
	assert.True(t, x.ApplyHeartbeat(heartbeat(1)))
	x.applyPeerReports(*clock, []messenger.PeerNews{
		{Instance: "entry-3", Incarnation: "c", Address: "127.0.0.1:3", AgeMilliseconds: 100},
		{Instance: "entry-4", Incarnation: "d", Address: "127.0.0.1:4", AgeMilliseconds: 60_000},
		{Instance: "entry-1", Incarnation: "self", Address: "127.0.0.1:9"},
	})
	assertState := func(id string, want detector.State) {
		t.Helper()
		assert.Equal(t, want, detector.Judge(*clock, x.fleet.View().Instances[id]), id)
	}
	t.Run("an instance that only a peer reports is alive and gets heartbeats", func(t *testing.T) {
		assertState("entry-3", detector.Alive)
		assert.Contains(t, x.peers(), "127.0.0.1:3")
	})
	t.Run("an old report does not make an instance alive", func(t *testing.T) {
		assertState("entry-4", detector.Gone)
		assert.NotContains(t, x.peers(), "127.0.0.1:4")
	})
	t.Run("only peers whose own heartbeats arrived are reported", func(t *testing.T) {
		reports := x.Peers()
		assert.Len(t, reports, 1)
		assert.Equal(t, "entry-2", reports[0].Instance)
	})
	t.Run("a report about the instance itself does not count", func(t *testing.T) {
		assert.Nil(t, x.fleet.View().Instances["entry-1"])
	})
}

// TestSettingsAreFetchedBeforeHeartbeatCounts guards against an instance that, after a
// partition, considers a peer alive while it still has older settings.
func TestSettingsAreFetchedBeforeHeartbeatCounts(t *testing.T) {
	x, clock := newExchanger()
	hb := heartbeat(1)
	hb.Revision = 4
	assert.False(t, x.ApplyHeartbeat(hb))
	assert.Empty(t, x.Received(clock.Add(-time.Second)), "a peer whose settings cannot be fetched")
	assert.True(t, x.ApplyHeartbeat(heartbeat(2)))
	assert.Len(t, x.Received(clock.Add(-time.Second)), 1)
}

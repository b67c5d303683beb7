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

const unreachable = "127.0.0.1:1"

func newExchanger() (*Exchanger, *time.Time) {
	clock := time.Unix(1000, 0)
	x := New(poster.New(), "credential", "entry-1", keeper.NewFleet(), Seams{
		Compose:      func(string) messenger.Heartbeat { return messenger.Heartbeat{} },
		Merge:        func(messenger.SettingsSince) {},
		Revision:     func() int64 { return 3 },
		HearTargets:  func([]messenger.LeavingTarget) {},
		HearVerdicts: func([]messenger.Verdict) {},
		Answered:     func(messenger.HeartbeatAnswer, time.Time) {},
	})
	x.now = func() time.Time { return clock }
	return x, &clock
}

func heartbeat(sequence int64) messenger.Heartbeat {
	return messenger.Heartbeat{Instance: "entry-2", Incarnation: "a", Address: unreachable, Sequence: sequence, Revision: 3}
}

func TestPeerNews(t *testing.T) {
	x, clock := newExchanger()
	assert.True(t, x.Absorb(heartbeat(1)))
	x.hearPeers(*clock, []messenger.PeerNews{
		{Instance: "entry-3", Incarnation: "c", Address: "127.0.0.1:3", AgeMilliseconds: 100},
		{Instance: "entry-4", Incarnation: "d", Address: "127.0.0.1:4", AgeMilliseconds: 60_000},
		{Instance: "entry-1", Incarnation: "self", Address: "127.0.0.1:9"},
	})
	assertState := func(id string, want detector.State) {
		t.Helper()
		assert.Equal(t, want, detector.Judge(*clock, x.fleet.View().Instances[id]), id)
	}
	t.Run("one that only a peer hears is alive and is called", func(t *testing.T) {
		assertState("entry-3", detector.Alive)
		assert.Contains(t, x.peers(), "127.0.0.1:3")
	})
	t.Run("old news do not make one alive", func(t *testing.T) {
		assertState("entry-4", detector.Gone)
		assert.NotContains(t, x.peers(), "127.0.0.1:4")
	})
	t.Run("only what was heard directly is passed on", func(t *testing.T) {
		news := x.Peers()
		assert.Len(t, news, 1)
		assert.Equal(t, "entry-2", news[0].Instance)
	})
	t.Run("news about itself do not count", func(t *testing.T) {
		assert.Nil(t, x.fleet.View().Instances["entry-1"])
	})
}

func TestNewerSettingsComeFirst(t *testing.T) {
	x, clock := newExchanger()
	hb := heartbeat(1)
	hb.Revision = 4
	assert.False(t, x.Absorb(hb))
	assert.Empty(t, x.Heard(clock.Add(-time.Second)), "a peer whose settings cannot be had")
	assert.True(t, x.Absorb(heartbeat(2)))
	assert.Len(t, x.Heard(clock.Add(-time.Second)), 1)
}

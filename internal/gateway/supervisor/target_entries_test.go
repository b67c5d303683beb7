package supervisor

import (
	"encoding/json"
	"math/rand/v2"
	"testing"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// decodeTestTarget decodes a target that is encoded as JSON.
func decodeTestTarget(id string, value []byte) (*registrar.Target, error) {
	target := &registrar.Target{}
	err := json.Unmarshal(value, target)
	target.ID = id
	return target, err
}

// TestEarlierStartReplacesNoLaterOne guards against requests to a leaving target, since a heartbeat of
// the process before it, which the store executed late, says that it is ready: whatever the order in
// which the entries arrive, the last start and its last heartbeat hold.
func TestEarlierStartReplacesNoLaterOne(t *testing.T) {
	entries := []registrar.Target{
		{StartMilliseconds: 1, Heartbeat: 7},
		{StartMilliseconds: 1, Heartbeat: 90},
		{StartMilliseconds: 2, Heartbeat: 1},
		{StartMilliseconds: 2, Heartbeat: 8, Leaving: true},
	}
	for seed := range uint64(50) {
		s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeTarget: decodeTestTarget}, logr.Discard())
		for i, n := range rand.New(rand.NewPCG(seed, 5)).Perm(len(entries)) {
			value, err := json.Marshal(entries[n])
			assert.NoError(t, err)
			s.applyTargets([]messenger.StoreRow{{Key: "t1", Version: int64(i + 1), Value: value}}, nil)
		}
		last := s.registry.View().Targets["t1"]
		assert.Equal(t, int64(2), last.StartMilliseconds, "seed %d", seed)
		assert.True(t, last.Leaving, "seed %d", seed)
	}
}

// TestEntriesOfALaterEpochBringNoTargetBack guards against requests to a target that has left, and against orders by
// what it held before, since the store came back with old entries.
func TestEntriesOfALaterEpochBringNoTargetBack(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeTarget: decodeTestTarget}, logr.Discard())
	row := func(epoch int64, id string, target registrar.Target) messenger.StoreRow {
		value, err := json.Marshal(target)
		assert.NoError(t, err)
		return messenger.StoreRow{Key: id, Epoch: epoch, Version: 10 - epoch, Value: value}
	}
	lives := row(1, "lives", registrar.Target{Address: "127.0.0.1:1", StartMilliseconds: 1, Heartbeat: 9})
	left := row(1, "left", registrar.Target{Address: "127.0.0.1:2", StartMilliseconds: 1, Heartbeat: 9})

	s.applyTargets([]messenger.StoreRow{lives, left}, nil)
	s.applyTargets(nil, []string{"left"})
	t.Run("an old entry of a target that lives", func(t *testing.T) {
		old := row(2, "lives", registrar.Target{Address: "127.0.0.1:1", StartMilliseconds: 1, Heartbeat: 7})
		got, isInForce := s.resolveTarget(lives, true, old)
		assert.True(t, isInForce)
		assert.Equal(t, lives.Value, got.Value)
		assert.Equal(t, old.StoreVersion(), got.StoreVersion())
	})
	t.Run("an old entry of one that has left", func(t *testing.T) {
		old := row(2, "left", registrar.Target{Address: "127.0.0.1:2", StartMilliseconds: 1, Heartbeat: 7})
		_, isInForce := s.resolveTarget(messenger.StoreRow{}, false, old)
		assert.False(t, isInForce)
		s.applyTargets([]messenger.StoreRow{old}, nil)
		assert.NotContains(t, s.registry.View().Targets, "left", "however it arrives")
	})
	t.Run("one that is back", func(t *testing.T) {
		back := row(2, "left", registrar.Target{Address: "127.0.0.1:2", StartMilliseconds: 1, Heartbeat: 10})
		_, isInForce := s.resolveTarget(messenger.StoreRow{}, false, back)
		assert.True(t, isInForce)
		s.applyTargets([]messenger.StoreRow{back}, nil)
		assert.Contains(t, s.registry.View().Targets, "left")
		_, isInForce = s.resolveTarget(back, true, row(3, "left", registrar.Target{Address: "127.0.0.1:2", StartMilliseconds: 1, Heartbeat: 10}))
		assert.True(t, isInForce, "and lives through another restore")
	})
}

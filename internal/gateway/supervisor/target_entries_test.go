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

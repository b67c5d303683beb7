package supervisor

import (
	"encoding/json"
	"math"
	"strings"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func newOddStatusSupervisor() *Supervisor {
	return New(messenger.GatewaySettings{Instance: "a", DataCentre: "z", Bounds: messenger.GatewayBounds{RetryWindowSeconds: 10}}, Platform{}, logr.Discard())
}

// oddStatuses are statuses whose numbers are past their ranges.
var oddStatuses = []string{
	`{"Instance":"b","Load":{"IsWhole":true,"Instance":"b","Sequence":1,"Targets":{"t":{"InFlight":-1000000,"Pending":-1e308}}}}`,
	`{"Instance":"b","Load":{"IsWhole":true,"Instance":"b","Sequence":1,"Targets":{"t":{"InFlight":9223372036854775807,"Pending":1e308}}}}`,
	`{"Instance":"b","Load":{"IsWhole":true,"Instance":"b","Sequence":1,"Targets":{"t":{"InFlight":1,"Pending":1,
"Limit":{"IsNamed":true,"PerSecond":-5,"AgeMilliseconds":-1e300},"Leave":{"StartMilliseconds":-1,"RemainingMilliseconds":1e300}}}}}`,
	`{"Instance":"b","LimitMembers":9223372036854775807,"LimitDigest":-1,"Overlays":[{"Target":"t","Model":"m","AgeMilliseconds":-9223372036854775808}]}`,
	`{"Instance":"b","Demand":[{"Model":"m","Rate":-1e308,"Waiting":-5,"Runs":1e308,"RunSeconds":-1}]}`,
	`{"Instance":"b","VerdictDigest":-9223372036854775808,"TargetsVersion":-1,"Incarnation":-1}`,
}

// TestOddStatusOfPeerIsBounded guards against a peer whose numbers make a target look free, or
// full for ever.
func TestOddStatusOfPeerIsBounded(t *testing.T) {
	for _, text := range oddStatuses {
		var status messenger.GatewayNews
		require.NoError(t, json.Unmarshal([]byte(text), &status))
		s := newOddStatusSupervisor()
		s.receiveStatus(status, time.Now().Add(time.Minute))
		s.receiveStatus(status, time.Now().Add(time.Minute))
		load := s.balancer.TotalInFlight("t")
		assert.GreaterOrEqual(t, load, 0)
		assert.LessOrEqual(t, load, maxLoad)
		for _, d := range s.tally.TotalDemand() {
			assert.GreaterOrEqual(t, d.Rate, 0.0)
			assert.False(t, math.IsInf(d.Runs, 0))
		}
		if limit, ok := s.limiter.Limit("t"); ok {
			assert.GreaterOrEqual(t, limit.PerSecond, 0.0)
			assert.False(t, limit.SeenAt.After(s.limiter.Now()))
		}
	}
}

func TestOddVerdictOfPeerIsBounded(t *testing.T) {
	s := newOddStatusSupervisor()
	content := messenger.Trait{Kind: "Content", Name: "000102030405060708090a0b0c0d0e0f"}
	odd := []messenger.Trait{{Kind: "Content", Name: "odd"}, {Kind: "Part", Name: strings.Repeat("x", 1000)}, {Kind: "Odd"}}
	s.mergeVerdicts([]messenger.GatewayVerdict{
		{Trait: messenger.Trait{Kind: "Content", Name: "odd"}, Crashes: []string{"a", "b", "c"}, ConvictedMilliseconds: 1e300, RemainingMilliseconds: 1e300},
		{Trait: content, Crashes: []string{"a", "b", "c"}, ConvictedMilliseconds: 1e300, RemainingMilliseconds: 1e300, AgeMilliseconds: -1e300},
		{Trait: content, Revision: math.MaxInt64, Crashes: make([]string, 100_000), ConvictedMilliseconds: 1, RemainingMilliseconds: 1},
	})
	traits := decodeTraits(append(odd, content))
	require.Len(t, traits, 1)
	_, err := s.quarantiner.CheckAll(time.Now().Add(time.Hour), traits)
	assert.NoError(t, err, "no verdict lasts for ever")
}

// FuzzStatus checks that no status of a peer ends an instance or leaves a load out of range.
func FuzzStatus(f *testing.F) {
	for _, text := range oddStatuses {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, value []byte) {
		var status messenger.GatewayNews
		if json.Unmarshal(value, &status) != nil {
			return
		}
		status.VerdictDigest = 0 // reads from the peer
		s := newOddStatusSupervisor()
		s.receiveStatus(status, time.Now().Add(time.Minute))
		for id := range status.Load.Targets {
			load := s.balancer.TotalInFlight(id)
			require.GreaterOrEqual(t, load, 0)
			require.LessOrEqual(t, load, maxLoad)
		}
	})
}

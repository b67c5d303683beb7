package prefixer_test

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

func TestFollower(t *testing.T) {
	key := prefixer.KeyOf("oak", "p")
	table := prefixer.New()
	fleet := keeper.NewFleet()
	setEngine := func(incarnation string) {
		fleet.ChangeTarget("a", func(t *keeper.Target) {
			t.Kind = keeper.Engine
			t.Incarnation = incarnation
		})
	}
	asked := []int64{}
	answer := messenger.CacheEvents{}
	var fault error
	follower := prefixer.NewFollower(table, fleet, func(_ string, since int64) (messenger.CacheEvents, error) {
		asked = append(asked, since)
		return answer, fault
	})
	targets := func() [2]string { return table.Targets(time.Now(), key) }

	setEngine("one")
	answer = messenger.CacheEvents{Last: 7, Events: []messenger.CacheEvent{{Sequence: 5, Kind: "Stored", Model: "oak", Prefix: "p"}}}
	follower.Tick()
	assert.Equal(t, "a", targets()[0], "a stored prefix")

	fault = errors.New("no answer")
	follower.Tick()
	assert.Equal(t, "a", targets()[0], "an engine that does not answer")

	fault = nil
	answer = messenger.CacheEvents{Last: 9, Events: []messenger.CacheEvent{{Sequence: 9, Kind: "Removed", Model: "oak", Prefix: "p"}}}
	follower.Tick()
	assert.Empty(t, targets()[0], "a removed prefix")

	table.Insert(time.Now(), "a", key)
	answer = messenger.CacheEvents{}
	setEngine("two")
	follower.Tick()
	assert.Empty(t, targets()[0], "a restarted engine")
	assert.Equal(t, []int64{0, 7, 7, 0}, asked)

	table.Insert(time.Now(), "a", key)
	fleet.RemoveTarget("a")
	follower.Tick()
	assert.Empty(t, targets()[0], "an engine that was removed")
}

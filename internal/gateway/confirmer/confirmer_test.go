package confirmer_test

import (
	"math"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
)

// newApplied returns a confirmer that has applied version 3, with a proof of the time 1000.
func newApplied() *confirmer.Confirmer {
	c := confirmer.New(5 * time.Second)
	c.SetApplied(messenger.StoreVersion{Number: 3})
	c.Confirm(0, 1000, 1001)
	return c
}

func isConfirmed(c *confirmer.Confirmer, latest int64) bool {
	out, _ := c.Currency(latest)
	return out
}

func isRecent(c *confirmer.Confirmer, latest int64) bool {
	_, out := c.Currency(latest)
	return out
}

// TestRecentManifestNeedsProof guards against a manifest that is called recent without a proof, or by one that is older than
// the time in which a newer one must be in force, also where no keys are revoked.
func TestRecentManifestNeedsProof(t *testing.T) {
	c := confirmer.New(0, confirmer.WithApplyTime(2*time.Second))
	assert.False(t, c.IsRecent(1000))
	c.SetApplied(messenger.StoreVersion{Number: 3})
	c.Confirm(0, 1000, 1001)
	assert.True(t, c.IsRecent(2999))
	assert.False(t, c.IsRecent(3000))
}

func TestProofExpires(t *testing.T) {
	c := newApplied()
	assert.True(t, isConfirmed(c, 5999))
	assert.True(t, isRecent(c, 3999))
	assert.False(t, isRecent(c, 4000), "a manifest with another key must be in force 3 s after its acknowledgement")
	assert.False(t, isConfirmed(c, 6000), "the bound has passed")
	assert.False(t, isConfirmed(c, 0), "without a reading of the store's clock the age of a proof is unknown")
	assert.False(t, isConfirmed(c, 900), "a proof of a time to come is of another clock")
}

func TestNoProofIsRequiredWithoutBound(t *testing.T) {
	assert.True(t, isConfirmed(confirmer.New(0), 0))
	assert.True(t, isRecent(confirmer.New(0), 0))
}

func TestProofsOfTheStore(t *testing.T) {
	t.Run("without a manifest nothing is proved", func(t *testing.T) {
		c := confirmer.New(5 * time.Second)
		c.Confirm(0, 1000, 1001)
		assert.False(t, isConfirmed(c, 1001))
		assert.Equal(t, confirmer.Proof{}, c.Proof())
	})
	t.Run("a manifest that cannot be read proves nothing of the one in force", func(t *testing.T) {
		c := newApplied()
		c.SetUnreadable(messenger.StoreVersion{Number: 5})
		c.Confirm(0, 2000, 2001)
		assert.EqualValues(t, 1000, c.Proof().StoreMilliseconds)
		c.SetApplied(messenger.StoreVersion{Number: 5})
		c.Confirm(0, 2000, 2001)
		assert.EqualValues(t, 2000, c.Proof().StoreMilliseconds)
	})
	t.Run("a late answer does not replace a newer one", func(t *testing.T) {
		c := newApplied()
		c.Confirm(0, 900, 1100)
		assert.Equal(t, confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: 1000}, c.Proof())
	})
	t.Run("a store that counts anew replaces a proof of its earlier clock", func(t *testing.T) {
		c := newApplied()
		c.Confirm(0, 10, 11)
		assert.Equal(t, confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: 10}, c.Proof())
	})
}

func TestProofsOfPeers(t *testing.T) {
	for _, c := range []struct {
		name      string
		proof     confirmer.Proof
		isAdopted bool
		isNewer   bool
	}{
		{name: "of the own version", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: 1500}, isAdopted: true},
		{name: "of an earlier version", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 2}, StoreMilliseconds: 1500}, isAdopted: true},
		{name: "of a newer version", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 4}, StoreMilliseconds: 1500}, isNewer: true},
		{name: "an old one", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: 999}},
		{name: "of a time that the store's clock cannot have", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: 2001}},
		{name: "of an absurd time", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: math.MaxInt64}},
		{name: "of an absurd version", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: math.MaxInt64}, StoreMilliseconds: 1500}, isNewer: true},
		{name: "of a negative version", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: -1}, StoreMilliseconds: 1500}},
		{name: "of a negative time", proof: confirmer.Proof{Version: messenger.StoreVersion{Number: 3}, StoreMilliseconds: math.MinInt64}},
	} {
		t.Run(c.name, func(t *testing.T) {
			confirmed := newApplied()
			before := confirmed.Proof()
			assert.Equal(t, c.isNewer, confirmed.Receive(c.proof, 2000))
			if c.isAdopted {
				before = c.proof
			}
			assert.Equal(t, before, confirmed.Proof())
		})
	}
}

package confirmer_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// newInEpoch returns a confirmer at the local time 0 that has applied version 90 in epoch 5, with a proof whose age is
// 1 s, and a clock that the caller may set.
func newInEpoch() (*confirmer.Confirmer, *time.Time) {
	now := at(0)
	c := confirmer.New(5*time.Second, confirmer.WithClock(func() time.Time { return now }))
	c.ObserveEpoch(confirmer.EpochChange{After: messenger.StoreVersion{Epoch: 5}})
	c.SetApplied(messenger.StoreVersion{Epoch: 5, Number: 90})
	c.Confirm(5, 1000, 1001)
	c.Confirm(5, 9000, 9001)
	return c, &now
}

// changeTo returns the change to an epoch after another one, in which the store's clock was not known.
func changeTo(epoch int64) confirmer.EpochChange {
	return confirmer.EpochChange{Before: messenger.StoreVersion{Epoch: epoch - 1, Number: 90}, After: messenger.StoreVersion{Epoch: epoch}}
}

// TestProofOfTheEpochBeforeHoldsUntilItsBound guards against a key that is refused since the store was away for a
// moment, and against one that is accepted for longer since its clock is another one.
func TestProofOfTheEpochBeforeHoldsUntilItsBound(t *testing.T) {
	for name, latest := range map[string]int64{"not known": 0, "earlier": 2000, "later": 900_000} {
		t.Run(name, func(t *testing.T) {
			c, now := newInEpoch()
			change := changeTo(6)
			change.LatestBefore, change.At = 10_000, *now
			c.ObserveEpoch(change)
			*now = at(3900)
			assert.True(t, isConfirmed(c, latest))
			c.ObserveEpoch(changeTo(7))
			assert.True(t, isConfirmed(c, latest), "a second epoch")
			*now = at(4000)
			assert.False(t, isConfirmed(c, latest))
		})
	}
	t.Run("without a clock its age is not known", func(t *testing.T) {
		c, _ := newInEpoch()
		c.ObserveEpoch(changeTo(6))
		assert.False(t, isConfirmed(c, 900_000))
	})
}

// TestLaterEpochProvesNothingAtOnce guards against a key that is accepted again since the manifest that took it away is
// not written again yet.
func TestLaterEpochProvesNothingAtOnce(t *testing.T) {
	c, _ := newInEpoch()
	c.ObserveEpoch(changeTo(6))
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 70})
	assert.True(t, c.MayConfirm(2999), "the first answer shows when it was observed")
	c.Confirm(6, 3000, 3001)
	assert.False(t, c.MayConfirm(5199), "a call to the store would be in vain")
	assert.True(t, c.MayConfirm(5200))
	c.Confirm(6, 5199, 5200)
	assert.False(t, isConfirmed(c, 5200))
	c.Confirm(5, 5200, 5201)
	assert.False(t, isConfirmed(c, 5201), "a late answer of the epoch before")
	c.Confirm(6, 5200, 5201)
	assert.True(t, isConfirmed(c, 5201))
	assert.Equal(t, confirmer.Proof{Version: messenger.StoreVersion{Epoch: 6, Number: 70}, StoreMilliseconds: 5200}, c.Proof())
}

// TestRowThatIsMissingProvesNothing guards against a key that the store's manifest may not have: the row has not been
// written again.
func TestRowThatIsMissingProvesNothing(t *testing.T) {
	c, _ := newInEpoch()
	c.ObserveEpoch(changeTo(6))
	c.Confirm(6, 3000, 3001)
	c.Confirm(6, 9000, 9001)
	assert.False(t, isConfirmed(c, 9001))
}

// TestRowThatCannotBeReadProvesNothing guards against a key that was taken away by a manifest between the one in force
// and one that cannot be read.
func TestRowThatCannotBeReadProvesNothing(t *testing.T) {
	c, _ := newInEpoch()
	c.ObserveEpoch(changeTo(6))
	c.SetSubstituted(messenger.StoreVersion{Epoch: 6, Number: 70})
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 70})
	c.Confirm(6, 3000, 3001)
	c.Confirm(6, 9000, 9001)
	assert.False(t, isConfirmed(c, 9001))
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 71})
	c.Confirm(6, 9000, 9001)
	assert.True(t, isConfirmed(c, 9001))
}

// TestProofsOfJoinersCountLater guards against a key that is accepted again on the word of an instance that started
// after the return, and knows only what the store came back with.
func TestProofsOfJoinersCountLater(t *testing.T) {
	c, _ := newInEpoch()
	c.ObserveEpoch(changeTo(6))
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 70})
	proof := func(milliseconds int64) confirmer.Proof {
		return confirmer.Proof{Version: messenger.StoreVersion{Epoch: 6, Number: 70}, StoreMilliseconds: milliseconds}
	}
	c.Receive(proof(2900), 3000)
	c.Receive(proof(5199), 5300)
	assert.False(t, isConfirmed(c, 5300))
	c.Receive(proof(5200), 5300)
	assert.True(t, isConfirmed(c, 5300))
}

// TestFirstEpochConfirmsAtOnce guards against an instance that refuses all keys when it starts.
func TestFirstEpochConfirmsAtOnce(t *testing.T) {
	c := confirmer.New(5 * time.Second)
	c.ObserveEpoch(confirmer.EpochChange{After: messenger.StoreVersion{Epoch: 6}})
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 70})
	c.Confirm(6, 3000, 3001)
	assert.True(t, isConfirmed(c, 3001))
}

// TestProofsOfPeersInOtherEpochs guards against times of two clocks that are compared.
func TestProofsOfPeersInOtherEpochs(t *testing.T) {
	c, _ := newInEpoch()
	before := c.Proof()
	proof := func(epoch, number int64) confirmer.Proof {
		return confirmer.Proof{Version: messenger.StoreVersion{Epoch: epoch, Number: number}, StoreMilliseconds: 9500}
	}
	assert.False(t, c.Receive(proof(4, 99), 10_000), "an earlier one")
	assert.Equal(t, before, c.Proof())
	assert.True(t, c.Receive(proof(6, 70), 10_000), "a later one is of a newer manifest")
	c.SetApplied(messenger.StoreVersion{Epoch: 6, Number: 70})
	assert.False(t, c.Receive(proof(6, 70), 10_000))
	assert.Equal(t, before, c.Proof(), "its clock is not known here")
	c.ObserveEpoch(changeTo(6))
	c.Confirm(6, 7000, 7001)
	c.Receive(proof(6, 70), 10_000)
	assert.Equal(t, proof(6, 70), c.Proof())
}

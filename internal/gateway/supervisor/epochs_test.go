package supervisor

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// newEpochInstance returns an instance that has observed an epoch, and counts its calls for the epoch of the store. Each
// shows what the store's client has just observed, if anything.
func newEpochInstance(t *testing.T, epoch int64, observed ...int64) (*Supervisor, *atomic.Int64) {
	t.Helper()
	s, _ := newReadingInstance(t)
	calls := &atomic.Int64{}
	s.platform.Get = func(string, string) (messenger.Row, error) {
		if n := int(calls.Add(1)); n <= len(observed) {
			s.observeEpoch(epochChange(observed[n-1]))
		}
		return messenger.Row{}, nil
	}
	s.observeEpoch(epochChange(epoch))
	return s, calls
}

func epochChange(epoch int64) confirmer.EpochChange {
	return confirmer.EpochChange{Before: messenger.StoreVersion{Epoch: epoch - 1, Number: 9}, After: messenger.StoreVersion{Epoch: epoch, Number: 7}}
}

// TestEpochOfAPeerIsAskedFor guards against an instance that takes a peer's word for the epoch of the store, and refuses all
// answers of the store since; and against one that asks the store for each message of a peer.
func TestEpochOfAPeerIsAskedFor(t *testing.T) {
	t.Run("at most once in an interval", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEpochInstance(t, 5)
			for named := range int64(50) {
				s.checkEpoch(6 + named)
			}
			synctest.Wait()
			assert.EqualValues(t, 1, calls.Load())
			time.Sleep(epochCheckInterval)
			s.checkEpoch(100)
			synctest.Wait()
			assert.EqualValues(t, 2, calls.Load())
			assert.EqualValues(t, 5, s.epochs.current.Load(), "only the store's word counts")
		})
	})
	t.Run("not again what the store has refuted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEpochInstance(t, 5)
			for range 20 {
				s.checkEpoch(1 << 40)
				time.Sleep(epochCheckInterval)
			}
			assert.EqualValues(t, 1, calls.Load())
		})
	})
	t.Run("again after another change of epoch", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEpochInstance(t, 5, 6)
			s.checkEpoch(6)
			time.Sleep(epochCheckInterval)
			s.checkEpoch(7)
			synctest.Wait()
			assert.EqualValues(t, 2, calls.Load())
			assert.EqualValues(t, 6, s.epochs.current.Load())
		})
	})
	t.Run("not if the instance knows it", func(t *testing.T) {
		s, calls := newEpochInstance(t, 5)
		s.checkEpoch(5)
		assert.Zero(t, calls.Load())
		assert.Zero(t, s.epochs.checkDue.Load())
	})
}

// TestCallsAfterAChangeOfEpochAreSpread guards against all instances of a large system that call the store in the moment in
// which they observe a later epoch.
func TestCallsAfterAChangeOfEpochAreSpread(t *testing.T) {
	const instances, spread = 400, 400 * epochCallInterval
	synctest.Test(t, func(t *testing.T) {
		s, calls := newEpochInstance(t, 5)
		s.instanceCount.Store(instances)
		began := time.Now()
		delays := make(chan time.Duration, instances)
		for range instances {
			go func() {
				s.awaitJitter()
				delays <- time.Since(began)
			}()
		}
		inFirstTenth := 0
		for range instances {
			delay := <-delays
			require.Less(t, delay, spread)
			if delay < spread/10 {
				inFirstTenth++
			}
		}
		assert.Less(t, inFirstTenth, instances/5)
		s.checkEpoch(6)
		synctest.Wait()
		assert.Zero(t, calls.Load(), "a peer has told of an epoch")
		time.Sleep(spread)
		assert.EqualValues(t, 1, calls.Load())
		began = time.Now()
		s.awaitJitter()
		assert.Zero(t, time.Since(began), "the change is long ago")
	})
}

// TestRereadIsMeasuredFromItsEpoch guards against a metric of years, from a table that a peer has sent before the store has
// shown its epoch.
func TestRereadIsMeasuredFromItsEpoch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newEpochInstance(t, 5)
		time.Sleep(time.Hour)
		s.targets.Adopt(messenger.TableSnapshot{Epoch: 5, Version: 9})
		s.targets.Adopt(messenger.TableSnapshot{Epoch: 6, Version: 7})
		assert.Zero(t, s.epochs.rereadMilliseconds.Load())
		s.observeEpoch(epochChange(7))
		time.Sleep(time.Second)
		s.targets.Adopt(messenger.TableSnapshot{Epoch: 7, Version: 5})
		assert.EqualValues(t, 1000, s.epochs.rereadMilliseconds.Load())
	})
}

package supervisor

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// newEraInstance returns an instance that has met an era, and counts its calls for the era of the store. Each
// shows what the store's client has just met, if anything.
func newEraInstance(t *testing.T, era int64, meets ...int64) (*Supervisor, *atomic.Int64) {
	t.Helper()
	s, _ := newReadingInstance(t)
	calls := &atomic.Int64{}
	s.platform.Get = func(string, string) (messenger.Row, error) {
		if n := int(calls.Add(1)); n <= len(meets) {
			s.meetEra(eraChange(meets[n-1]))
		}
		return messenger.Row{}, nil
	}
	s.meetEra(eraChange(era))
	return s, calls
}

func eraChange(era int64) follower.EraChange {
	return follower.EraChange{Before: messenger.StoreVersion{Era: era - 1, Number: 9}, After: messenger.StoreVersion{Era: era, Number: 7}}
}

// TestEraOfAPeerIsAskedFor guards against an instance that takes a peer's word for the era of the store, and refuses all
// answers of the store since; and against one that asks the store for each message of a peer.
func TestEraOfAPeerIsAskedFor(t *testing.T) {
	t.Run("at most once in an interval", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEraInstance(t, 5)
			for named := range int64(50) {
				s.checkEra(6 + named)
			}
			synctest.Wait()
			assert.EqualValues(t, 1, calls.Load())
			time.Sleep(eraCheckInterval)
			s.checkEra(100)
			synctest.Wait()
			assert.EqualValues(t, 2, calls.Load())
			assert.EqualValues(t, 5, s.eras.current.Load(), "only the store's word counts")
		})
	})
	t.Run("not again what the store has refuted", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEraInstance(t, 5)
			for range 20 {
				s.checkEra(1 << 40)
				time.Sleep(eraCheckInterval)
			}
			assert.EqualValues(t, 1, calls.Load())
		})
	})
	t.Run("again after another change of era", func(t *testing.T) {
		synctest.Test(t, func(t *testing.T) {
			s, calls := newEraInstance(t, 5, 6)
			s.checkEra(6)
			time.Sleep(eraCheckInterval)
			s.checkEra(7)
			synctest.Wait()
			assert.EqualValues(t, 2, calls.Load())
			assert.EqualValues(t, 6, s.eras.current.Load())
		})
	})
	t.Run("not if the instance knows it", func(t *testing.T) {
		s, calls := newEraInstance(t, 5)
		s.checkEra(5)
		assert.Zero(t, calls.Load())
		assert.Zero(t, s.eras.checkDue.Load())
	})
}

// TestCallsAfterAChangeOfEraAreSpread guards against all instances of a large system that call the store in the moment in
// which they meet a later era.
func TestCallsAfterAChangeOfEraAreSpread(t *testing.T) {
	const instances, spread = 400, 400 * eraCallInterval
	synctest.Test(t, func(t *testing.T) {
		s, calls := newEraInstance(t, 5)
		s.instanceCount.Store(instances)
		began := time.Now()
		delays := make(chan time.Duration, instances)
		for range instances {
			go func() {
				s.awaitTurn()
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
		s.checkEra(6)
		synctest.Wait()
		assert.Zero(t, calls.Load(), "a peer has told of an era")
		time.Sleep(spread)
		assert.EqualValues(t, 1, calls.Load())
		began = time.Now()
		s.awaitTurn()
		assert.Zero(t, time.Since(began), "the change is long ago")
	})
}

// TestRereadIsMeasuredFromItsEra guards against a metric of years, from a table that a peer has sent before the store has
// shown its era.
func TestRereadIsMeasuredFromItsEra(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s, _ := newEraInstance(t, 5)
		time.Sleep(time.Hour)
		s.targets.Adopt(messenger.TableSnapshot{Era: 5, Version: 9})
		s.targets.Adopt(messenger.TableSnapshot{Era: 6, Version: 7})
		assert.Zero(t, s.eras.rereadMilliseconds.Load())
		s.meetEra(eraChange(7))
		time.Sleep(time.Second)
		s.targets.Adopt(messenger.TableSnapshot{Era: 7, Version: 5})
		assert.EqualValues(t, 1000, s.eras.rereadMilliseconds.Load())
	})
}

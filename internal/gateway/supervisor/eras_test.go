package supervisor

import (
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/stretchr/testify/assert"

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

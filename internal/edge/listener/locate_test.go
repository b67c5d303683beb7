package listener

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

func TestSortCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	instance := func(id, dataCentre string, inFlight int, heard time.Duration) *keeper.Instance {
		return &keeper.Instance{ID: id, DataCentre: dataCentre, InFlight: inFlight, HeartbeatAt: now.Add(-heard)}
	}
	assertOrder := func(t *testing.T, list []*keeper.Instance, want ...string) {
		t.Helper()
		ids := []string{}
		for _, in := range sortCandidates(now, list, "own", "dc-1", func() float64 { return 0.5 }) {
			ids = append(ids, in.ID)
		}
		assert.Equal(t, want, ids)
	}
	const heard, unheard = time.Millisecond, time.Minute
	t.Run("own first, then by load and data centre", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{
			instance("far", "dc-2", 9, heard), instance("near", "dc-1", 9, heard),
			instance("idle", "dc-2", 0, heard), instance("own", "dc-1", 12, heard),
		}, "own", "idle", "near", "far")
	})
	t.Run("an overloaded own instance is not first", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{instance("own", "dc-1", 60, heard), instance("b", "dc-2", 9, heard)}, "b", "own")
	})
	t.Run("an instance whose heartbeats reach only peers is last", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{
			instance("own", "dc-1", 0, heard), instance("b", "dc-1", 0, unheard), instance("c", "dc-2", 50, heard),
		}, "own", "c", "b")
	})
	t.Run("bounded", func(t *testing.T) {
		list := []*keeper.Instance{}
		for range 3 * maxLocateAddresses {
			list = append(list, instance("x", "dc-1", 0, heard))
		}
		assert.Len(t, sortCandidates(now, list, "own", "dc-1", func() float64 { return 0 }), maxLocateAddresses)
	})
}

package listener

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

func TestSortCandidates(t *testing.T) {
	now := time.Unix(1000, 0)
	instance := func(id, dataCentre string, inFlight int, heartbeatAge time.Duration) *keeper.Instance {
		return &keeper.Instance{ID: id, DataCentre: dataCentre, InFlight: inFlight, HeartbeatAt: now.Add(-heartbeatAge)}
	}
	assertOrder := func(t *testing.T, list []*keeper.Instance, want ...string) {
		t.Helper()
		ids := []string{}
		for _, in := range sortCandidates(now, list, "own", "dc-1", func() float64 { return 0.5 }) {
			ids = append(ids, in.ID)
		}
		assert.Equal(t, want, ids)
	}
	const heartbeatAge, staleHeartbeatAge = time.Millisecond, time.Minute
	t.Run("own first, then by load and data centre", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{
			instance("far", "dc-2", 9, heartbeatAge), instance("near", "dc-1", 9, heartbeatAge),
			instance("idle", "dc-2", 0, heartbeatAge), instance("own", "dc-1", 12, heartbeatAge),
		}, "own", "idle", "near", "far")
	})
	t.Run("an overloaded own instance is not first", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{instance("own", "dc-1", 60, heartbeatAge), instance("b", "dc-2", 9, heartbeatAge)}, "b", "own")
	})
	t.Run("an instance whose heartbeats reach only peers is last", func(t *testing.T) {
		assertOrder(t, []*keeper.Instance{
			instance("own", "dc-1", 0, heartbeatAge), instance("b", "dc-1", 0, staleHeartbeatAge), instance("c", "dc-2", 50, heartbeatAge),
		}, "own", "c", "b")
	})
	t.Run("bounded", func(t *testing.T) {
		list := []*keeper.Instance{}
		for range 3 * maxLocateAddresses {
			list = append(list, instance("x", "dc-1", 0, heartbeatAge))
		}
		assert.Len(t, sortCandidates(now, list, "own", "dc-1", func() float64 { return 0 }), maxLocateAddresses)
	})
}

package supervisor

import (
	"sync/atomic"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// watchEras logs and counts the changes of era of the store.
func (s *Supervisor) watchEras() {
	if s.platform.OnEra == nil {
		return
	}
	var era atomic.Int64
	s.measurer.RegisterGauge("Store.Era", era.Load)
	s.platform.OnEra(func(change follower.EraChange) {
		era.Store(change.After.Era)
		s.leaser.MeetEra(change.After.Era)
		s.log.Info("era of the store", "era", change.After.Era, "version", change.After.Number,
			"eraBefore", change.Before.Era, "versionBefore", change.Before.Number)
		if !change.Before.IsZero() {
			s.measurer.CountEvent(measurer.StoreEraChanges, 1)
		}
	})
}

package supervisor

import (
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// eras is what an instance knows of the eras of the store.
type eras struct {
	// current is the latest era that is known, and metAt is when it was met, in Unix nanoseconds.
	current, metAt atomic.Int64
	// rereadMilliseconds is how long after that the last table was read again. Those that a peer sent before
	// do not count.
	rereadMilliseconds atomic.Int64
	// checkDue is when the store may be asked for its era again, in Unix nanoseconds.
	checkDue atomic.Int64
	// refuted is the last era that a peer has named and the store has not.
	refuted atomic.Int64
}

const (
	// eraCheckInterval is the time between two calls to the store for its era.
	eraCheckInterval = time.Second
	// eraCallInterval is the mean time between two calls of all instances together that follow a change
	// of era.
	eraCallInterval = 3 * time.Millisecond
)

// watchEras tells the parts that rely on the store when it came back from a copy.
func (s *Supervisor) watchEras() {
	s.measurer.RegisterGauge("Store.Era", s.eras.current.Load)
	s.measurer.RegisterGauge("Store.RereadMilliseconds", s.eras.rereadMilliseconds.Load)
	if s.platform.OnEra != nil {
		s.platform.OnEra(s.meetEra)
	}
}

// meetEra is called with each change of era of the store.
func (s *Supervisor) meetEra(change follower.EraChange) {
	s.eras.metAt.Store(time.Now().UnixNano()) // before the era that it is of
	s.eras.current.Store(change.After.Era)
	s.log.Info("era of the store", "era", change.After.Era, "version", change.After.Number,
		"eraBefore", change.Before.Era, "versionBefore", change.Before.Number)
	s.leaser.MeetEra(change.After.Era)
	s.confirmer.MeetEra(confirmer.Era{
		Number: change.After.Era, IsFirst: change.Before.IsZero(), LatestBefore: change.LatestBefore, At: change.At,
	})
	if !change.Before.IsZero() {
		s.measurer.CountEvent(measurer.StoreEraChanges, 1)
		s.restoreRows()
	}
}

// checkEra asks the store for its era if a peer has named a later one than this instance knows. The peer's
// word is not enough: this instance would refuse all answers of an era before.
func (s *Supervisor) checkEra(named int64) {
	if named <= s.eras.current.Load() || named == s.eras.refuted.Load() {
		return
	}
	now := time.Now().UnixNano()
	due := s.eras.checkDue.Load()
	if now >= due && s.eras.checkDue.CompareAndSwap(due, now+int64(eraCheckInterval)) {
		go s.askEra(named)
	}
}

// askEra asks the store for its era, unless another call has met the one that a peer has named by then. All
// instances hear of it from their peers at about the same time.
func (s *Supervisor) askEra(named int64) {
	time.Sleep(s.turn())
	if named <= s.eras.current.Load() {
		return
	}
	if _, err := s.platform.Get(instanceTable, s.settings.Instance); err != nil {
		s.log.V(1).Info("era of the store not read", "named", named, "error", err.Error())
		return
	}
	if known := s.eras.current.Load(); known < named {
		s.eras.refuted.Store(named)
		s.log.Info("store is not in the era that a peer has named", "named", named, "era", known)
	}
}

// awaitTurn delays a call to the store that all instances make once they meet a later era, each by a time
// of its own.
func (s *Supervisor) awaitTurn() {
	metAt := time.Unix(0, s.eras.metAt.Load())
	if s.eras.current.Load() > 0 && time.Since(metAt) <= s.turnSpread() {
		time.Sleep(s.turn())
	}
}

// turnSpread is the time over which all instances together make a call.
func (s *Supervisor) turnSpread() time.Duration {
	return time.Duration(s.instanceCount.Load()) * eraCallInterval
}

// turn returns a random part of that time.
func (s *Supervisor) turn() time.Duration {
	return time.Duration(rand.Int64N(max(int64(s.turnSpread()), 1)))
}

// observeReread returns the option by which the follower of a table logs that it has read the table again
// in a later era.
func (s *Supervisor) observeReread(table string) follower.Option {
	return follower.WithEraObserver(func(before, after messenger.StoreVersion) {
		fields := []any{"table", table, "era", after.Era, "version", after.Number, "eraBefore", before.Era, "versionBefore", before.Number}
		if after.Era == s.eras.current.Load() { // a peer may have sent the table before the store has shown its era
			took := time.Since(time.Unix(0, s.eras.metAt.Load())).Milliseconds()
			s.eras.rereadMilliseconds.Store(took)
			fields = append(fields, "afterMilliseconds", took)
		}
		s.log.Info("table read again in a later era", fields...)
	})
}

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

// epochs is what an instance knows of the epochs of the store.
type epochs struct {
	// current is the latest epoch that is known, and observedAt is when it was observed, in Unix nanoseconds.
	current, observedAt atomic.Int64
	// rereadMilliseconds is how long after that the last table was read again. Those that a peer sent before
	// do not count.
	rereadMilliseconds atomic.Int64
	// checkDue is when the store may be asked for its epoch again, in Unix nanoseconds.
	checkDue atomic.Int64
	// refuted is the last epoch that a peer has named and the store has not.
	refuted atomic.Int64
}

const (
	// epochCheckInterval is the time between two calls to the store for its epoch.
	epochCheckInterval = time.Second
	// epochCallInterval is the mean time between two calls of all instances together that follow a change
	// of epoch.
	epochCallInterval = 3 * time.Millisecond
)

// watchEpochs tells the parts that rely on the store when it came back from a copy.
func (s *Supervisor) watchEpochs() {
	s.measurer.RegisterGauge("Store.Epoch", s.epochs.current.Load)
	s.measurer.RegisterGauge("Store.RereadMilliseconds", s.epochs.rereadMilliseconds.Load)
	if s.platform.OnEpoch != nil {
		s.platform.OnEpoch(s.observeEpoch)
	}
}

// observeEpoch is called with each change of epoch of the store.
func (s *Supervisor) observeEpoch(change confirmer.EpochChange) {
	s.epochs.observedAt.Store(time.Now().UnixNano()) // before the epoch that it is of
	s.epochs.current.Store(change.After.Epoch)
	s.log.Info("epoch of the store", "epoch", change.After.Epoch, "version", change.After.Number,
		"epochBefore", change.Before.Epoch, "versionBefore", change.Before.Number)
	s.leaser.ObserveEpoch(change.After.Epoch)
	s.confirmer.ObserveEpoch(change)
	if !change.Before.IsZero() {
		s.measurer.CountEvent(measurer.StoreEpochChanges, 1)
		s.checkRows()
	}
}

// checkEpoch asks the store for its epoch if a peer has named a later one than this instance knows. The peer's
// word is not enough: this instance would refuse all answers of an epoch before.
func (s *Supervisor) checkEpoch(named int64) {
	if named <= s.epochs.current.Load() || named == s.epochs.refuted.Load() {
		return
	}
	now := time.Now().UnixNano()
	due := s.epochs.checkDue.Load()
	if now >= due && s.epochs.checkDue.CompareAndSwap(due, now+int64(epochCheckInterval)) {
		go s.askEpoch(named)
	}
}

// askEpoch asks the store for its epoch, unless another call has observed the one that a peer has named by then. All
// instances hear of it from their peers at about the same time.
func (s *Supervisor) askEpoch(named int64) {
	time.Sleep(s.jitter())
	if named <= s.epochs.current.Load() {
		return
	}
	if _, err := s.platform.Get(instanceTable, s.settings.Instance); err != nil {
		s.log.V(1).Info("epoch of the store not read", "named", named, "error", err.Error())
		return
	}
	if known := s.epochs.current.Load(); known < named {
		s.epochs.refuted.Store(named)
		s.log.Info("store is not in the epoch that a peer has named", "named", named, "epoch", known)
	}
}

// awaitJitter delays a call to the store that all instances make once they observe a later epoch, each by a time
// of its own.
func (s *Supervisor) awaitJitter() {
	observedAt := time.Unix(0, s.epochs.observedAt.Load())
	if s.epochs.current.Load() > 0 && time.Since(observedAt) <= s.maxJitter() {
		time.Sleep(s.jitter())
	}
}

// maxJitter is the time over which all instances together make a call.
func (s *Supervisor) maxJitter() time.Duration {
	return time.Duration(s.instanceCount.Load()) * epochCallInterval
}

// jitter returns a random part of maxJitter.
func (s *Supervisor) jitter() time.Duration {
	return randomPart(s.maxJitter())
}

// randomPart returns a random part of a time.
func randomPart(d time.Duration) time.Duration { return time.Duration(rand.Int64N(max(int64(d), 1))) }

// observeReread returns the option by which the follower of a table logs that it has read the table again
// in a later epoch.
func (s *Supervisor) observeReread(table string) follower.Option {
	return follower.WithEpochObserver(func(before, after messenger.StoreVersion) {
		fields := []any{"table", table, "epoch", after.Epoch, "version", after.Number, "epochBefore", before.Epoch, "versionBefore", before.Number}
		if after.Epoch == s.epochs.current.Load() { // a peer may have sent the table before the store has shown its epoch
			took := time.Since(time.Unix(0, s.epochs.observedAt.Load())).Milliseconds()
			s.epochs.rereadMilliseconds.Store(took)
			fields = append(fields, "afterMilliseconds", took)
		}
		s.log.Info("table read again in a later epoch", fields...)
	})
}

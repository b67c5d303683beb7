package supervisor

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// latenessSettleTime is how long after a manifest was put into force peers may still tell that they have had it earlier.
const latenessSettleTime = 2 * time.Second

// lateness measures how much later than anywhere else each manifest is in force here. That is not known at once: an
// instance that was cut off hears only afterwards since when the store has had the manifest.
type lateness struct {
	mu sync.Mutex
	// arriving is the newest manifest that has arrived, which may not be in force yet.
	arriving manifestArrival
	// pending is in force, and not measured yet.
	pending manifestArrival
}

// manifestArrival is a manifest and the way by which it came. The zero value is none.
type manifestArrival struct {
	version messenger.StoreVersion
	from    origin
	// appliedMilliseconds is when it was put into force, by the store's clock, and due is when to measure it.
	appliedMilliseconds int64
	due                 time.Time
}

// arrives records by which way a manifest came first.
func (l *lateness) arrives(version messenger.StoreVersion, from origin) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if version.IsAfter(l.arriving.version) {
		l.arriving = manifestArrival{version: version, from: from}
	}
}

// apply records that a manifest was put into force at a time of the store's clock, and returns the one before if it has
// not been measured. The first one of an instance is not a change and is not measured.
func (l *lateness) apply(version messenger.StoreVersion, storeMilliseconds int64, isFirst bool) (before manifestArrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	before, l.pending = l.pending, manifestArrival{}
	if !isFirst && l.arriving.version == version {
		l.pending = l.arriving
		l.pending.appliedMilliseconds, l.pending.due = storeMilliseconds, time.Now().Add(latenessSettleTime)
	}
	return before
}

// takeDue returns the manifest in force once it can be measured.
func (l *lateness) takeDue(now time.Time) (due manifestArrival) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.pending.version.IsZero() && !now.Before(l.pending.due) {
		due, l.pending = l.pending, manifestArrival{}
	}
	return due
}

// noteApplied measures the manifest before the one that is being put into force. A copy of a peer may bring one again that
// is in force already.
func (s *Supervisor) noteApplied(version messenger.StoreVersion) {
	if applied := s.confirmer.Applied(); version.IsAfter(applied) {
		s.measureLateness(s.lateness.apply(version, s.latestStoreTime(), applied.IsZero()))
	}
}

// measureLateness adds a manifest to the metrics, unless nothing is known of when the store has had it.
func (s *Supervisor) measureLateness(a manifestArrival) {
	since := s.confirmer.Since(a.version)
	if since == 0 {
		return
	}
	late := time.Duration(max(a.appliedMilliseconds-since, 0)) * time.Millisecond
	s.measurer.ObserveLateness(string(a.from), late)
	if late >= applyTime(s.settings.Bounds)/2 {
		s.log.Info("manifest was late", "rowEpoch", a.version.Epoch, "rowVersion", a.version.Number, "from", a.from, "lateMilliseconds", late.Milliseconds())
	}
}

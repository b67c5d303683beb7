// Package watcher fills the fleet from the platform's instance list, from the
// reports of engines and from what peers report of targets.
package watcher

import (
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	maxConcurrentReports = 64 // engines asked for a report at once
	// unlistedGrace is how long a target stays in use that the list no longer names. It
	// is shorter than the time in which a leaving target must be out of use.
	unlistedGrace = 2 * time.Second
	// silenceTimeout is the time without a report after which an engine gets no more new
	// work.
	silenceTimeout = 2 * time.Second
	// idleReportInterval is the time between two reports of an engine that neither
	// works for this instance nor changes what it holds.
	idleReportInterval = 800 * time.Millisecond
	// changeWindow is how long after a change of its holdings an engine is asked for a
	// report at every tick, since one change is often followed by others.
	changeWindow = 2 * time.Second
)

// Watcher polls the instance list and the engines.
type Watcher struct {
	list   func() ([]messenger.ListedInstance, error)
	report func(address string, now time.Time) (keeper.Report, error)
	fleet  *keeper.Fleet
	now    func() time.Time
	slots  chan struct{}

	hasList atomic.Bool // set once the list has been read

	mu      sync.Mutex
	awaited map[string]bool // engines whose report is awaited
}

// New returns a watcher that fills fleet.
func New(list *lister.Client, engines *commander.Client, fleet *keeper.Fleet) *Watcher {
	return &Watcher{
		list: list.List, report: engines.Report, fleet: fleet, now: time.Now,
		slots: make(chan struct{}, maxConcurrentReports), awaited: map[string]bool{},
	}
}

// TickList reads the instance list and applies it to the fleet.
func (w *Watcher) TickList() error {
	list, err := w.list()
	if err != nil {
		return err
	}
	now := w.now()
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
		w.applyEntry(now, in)
	}
	w.removeUnlistedTargets(now, listed)
	w.unlistInstances(now, listed)
	w.hasList.Store(true)
	return nil
}

// HasHeardFromTargets reports whether the list has been read and each engine in it has sent
// a report.
func (w *Watcher) HasHeardFromTargets() bool {
	if !w.hasList.Load() {
		return false
	}
	for _, t := range w.fleet.View().Targets {
		if t.Kind == keeper.Engine && t.ReportedAt.IsZero() {
			return false
		}
	}
	return true
}

// applyEntry applies one entry of the instance list to the fleet.
func (w *Watcher) applyEntry(now time.Time, in messenger.ListedInstance) {
	leaving := in.State == lister.StateLeaving
	if in.Kind == lister.KindEntry {
		w.fleet.ChangeInstance(in.ID, func(known *keeper.Instance) {
			detector.MarkListed(now, known, in.Address, in.DataCentre, leaving)
		})
		return
	}
	w.fleet.ChangeTarget(in.ID, func(t *keeper.Target) {
		t.Address = in.Address
		t.DataCentre = in.DataCentre
		t.Kind = keeper.Kind(in.Kind)
		t.ChecksFencing = in.ChecksFencing
		t.RemoveAt = time.Time{}
		t.SetListedLeaving(leaving)
	})
}

// removeUnlistedTargets removes the targets that the list has omitted for longer than
// unlistedGrace.
func (w *Watcher) removeUnlistedTargets(now time.Time, listed map[string]bool) {
	for id, t := range w.fleet.View().Targets {
		switch {
		case listed[id]:
		case t.RemoveAt.IsZero():
			w.fleet.ChangeTarget(id, func(t *keeper.Target) { t.RemoveAt = now.Add(unlistedGrace) })
		case !now.Before(t.RemoveAt):
			w.fleet.RemoveTarget(id)
		}
	}
}

// unlistInstances marks the instances that the list omits as unlisted, and removes the
// rows that the detector no longer needs.
func (w *Watcher) unlistInstances(now time.Time, listed map[string]bool) {
	for id, in := range w.fleet.View().Instances {
		if listed[id] {
			continue
		}
		if detector.IsRemovable(now, in) {
			w.fleet.RemoveInstance(id)
			continue
		}
		w.fleet.ChangeInstance(id, detector.MarkUnlisted)
	}
}

// TickReports asks engines for their reports: engines that are in use or changing at
// every tick, others less often, and none that has asked for quiet or whose report is still
// awaited. It does not
// wait for the reports, so that a frozen engine does not delay the others.
func (w *Watcher) TickReports() {
	now := w.now()
	for id, t := range w.fleet.View().Targets {
		if t.Kind != keeper.Engine || t.IsQuiet(now) {
			continue
		}
		silent := !now.Before(t.ReportedAt.Add(silenceTimeout))
		if silent != t.Silent {
			w.fleet.ChangeTarget(id, func(t *keeper.Target) { t.Silent = silent })
		}
		if isDue(now, t) && w.beginReport(id) {
			go w.fetchReport(id, t)
		}
	}
}

// isDue reports whether an engine is to be asked for its report at now.
func isDue(now time.Time, t *keeper.Target) bool {
	isInUse := t.Counter.InFlight.Load() > 0 || t.Counter.SentAfterReport.Load() > 0
	return isInUse || now.Before(t.ChangingUntil) || !now.Before(t.ReportedAt.Add(idleReportInterval))
}

// isChanging reports whether the holdings of an engine differ between two reports, or
// are still being loaded or unloaded in the later one.
func isChanging(before, after keeper.Report) bool {
	if before.Incarnation != after.Incarnation || !slices.Equal(before.Holdings, after.Holdings) {
		return true
	}
	return slices.ContainsFunc(after.Holdings, func(h keeper.Holding) bool { return h.State != keeper.Loaded })
}

// beginReport reports whether no report of an engine is awaited, and if so marks it as
// awaited.
func (w *Watcher) beginReport(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.awaited[id] {
		return false
	}
	w.awaited[id] = true
	return true
}

// fetchReport asks an engine for its report and applies it to the fleet.
func (w *Watcher) fetchReport(id string, t *keeper.Target) {
	w.slots <- struct{}{}
	defer func() {
		<-w.slots
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.awaited, id)
	}()
	now := w.now()
	sent := t.Counter.SentAfterReport.Load()
	inFlight := t.Counter.InFlight.Load()
	report, err := w.report(t.Address, now)
	commander.NoteQuiet(w.fleet, t, w.now(), err)
	if err != nil || w.fleet.View().Targets[id] == nil {
		return
	}
	t.Counter.SentAfterReport.Add(-sent)
	t.Counter.InFlightAtReport.Store(inFlight)
	w.fleet.ChangeTarget(id, func(t *keeper.Target) {
		if isChanging(t.Report, report) {
			t.ChangingUntil = now.Add(changeWindow)
		}
		t.Report = report
		t.Silent = false
	})
}

// ApplyLeavingTargets applies the leaving targets that a peer reports. Unknown targets
// are ignored.
func (w *Watcher) ApplyLeavingTargets(targets []messenger.LeavingTarget) {
	for _, reported := range targets {
		mark := keeper.LeavingMark{Incarnation: reported.Incarnation, Address: reported.Address}
		w.fleet.MarkLeaving(reported.Target, mark)
	}
}

// Package watcher fills the fleet from the platform's instance list, from the
// reports of engines and from what peers say of targets.
package watcher

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/peer/detector"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	mostAtOnce = 64 // engines asked at once
	// unlistedTime is how long a target stays in use that the list no longer
	// names. It is shorter than the time in which a leaving target must be out of use.
	unlistedTime = 2 * time.Second
	// silenceTime is how long after its last report an engine gets no new work.
	silenceTime = 2 * time.Second
	// quietInterval is the time between two reports of an engine that neither
	// works for this instance nor changes what it holds.
	quietInterval = 800 * time.Millisecond
	// changingTime is how long after a change of its holdings an engine is asked
	// at every tick, since one change seldom comes alone.
	changingTime = 2 * time.Second
)

// Watcher follows the instance list and the engines.
type Watcher struct {
	list   func() ([]messenger.ListedInstance, error)
	report func(address string, now time.Time) (keeper.Report, error)
	fleet  *keeper.Fleet
	now    func() time.Time
	slots  chan struct{}

	mu    sync.Mutex
	asked map[string]bool // engines whose report is awaited
}

// New returns a watcher that fills fleet.
func New(list *lister.Client, engines *commander.Client, fleet *keeper.Fleet) *Watcher {
	return &Watcher{
		list: list.List, report: engines.Report, fleet: fleet, now: time.Now,
		slots: make(chan struct{}, mostAtOnce), asked: map[string]bool{},
	}
}

// TickList takes the instance list into the fleet.
func (w *Watcher) TickList() error {
	list, err := w.list()
	if err != nil {
		return err
	}
	now := w.now()
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
		w.take(now, in)
	}
	w.dropTargets(now, listed)
	w.dropInstances(now, listed)
	return nil
}

func (w *Watcher) take(now time.Time, in messenger.ListedInstance) {
	leaving := in.State == lister.StateLeaving
	if in.Kind == lister.KindEntry {
		w.fleet.ChangeInstance(in.ID, func(known *keeper.Instance) {
			detector.List(now, known, in.Address, in.DataCentre, leaving)
		})
		return
	}
	w.fleet.ChangeTarget(in.ID, func(t *keeper.Target) {
		t.Address = in.Address
		t.DataCentre = in.DataCentre
		t.Kind = keeper.Kind(in.Kind)
		t.ChecksFencing = in.ChecksFencing
		t.RemoveAt = time.Time{}
		t.TakeListedLeaving(leaving)
	})
}

// dropTargets removes the targets that the list has not named for a while.
func (w *Watcher) dropTargets(now time.Time, listed map[string]bool) {
	for id, t := range w.fleet.View().Targets {
		switch {
		case listed[id]:
		case t.RemoveAt.IsZero():
			w.fleet.ChangeTarget(id, func(t *keeper.Target) { t.RemoveAt = now.Add(unlistedTime) })
		case !now.Before(t.RemoveAt):
			w.fleet.RemoveTarget(id)
		}
	}
}

func (w *Watcher) dropInstances(now time.Time, listed map[string]bool) {
	for id, in := range w.fleet.View().Instances {
		if listed[id] {
			continue
		}
		if detector.IsForgotten(now, in) {
			w.fleet.RemoveInstance(id)
			continue
		}
		w.fleet.ChangeInstance(id, detector.Unlist)
	}
}

// TickReports asks engines for their reports: those that are in use or change at
// every tick, others less often, and none that still owes one. It does not wait,
// so that a frozen engine does not hold up the others.
func (w *Watcher) TickReports() {
	now := w.now()
	for id, t := range w.fleet.View().Targets {
		if t.Kind != keeper.Engine {
			continue
		}
		silent := !now.Before(t.ReportedAt.Add(silenceTime))
		if silent != t.Silent {
			w.fleet.ChangeTarget(id, func(t *keeper.Target) { t.Silent = silent })
		}
		if isDue(now, t) && w.begin(id) {
			go w.ask(id, t)
		}
	}
}

// isDue reports whether an engine is to be asked for its report at now.
func isDue(now time.Time, t *keeper.Target) bool {
	isInUse := t.Counter.InFlight.Load() > 0 || t.Counter.SentAfterReport.Load() > 0
	return isInUse || now.Before(t.ChangingUntil) || !now.Before(t.ReportedAt.Add(quietInterval))
}

// isChanging reports whether the holdings of an engine differ between two
// reports, or are about to.
func isChanging(before, after keeper.Report) bool {
	if before.Incarnation != after.Incarnation || !slices.Equal(before.Holdings, after.Holdings) {
		return true
	}
	return slices.ContainsFunc(after.Holdings, func(h keeper.Holding) bool { return h.State != keeper.Loaded })
}

func (w *Watcher) begin(id string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.asked[id] {
		return false
	}
	w.asked[id] = true
	return true
}

func (w *Watcher) ask(id string, t *keeper.Target) {
	w.slots <- struct{}{}
	defer func() {
		<-w.slots
		w.mu.Lock()
		defer w.mu.Unlock()
		delete(w.asked, id)
	}()
	now := w.now()
	sent := t.Counter.SentAfterReport.Load()
	inFlight := t.Counter.InFlight.Load()
	report, err := w.report(t.Address, now)
	if err != nil || w.fleet.View().Targets[id] == nil {
		return
	}
	t.Counter.SentAfterReport.Add(-sent)
	t.Counter.InFlightAtReport.Store(inFlight)
	w.fleet.ChangeTarget(id, func(t *keeper.Target) {
		if isChanging(t.Report, report) {
			t.ChangingUntil = now.Add(changingTime)
		}
		t.Report = report
		t.Silent = false
	})
}

// Hear takes what a peer says of leaving targets.
func (w *Watcher) Hear(targets []messenger.LeavingTarget) {
	for _, said := range targets {
		mark := keeper.LeavingMark{Incarnation: said.Incarnation, Address: said.Address}
		if w.fleet.View().Targets[said.Target] != nil {
			w.fleet.ChangeTarget(said.Target, func(t *keeper.Target) { t.MarkLeaving(mark) })
		}
	}
}

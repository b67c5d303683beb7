// Package watcher fills the fleet from the platform's instance list and from
// the reports of engines.
package watcher

import (
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const mostAtOnce = 32 // engines asked at once

// Watcher follows the instance list and the engines.
type Watcher struct {
	list    *lister.Client
	engines *commander.Client
	fleet   *keeper.Fleet
	now     func() time.Time
}

// New returns a watcher that fills fleet.
func New(list *lister.Client, engines *commander.Client, fleet *keeper.Fleet) *Watcher {
	return &Watcher{list: list, engines: engines, fleet: fleet, now: time.Now}
}

// TickList takes the instance list into the fleet.
func (w *Watcher) TickList() error {
	list, err := w.list.List()
	if err != nil {
		return err
	}
	listed := map[string]bool{}
	for _, in := range list {
		listed[in.ID] = true
		w.take(in)
	}
	view := w.fleet.View()
	for id := range view.Targets {
		if !listed[id] {
			w.fleet.RemoveTarget(id)
		}
	}
	for id := range view.Instances {
		if !listed[id] {
			w.fleet.RemoveInstance(id)
		}
	}
	return nil
}

func (w *Watcher) take(in messenger.ListedInstance) {
	if in.Kind == lister.KindEntry {
		w.fleet.ChangeInstance(in.ID, func(known *keeper.Instance) {
			known.Address = in.Address
			known.DataCentre = in.DataCentre
			known.Leaving = known.Leaving || in.State == lister.StateLeaving
		})
		return
	}
	w.fleet.ChangeTarget(in.ID, func(t *keeper.Target) {
		t.Address = in.Address
		t.DataCentre = in.DataCentre
		t.Kind = keeper.Kind(in.Kind)
		t.ChecksFencing = in.ChecksFencing
		// A lagging list may still call a target live that said that it leaves.
		t.Leaving = t.Leaving || in.State == lister.StateLeaving
	})
}

// TickReports asks every engine for its report.
func (w *Watcher) TickReports() {
	var group errgroup.Group
	group.SetLimit(mostAtOnce)
	for id, t := range w.fleet.View().Targets {
		if t.Kind != keeper.Engine {
			continue
		}
		group.Go(func() error {
			w.report(id, t)
			return nil
		})
	}
	_ = group.Wait()
}

func (w *Watcher) report(id string, t *keeper.Target) {
	now := w.now()
	sent := t.Counter.SentAfterReport.Load()
	report, err := w.engines.Report(t.Address, now)
	if err != nil {
		return
	}
	t.Counter.SentAfterReport.Add(-sent)
	w.fleet.ChangeTarget(id, func(t *keeper.Target) {
		t.Report = report
		t.Leaving = t.Leaving || report.SaysLeaving
	})
}

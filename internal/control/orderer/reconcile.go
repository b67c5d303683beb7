package orderer

import (
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Evidence is what is known about a target and the senders of its open orders.
type Evidence struct {
	Now    time.Time
	Report keeper.Report
	// NeverApplied reports whether an order was not sent or was refused, so that it
	// never takes effect.
	NeverApplied func(orderID string) bool
	// EndedAt returns when the call that sent an order is known to have ended, or
	// zero.
	EndedAt func(Send) time.Time
	// SettlingTime is how long the memory of an unloaded name stays counted on an
	// engine without fencing.
	SettlingTime time.Duration

	restarted bool
}

// reconcile updates the ledger with the evidence and reports whether it changed.
// The report must have been requested after the ledger was read.
func (l *Ledger) reconcile(ev Evidence) bool {
	before := l.clone()
	ev.restarted = l.Incarnation != ev.Report.Incarnation
	if !ev.restarted && l.checksFencing && ev.Report.HighestFence < l.Highest {
		return false
	}
	l.Highest = ev.Report.HighestFence
	l.Incarnation = ev.Report.Incarnation
	l.reconcileSends(ev)
	l.reconcileEntries(ev)
	l.adoptHoldings(ev)
	return !slices.Equal(before.Entries, l.Entries) || !slices.Equal(before.Sends, l.Sends) ||
		before.Incarnation != l.Incarnation || before.Highest != l.Highest
}

func (l *Ledger) reconcileSends(ev Evidence) {
	kept := make([]Send, 0, len(l.Sends))
	for _, s := range l.Sends {
		if next, keep := l.reconcileSend(s, ev); keep {
			kept = append(kept, next)
		}
	}
	l.Sends = kept
}

// reconcileSend returns a send updated by a report, and whether its outcome is
// still unknown.
func (l *Ledger) reconcileSend(s Send, ev Evidence) (Send, bool) {
	r := ev.Report
	if ev.NeverApplied(s.OrderID) || slices.Contains(r.AppliedOrders, s.OrderID) {
		return s, false
	}
	if s.Ended != "" && s.Ended != r.Incarnation {
		return s, false
	}
	if ended := ev.EndedAt(s); s.Ended == "" && !ended.IsZero() && ended.Before(r.ReportedAt) {
		s.Ended = r.Incarnation
	}
	if l.checksFencing && r.HighestFence > s.Fence {
		s.RefusedBy = r.Incarnation
	}
	refused := l.checksFencing && s.RefusedBy == r.Incarnation
	return s, !refused || s.Ended == ""
}

// reconcileEntries updates the entries with the states of the reported holdings.
func (l *Ledger) reconcileEntries(ev Evidence) {
	kept := make([]Entry, 0, len(l.Entries))
	for _, e := range l.Entries {
		next, keep := l.reconcileEntry(e, ev)
		if keep {
			kept = append(kept, next)
		}
	}
	l.Entries = kept
}

func (l *Ledger) reconcileEntry(e Entry, ev Evidence) (Entry, bool) {
	h, reported := holdingOf(ev.Report, e.Name)
	if !reported {
		return l.reconcileAbsent(e, ev)
	}
	e.Bytes = max(e.Bytes, h.Bytes)
	switch e.State {
	case Loading:
		if h.State == keeper.Loaded {
			e.State = Held
		}
	case Settling:
		// A late load took effect after the unload.
		e.State = stateOf(h)
	case Unloading:
		// The unload was not sent, or a late load took effect after it.
		if l.openSends(planner.Unload, e.Name) == 0 && h.State != keeper.Unloading {
			e.State = stateOf(h)
		}
	case Held, Draining:
	}
	return e, true
}

// reconcileAbsent returns an entry whose name the engine does not report, and
// whether to keep the entry.
func (l *Ledger) reconcileAbsent(e Entry, ev Evidence) (Entry, bool) {
	open := l.openSends(planner.Load, e.Name) > 0
	switch {
	case e.State == Loading:
		return e, open
	case e.State == Settling:
		return e, ev.Now.Before(e.Deadline)
	case l.checksFencing || ev.restarted || ev.SettlingTime == 0:
		return e, false
	}
	e.State = Settling
	e.Deadline = ev.Now.Add(ev.SettlingTime)
	return e, true
}

func stateOf(h keeper.Holding) EntryState {
	if h.State == keeper.Loading {
		return Loading
	}
	return Held
}

// adoptHoldings adds an entry for each reported holding that has none.
func (l *Ledger) adoptHoldings(ev Evidence) {
	for _, h := range ev.Report.Holdings {
		if l.findEntry(h.Name) == nil {
			l.Entries = append(l.Entries, Entry{Name: h.Name, Bytes: h.Bytes, State: stateOf(h), Deadline: ev.Now})
		}
	}
}

func holdingOf(report keeper.Report, name keeper.Name) (keeper.Holding, bool) {
	for _, h := range report.Holdings {
		if h.Name == name {
			return h, true
		}
	}
	return keeper.Holding{}, false
}

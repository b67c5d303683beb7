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
	// Dead tells that an order was not sent, or was refused, and never takes effect.
	Dead func(orderID string) bool
	// EndedAt is when the call that sent an order is known to have ended, or zero.
	EndedAt func(Send) time.Time
	// StrayHold is how long the memory of an unloaded name stays counted on an
	// engine without fencing.
	StrayHold time.Duration

	restarted bool
}

// reconcile brings the ledger up to what is shown and tells whether anything
// changed. It must be given a report that was asked for after the ledger was read.
func (l *Ledger) reconcile(ev Evidence) bool {
	before := l.clone()
	ev.restarted = l.Incarnation != ev.Report.Incarnation
	if !ev.restarted && l.checks && ev.Report.HighestFence < l.Highest {
		return false
	}
	l.Highest = ev.Report.HighestFence
	l.Incarnation = ev.Report.Incarnation
	l.settleSends(ev)
	l.settleEntries(ev)
	l.adopt(ev)
	return !slices.Equal(before.Entries, l.Entries) || !slices.Equal(before.Sends, l.Sends) ||
		before.Incarnation != l.Incarnation || before.Highest != l.Highest
}

func (l *Ledger) settleSends(ev Evidence) {
	kept := make([]Send, 0, len(l.Sends))
	for _, s := range l.Sends {
		if next, keep := l.settleSend(s, ev); keep {
			kept = append(kept, next)
		}
	}
	l.Sends = kept
}

// settleSend returns a send as it is after a report and whether its fate is
// still open.
func (l *Ledger) settleSend(s Send, ev Evidence) (Send, bool) {
	r := ev.Report
	if ev.Dead(s.OrderID) || slices.Contains(r.AppliedOrders, s.OrderID) {
		return s, false
	}
	if s.Ended != "" && s.Ended != r.Incarnation {
		return s, false
	}
	if ended := ev.EndedAt(s); s.Ended == "" && !ended.IsZero() && ended.Before(r.ReportedAt) {
		s.Ended = r.Incarnation
	}
	if l.checks && r.HighestFence > s.Fence {
		s.RefusedBy = r.Incarnation
	}
	refused := l.checks && s.RefusedBy == r.Incarnation
	return s, !refused || s.Ended == ""
}

// settleEntries takes over the states of the holdings that the report shows.
func (l *Ledger) settleEntries(ev Evidence) {
	kept := make([]Entry, 0, len(l.Entries))
	for _, e := range l.Entries {
		next, keep := l.settleEntry(e, ev)
		if keep {
			kept = append(kept, next)
		}
	}
	l.Entries = kept
}

func (l *Ledger) settleEntry(e Entry, ev Evidence) (Entry, bool) {
	h, shown := holdingOf(ev.Report, e.Name)
	if !shown {
		return l.settleAbsent(e, ev)
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

// settleAbsent returns an entry whose name is not in the engine's memory, and
// whether it stays.
func (l *Ledger) settleAbsent(e Entry, ev Evidence) (Entry, bool) {
	open := l.openSends(planner.Load, e.Name) > 0
	switch {
	case e.State == Loading:
		return e, open
	case e.State == Settling:
		return e, ev.Now.Before(e.Deadline)
	case l.checks || ev.restarted || ev.StrayHold == 0:
		return e, false
	}
	e.State = Settling
	e.Deadline = ev.Now.Add(ev.StrayHold)
	return e, true
}

func stateOf(h keeper.Holding) EntryState {
	if h.State == keeper.Loading {
		return Loading
	}
	return Held
}

// adopt enters holdings that are shown and that no entry stands for.
func (l *Ledger) adopt(ev Evidence) {
	for _, h := range ev.Report.Holdings {
		if l.find(h.Name) == nil {
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

package orderer

import (
	"slices"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// EntryState is the state of a ledger entry.
type EntryState string

// States of ledger entries.
const (
	// LoadOpen is an order to load that may take effect at any time.
	LoadOpen EntryState = "LoadOpen"
	// Held is a name that the engine showed as loaded.
	Held EntryState = "Held"
	// UnloadOpen is an order to unload that may take effect at any time.
	UnloadOpen EntryState = "UnloadOpen"
)

// Entry is one name that counts against the memory of a target.
type Entry struct {
	Name    keeper.Name
	Bytes   int64
	State   EntryState
	OrderID string
	Fence   int64
	// Incarnation is that of the target when the order was recorded.
	Incarnation string
}

// Ledger is the record of all that is or may be in the memory of one target. It
// is written before an order is sent, so that a successor counts every order
// that may still take effect. An entry leaves only by what the engine shows.
type Ledger struct {
	Target  string
	Entries []Entry

	version int64
	orders  int64
}

func (l *Ledger) find(name keeper.Name) *Entry {
	i := slices.IndexFunc(l.Entries, func(e Entry) bool { return e.Name == name })
	if i < 0 {
		return nil
	}
	return &l.Entries[i]
}

func (l *Ledger) clone() *Ledger {
	c := *l
	c.Entries = slices.Clone(l.Entries)
	return &c
}

// reconcile brings the ledger up to what an engine reports and tells whether
// anything changed. A report is believed about an order only if it lists the
// order as applied, since reports lag.
func (l *Ledger) reconcile(report keeper.Report) bool {
	changed := false
	kept := make([]Entry, 0, len(l.Entries))
	for _, e := range l.Entries {
		next, keep := settle(e, report)
		changed = changed || !keep || next != e
		if keep {
			kept = append(kept, next)
		}
	}
	l.Entries = kept
	for _, h := range report.Holdings {
		if l.find(h.Name) == nil {
			l.Entries = append(l.Entries, Entry{Name: h.Name, Bytes: h.Bytes, State: Held, Incarnation: report.Incarnation})
			changed = true
		}
	}
	return changed
}

// settle returns the entry as it is after a report and whether it stays.
func settle(e Entry, report keeper.Report) (Entry, bool) {
	shown := holdingOf(report, e.Name)
	applied := slices.Contains(report.AppliedOrders, e.OrderID)
	restarted := e.Incarnation != report.Incarnation
	switch e.State {
	case LoadOpen:
		if shown == keeper.Loaded {
			e.State = Held
			e.Incarnation = report.Incarnation
		}
	case UnloadOpen:
		if shown == "" && (applied || restarted) {
			return e, false
		}
	case Held:
		if shown == "" && restarted {
			return e, false
		}
		e.Incarnation = report.Incarnation
	}
	return e, true
}

func holdingOf(report keeper.Report, name keeper.Name) keeper.State {
	for _, h := range report.Holdings {
		if h.Name == name {
			return h.State
		}
	}
	return ""
}

// slots returns the entries as the planner counts them.
func (l *Ledger) slots() []planner.Slot {
	slots := make([]planner.Slot, 0, len(l.Entries))
	for _, e := range l.Entries {
		slots = append(slots, planner.Slot{
			Name: e.Name, Bytes: e.Bytes, Stable: e.State == Held, Arriving: e.State == LoadOpen,
		})
	}
	return slots
}

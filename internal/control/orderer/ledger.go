package orderer

import (
	"fmt"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// EntryState is the state of a ledger entry.
type EntryState string

// States of ledger entries.
const (
	// Loading is a name that was ordered and is not shown as loaded yet.
	Loading EntryState = "Loading"
	// Held is a name that the engine showed as loaded.
	Held EntryState = "Held"
	// Draining is a held name that takes no new requests and is to be unloaded
	// once its running requests have ended.
	Draining EntryState = "Draining"
	// Unloading is a name whose unload was ordered.
	Unloading EntryState = "Unloading"
	// Settling is a name that was unloaded. Its memory stays counted until the
	// deadline, since an engine without fencing obeys a duplicate of the load.
	Settling EntryState = "Settling"
)

// Entry is one name that counts against the memory of a target.
type Entry struct {
	Name  keeper.Name
	Bytes int64
	State EntryState
	// NotBefore is when requests that were under way to a draining name have
	// reached the engine and show in its reports.
	NotBefore time.Time
	// Deadline is when to act again if the engine shows no change: to repeat the
	// order, to end draining, or to count the memory as free.
	Deadline time.Time
}

// Send is one order that was or may be sent once and whose fate is not shown. A
// repeated order is a further Send with an ID and a fence of its own.
type Send struct {
	OrderID string
	Kind    planner.Kind
	Name    keeper.Name
	Bytes   int64
	Fence   int64
	// Instance and Process name the sender: an instance and its incarnation.
	Instance string
	Process  string
	// Ended is the incarnation that the target showed after the sender's call
	// had ended, or empty while the sender may not have sent yet. The order can
	// reach no later incarnation, since its connection has died with that one.
	Ended string
	// RefusedBy is the incarnation of the target that showed a higher fence and
	// hence refuses the order from then on.
	RefusedBy string
	// Deadline is when to raise the fence of the target over a send that is
	// still open.
	Deadline time.Time
}

// Ledger is the record of all that is or may come into the memory of one target.
//
// Representation: Entries hold what the system wants of each name and what the
// engine showed of it; Sends hold each order whose fate is not shown. They are
// kept apart since one name may have several open orders, of several holders,
// and since an order may outlive the entry that it was for.
//
// Invariants:
//
//  1. An order is sent only after a version of the ledger that contains its Send
//     was stored under the sender's fence of the control lease. An order ID is
//     sent once.
//  2. A Send leaves only by what is shown: the report lists its ID as applied;
//     its sender knows that it was not sent or was refused; or the order can
//     reach no incarnation that would obey it (Ended, RefusedBy). Neither the
//     loss of the lease nor the passage of time shows anything: a holder may be
//     paused between record and send, and send after its successor took over.
//  3. An Entry leaves only if a report does not show its name while no open load
//     of the name can be obeyed.
//  4. presentBytes is at most the memory, and so is restartBytes. The former
//     counts what the present incarnation may hold; the latter what any later one
//     may hold, for a restart forgets the highest fence, so that it may obey
//     orders that the present incarnation refuses.
//
// Fences rise with each order and not only with each holder. So a later order
// that an engine with fencing shows makes it refuse all earlier ones, also those
// of the same holder and their duplicates.
//
// Reports are taken as in order: the content of a report that was asked for later
// is not older, but for lag. Highest discards those of which it can be told that
// they are. A holder believes only reports that it asked for after it had read
// the ledgers, as others may be older than what its predecessor recorded.
//
// Rejected: a check of the lease before each send, since the pause may fall
// between check and send; a time after which an open order counts as lost, since
// the pause has no bound; forgetting open orders when the target restarts, since
// a paused holder connects to the new incarnation; one state for each name, since
// a repeated load and an unload of one name can be open together.
//
// Cost: on engines without fencing an order that was lost keeps its memory
// reserved until both the sender's process is known to have ended its call and
// the target has restarted. The reserved memory serves a load of the same name.
type Ledger struct {
	Target string
	// Incarnation and Highest are those of the last report.
	Incarnation string
	Highest     int64
	// Fence is that of the last order.
	Fence   int64
	Entries []Entry
	Sends   []Send
	// RaiseDeadline is when a further order may be sent just to raise the fence.
	RaiseDeadline time.Time

	checks  bool // the engine refuses old fences
	version int64
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
	c.Sends = slices.Clone(l.Sends)
	return &c
}

// isOpen reports whether the present incarnation of the target may obey a send.
func (l *Ledger) isOpen(s Send) bool {
	return !l.checks || s.RefusedBy == "" || s.RefusedBy != l.Incarnation
}

// openSends counts the sends of a kind for a name that may be obeyed.
func (l *Ledger) openSends(kind planner.Kind, name keeper.Name) int {
	n := 0
	for _, s := range l.Sends {
		if s.Kind == kind && s.Name == name && l.isOpen(s) {
			n++
		}
	}
	return n
}

// presentBytes bounds what the present incarnation of the target holds now or
// after open orders.
func (l *Ledger) presentBytes() int64 {
	bytes := map[keeper.Name]int64{}
	for _, e := range l.Entries {
		bytes[e.Name] = e.Bytes
	}
	for _, s := range l.Sends {
		if s.Kind == planner.Load && l.isOpen(s) {
			bytes[s.Name] = max(bytes[s.Name], s.Bytes)
		}
	}
	return sum(bytes)
}

// restartBytes bounds what a later incarnation of the target holds by orders
// that are recorded now.
func (l *Ledger) restartBytes() int64 {
	bytes := map[keeper.Name]int64{}
	for _, s := range l.Sends {
		if s.Kind == planner.Load {
			bytes[s.Name] = max(bytes[s.Name], s.Bytes)
		}
	}
	return sum(bytes)
}

func sum(bytes map[keeper.Name]int64) int64 {
	var total int64
	for _, n := range bytes {
		total += n
	}
	return total
}

// reservedBytes is the part of presentBytes that no entry stands for.
func (l *Ledger) reservedBytes() int64 {
	total := l.presentBytes()
	for _, e := range l.Entries {
		total -= e.Bytes
	}
	return max(total, 0)
}

// slots returns the entries as the planner counts them.
func (l *Ledger) slots() []planner.Slot {
	slots := make([]planner.Slot, 0, len(l.Entries))
	for _, e := range l.Entries {
		slots = append(slots, planner.Slot{
			Name: e.Name, Bytes: e.Bytes,
			Stable:   l.isReliable(e.Name),
			Arriving: e.State == Loading,
		})
	}
	return slots
}

// isReliable reports whether a name is held and no open unload may take it away.
func (l *Ledger) isReliable(name keeper.Name) bool {
	e := l.find(name)
	return e != nil && e.State == Held && l.openSends(planner.Unload, name) == 0
}

// draining returns the names that take no new requests.
func (l *Ledger) draining() []keeper.Name {
	var names []keeper.Name
	for _, e := range l.Entries {
		if e.State == Draining || e.State == Unloading {
			names = append(names, e.Name)
		}
	}
	return names
}

// sender is the holder of the control lease that records orders.
type sender struct {
	instance string
	process  string
	fence    int64 // of the lease
	tick     int64 // counts the ticks of the process
}

// fencesPerHolder is how many orders to one target the fences of one holder
// have room for.
const fencesPerHolder = 1 << 20

// nextFence returns a fence above those of all earlier orders and holders.
func (l *Ledger) nextFence(by sender) int64 {
	l.Fence = max(l.Fence+1, by.fence*fencesPerHolder)
	return l.Fence
}

// leaseFence is the fence of the lease that the order was recorded under.
func (s Send) leaseFence() int64 { return s.Fence / fencesPerHolder }

// orderID returns an ID that differs from those of orders that were decided in
// other ticks under the same fence, since their ledger was not stored.
func (by sender) orderID(target string, fence int64) string {
	return fmt.Sprintf("%s.%d.%d", target, fence, by.tick)
}

// newSend enters an order and returns it.
func (l *Ledger) newSend(kind planner.Kind, e Entry, by sender, deadline time.Time) Send {
	fence := l.nextFence(by)
	s := Send{
		OrderID: by.orderID(l.Target, fence), Kind: kind, Name: e.Name, Bytes: e.Bytes, Fence: fence,
		Instance: by.instance, Process: by.process, Deadline: deadline,
	}
	l.Sends = append(l.Sends, s)
	return s
}

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
	// Loading is a name whose load was ordered and that is not reported as loaded yet.
	Loading EntryState = "Loading"
	// Held is a name that the engine reported as loaded.
	Held EntryState = "Held"
	// Draining is a loaded name that accepts no new requests and is unloaded once
	// its running requests have ended.
	Draining EntryState = "Draining"
	// Unloading is a name whose unload was ordered.
	Unloading EntryState = "Unloading"
	// Settling is a name that was unloaded. Its memory stays counted until the
	// deadline, since an engine without fencing executes a late duplicate of the
	// load.
	Settling EntryState = "Settling"
)

// Entry is one name that counts against the memory of a target.
type Entry struct {
	Name  keeper.Name
	Bytes int64
	State EntryState
	// NotBefore is the time from which the engine's reports count the requests that
	// were in flight to a draining name when draining began.
	NotBefore time.Time
	// Deadline is when to act if the engine reports no change until then: to repeat
	// the order, to end draining, or to count the memory as free.
	Deadline time.Time
}

// Send is one order that was or may be sent, once, and whose outcome is not known.
// A repeated order is another Send with its own ID and fencing token.
type Send struct {
	OrderID string
	Kind    planner.Kind
	Name    keeper.Name
	Bytes   int64
	Fence   int64
	// Instance and Process identify the sender: an instance and its incarnation.
	Instance string
	Process  string
	// Ended is the incarnation that the target reported after the sender's call
	// had ended, or empty while the sender may still send. The order can't reach a
	// later incarnation, since its connection ends with that incarnation.
	Ended string
	// RefusedBy is the incarnation of the target that reported a higher fencing
	// token and therefore refuses the order from then on.
	RefusedBy string
	// Deadline is when to raise the target's fencing token above that of the order
	// if the order is still open.
	Deadline time.Time
}

// Ledger records everything that is or may be loaded into the memory of one target.
//
// Representation: Entries hold the wanted and the reported state of each name;
// Sends hold each order whose outcome is not known. They are separate since one
// name may have several open orders, of several holders of the lease, and since an
// order may outlive its entry. An order is open while the target may still
// execute it.
//
// Invariants:
//
//  1. An order is sent only after a version of the ledger that contains its Send
//     was stored under the sender's fencing token of the control lease. An order
//     ID is sent once.
//  2. A Send is removed only on evidence: the report lists its ID as applied; its
//     sender knows that it was not sent or was refused; or the order can't reach
//     any incarnation that would execute it (Ended, RefusedBy). Neither the loss
//     of the lease nor the passage of time is evidence: a holder may be paused
//     between recording and sending, and send after its successor has acquired
//     the lease.
//  3. An Entry is removed only if a report does not list its name and no open
//     load of the name can be executed.
//  4. Neither currentBytes nor restartBytes exceeds the memory. The former bounds
//     what the current incarnation may hold; the latter what any later one may
//     hold. An engine forgets its highest fencing token when it restarts, so that
//     it may execute orders that the current incarnation refuses.
//
// Fencing tokens rise with each order and not only with each holder. So a later
// order that an engine with fencing reports makes it refuse all earlier ones,
// including those of the same holder and their duplicates.
//
// Reports are assumed to be in order, except for lag: the content of a report that
// was requested later is not older. Highest is used to discard reports that are
// detectably older. A holder uses only reports that it requested after it had read
// the ledgers, as others may be older than what its predecessor recorded.
//
// Rejected alternatives: to check the lease before each send, since the pause may
// fall between check and send; to regard an open order as lost after some time,
// since the pause has no bound; to forget open orders when the target restarts,
// since a paused holder connects to the new incarnation; to keep one state for
// each name, since a repeated load and an unload of one name can be open together.
//
// Cost: on engines without fencing a lost order keeps its memory reserved until
// the sender's call is known to have ended and the target has restarted. A load of
// the same name can use the reserved memory.
type Ledger struct {
	Target string
	// Incarnation and Highest are the incarnation and the highest fencing token in
	// the last report.
	Incarnation string
	Highest     int64
	// Fence is the fencing token of the last order.
	Fence   int64
	Entries []Entry
	Sends   []Send
	// RaiseDeadline is when another order may be sent only to raise the target's
	// fencing token.
	RaiseDeadline time.Time

	checksFencing bool // the engine refuses orders with old fencing tokens
	version       int64
}

func (l *Ledger) findEntry(name keeper.Name) *Entry {
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

// isOpen reports whether the current incarnation of the target may execute a send.
func (l *Ledger) isOpen(s Send) bool {
	return !l.checksFencing || s.RefusedBy == "" || s.RefusedBy != l.Incarnation
}

// openSends counts the open sends of a kind for a name.
func (l *Ledger) openSends(kind planner.Kind, name keeper.Name) int {
	n := 0
	for _, s := range l.Sends {
		if s.Kind == kind && s.Name == name && l.isOpen(s) {
			n++
		}
	}
	return n
}

// currentBytes is an upper bound of the memory that the current incarnation of the
// target uses now or after executing open orders.
func (l *Ledger) currentBytes() int64 {
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

// restartBytes is an upper bound of the memory that a later incarnation of the
// target uses after executing orders that are recorded now.
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

// reservedBytes is the part of currentBytes that belongs to no entry.
func (l *Ledger) reservedBytes() int64 {
	total := l.currentBytes()
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

// isReliable reports whether a name is loaded and no open unload may remove it.
func (l *Ledger) isReliable(name keeper.Name) bool {
	e := l.findEntry(name)
	return e != nil && e.State == Held && l.openSends(planner.Unload, name) == 0
}

// draining returns the names that accept no new requests.
func (l *Ledger) draining() []keeper.Name {
	var names []keeper.Name
	for _, e := range l.Entries {
		if e.State == Draining || e.State == Unloading {
			names = append(names, e.Name)
		}
	}
	return names
}

// sender identifies the holder of the control lease that records orders.
type sender struct {
	instance string
	process  string
	fence    int64 // fencing token of the lease
	tick     int64 // number of the tick in the process
}

// fencesPerHolder is the number of fencing tokens that one holder can use for
// orders to one target. An order's token divided by it is the token of the lease.
const fencesPerHolder = 1 << 20

// nextFence returns a fencing token above those of all earlier orders and holders.
func (l *Ledger) nextFence(by sender) int64 {
	l.Fence = max(l.Fence+1, by.fence*fencesPerHolder)
	return l.Fence
}

// leaseFence returns the fencing token of the lease under which the order was
// recorded.
func (s Send) leaseFence() int64 { return s.Fence / fencesPerHolder }

// orderID returns the ID of an order. It includes the tick, since a ledger that
// could not be stored leads to another order with the same fencing token in a later
// tick.
func (by sender) orderID(target string, fence int64) string {
	return fmt.Sprintf("%s.%d.%d", target, fence, by.tick)
}

// addSend adds an order to the ledger and returns it.
func (l *Ledger) addSend(kind planner.Kind, e Entry, by sender, deadline time.Time) Send {
	fence := l.nextFence(by)
	s := Send{
		OrderID: by.orderID(l.Target, fence), Kind: kind, Name: e.Name, Bytes: e.Bytes, Fence: fence,
		Instance: by.instance, Process: by.process, Deadline: deadline,
	}
	l.Sends = append(l.Sends, s)
	return s
}

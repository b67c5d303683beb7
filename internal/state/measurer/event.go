package measurer

import (
	"strconv"

	"github.com/rcrowley/go-metrics"
)

// Event is something that an instance counts as a whole, for no team and no model.
type Event string

// Events.
const (
	// CutTargetEnded, CutTargetPresent, CutTargetUnknown and CutTargetLeaving count requests whose
	// connection to a target was cut, by whether the target has ended. One that was leaving or
	// gone was expected to end.
	CutTargetEnded   Event = "Cut.TargetEnded"
	CutTargetPresent Event = "Cut.TargetPresent"
	CutTargetUnknown Event = "Cut.TargetUnknown"
	CutTargetLeaving Event = "Cut.TargetLeaving"
	// CutUnanswered counts those whose target has ended before any of the answer had arrived.
	CutUnanswered Event = "Cut.Unanswered"
	// QuarantineSuspects and QuarantineConvictions count the verdicts that this instance has
	// reached on requests under which targets ended, QuarantineTakenBack the convictions that
	// were refuted, and QuarantineRefused the requests that it has refused for one.
	QuarantineSuspects    Event = "Quarantine.Suspects"
	QuarantineConvictions Event = "Quarantine.Convictions"
	QuarantineTakenBack   Event = "Quarantine.TakenBack"
	QuarantineRefused     Event = "Quarantine.Refused"
	// QuarantineRefusedForPart counts those that were refused for a part of their prompts.
	QuarantineRefusedForPart Event = "Quarantine.RefusedForPart"
	// SlotGranted, SlotRefusedBacklog, SlotRefusedLate and SlotRefusedNoTarget count the decisions
	// of this instance as an allocator; SlotUnanswered counts the requests of its own callers that
	// no allocator answered.
	SlotGranted         Event = "Slot.Granted"
	SlotRefusedBacklog  Event = "Slot.RefusedBacklog"
	SlotRefusedLate     Event = "Slot.RefusedLate"
	SlotRefusedNoTarget Event = "Slot.RefusedNoTarget"
	SlotUnanswered      Event = "Slot.Unanswered"
	// AccountUnknownKey counts requests that were refused since no account holds their key, and
	// AccountUnconfirmed those that were refused since keys could not be checked.
	AccountUnknownKey  Event = "Account.UnknownKey"
	AccountUnconfirmed Event = "Account.Unconfirmed"
	// ManifestDirectProofs counts the calls by which this instance had the store itself confirm an
	// old proof that the manifest is current, ManifestFetches the manifests that it read from a peer with a
	// newer one, and ManifestUnknownRoute the requests on routes that a newer one may have.
	ManifestDirectProofs Event = "Manifest.DirectProofs"
	ManifestFetches      Event = "Manifest.Fetches"
	ManifestUnknownRoute Event = "Manifest.UnknownRoute"
	// StoreEpochChanges counts how often the store came back from a copy.
	StoreEpochChanges Event = "Store.EpochChanges"
	// StoreRowsRewritten counts the rows that this instance has written again after that.
	StoreRowsRewritten Event = "Store.RowsRewritten"
)

// HedgeEvent returns the event of the second run of a request; there are few of them.
func HedgeEvent(name string) Event { return Event("Hedge." + name) }

// ManifestArrival returns the event of a manifest that was new to this instance when it arrived from
// an origin. There are few origins.
func ManifestArrival(origin string) Event { return Event("Manifest." + origin + ".Arrived") }

// ClientEvent returns the event that a client was refused, or its connection closed, for a
// cause. There are few causes.
func ClientEvent(cause string) Event { return Event("Client." + cause) }

var events = []Event{
	CutTargetEnded, CutTargetPresent, CutTargetUnknown, CutTargetLeaving, CutUnanswered,
	QuarantineSuspects, QuarantineConvictions, QuarantineTakenBack, QuarantineRefused, QuarantineRefusedForPart,
	SlotGranted, SlotRefusedBacklog, SlotRefusedLate, SlotRefusedNoTarget, SlotUnanswered,
	AccountUnknownKey, AccountUnconfirmed, ManifestDirectProofs, ManifestFetches, ManifestUnknownRoute, StoreEpochChanges, StoreRowsRewritten,
	HedgeEvent("Sent"), HedgeEvent("Won"), HedgeEvent("NoRoom"), HedgeEvent("NoBudget"),
}

// registerEvents registers the counters of all events, so that they are shown before the first.
func (m *Measurer) registerEvents() {
	for _, event := range events {
		metrics.GetOrRegisterCounter(string(event), m.registry)
	}
}

// CountEvent counts an event n times.
func (m *Measurer) CountEvent(event Event, n int) {
	metrics.GetOrRegisterCounter(string(event), m.registry).Inc(int64(n))
}

// SetSlots sets how many slots of a service are in use that this instance has granted, and how
// many requests wait for one, by rank.
func (m *Measurer) SetSlots(service string, inUse int, waiting []int) {
	name := m.boundedName("Slots." + service)
	metrics.GetOrRegisterGauge(name+".InUse", m.registry).Update(int64(inUse))
	for rank, count := range waiting {
		metrics.GetOrRegisterGauge(name+".WaitingRank"+strconv.Itoa(rank), m.registry).Update(int64(count))
	}
}

// Package detector is the failure detector for entry instances. Each function reads
// or changes one row of the fleet at a given time and has no other state. Three
// sources count: the heartbeats of an instance, what other instances report of it,
// and the platform's instance list.
package detector

import (
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// aliveTTL is how long one heartbeat shows that its sender is alive.
	aliveTTL = 1500 * time.Millisecond
	// suspicionTimeout is how long an instance is suspected before it counts as gone.
	suspicionTimeout = 5 * time.Second
	// retentionTime is how long the row of an unlisted instance that is gone is kept,
	// so that late messages of its earlier incarnations are still recognized.
	retentionTime = 10 * time.Minute
	// maxRetiredIncarnations limits the number of earlier incarnations that a row
	// keeps.
	maxRetiredIncarnations = 16
)

// State is the judgement of the failure detector on an instance.
type State string

// States of an instance.
const (
	Alive     State = "Alive"
	Suspected State = "Suspected"
	Gone      State = "Gone"
)

// Observation is evidence that an instance was alive: its own heartbeat, or the
// report of a peer that received one.
type Observation struct {
	Incarnation string
	// StartedAt is the start time of the incarnation by its own clock.
	StartedAt  time.Time
	Address    string
	DataCentre string
	Leaving    bool
	// Sequence orders the heartbeats of one incarnation. It is 0 in a report of a
	// peer.
	Sequence int64
	// HeartbeatAt is when the observer received the heartbeat.
	HeartbeatAt time.Time
}

// Judge returns the state of an instance at now.
func Judge(now time.Time, in *keeper.Instance) State {
	switch {
	case now.Before(in.AliveUntil):
		return Alive
	case now.Before(in.GoneAt):
		return Suspected
	default:
		return Gone
	}
}

// HasRecentHeartbeat reports whether this instance itself received a heartbeat of another one
// less than aliveTTL ago.
func HasRecentHeartbeat(now time.Time, in *keeper.Instance) bool {
	return now.Before(in.HeartbeatAt.Add(aliveTTL))
}

// HasHeardFromListed reports whether the platform's list names the instance own, and each
// other instance that it names has sent a heartbeat.
func HasHeardFromListed(instances map[string]*keeper.Instance, own string) bool {
	if in := instances[own]; in == nil || !in.Listed {
		return false
	}
	for id, in := range instances {
		if id != own && in.Listed && in.Incarnation == "" {
			return false
		}
	}
	return true
}

// IsRemovable reports whether the row of an instance may be removed.
func IsRemovable(now time.Time, in *keeper.Instance) bool {
	return !in.Listed && !now.Before(in.RemoveAfter)
}

// Observe applies an observation of an instance to its row and reports whether it
// counted. Observations of a replaced incarnation do not count, nor do heartbeats
// that arrive after later ones of the same incarnation.
func Observe(now time.Time, in *keeper.Instance, observation Observation) bool {
	if observation.Incarnation == "" || slices.Contains(in.Retired, observation.Incarnation) {
		return false
	}
	if observation.Incarnation != in.Incarnation {
		if isOlder(now, in, observation) {
			return false
		}
		replaceIncarnation(in, observation)
	}
	isHeartbeat := observation.Sequence > 0
	if isHeartbeat && observation.Sequence <= in.Sequence {
		return false
	}
	updateLeaving(in, observation.Leaving)
	if isHeartbeat {
		in.Sequence = observation.Sequence
		in.HeartbeatAt = observation.HeartbeatAt
		in.Address = observation.Address
		in.DataCentre = observation.DataCentre
	}
	extendDeadlines(in, observation.HeartbeatAt)
	return true
}

// isOlder reports whether an observation is of an earlier incarnation than the one in
// the row. The clocks of two instances may differ, so that the start times decide
// only while the known incarnation is alive.
func isOlder(now time.Time, in *keeper.Instance, observation Observation) bool {
	if in.Incarnation == "" {
		return false
	}
	if Judge(now, in) == Alive {
		return observation.StartedAt.Before(in.StartedAt)
	}
	return !observation.HeartbeatAt.After(in.AliveUntil.Add(-aliveTTL))
}

// replaceIncarnation sets the incarnation of a row and retires the earlier one.
func replaceIncarnation(in *keeper.Instance, observation Observation) {
	if in.Incarnation != "" {
		in.Retired = append(slices.Clone(in.Retired), in.Incarnation)
		in.Retired = in.Retired[max(0, len(in.Retired)-maxRetiredIncarnations):]
	}
	in.Incarnation = observation.Incarnation
	in.StartedAt = observation.StartedAt
	in.Sequence = 0
	in.QuietFence = 0
	in.Address = observation.Address
	in.DataCentre = observation.DataCentre
	in.MarkedLeaving = false
	updateLeaving(in, false)
}

// updateLeaving updates the leaving state of an instance. leaving is set if the present
// incarnation is reported as leaving, by itself, by a peer or by a new mark in the
// platform's list; this is permanent. An older mark in the list may concern an earlier
// incarnation, so that it counts only while the list shows it.
func updateLeaving(in *keeper.Instance, leaving bool) {
	in.MarkedLeaving = in.MarkedLeaving || leaving
	in.Leaving = in.MarkedLeaving || in.ListedLeaving
}

// extendDeadlines moves the deadlines of a row to those after a heartbeat received at
// heartbeatAt, unless they are later already.
func extendDeadlines(in *keeper.Instance, heartbeatAt time.Time) {
	if until := heartbeatAt.Add(aliveTTL); until.After(in.AliveUntil) {
		in.AliveUntil = until
		in.GoneAt = until.Add(suspicionTimeout)
		in.RemoveAfter = in.GoneAt.Add(retentionTime)
	}
}

// MarkListed applies the entry of an instance in the platform's list to its row. An
// instance that never sent a heartbeat is suspected until it sends one or counts as
// gone.
func MarkListed(now time.Time, in *keeper.Instance, address, dataCentre string, leaving bool) {
	in.Listed = true
	in.ListedAddress = address
	startsLeaving := leaving && !in.ListedLeaving
	in.ListedLeaving = leaving
	updateLeaving(in, startsLeaving)
	if in.Incarnation == "" {
		in.Address = address
		in.DataCentre = dataCentre
	}
	if in.GoneAt.IsZero() {
		in.GoneAt = now.Add(suspicionTimeout)
		in.RemoveAfter = in.GoneAt.Add(retentionTime)
	}
}

// MarkUnlisted records that the platform's list no longer names an instance. The row
// stays while heartbeats arrive, since the list may omit an instance for a short
// time.
func MarkUnlisted(in *keeper.Instance) {
	in.Listed = false
	in.ListedLeaving = false
	updateLeaving(in, false)
}

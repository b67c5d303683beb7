package lender

import (
	"cmp"
	"slices"
	"time"
)

// owned returns the part of a team's limit that this instance owns and may use or
// lend. If a new roster enlarges the part, it grows only once that roster is in
// force, so that no member still uses an earlier one.
func (l *Lender) owned(now time.Time, team string) float64 {
	part := 1.0
	for _, members := range l.limitingMembers(now) {
		part = min(part, l.portionAmong(members, team))
	}
	return part
}

// limitingMembers returns the member lists of the rosters that limit the own part:
// it is the smallest of the parts that they assign. An unconfirmed roster, or one
// that omits this instance, gives one empty list, which assigns no part.
func (l *Lender) limitingMembers(now time.Time) [][]Member {
	if !now.Before(l.confirmedUntil(now)) || !slices.Contains(l.roster.Members, l.own) {
		return [][]Member{nil}
	}
	limitingMembers := [][]Member{l.roster.Members}
	if !l.isInForce(now) {
		limitingMembers = append(limitingMembers, l.priorMembers...)
	}
	return limitingMembers
}

// IsConfirmed reports whether the roster is confirmed now and stays so for at least
// d.
func (l *Lender) IsConfirmed(now time.Time, d time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Add(d).Before(l.confirmedUntil(now))
}

// confirmedUntil returns the deadline of the roster's confirmation: by the table
// service or by a majority of the members, whichever is later.
func (l *Lender) confirmedUntil(now time.Time) time.Time {
	deadlines := []time.Time{}
	for _, m := range l.roster.Members {
		if m == l.own {
			deadlines = append(deadlines, now.Add(confirmationTTL))
			continue
		}
		deadlines = append(deadlines, l.peerConfirmedUntil[m])
	}
	until := l.storeConfirmedUntil
	if majority := majorityDeadline(deadlines); majority.After(until) {
		until = majority
	}
	return until
}

// isInForce reports whether no member can still use the previous roster: at least
// half of its members acknowledged the present one confirmationTTL ago or longer,
// so that the others are no majority and cannot confirm the previous one to each
// other.
func (l *Lender) isInForce(now time.Time) bool {
	if len(l.roster.Previous) == 0 {
		return true
	}
	acked := 0
	for _, m := range l.roster.Previous {
		at := l.ackedBy[m]
		if m == l.own {
			at = l.ackAt
		}
		if !at.IsZero() && !now.Before(at.Add(confirmationTTL)) {
			acked++
		}
	}
	return 2*acked >= len(l.roster.Previous)
}

// majorityDeadline returns the latest time that more than half of the deadlines
// reach.
func majorityDeadline(deadlines []time.Time) time.Time {
	if len(deadlines) == 0 {
		return time.Time{}
	}
	slices.SortFunc(deadlines, func(a, b time.Time) int { return b.Compare(a) })
	return deadlines[len(deadlines)/2]
}

// NextRoster returns the roster that the holder of the lease has to write, if the live
// members differ from those of the present roster. It returns none before the
// present roster is in force, so that two changes never overlap.
func (l *Lender) NextRoster(now time.Time, alive []Member) (Roster, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := slices.Clone(alive)
	slices.SortFunc(members, compareMembers)
	if len(members) == 0 || slices.Equal(members, l.roster.Members) || !l.isInForce(now) {
		return Roster{}, false
	}
	return Roster{Number: l.roster.Number + 1, Members: members, Previous: l.roster.Members}, true
}

func compareMembers(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

package lender

import (
	"cmp"
	"slices"
	"time"
)

// owned returns the part of a team's limit that this instance owns and may use or
// lend. A part that a new roster makes larger grows only once nobody goes by the
// roster before it.
func (l *Lender) owned(now time.Time, team string) float64 {
	part := 1.0
	for _, members := range l.bounds(now) {
		part = min(part, l.portion(members, team))
	}
	return part
}

// bounds returns the members of the rosters whose portions all bound the own part.
// Without members there is no part.
func (l *Lender) bounds(now time.Time) [][]Member {
	if !now.Before(l.vouchedUntil(now)) || !slices.Contains(l.roster.Members, l.own) {
		return [][]Member{nil}
	}
	bounds := [][]Member{l.roster.Members}
	if !l.isInForce(now) {
		bounds = append(bounds, l.before...)
	}
	return bounds
}

// IsVouched reports whether the roster is vouched for at now and for a while after.
func (l *Lender) IsVouched(now time.Time, while time.Duration) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return now.Add(while).Before(l.vouchedUntil(now))
}

// vouchedUntil returns until when the roster is vouched for: by the table
// service, or by most members.
func (l *Lender) vouchedUntil(now time.Time) time.Time {
	deadlines := []time.Time{}
	for _, m := range l.roster.Members {
		if m == l.own {
			deadlines = append(deadlines, now.Add(vouchTime))
			continue
		}
		deadlines = append(deadlines, l.vouched[m])
	}
	until := l.storeUntil
	if most := mostReach(deadlines); most.After(until) {
		until = most
	}
	return until
}

// isInForce reports whether the roster before the present one has lapsed for all:
// at least half of its members acknowledged the present one vouchTime ago or
// longer, so that the others are not most of it and cannot vouch for each other.
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
		if !at.IsZero() && !now.Before(at.Add(vouchTime)) {
			acked++
		}
	}
	return 2*acked >= len(l.roster.Previous)
}

// mostReach returns the latest moment that more than half of the deadlines reach.
func mostReach(deadlines []time.Time) time.Time {
	if len(deadlines) == 0 {
		return time.Time{}
	}
	slices.SortFunc(deadlines, func(a, b time.Time) int { return b.Compare(a) })
	return deadlines[len(deadlines)/2]
}

// Next returns the roster that the lease holder has to write, if the members that
// are alive differ from those of the present one. It waits for the present one to
// be in force, so that no two changes run at once.
func (l *Lender) Next(now time.Time, alive []Member) (Roster, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	members := slices.Clone(alive)
	slices.SortFunc(members, compare)
	if len(members) == 0 || slices.Equal(members, l.roster.Members) || !l.isInForce(now) {
		return Roster{}, false
	}
	return Roster{Number: l.roster.Number + 1, Members: members, Previous: l.roster.Members}, true
}

func compare(a, b Member) int {
	return cmp.Or(cmp.Compare(a.Instance, b.Instance), cmp.Compare(a.Incarnation, b.Incarnation))
}

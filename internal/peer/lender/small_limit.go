package lender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// roundingError is the shortfall, as a part of a limit, up to which a value still
// counts as a whole unit.
const roundingError = 1e-9

// Units returns the number of whole requests that the limit of a team consists of,
// or 0 if the limit can be divided into any parts.
type Units func(team string) int

// portionAmong returns the part of a team's limit that this instance owns as one of
// members. A limit with fewer units than members is a small limit: as many members
// as there are units own one unit each, and the others own nothing.
func (l *Lender) portionAmong(members []Member, team string) float64 {
	if !slices.Contains(members, l.own) {
		return 0
	}
	units := l.units(team)
	if units <= 0 || units >= len(members) {
		return 1 / float64(len(members))
	}
	if l.rank(members, team) >= units {
		return 0
	}
	return 1 / float64(units)
}

// rank returns the number of members that precede this one in the order of a team,
// which all instances compute alike.
func (l *Lender) rank(members []Member, team string) int {
	own := rankHash(l.own, team)
	rank := 0
	for _, m := range members {
		if cmp.Or(cmp.Compare(rankHash(m, team), own), compareMembers(m, l.own)) < 0 {
			rank++
		}
	}
	return rank
}

func rankHash(m Member, team string) uint64 {
	return xxhash.Sum64String(team + "/" + m.Instance)
}

// isSmall reports whether a team's limit has fewer units than the roster has
// members.
func (l *Lender) isSmall(team string) bool {
	units := l.units(team)
	return units > 0 && units < len(l.roster.Members)
}

// offerUnit returns the unit that this instance owns of a small limit, or 0 if it
// cannot be lent to a member. A borrower keeps the unit for as long as it requests
// it, also when the owner needs it, because it may have requests in flight.
func (l *Lender) offerUnit(now time.Time, to Member, team string, request LoanRequest, need float64) float64 {
	owned := l.owned(now, team)
	wholeUnit := owned - roundingError
	isKeptByOwner := need >= wholeUnit && largestLoan(now, l.granted[to][team]) < wholeUnit
	if request.Part < wholeUnit || isKeptByOwner || l.lent(now, team, to) > 0 {
		return 0
	}
	return owned
}

// Wants returns the parts that this instance requests from another one. Of a small
// limit it requests the units that it needs and that neither its own part nor loans
// from members preceding the other one by instance name provide.
func (l *Lender) Wants(now time.Time, from string, needs Parts) Parts {
	l.mu.Lock()
	defer l.mu.Unlock()
	wants := Parts{}
	for team, need := range needs {
		if l.isSmall(team) {
			need = l.missingPart(now, from, team, need)
		}
		if need > 0 {
			wants[team] = need
		}
	}
	return wants
}

// missingPart returns the part of a small limit to request from the instance from, or
// 0 if that is less than one unit.
func (l *Lender) missingPart(now time.Time, from, team string, need float64) float64 {
	units := float64(l.units(team))
	missingPart := math.Round(need*units)/units - l.owned(now, team) + l.lent(now, team, Member{})
	for _, m := range l.roster.Members {
		if m.Instance >= from {
			break
		}
		missingPart -= l.borrowed(now, m, team)
	}
	if missingPart < 1/units-roundingError {
		return 0
	}
	return missingPart
}

// borrowed returns the part of a team's limit that a member lends to this instance.
func (l *Lender) borrowed(now time.Time, from Member, team string) float64 {
	loans := l.receivedLoans[from]
	if !now.Before(loans.sentAt.Add(loanTTL)) {
		return 0
	}
	return loans.parts[team]
}

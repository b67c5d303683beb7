package lender

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// roundingError is how much less than a whole unit counts as one.
const roundingError = 1e-9

// Units tells how many whole requests the limit of a team consists of, or 0 if it
// can be divided at will.
type Units func(team string) int

// portion returns the part of a team's limit that this instance owns among
// members. Of a limit of fewer units than members, as many members as there are
// units own one each.
func (l *Lender) portion(members []Member, team string) float64 {
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

// rank returns how many members come before this one in the order of a team, which
// is the same at all instances.
func (l *Lender) rank(members []Member, team string) int {
	own := order(l.own, team)
	rank := 0
	for _, m := range members {
		if cmp.Or(cmp.Compare(order(m, team), own), compare(m, l.own)) < 0 {
			rank++
		}
	}
	return rank
}

func order(m Member, team string) uint64 {
	return xxhash.Sum64String(team + "/" + m.Instance)
}

// isSmall reports whether a team's limit has fewer units than there are members.
func (l *Lender) isSmall(team string) bool {
	units := l.units(team)
	return units > 0 && units < len(l.roster.Members)
}

// offerUnit returns the unit that this instance owns of a small limit if it can be
// lent to a member. A unit stays with its borrower until it wants none any more:
// it may have requests in flight.
func (l *Lender) offerUnit(now time.Time, to Member, team string, ask Ask, need float64) float64 {
	owned := l.owned(now, team)
	least := owned - roundingError
	isKept := need >= least && largest(now, l.given[to][team]) < least
	if ask.Part < least || isKept || l.lent(now, team, to) > 0 {
		return 0
	}
	return owned
}

// Wants returns the parts that this instance asks another one for. Of a small limit
// these are the whole units that it needs and that neither itself nor the members
// before the other one provide.
func (l *Lender) Wants(now time.Time, of string, needs Parts) Parts {
	l.mu.Lock()
	defer l.mu.Unlock()
	wants := Parts{}
	for team, need := range needs {
		if l.isSmall(team) {
			need = l.missing(now, of, team, need)
		}
		if need > 0 {
			wants[team] = need
		}
	}
	return wants
}

func (l *Lender) missing(now time.Time, of, team string, need float64) float64 {
	units := float64(l.units(team))
	missing := math.Round(need*units)/units - l.owned(now, team) + l.lent(now, team, Member{})
	for _, m := range l.roster.Members {
		if m.Instance >= of {
			break
		}
		missing -= l.borrowed(now, m, team)
	}
	if missing < 1/units-roundingError {
		return 0
	}
	return missing
}

// borrowed returns the part of a team's limit that a member lends to this instance.
func (l *Lender) borrowed(now time.Time, from Member, team string) float64 {
	t := l.taken[from]
	if !now.Before(t.sentAt.Add(loanTime)) {
		return 0
	}
	return t.parts[team]
}

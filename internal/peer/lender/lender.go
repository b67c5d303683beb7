// Package lender divides the rate and concurrency limits of teams among the entry
// instances. A roster in the table service names the members; each member owns an
// equal part of every limit, except that of a limit with fewer units than members,
// each unit has one owner. A member lends what it does not need, on request and
// until a deadline. Only the owner of a part lends it, so that the parts in use never
// add up to more than the limit, even if instances freeze, are partitioned or
// restart.
//
// A member may use or lend its part only while its roster is confirmed: it read
// the roster from the table service less than confirmationTTL ago, or a majority
// of the members confirmed within that time that they know no later roster. A
// member that a new roster omits therefore stops using its part within
// confirmationTTL after a majority has acknowledged that roster, and only then do
// the parts of the other members grow.
package lender

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// confirmationTTL is how long one confirmation of a roster is valid.
	confirmationTTL = 3 * time.Second
	// loanTTL is how long a loan is valid. It spans several heartbeats, so that one
	// late heartbeat does not end the loan.
	loanTTL = 1500 * time.Millisecond
)

// Member identifies one incarnation of an instance.
type Member = messenger.RosterMember

// Roster lists the members that own parts of the limits.
type Roster = messenger.Roster

// Parts maps a team to a part of its limit, from 0 to 1.
type Parts map[string]float64

// LoanRequest is a member's request for a loan of one team's limit. Weight is its fraction,
// up to 1, of what all members request.
type LoanRequest struct {
	Part   float64
	Weight float64
}

type loan struct {
	part      float64
	expiresAt time.Time
}

// receivedLoans are the loans that one member granted in an answer to a heartbeat.
type receivedLoans struct {
	sentAt time.Time
	parts  Parts
}

// Lender holds the roster, the confirmations and the loans of one instance. It has
// no clock: its methods receive the current time.
type Lender struct {
	own Member

	mu     sync.Mutex
	roster Roster
	// priorMembers are the members of the earlier rosters that limit the own part
	// until the present roster is in force.
	priorMembers [][]Member
	// priorAcked is the number of the roster that is acknowledged until ackAt, the
	// time from which the present roster is acknowledged.
	priorAcked int64
	ackAt      time.Time
	// ackedBy is when each member was first known to acknowledge the present roster.
	ackedBy map[Member]time.Time
	// peerConfirmedUntil is the deadline of each member's confirmation of the roster,
	// storeConfirmedUntil that of the table service.
	peerConfirmedUntil  map[Member]time.Time
	storeConfirmedUntil time.Time
	granted             map[Member]map[string][]loan
	receivedLoans       map[Member]receivedLoans
	units               Units
}

// Option configures a Lender.
type Option func(*Lender)

// WithUnits sets the function that returns the number of units of a limit.
func WithUnits(units Units) Option {
	return func(l *Lender) { l.units = units }
}

// New returns the lender of the member own. It has no roster and owns no part yet.
func New(own Member, opts ...Option) *Lender {
	l := &Lender{
		own: own, ackedBy: map[Member]time.Time{}, peerConfirmedUntil: map[Member]time.Time{},
		granted: map[Member]map[string][]loan{}, receivedLoans: map[Member]receivedLoans{},
		units: func(string) int { return 0 },
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Roster returns the latest known roster.
func (l *Lender) Roster() Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster
}

// AckedRoster returns the number of the roster that this instance acknowledges. A new
// roster is acknowledged once the loans made under earlier ones have expired.
func (l *Lender) AckedRoster(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ackedNumber(now)
}

func (l *Lender) ackedNumber(now time.Time) int64 {
	if now.Before(l.ackAt) {
		return l.priorAcked
	}
	return l.roster.Number
}

// Adopt replaces the roster by a later one and ignores any other.
func (l *Lender) Adopt(now time.Time, roster Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if roster.Number <= l.roster.Number {
		return
	}
	l.priorMembers = l.limitingMembers(now)
	l.priorAcked = l.ackedNumber(now)
	l.ackAt = now.Add(loanTTL)
	l.roster = roster
	// peerConfirmedUntil stays valid: a member that knew no roster later than the
	// replaced one knew none later than this one either.
	l.ackedBy = map[Member]time.Time{}
}

// ConfirmFromStore records that the table service returned the roster with the given number to
// a read sent at sentAt. The confirmation counts from the sending.
func (l *Lender) ConfirmFromStore(sentAt time.Time, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number <= l.roster.Number && sentAt.Add(confirmationTTL).After(l.storeConfirmedUntil) {
		l.storeConfirmedUntil = sentAt.Add(confirmationTTL)
	}
}

// HandleAnswer applies the answer of a member to a heartbeat that was sent at sentAt: the
// number of the roster that the member acknowledges, and its loans. Deadlines count
// from the sending, so that they expire here before they expire at the member.
func (l *Lender) HandleAnswer(now, sentAt time.Time, from Member, acked int64, loans Parts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acked <= l.roster.Number {
		l.peerConfirmedUntil[from] = sentAt.Add(confirmationTTL)
	} else {
		delete(l.peerConfirmedUntil, from)
	}
	if acked >= l.roster.Number && l.ackedBy[from].IsZero() {
		l.ackedBy[from] = now
	}
	if sentAt.After(l.receivedLoans[from].sentAt) {
		l.receivedLoans[from] = receivedLoans{sentAt: sentAt, parts: loans}
	}
}

// MarkStopped records that a member has stopped permanently, so that it no longer uses
// the previous roster. This counts as its acknowledgement of the present one.
func (l *Lender) MarkStopped(now time.Time, member Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ackedBy[member].IsZero() {
		l.ackedBy[member] = now
	}
}

// Lend grants loans to a member that requests them, from the parts that this
// instance owns and does not need, and returns the parts lent.
func (l *Lender) Lend(now time.Time, to Member, requests map[string]LoanRequest, needs Parts) Parts {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := Parts{}
	if now.Add(loanTTL).After(l.confirmedUntil(now)) || to == l.own {
		return parts
	}
	for team, request := range requests {
		part := l.offer(now, to, team, request, needs[team])
		if part <= 0 {
			continue
		}
		parts[team] = part
		l.recordLoan(now, to, team, loan{part: part, expiresAt: now.Add(loanTTL)})
	}
	return parts
}

// offer returns the part of a team's limit that can be lent to a member; if that is
// not positive, nothing can be lent.
func (l *Lender) offer(now time.Time, to Member, team string, request LoanRequest, need float64) float64 {
	if l.isSmall(team) {
		return l.offerUnit(now, to, team, request, need)
	}
	spare := l.owned(now, team) - need
	return min(request.Part, spare*min(request.Weight, 1), spare-l.lent(now, team, to))
}

// recordLoan adds a loan to those granted to a member and deletes expired ones.
func (l *Lender) recordLoan(now time.Time, to Member, team string, added loan) {
	if l.granted[to] == nil {
		l.granted[to] = map[string][]loan{}
	}
	// The new loan covers every valid loan that is not larger: those end earlier.
	kept := slices.DeleteFunc(l.granted[to][team], func(old loan) bool {
		return !now.Before(old.expiresAt) || old.part <= added.part
	})
	l.granted[to][team] = append(kept, added)
}

// lent returns the part of a team's limit that is lent to members other than except.
func (l *Lender) lent(now time.Time, team string, except Member) float64 {
	total := 0.0
	for to, teams := range l.granted {
		if to == except {
			continue
		}
		total += largestLoan(now, teams[team])
	}
	return total
}

// largestLoan returns the largest part among the loans that have not expired. Loans
// of one team to one member overlap and do not add up.
func largestLoan(now time.Time, loans []loan) float64 {
	most := 0.0
	for _, given := range loans {
		if now.Before(given.expiresAt) {
			most = max(most, given.part)
		}
	}
	return most
}

// Share returns the part of a team's limit that this instance may use, and the
// deadline until which it may use it. Lending more reduces the part earlier.
func (l *Lender) Share(now time.Time, team string) (part float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until = now.Add(loanTTL)
	if owned := l.owned(now, team); owned > 0 {
		part = max(0, owned-l.lent(now, team, Member{}))
		until = earlier(until, l.confirmedUntil(now))
	}
	for _, loans := range l.receivedLoans {
		expiresAt := loans.sentAt.Add(loanTTL)
		if loans.parts[team] > 0 && now.Before(expiresAt) {
			part += loans.parts[team]
			until = earlier(until, expiresAt)
		}
	}
	return min(part, 1), until
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}
	return a
}

// Package lender divides the limits of teams over the entry instances. A roster
// in the table service names the members; each owns an equal part of every limit
// and lends what it does not need to those who ask, until a deadline. Nobody but
// the owner gives a part away, so that the parts in use never add up to more than
// the limit, whoever is frozen, cut off or restarted.
//
// A member may use or lend its part only while it is vouched for: it read its
// roster in the table service less than vouchTime ago, or most members confirmed
// to know no later one. A member that a new roster leaves out therefore stops
// within vouchTime after most members have acknowledged that roster, and only
// then do parts grow.
package lender

import (
	"slices"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// vouchTime is how long a member relies on one confirmation of its roster.
	vouchTime = 3 * time.Second
	// loanTime is the life of a loan: some heartbeats, so that a late one does not
	// end it.
	loanTime = 1500 * time.Millisecond
)

// Member names one incarnation of an instance.
type Member = messenger.RosterMember

// Roster names the owners of the limits.
type Roster = messenger.Roster

// Parts are parts of the limits, from 0 to 1, by team.
type Parts map[string]float64

// Ask is what a member asks for of one team's limit. Weight is its part, up to 1,
// of what all members ask for.
type Ask struct {
	Part   float64
	Weight float64
}

type loan struct {
	part  float64
	until time.Time
}

// taken are the loans that one member gave in an answer.
type taken struct {
	sentAt time.Time
	parts  Parts
}

// Lender is the state of one instance. Its methods take the time, so that it
// decides from tables alone.
type Lender struct {
	own Member

	mu     sync.Mutex
	roster Roster
	// before are the members of the rosters that still bound the own part, and acked
	// the number of the roster that is acknowledged until ackAt.
	before  [][]Member
	acked   int64
	ackAt   time.Time
	ackedBy map[Member]time.Time
	// vouched holds until when each member vouches for the roster; the table
	// service does so until storeUntil.
	vouched    map[Member]time.Time
	storeUntil time.Time
	given      map[Member]map[string][]loan
	taken      map[Member]taken
	units      Units
}

// Option configures a Lender.
type Option func(*Lender)

// WithUnits sets what tells the units of each limit.
func WithUnits(units Units) Option {
	return func(l *Lender) { l.units = units }
}

// New returns the lender of own, which owns nothing yet.
func New(own Member, opts ...Option) *Lender {
	l := &Lender{
		own: own, ackedBy: map[Member]time.Time{}, vouched: map[Member]time.Time{},
		given: map[Member]map[string][]loan{}, taken: map[Member]taken{},
		units: func(string) int { return 0 },
	}
	for _, opt := range opts {
		opt(l)
	}
	return l
}

// Roster returns the latest roster that is known.
func (l *Lender) Roster() Roster {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.roster
}

// Acked returns the number of the roster that this instance acknowledges. A new
// roster is acknowledged once the loans from before it have lapsed.
func (l *Lender) Acked(now time.Time) int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.ackedAt(now)
}

func (l *Lender) ackedAt(now time.Time) int64 {
	if now.Before(l.ackAt) {
		return l.acked
	}
	return l.roster.Number
}

// Adopt takes over a later roster.
func (l *Lender) Adopt(now time.Time, roster Roster) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if roster.Number <= l.roster.Number {
		return
	}
	l.before = l.bounds(now)
	l.acked = l.ackedAt(now)
	l.ackAt = now.Add(loanTime)
	l.roster = roster
	// Who knew no later roster than the one before knew none later than this one.
	l.ackedBy = map[Member]time.Time{}
}

// Read notes that the table service held the roster of a number at a moment
// after sentAt.
func (l *Lender) Read(sentAt time.Time, number int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if number <= l.roster.Number && sentAt.Add(vouchTime).After(l.storeUntil) {
		l.storeUntil = sentAt.Add(vouchTime)
	}
}

// Hear takes the answer of a member to a heartbeat that was sent at sentAt: the
// roster that it acknowledges, and what it lends. Deadlines count from the
// sending, so that they pass here before they pass at the member.
func (l *Lender) Hear(now, sentAt time.Time, from Member, acked int64, loans Parts) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if acked <= l.roster.Number {
		l.vouched[from] = sentAt.Add(vouchTime)
	} else {
		delete(l.vouched, from)
	}
	if acked >= l.roster.Number && l.ackedBy[from].IsZero() {
		l.ackedBy[from] = now
	}
	if sentAt.After(l.taken[from].sentAt) {
		l.taken[from] = taken{sentAt: sentAt, parts: loans}
	}
}

// Lapse notes that a member has stopped for good, so that it does not go by the
// roster before the present one.
func (l *Lender) Lapse(now time.Time, member Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.ackedBy[member].IsZero() {
		l.ackedBy[member] = now
	}
}

// Lend returns what this instance lends to a member that asks, of what it
// does not need itself.
func (l *Lender) Lend(now time.Time, to Member, asks map[string]Ask, needs Parts) Parts {
	l.mu.Lock()
	defer l.mu.Unlock()
	parts := Parts{}
	if now.Add(loanTime).After(l.vouchedUntil(now)) || to == l.own {
		return parts
	}
	for team, ask := range asks {
		part := l.offer(now, to, team, ask, needs[team])
		if part <= 0 {
			continue
		}
		parts[team] = part
		l.note(now, to, team, loan{part: part, until: now.Add(loanTime)})
	}
	return parts
}

// offer returns the part of a team's limit that can be lent to a member.
func (l *Lender) offer(now time.Time, to Member, team string, ask Ask, need float64) float64 {
	if l.isSmall(team) {
		return l.offerUnit(now, to, team, ask, need)
	}
	spare := l.owned(now, team) - need
	return min(ask.Part, spare*min(ask.Weight, 1), spare-l.lent(now, team, to))
}

func (l *Lender) note(now time.Time, to Member, team string, added loan) {
	if l.given[to] == nil {
		l.given[to] = map[string][]loan{}
	}
	// A loan in force that is smaller and ends earlier is covered by the new one.
	kept := slices.DeleteFunc(l.given[to][team], func(old loan) bool {
		return !now.Before(old.until) || old.part <= added.part
	})
	l.given[to][team] = append(kept, added)
}

// lent returns what is lent of a team's limit to others than one member.
func (l *Lender) lent(now time.Time, team string, except Member) float64 {
	total := 0.0
	for to, teams := range l.given {
		if to == except {
			continue
		}
		total += largest(now, teams[team])
	}
	return total
}

func largest(now time.Time, loans []loan) float64 {
	most := 0.0
	for _, given := range loans {
		if now.Before(given.until) {
			most = max(most, given.part)
		}
	}
	return most
}

// Share returns the part of a team's limit that this instance may use, and until
// when it may unless it lends more.
func (l *Lender) Share(now time.Time, team string) (part float64, until time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	until = now.Add(loanTime)
	if owned := l.owned(now, team); owned > 0 {
		part = max(0, owned-l.lent(now, team, Member{}))
		until = earlier(until, l.vouchedUntil(now))
	}
	for _, t := range l.taken {
		ends := t.sentAt.Add(loanTime)
		if t.parts[team] > 0 && now.Before(ends) {
			part += t.parts[team]
			until = earlier(until, ends)
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

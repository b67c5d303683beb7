package limiter

import (
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/state/ranker"
)

const (
	// settleFactor is how many times as long as a status is valid a member must report the
	// same digest before it counts. More than once is needed, since a status that is
	// delayed on its way is valid for longer.
	settleFactor = 1.5
	// startSettleTime is how long an instance that starts does not count for itself: it may
	// not have heard of the others yet.
	startSettleTime = 2 * time.Second
	// memberTTL is how long a silent member still counts among all members: it may be cut
	// off and use its share of the limits. One that was heard of counts for longer while half
	// of all or more are silent, since then the others may regard this instance as cut off.
	// One that is only registered does not: rows of instances that crashed stay in the table.
	memberTTL = time.Minute
)

// Member is an instance that takes part in keeping the limits.
type Member struct {
	Name       string
	DataCentre string
}

// membership is what an instance knows of the others.
type membership struct {
	// known holds all members, live, silent or only registered.
	known map[Member]presence
	// registered holds the rows of the table of instances.
	registered map[Member]bool
	// groups holds the names of the live members by data centre, in order.
	groups map[string][]string
	// own holds the names of the group of this instance, and digest their digest.
	own    []string
	digest int64
	votes  map[string]vote
	// selfCountsAt is when this instance counts for itself, as a vote of another one does.
	selfCountsAt time.Time
}

// presence is when a member was last live or, if this instance never heard of it, when its
// row was first read.
type presence struct {
	at      time.Time
	isHeard bool
	// leftAt is when it was first known to have left; zero if it has not. Only Quotas use it.
	leftAt time.Time
}

// vote is the last report of another member.
type vote struct {
	digest int64
	// size is the number of members that the other one knows of.
	size      int
	countsAt  time.Time
	expiresAt time.Time
}

// Report is what an instance tells the others in its status.
type Report struct {
	// Digest identifies the live members of the instance's group, and what other groups
	// there are; it is never 0.
	Digest int64
	// Size is the number of members of the group that the instance knows of, including
	// silent ones.
	Size int
}

func newMembership(now time.Time) membership {
	return membership{
		known: map[Member]presence{}, registered: map[Member]bool{}, groups: map[string][]string{}, votes: map[string]vote{}, selfCountsAt: now.Add(startSettleTime),
	}
}

// allCentres is the key of the group of all members. It is used while no data centre has
// enough instances for a group of its own.
const allCentres = ""

// SetRegistered sets the instances that are registered, live or not. Those that are not heard
// of may be cut off from this one and use their share of the limits.
func (l *Limiter) SetRegistered(members []Member) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := &l.membership, l.now()
	registered := make(map[Member]bool, len(members))
	for _, member := range members {
		registered[member] = true
		if _, ok := m.known[member]; !ok && !m.registered[member] {
			m.known[member] = presence{at: now}
		}
	}
	m.registered = registered
}

// SetMembers sets the other instances that are live, and those that have left for good or
// that are about to. reportTTL is how long a report of an instance is valid.
func (l *Limiter) SetMembers(live []Member, left []string, reportTTL time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	m, now := &l.membership, l.now()
	if !slices.Contains(left, l.self.Name) {
		live = append(slices.Clone(live), l.self)
	}
	for _, member := range live {
		m.known[member] = presence{at: now, isHeard: true}
	}
	for member := range m.known {
		if slices.Contains(left, member.Name) {
			delete(m.known, member)
		}
	}
	m.dropSilent(now, len(live))
	m.groups = groupMembers(live, l.cellSize)
	m.own = m.groups[m.groupKey(l.self.DataCentre)]
	digest := digestOf(m.own, sortedKeys(m.groups))
	if m.digest != 0 && digest != m.digest {
		m.selfCountsAt = later(m.selfCountsAt, now.Add(settleTime(reportTTL)))
	}
	m.digest = digest
	maps.DeleteFunc(m.votes, func(_ string, v vote) bool { return !now.Before(v.expiresAt) })
}

// settleTime returns for how long a member must report the same digest before it counts,
// given how long a report is valid.
func settleTime(ttl time.Duration) time.Duration { return time.Duration(settleFactor * float64(ttl)) }

func later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// dropSilent drops the members that have been silent for memberTTL: those never heard of,
// and the others if more than half of those that were heard of are live.
func (m *membership) dropSilent(now time.Time, live int) {
	heard := 0
	for _, p := range m.known {
		if p.isHeard {
			heard++
		}
	}
	isMajorityLive := 2*live > heard
	for member, p := range m.known {
		if now.Sub(p.at) > memberTTL && (isMajorityLive || !p.isHeard) {
			delete(m.known, member)
		}
	}
}

// groupMembers returns the names of the members by data centre, for each one with at least
// cellSize of them, or else the names of all.
func groupMembers(live []Member, cellSize int) map[string][]string {
	byCentre, all := map[string][]string{}, make([]string, 0, len(live))
	for _, member := range live {
		byCentre[member.DataCentre] = append(byCentre[member.DataCentre], member.Name)
		all = append(all, member.Name)
	}
	out := map[string][]string{}
	for centre, names := range byCentre {
		if len(names) >= cellSize {
			slices.Sort(names)
			out[centre] = names
		}
	}
	if len(out) == 0 {
		slices.Sort(all)
		out[allCentres] = all
	}
	return out
}

// groupKey returns the key of the group of the instances of a data centre; they are in no
// group if there is no such key.
func (m *membership) groupKey(dataCentre string) string {
	if _, ok := m.groups[allCentres]; ok {
		return allCentres
	}
	return dataCentre
}

// isInGroup reports whether an instance of a data centre belongs to the group of self.
func (m *membership) isInGroup(self Member, dataCentre string) bool {
	return m.groupKey(dataCentre) == m.groupKey(self.DataCentre)
}

// knownSize returns the number of members of the own group, including silent ones, that
// this instance knows of.
func (m *membership) knownSize(self Member) int {
	n := 0
	for member := range m.known {
		if m.isInGroup(self, member.DataCentre) {
			n++
		}
	}
	return n
}

// size returns that number as far as this instance or another one of the group knows.
func (m *membership) size(self Member, now time.Time) int {
	n := m.knownSize(self)
	for _, name := range m.own {
		if v, ok := m.votes[name]; ok && now.Before(v.expiresAt) {
			n = max(n, v.size)
		}
	}
	return max(n, 1)
}

// digestOf returns the digest of a group and of the keys of all groups, which decide what
// group a target belongs to.
func digestOf(names, keys []string) int64 {
	return int64(xxhash.Sum64String(strings.Join(names, "\n")+"\n\n"+strings.Join(keys, "\n"))>>1) | 1
}

// Report returns what to tell the other instances.
func (l *Limiter) Report() Report {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Report{Digest: l.membership.digest, Size: l.membership.knownSize(l.self)}
}

// ReceiveReport records the report of another instance, which is valid for ttl.
func (l *Limiter) ReceiveReport(from string, report Report, ttl time.Duration) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	v, ok := l.membership.votes[from]
	if !ok || v.digest != report.Digest || !now.Before(v.expiresAt) {
		v.countsAt = now.Add(settleTime(ttl))
	}
	v.digest, v.size, v.expiresAt = report.Digest, report.Size, now.Add(ttl)
	l.membership.votes[from] = v
}

// share returns the share of the limits that this instance may grant where it is the
// granter, from 0 to 1. The lock must be held.
func (l *Limiter) share(now time.Time) float64 {
	m := &l.membership
	count := 0
	for _, name := range m.own {
		if name == l.self.Name {
			if !now.Before(m.selfCountsAt) {
				count++
			}
			continue
		}
		v, ok := m.votes[name]
		if ok && v.digest == m.digest && now.Before(v.expiresAt) && !now.Before(v.countsAt) {
			count++
		}
	}
	return float64(count) / float64(m.size(l.self, now))
}

// granter returns the name of the instance that grants permits for a target, as this
// instance sees it; empty if there is none. The lock must be held.
func (l *Limiter) granter(target Target) string {
	m := &l.membership
	key := m.groupKey(target.DataCentre)
	if _, ok := m.groups[key]; !ok {
		key = ranker.First(target.ID, sortedKeys(m.groups))
	}
	return ranker.First(target.ID, m.groups[key])
}

func sortedKeys(groups map[string][]string) []string { return slices.Sorted(maps.Keys(groups)) }

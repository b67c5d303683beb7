package limiter

import (
	"maps"
	"math/bits"
	"slices"
	"time"
)

const (
	// minDelegationTTL is how long a delegation is valid in a small system, and
	// delegationTTLPerMember that time divided by the number of instances in a large one. It is
	// longer than two intervals between statuses, since a delegation counts from an echo that
	// is an interval old.
	minDelegationTTL       = 2 * time.Second
	delegationTTLPerMember = 40 * time.Millisecond
	// absentTTL is how long an instance that has become silent still counts among all members:
	// it may be cut off and delegate its share to others that are cut off with it.
	absentTTL = 10 * time.Minute
)

// Delegation is what an instance tells another one about the parts of quotas for which it
// delegates its share to that one.
type Delegation struct {
	// Parts has a bit for each part.
	Parts uint64
	// Echo is the last stamp of the recipient that the sender has received, by the recipient's
	// clock. The delegation is valid for TTL from then on, so that it ends in time even if the
	// message is late or the recipient is suspended.
	Echo time.Time
	TTL  time.Duration
	// Members is the number of instances that the sender knows of.
	Members int
}

// delegations are those that an instance has given and received.
type delegations struct {
	live    []string
	holders [partCount]string
	given   [partCount]givenDelegation
	// stamps holds the last stamp received from each other instance.
	stamps   map[string]time.Time
	received map[string]*receivedDelegation
	// known holds when each instance was last live, or first seen in the table of instances.
	known      map[string]presence
	registered map[string]bool
}

// givenDelegation is the last delegation of a part by this instance. Only one instance holds
// it at a time.
type givenDelegation struct {
	holder    string
	since     time.Time
	expiresAt time.Time
}

// receivedDelegation is the last one of another instance, with the time since which it has
// held for each part without a break.
type receivedDelegation struct {
	Delegation
	expiresAt time.Time
	since     [partCount]time.Time
}

func newDelegations() delegations {
	return delegations{
		stamps: map[string]time.Time{}, received: map[string]*receivedDelegation{}, known: map[string]presence{}, registered: map[string]bool{},
	}
}

// SetRegistered sets the instances that are registered, live or not.
func (q *Quotas) SetRegistered(names []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, now := &q.delegations, q.now()
	registered := make(map[string]bool, len(names))
	for _, name := range names {
		registered[name] = true
		if known, ok := d.known[name]; !d.registered[name] && (!ok || !known.leftAt.IsZero()) {
			d.known[name] = presence{at: now}
		}
	}
	d.registered = registered
}

// SetMembers sets the other instances that are live, and those that have left for good or that
// are about to.
func (q *Quotas) SetMembers(live, left []string) {
	q.mu.Lock()
	defer q.mu.Unlock()
	d, now := &q.delegations, q.now()
	live = slices.Clone(live)
	if !slices.Contains(left, q.self) {
		live = append(live, q.self)
	}
	slices.Sort(live)
	for _, name := range live {
		d.known[name] = presence{at: now, isHeard: true}
	}
	for _, name := range left {
		if p, ok := d.known[name]; ok && p.leftAt.IsZero() {
			p.leftAt = now
			d.known[name] = p
		}
	}
	d.dropAbsent(now, len(live), d.ttl()+maxLeaseTime+q.bounds.Window+MaxChargeAge)
	if !slices.Equal(live, d.live) {
		d.live = live
		for part := range d.holders {
			d.holders[part] = holderOf(part, live)
		}
	}
	maps.DeleteFunc(d.received, func(_ string, r *receivedDelegation) bool { return !now.Before(r.expiresAt) })
}

// dropAbsent drops the members that have been absent for long: those never heard of after
// memberTTL, and the others after absentTTL if more than half of all are live. One that has
// left is dropped when what was granted by its delegations lies before the window.
func (d *delegations) dropAbsent(now time.Time, live int, leftTTL time.Duration) {
	heard := 0
	for _, p := range d.known {
		if p.isHeard {
			heard++
		}
	}
	for name, p := range d.known {
		absent := now.Sub(p.at)
		hasLeft := !p.leftAt.IsZero() && now.Sub(p.leftAt) > leftTTL
		if hasLeft || (!p.isHeard && absent > memberTTL) || (2*live > heard && absent > absentTTL) {
			delete(d.known, name)
			delete(d.stamps, name)
		}
	}
}

// ttl returns how long a delegation of this instance is valid.
func (d *delegations) ttl() time.Duration {
	return max(minDelegationTTL, time.Duration(len(d.known))*delegationTTLPerMember)
}

// PeerTTL returns how long after its last status another instance counts as live. It is as long
// as a delegation to it can be valid.
func (q *Quotas) PeerTTL() time.Duration {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.delegations.ttl()
}

// Delegate returns the delegation to send to another instance with a status.
func (q *Quotas) Delegate(to string) Delegation {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, d := q.now(), &q.delegations
	out := Delegation{Echo: d.stamps[to], TTL: d.ttl(), Members: len(d.known)}
	if out.Echo.IsZero() {
		return out // the recipient could not tell how old the delegation is
	}
	for part, holder := range d.holders {
		if holder == to && q.delegate(part, to, now, out.TTL) {
			out.Parts |= 1 << part
		}
	}
	return out
}

// delegate records a delegation that is valid for ttl and reports whether it may be given: the
// one to another instance, perhaps by an earlier incarnation of this one, has expired, and so
// have the leases that were granted by it.
func (q *Quotas) delegate(part int, to string, now time.Time, ttl time.Duration) bool {
	d := &q.delegations
	given := &d.given[part]
	earlierExpiry := given.expiresAt
	if given.holder == "" {
		earlierExpiry = q.startedAt.Add(d.ttl())
	}
	if given.holder != to && now.Before(earlierExpiry.Add(maxLeaseTime)) {
		return false
	}
	if given.holder != to {
		given.holder, given.since = to, now
	}
	given.expiresAt = later(given.expiresAt, now.Add(ttl))
	return true
}

// ReceiveStamp records the time of another instance's clock at which it sent a status.
func (q *Quotas) ReceiveStamp(from string, stamp time.Time) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.delegations.stamps[from] = stamp
}

// ReceiveDelegation records the delegation of another instance.
func (q *Quotas) ReceiveDelegation(from string, in Delegation) {
	q.mu.Lock()
	defer q.mu.Unlock()
	now, d := q.now(), &q.delegations
	if in.Echo.Before(q.startedAt) || in.Echo.After(now) {
		return
	}
	known := d.received[from]
	if known == nil {
		known = &receivedDelegation{}
		d.received[from] = known
	}
	if in.Echo.Before(known.Echo) {
		return // overtaken by a later one
	}
	held := known.Parts
	if !now.Before(known.expiresAt) {
		held = 0
	}
	for part := range known.since {
		if held&(1<<part) == 0 {
			known.since[part] = now
		}
	}
	known.Delegation, known.expiresAt = in, in.Echo.Add(in.TTL)
}

// allowance returns what this instance may grant of the quota of an account.
func (q *Quotas) allowance(account string, now time.Time) allowance {
	d, quota, parts := &q.delegations, q.quotas[account], partsOf(account)
	a := allowance{
		window: q.bounds.Window + MaxChargeAge, total: q.bounds.total(quota) - q.bounds.fallback(quota), perSecond: handoverShare * quota.PerSecond,
	}
	unit := 1 / float64(q.memberCount(now)*partsPerQuota)
	for _, part := range parts {
		if d.holders[part] == q.self && q.delegate(part, q.self, now, 0) {
			a.add(unit, now.Sub(d.given[part].since))
		}
	}
	// Leases of an earlier incarnation may be in use for a while.
	earliest := q.startedAt.Add(maxLeaseTime)
	mask := uint64(1<<partsPerQuota-1) << parts[0]
	for _, r := range d.received {
		if !now.Before(r.expiresAt) {
			continue
		}
		for held := r.Parts & mask; held != 0; held &= held - 1 {
			part := bits.TrailingZeros64(held)
			a.add(unit, now.Sub(later(r.since[part], earliest)))
		}
	}
	return a
}

// add adds a share that was delegated for age.
func (a *allowance) add(share float64, age time.Duration) {
	switch {
	case age > a.window:
		a.established += share
	case age > 0:
		a.recent = append(a.recent, recentShare{share, age})
	}
}

// memberCount returns the number of instances that this one, or one that delegates to it, knows
// of.
func (q *Quotas) memberCount(now time.Time) int {
	count := max(len(q.delegations.known), 1)
	for _, r := range q.delegations.received {
		if now.Before(r.expiresAt) {
			count = max(count, r.Members)
		}
	}
	return count
}

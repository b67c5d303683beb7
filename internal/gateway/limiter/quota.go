package limiter

import (
	"maps"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/state/ranker"
)

const (
	// partGroups is the number of groups of accounts that have the same granters. It bounds
	// the granters of a system, so that one message can serve several accounts.
	partGroups = 5
	// partsPerQuota is the number of parts that a quota is divided into. Each has a granter of
	// its own, so that the loss of some instances leaves the other parts in force. The more
	// parts, the less of a quota is missing when several granters are lost at once; the fewer,
	// the fewer messages.
	partsPerQuota = 12
	partCount     = partGroups * partsPerQuota
	// maxLeaseTime is the longest time for which granted amounts can be used.
	maxLeaseTime = 1500 * time.Millisecond
	// minLeaseTime is long enough to ask all granters of an account one after the other.
	minLeaseTime = 500 * time.Millisecond
	// handoverShare is the share of a rate that a granter grants while it does not know what
	// was granted before it. The higher it is, the less of the window can be used at once.
	handoverShare = 0.7
	// fallbackShare is the share of the margin that instances use while no granter answers.
	fallbackShare = 0.05
)

// MaxChargeAge is how long after its charge a request may be sent. The window in which amounts are
// counted is longer by this.
const MaxChargeAge = 300 * time.Millisecond

// Quota is the quota of an account in its own unit, over all instances.
type Quota struct {
	PerSecond float64
	Burst     float64
}

// QuotaBounds state by how much accounts may exceed their quotas. In any Window an account may use
// (PerSecond x Window + Burst) x (1 + Overage) + Slack.
type QuotaBounds struct {
	Window time.Duration
	// Overage is a share: 0.1 is a tenth.
	Overage float64
	// Slack is in the unit of the account's quota.
	Slack float64
}

// total returns what may run in a window.
func (b QuotaBounds) total(q Quota) float64 {
	return (q.PerSecond*b.Window.Seconds()+q.Burst)*(1+b.Overage) + b.Slack
}

// fallback returns what all instances together may use in a window without a granter.
func (b QuotaBounds) fallback(q Quota) float64 {
	return fallbackShare * (b.total(q) - q.PerSecond*b.Window.Seconds())
}

// Quotas is one instance's part in keeping the quotas of accounts. The zero value is not
// usable; see NewQuotas.
type Quotas struct {
	self   string
	bounds QuotaBounds
	now    func() time.Time

	mu        sync.Mutex
	quotas    map[string]Quota // by the name of the account
	accounts  []string         // those with a quota, in order
	startedAt time.Time
	// The remaining fields are those of delegations, of the granter and of the asker.
	delegations delegations
	ledgers     map[string]*ledger
	// nextLease identifies leases. It starts at random, so that an instance that restarts does
	// not take the leases of its last incarnation for its own.
	nextLease int64
	pools     map[string]*pool
}

// QuotasOption configures Quotas in NewQuotas.
type QuotasOption func(*Quotas)

// WithQuotaClock sets the clock. It must keep running while the machine is suspended.
func WithQuotaClock(now func() time.Time) QuotasOption { return func(q *Quotas) { q.now = now } }

// NewQuotas returns the quotas of the instance self, which knows no account and no other
// instance.
func NewQuotas(self string, bounds QuotaBounds, options ...QuotasOption) *Quotas {
	q := &Quotas{
		self: self, bounds: bounds, now: timekeeper.BootTime, quotas: map[string]Quota{}, ledgers: map[string]*ledger{},
		pools: map[string]*pool{},
	}
	for _, option := range options {
		option(q)
	}
	q.startedAt = q.now()
	q.nextLease = int64(xxhash.Sum64String(self+strconv.FormatInt(time.Now().UnixNano(), 10)) >> 16)
	q.delegations = newDelegations()
	q.SetMembers(nil, nil)
	return q
}

// SetQuotas sets the quotas of all accounts. An account without one is not limited.
func (q *Quotas) SetQuotas(quotas map[string]Quota) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.quotas, q.accounts = quotas, sortedNames(quotas)
	isGone := func(account string) bool { return quotas[account].PerSecond <= 0 }
	maps.DeleteFunc(q.ledgers, func(account string, _ *ledger) bool { return isGone(account) })
	maps.DeleteFunc(q.pools, func(account string, _ *pool) bool { return isGone(account) })
}

func sortedNames(quotas map[string]Quota) []string { return slices.Sorted(maps.Keys(quotas)) }

// partsOf returns the parts of the quota of an account.
func partsOf(account string) [partsPerQuota]int {
	first := int(xxhash.Sum64String(account)%partGroups) * partsPerQuota
	out := [partsPerQuota]int{}
	for i := range out {
		out[i] = first + i
	}
	return out
}

// holderOf returns the instance that grants a part, of those that are live.
func holderOf(part int, live []string) string {
	return ranker.First("quota part "+strconv.Itoa(part), live)
}

package supervisor

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/fake/storer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// testHandover is the time that the platform asks for between the orders of two holders.
const testHandover = 3 * time.Second

// leaseStore holds the lease in virtual time. It can come back from a copy.
type leaseStore struct {
	*storer.Store
	now, awayUntil time.Time
}

func (s *leaseStore) get(table, key string) (messenger.Row, error) {
	if s.now.Before(s.awayUntil) {
		return messenger.Row{}, transactor.ErrUnavailable
	}
	return s.Get(table, key)
}

func (s *leaseStore) transact(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
	if s.now.Before(s.awayUntil) {
		return nil, transactor.ErrUnavailable
	}
	return s.Transact(req)
}

func (s *leaseStore) start(instance string) *orderPermit {
	now := func() time.Time { return s.now }
	l := leaser.New(instance, "1", leaser.Tables{Get: s.get, Transact: s.transact}, leaser.WithClock(now),
		leaser.WithTimes(leaser.Times{TTL: leaseTTL, Margin: leaseMargin, RenewInterval: leaseRenewInterval}))
	permit := newOrderPermit(l, testHandover)
	permit.now = now
	return permit
}

// awaitOrders has leases checked until a permit is granted, and returns how long that takes.
func (s *leaseStore) awaitOrders(t *testing.T, permit *orderPermit, others ...*orderPermit) time.Duration {
	t.Helper()
	const patience = 10 * time.Second
	for start := s.now; s.now.Sub(start) < patience; s.now = s.now.Add(leaseCheckInterval) {
		for _, p := range append(others, permit) {
			_ = p.leaser.Tick() // refused while the store is away
		}
		if _, ok := permit.Grant(); ok {
			return s.now.Sub(start)
		}
	}
	require.Fail(t, "no order may be sent")
	return 0
}

// passAway has leases checked while the store is away, and then tells them of its epoch.
func (s *leaseStore) passAway(permits ...*orderPermit) {
	for ; s.now.Before(s.awayUntil); s.now = s.now.Add(leaseCheckInterval) {
		for _, p := range permits {
			_ = p.leaser.Tick() // refused
		}
	}
	for _, p := range permits {
		p.leaser.ObserveEpoch(s.Epoch)
	}
}

// newRestore returns a store that went away just now, after a holder has sent orders for two seconds, and that comes back
// from a copy of the holder's first grant, or of nobody.
func newRestore(t *testing.T, away time.Duration, isCopied bool) (s *leaseStore, holder, other *orderPermit) {
	t.Helper()
	s = &leaseStore{Store: storer.New(1), now: time.Unix(1000, 0)}
	s.ChecksEpoch = true
	holder, other = s.start("holder"), s.start("other")
	s.awaitOrders(t, holder)
	copied := storer.New(0).Copy()
	if isCopied {
		copied = s.Copy()
	}
	for end := s.now.Add(2 * time.Second); s.now.Before(end); s.now = s.now.Add(leaseCheckInterval) {
		require.NoError(t, holder.leaser.Tick())
		require.NoError(t, other.leaser.Tick())
	}
	_, ok := holder.Grant()
	require.True(t, ok)
	s.awayUntil = s.now.Add(away)
	s.Restore(copied)
	return s, holder, other
}

// TestOrdersAfterRestore guards against a long time without orders after a restore of the store, and against orders of
// another instance within the time of a handover.
func TestOrdersAfterRestore(t *testing.T) {
	for _, away := range []time.Duration{0, 500 * time.Millisecond, time.Second, 2 * time.Second, 8 * time.Second} {
		for name, isCopied := range map[string]bool{"copy of nobody": false, "copy of the holder": true} {
			t.Run(name+" after "+away.String()+", the holder goes on", func(t *testing.T) {
				s, holder, other := newRestore(t, away, isCopied)
				s.passAway(holder, other)
				took := s.awaitOrders(t, holder, other)
				assert.LessOrEqual(t, took, leaseTTL+time.Second)
				if away <= time.Second {
					assert.LessOrEqual(t, took, leaseCheckInterval, "it is surely the last holder")
				}
			})
			t.Run(name+" after "+away.String()+", the holder is lost", func(t *testing.T) {
				s, _, other := newRestore(t, away, isCopied)
				lastOrder := s.now
				s.passAway(other)
				took := s.awaitOrders(t, other)
				assert.GreaterOrEqual(t, s.now.Sub(lastOrder), testHandover)
				assert.LessOrEqual(t, took, leaseTTL+testHandover+time.Second)
			})
		}
	}
}

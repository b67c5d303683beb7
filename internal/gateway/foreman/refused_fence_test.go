package foreman

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/fake/storer"
	"github.com/crocusring/crocusring/internal/gateway/placer"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	leaseTTL = 1500 * time.Millisecond
	// leaseTick is the time between two checks of the lease, and storeDelay the time of a call to the store.
	leaseTick  = 100 * time.Millisecond
	storeDelay = 20 * time.Millisecond
)

// slowTables returns the tables of a store whose calls take storeDelay.
func slowTables(store *storer.Store) leaser.Tables {
	return leaser.Tables{
		Get: func(table, key string) (messenger.Row, error) {
			time.Sleep(storeDelay)
			return store.Get(table, key)
		},
		Transact: func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
			time.Sleep(storeDelay)
			return store.Transact(req)
		},
	}
}

// newLease returns a leaser that ticks until ctx is done, and holds the lease already.
func newLease(ctx context.Context, t *testing.T) *leaser.Leaser {
	t.Helper()
	l := leaser.New("here", "1", slowTables(storer.New(1)),
		leaser.WithTimes(leaser.Times{TTL: leaseTTL, Margin: 400 * time.Millisecond, RenewInterval: 400 * time.Millisecond}))
	for isHeld := false; !isHeld; _, isHeld = l.Held(time.Now()) {
		require.NoError(t, l.Tick()) // a fresh system may have to wait
		time.Sleep(leaseTick)
	}
	go func() {
		for ctx.Err() == nil {
			_ = l.Tick() // the store answers always
			time.Sleep(leaseTick)
		}
	}()
	return l
}

// refusedTokens watches the orders that a target gets.
type refusedTokens struct {
	highest int64 // the highest token that was refused
	repeats int   // orders whose token is no higher than one that was refused before
}

func (r *refusedTokens) watch(order func(*registrar.Target, Order) (bool, error)) func(*registrar.Target, Order) (bool, error) {
	return func(t *registrar.Target, o Order) (bool, error) {
		if o.Fence <= r.highest {
			r.repeats++
		}
		done, err := order(t, o)
		if errors.Is(err, ErrFenced) {
			r.highest = max(r.highest, o.Fence)
		}
		return done, err
	}
}

// awaitOrder asks for an adapter every 100 ms until it is loaded, and returns how long that takes.
func awaitOrder(f *Foreman, patience time.Duration) (time.Duration, error) {
	start, err := time.Now(), ErrNotHolder
	for err != nil && time.Since(start) < patience {
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		_, err = f.EnsureAdapter(ctx, "s", "m0", "a1")
		cancel()
		if err != nil {
			time.Sleep(100 * time.Millisecond)
		}
	}
	return time.Since(start), err
}

// TestOrdersGoOnAfterRefusedFence guards against a holder that waits for good, since a target has refused its token
// although the lease is its own.
func TestOrdersGoOnAfterRefusedFence(t *testing.T) {
	for _, above := range []int64{1, 30, 1000, 1 << 20, 1 << 24} {
		t.Run(fmt.Sprintf("%d above", above), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				c, _, f := newTestCluster(1, 1)
				ctx, cancel := context.WithCancel(t.Context())
				defer func() {
					cancel()
					time.Sleep(time.Second) // all goroutines end
				}()
				lease := newLease(ctx, t)
				refused := &refusedTokens{}
				f.calls.Order = refused.watch(c.order)
				f.calls.Fenced = lease.NoteRefused
				f.calls.Grant = func() (Grant, bool) {
					grant, isHeld := lease.Held(time.Now())
					return Grant{Fence: grant.Fence}, isHeld
				}
				first, isHeld := lease.Held(time.Now())
				require.True(t, isHeld)
				c.engines["t0"].fence = first.Fence + above
				go f.Run(ctx)
				took, err := awaitOrder(f, time.Minute)
				require.NoError(t, err)
				t.Logf("orders again after %v", took)
				assert.LessOrEqual(t, took, leaseTTL+time.Second)
				assert.Zero(t, refused.repeats, "orders with a token that was refused")
			})
		})
	}
}

// TestReacquisitionKeepsAcceptedOrders guards against a holder that takes the lease anew and forgets what the target
// table does not show yet.
func TestReacquisitionKeepsAcceptedOrders(t *testing.T) {
	c, r, f := newTestCluster(1, 1)
	f.Tick()
	_, err := ensureAdapter(t, f, "a1")
	require.NoError(t, err)
	f.move(placer.Move{Target: r.View().Targets["t0"], Model: "m1"})
	require.True(t, c.engines["t0"].models["m1"])
	c.mu.Lock()
	c.fence = 1 << 33
	c.mu.Unlock()
	f.beginTerm(r.View())
	f.mu.Lock()
	defer f.mu.Unlock()
	site := f.worstCaseState(r.View().Targets["t0"], nil)
	assert.Equal(t, []string{"a1"}, site.Adapters["m0"])
	assert.True(t, site.Models["m1"])
}

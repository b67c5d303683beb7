package supervisor

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// leaseTick is the time between two looks at whether something is due.
	leaseTick = 100 * time.Millisecond
	// leaseLife, leaseMargin and leaseRenew are the times of the lease on orders: a
	// holder gives up after 1.1 s without a renewal, which two slow ones fit into.
	leaseLife   = 1500 * time.Millisecond
	leaseMargin = 400 * time.Millisecond
	leaseRenew  = 400 * time.Millisecond
	// holderSilence is how long a holder may be silent until others look at the lease,
	// and silentIntervals the same in intervals of news where those are longer.
	holderSilence   = 700 * time.Millisecond
	silentIntervals = 2.5
	// contendStep is how much later one looks at the lease for each instance of its data
	// centre that goes before it.
	contendStep = 1500 * time.Millisecond
	// handoverMargin is added to the least time between orders of two holders,
	// for the time that an order is on its way.
	handoverMargin = 300 * time.Millisecond
)

func newLeaser(settings messenger.GatewaySettings, incarnation int64, platform Platform) *leaser.Leaser {
	tables := leaser.Tables{Get: platform.Get, Clock: platform.Clock, Transact: func(req messenger.TransactRequest) ([]int64, error) {
		version, err := platform.Transact(req)
		versions := make([]int64, len(req.Writes))
		for i := range versions {
			versions[i] = version
		}
		return versions, err
	}}
	return leaser.New(settings.Instance, strconv.FormatInt(incarnation, 10), tables,
		leaser.WithTimes(leaser.Times{Life: leaseLife, Margin: leaseMargin, Renew: leaseRenew}),
		leaser.WithClock(timekeeper.Boot))
}

// right is the right to give orders: the lease, once the orders of an earlier
// holder are far enough back.
type right struct {
	leaser *leaser.Leaser
	// between is the least time between orders of two holders.
	between time.Duration

	mu    sync.Mutex
	fence int64
	// from is when this holder may give its first order.
	from time.Time
}

func newRight(l *leaser.Leaser, between time.Duration) *right {
	return &right{leaser: l, between: between}
}

// Grant returns the right to give orders now; false without it.
func (r *right) Grant() (foreman.Grant, bool) {
	now := timekeeper.Boot()
	grant, ok := r.leaser.Held(now)
	if !ok {
		return foreman.Grant{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if grant.Fence != r.fence {
		r.fence = grant.Fence
		r.from = now
		if !grant.ClearedAt.IsZero() {
			r.from = grant.ClearedAt.Add(r.between + handoverMargin)
		}
	}
	return foreman.Grant{Fence: grant.Fence}, !now.Before(r.from)
}

// holdLease renews the lease, or contends for it while no peer says that it holds it.
func (s *Supervisor) holdLease(ctx context.Context) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	held := false
	unheldSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		grant, isHolder := s.leaser.Held(timekeeper.Boot())
		if isHolder != held {
			held = isHolder
			s.log.Info("lease on orders", "held", held, "fence", grant.Fence)
		}
		isHeld := isHolder || s.holder() != ""
		if isHeld {
			unheldSince = time.Now()
		}
		if s.leaving.Load() {
			continue
		}
		if isHolder || (!isHeld && s.mayContend(unheldSince)) {
			if err := s.leaser.Tick(); err != nil {
				s.log.Info("lease not renewed or taken", "error", err.Error())
			}
		}
	}
}

// mayContend reports whether this instance looks at the lease, given since when no peer
// has said that it holds it. Each look is a call to the store: those that go before this
// one in its data centre look first, and it does if none of them takes it.
func (s *Supervisor) mayContend(unheldSince time.Time) bool {
	if s.targets.Version() == 0 {
		return false
	}
	ahead := len(s.readers())
	return time.Since(unheldSince) >= time.Duration(ahead)*contendStep
}

// holder returns the peer address of the peer that says that it holds the lease;
// empty if none does.
func (s *Supervisor) holder() string {
	silence := max(holderSilence, time.Duration(silentIntervals*float64(s.informer.Interval())))
	for _, peer := range s.informer.Peers() {
		if peer.News.Holder && time.Since(peer.HeardAt) < silence {
			return peer.News.PeerAddress
		}
	}
	return ""
}

package supervisor

import (
	"context"
	"strconv"
	"sync"
	"time"

	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// leaseCheckInterval is the time between two checks whether the lease must be renewed
	// or can be acquired.
	leaseCheckInterval = 100 * time.Millisecond
	// leaseTTL, leaseMargin and leaseRenewInterval are the times of the lease on orders.
	// A holder stops sending orders after 1.1 s (leaseTTL less leaseMargin) without a
	// renewal, which leaves time for two slow ones.
	leaseTTL           = 1500 * time.Millisecond
	leaseMargin        = 400 * time.Millisecond
	leaseRenewInterval = 400 * time.Millisecond
	// maxHolderSilence is how long a holder may be silent before others check the lease,
	// and maxSilentIntervals the same in status intervals. The longer of the two applies.
	maxHolderSilence   = 700 * time.Millisecond
	maxSilentIntervals = 2.5
	// contendDelay is by how much an instance delays its attempt to acquire the lease for
	// each instance that reads the store for it.
	contendDelay = 1500 * time.Millisecond
	// handoverMargin is added to the shortest time between orders of two holders, to
	// allow for orders that are still in transit.
	handoverMargin = 300 * time.Millisecond
)

func newLeaser(settings messenger.GatewaySettings, incarnation int64, platform Platform, log logr.Logger) *leaser.Leaser {
	tables := leaser.Tables{Get: platform.Get, Clock: platform.Clock, Transact: func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		version, err := platform.Transact(req)
		versions := make([]messenger.StoreVersion, len(req.Writes))
		for i := range versions {
			versions[i] = version
		}
		return versions, err
	}}
	return leaser.New(settings.Instance, strconv.FormatInt(incarnation, 10), tables,
		leaser.WithTimes(leaser.Times{TTL: leaseTTL, Margin: leaseMargin, RenewInterval: leaseRenewInterval}),
		leaser.WithClock(timekeeper.BootTime), leaser.WithObserver(func(a leaser.Acquisition) { logAcquisition(log, a) }))
}

// logAcquisition logs from which row the lease was taken.
func logAcquisition(log logr.Logger, a leaser.Acquisition) {
	log.Info("lease on orders acquired", "fence", a.Fence, "epoch", a.Row.Epoch, "rowVersion", a.Row.Number,
		"oldHolder", a.Old.Holder, "oldIncarnation", a.Old.Incarnation, "oldFence", a.Old.Fence, "oldReleased", a.Old.Released,
		"oldEpoch", a.OldRow.Epoch, "oldRowVersion", a.OldRow.Number)
}

// orderPermit grants the right to send orders to the holder of the lease on orders once
// enough time has passed since the orders of the previous holder.
type orderPermit struct {
	leaser *leaser.Leaser
	now    func() time.Time
	// handover is the shortest time between orders of two holders.
	handover time.Duration

	mu    sync.Mutex
	fence int64
	// validFrom is when this holder may send its first order.
	validFrom time.Time
}

func newOrderPermit(l *leaser.Leaser, handover time.Duration) *orderPermit {
	return &orderPermit{leaser: l, now: timekeeper.BootTime, handover: handover}
}

// Grant returns the current right to send orders; false if there is none.
func (p *orderPermit) Grant() (foreman.Grant, bool) {
	now := p.now()
	grant, ok := p.leaser.Held(now)
	if !ok {
		return foreman.Grant{}, false
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	if grant.Fence != p.fence {
		p.fence = grant.Fence
		p.validFrom = now
		if !grant.PreviousEndedAt.IsZero() {
			p.validFrom = grant.PreviousEndedAt.Add(p.handover + handoverMargin)
		}
	}
	return foreman.Grant{Fence: grant.Fence}, !now.Before(p.validFrom)
}

// maintainLease renews the lease, or contends for it while no peer reports that it holds
// it.
func (s *Supervisor) maintainLease(ctx context.Context) {
	ticker := time.NewTicker(leaseCheckInterval)
	defer ticker.Stop()
	held := false
	unheldSince := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		grant, isHolder := s.leaser.Held(timekeeper.BootTime())
		if isHolder != held {
			held = isHolder
			s.log.Info("lease on orders", "held", held, "fence", grant.Fence)
		}
		isHeld := isHolder || s.holderAddress() != ""
		if isHeld {
			unheldSince = time.Now()
		}
		if s.leaving.Load() {
			continue
		}
		if isHolder || (!isHeld && (s.leaser.IsLastHolder() || s.mayContend(unheldSince))) {
			if err := s.leaser.Tick(); err != nil {
				s.log.Info("lease not renewed or acquired", "error", err.Error())
			}
		}
	}
}

// mayContend reports whether this instance contends for the lease, given the time since
// which no peer has reported that it holds it. Each attempt is a call to the store: the
// instances that read the store for this one try first, and this one tries only if none
// of them acquires it.
func (s *Supervisor) mayContend(unheldSince time.Time) bool {
	if s.targets.Version().IsZero() {
		return false
	}
	readers := len(s.storeReaders())
	return time.Since(unheldSince) >= time.Duration(readers)*contendDelay
}

// holderAddress returns the peer address of the peer that reports that it holds the
// lease; empty if none does.
func (s *Supervisor) holderAddress() string {
	silence := max(maxHolderSilence, time.Duration(maxSilentIntervals*float64(s.informer.Interval())))
	for _, peer := range s.informer.Peers() {
		if peer.LastStatus.Holder && time.Since(peer.ReceivedAt) < silence {
			return peer.LastStatus.PeerAddress
		}
	}
	return ""
}

package supervisor

import (
	"context"
	"strconv"
	"sync"
	"time"

	"golang.org/x/sys/unix"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// leaseTick is the time between two looks at whether something is due.
	leaseTick = 200 * time.Millisecond
	// leaseLife, leaseMargin and leaseRenew are the times of the lease on orders.
	// A holder gives up after 1.6 s without a renewal.
	leaseLife   = 2200 * time.Millisecond
	leaseMargin = 600 * time.Millisecond
	leaseRenew  = 500 * time.Millisecond
	// handoverMargin is added to the least time between orders of two holders,
	// for the time that an order is on its way.
	handoverMargin = 300 * time.Millisecond
)

// bootTime is a clock that also runs while the machine is suspended, and that no
// change of the time of day moves.
func bootTime() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// The clock exists since Linux 2.6.39; without it a suspend goes unnoticed.
		return time.Now()
	}
	return time.Unix(ts.Unix())
}

func newLeaser(settings messenger.GatewaySettings, incarnation int64, platform Platform) *leaser.Leaser {
	tables := leaser.Tables{Get: platform.Get, Transact: func(req messenger.TransactRequest) ([]int64, error) {
		version, err := platform.Transact(req)
		versions := make([]int64, len(req.Writes))
		for i := range versions {
			versions[i] = version
		}
		return versions, err
	}}
	return leaser.New(settings.Instance, strconv.FormatInt(incarnation, 10), tables,
		leaser.WithTimes(leaser.Times{Life: leaseLife, Margin: leaseMargin, Renew: leaseRenew}),
		leaser.WithClock(bootTime))
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
	now := bootTime()
	grant, ok := r.leaser.Held(now)
	if !ok {
		return foreman.Grant{}, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if grant.Fence != r.fence {
		r.fence = grant.Fence
		r.from = now
		if grant.Fence > 1 { // the first holder follows nobody
			r.from = now.Add(r.between + handoverMargin)
		}
	}
	return foreman.Grant{Fence: grant.Fence}, !now.Before(r.from)
}

// holdLease renews the lease, or contends for it while no peer says that it holds it.
func (s *Supervisor) holdLease(ctx context.Context) {
	ticker := time.NewTicker(leaseTick)
	defer ticker.Stop()
	held := false
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
		}
		grant, isHolder := s.leaser.Held(bootTime())
		if isHolder != held {
			held = isHolder
			s.log.Info("lease on orders", "held", held, "fence", grant.Fence)
		}
		if s.leaving.Load() || (!isHolder && s.holder() != "") {
			continue
		}
		if err := s.leaser.Tick(); err != nil {
			s.log.Info("lease not renewed or taken", "error", err.Error())
		}
	}
}

// holder returns the peer address of the peer that says that it holds the lease;
// empty if none does.
func (s *Supervisor) holder() string {
	for _, peer := range s.informer.Peers() {
		if peer.News.Holder {
			return peer.News.PeerAddress
		}
	}
	return ""
}

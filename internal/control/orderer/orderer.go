// Package orderer carries out plans. It records each order in the table service
// in a transaction that requires the fencing number of the control lease, and
// only then sends it. See Ledger for why that keeps memory from being
// overcommitted.
package orderer

import (
	"encoding/json"
	"maps"
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"golang.org/x/sync/errgroup"
	"golang.org/x/time/rate"

	"github.com/crocusring/crocusring/internal/control/leaser"
	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	ledgerTable = "ledger"
	// reportTrust is how old the report of a target may be for orders to be sent to it.
	reportTrust = 5 * time.Second
	// cacheShare is the part of a target's memory that is left to its prefix cache.
	cacheShare = 0.1
	mostAtOnce = 32   // engines sent to at once
	mostFates  = 4096 // fates of own orders that are remembered
)

// Orderer acts for the holder of the control lease. It is used by one goroutine.
type Orderer struct {
	fleet   *keeper.Fleet
	catalog func() *keeper.Catalog
	rates   func() map[string]float64
	policy  planner.Policy
	history planner.History
	limits  Limits

	now      func() time.Time
	plan     func(planner.Input) []planner.Move
	scan     func(table, prefix string) ([]messenger.Row, error)
	transact func(messenger.TransactRequest) error
	order    func(address string, order messenger.EngineOrder) error
	atOnce   int

	fence   int64     // that the ledgers were read under; 0 if they were not read
	readAt  time.Time // after the ledgers were read
	ledgers map[string]*Ledger
	weights *rate.Limiter
	ticks   int64

	mu    sync.Mutex
	fates map[string]fate       // by order ID
	known []string              // order IDs in fates, oldest first
	ended map[grantID]time.Time // since when senders are known to send no more
}

// fate is what this process knows about an order of its own.
type fate struct {
	// dead tells that the order was not sent, or was refused.
	dead    bool
	endedAt time.Time
}

// grantID names a grant of the lease to a process.
type grantID struct {
	process string
	fence   int64
}

// Option configures an Orderer.
type Option func(*Orderer)

// WithLimits replaces the limits on what is under way.
func WithLimits(l Limits) Option { return func(o *Orderer) { o.limits = l } }

// DefaultLimits are used where no others are given.
func DefaultLimits() Limits {
	return Limits{
		WeightLoads:  3,
		WeightRate:   2,
		AdapterLoads: 16,
		OrderWait:    1500 * time.Millisecond,
		DrainGrace:   1500 * time.Millisecond,
		DrainLimit:   time.Minute,
		StrayHold:    5 * time.Second,
	}
}

// New returns an orderer. catalog returns the configuration in force and rates
// the requests per second by model over all instances.
func New(
	tables *transactor.Client, engines *commander.Client, fleet *keeper.Fleet,
	catalog func() *keeper.Catalog, rates func() map[string]float64, policy planner.Policy, opts ...Option,
) *Orderer {
	o := &Orderer{
		fleet: fleet, catalog: catalog, rates: rates, policy: policy, limits: DefaultLimits(),
		now: time.Now, scan: tables.Scan, transact: tables.Transact, order: engines.Send, atOnce: mostAtOnce,
		fates: map[string]fate{}, ended: map[grantID]time.Time{},
	}
	o.plan = o.history.Plan
	for _, opt := range opts {
		opt(o)
	}
	return o
}

// Tick reconciles the ledgers with the reports, plans, records the orders and
// sends them.
func (o *Orderer) Tick(now time.Time, grant leaser.Grant) error {
	if o.fence != grant.Fence {
		if err := o.readLedgers(now, grant); err != nil {
			return err
		}
	}
	o.ticks++
	r := o.newRound(now, grant)
	r.run(func(targets []planner.Target) []planner.Move {
		return o.plan(planner.Input{
			Now: now, Catalog: r.catalog, Targets: targets, Rates: o.rates(), Policy: o.policy,
		})
	})
	recorded, err := o.record(r, grant)
	o.publish(r)
	o.send(recorded, grant)
	return err
}

// readLedgers reads what earlier holders recorded. Since it is not known when
// they last loaded a model, the pace begins without a load in hand.
func (o *Orderer) readLedgers(now time.Time, grant leaser.Grant) error {
	rows, err := o.scan(ledgerTable, "")
	if err != nil {
		return err
	}
	ledgers := map[string]*Ledger{}
	for _, row := range rows {
		l := &Ledger{}
		if err := json.Unmarshal(row.Value, l); err != nil {
			return errors.Wrapf(err, "ledger row %s", row.Key)
		}
		l.version = row.Version
		ledgers[row.Key] = l
	}
	o.ledgers = ledgers
	o.readAt = o.now()
	o.fence = grant.Fence
	if o.weights == nil {
		o.weights = rate.NewLimiter(rate.Limit(o.limits.WeightRate), 1)
	}
	o.weights.AllowN(now, 1)
	return nil
}

func (o *Orderer) newRound(now time.Time, grant leaser.Grant) *round {
	view := o.fleet.View()
	r := &round{
		now:     now,
		by:      sender{instance: grant.Instance, process: grant.Incarnation, fence: grant.Fence, tick: o.ticks},
		limits:  o.limits,
		weights: o.weights,
		catalog: o.catalog(),
		dead:    o.isDead,
	}
	r.endedAt = func(s Send) time.Time { return o.endedAt(s, r, view) }
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		if t.Kind != keeper.Engine {
			continue
		}
		l := &Ledger{Target: id}
		if known := o.ledgers[id]; known != nil {
			l = known.clone()
		}
		l.checks = t.ChecksFencing
		fresh := t.ReportedAt.After(o.readAt) && now.Sub(t.ReportedAt) <= reportTrust
		r.sites = append(r.sites, &site{target: t, ledger: l, fresh: fresh})
	}
	return r
}

// record stores the changed ledgers and returns the sites whose orders may be
// sent. After an unknown outcome all ledgers are read again.
func (o *Orderer) record(r *round, grant leaser.Grant) ([]*site, error) {
	recorded := []*site{}
	for i, s := range r.sites {
		if !s.changed {
			continue
		}
		if err := o.write(s.ledger, grant); err != nil {
			o.fence = 0
			for _, left := range r.sites[i:] {
				o.dropOrders(left.orders)
			}
			return recorded, err
		}
		recorded = append(recorded, s)
	}
	return recorded, nil
}

func (o *Orderer) write(l *Ledger, grant leaser.Grant) error {
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode ledger")
	}
	err = o.transact(messenger.TransactRequest{
		Conditions: []messenger.Condition{
			grant.FenceCondition,
			{Table: ledgerTable, Key: l.Target, Version: l.version},
		},
		Writes: []messenger.Write{{Table: ledgerTable, Key: l.Target, Value: value}},
	})
	if err != nil {
		return err
	}
	l.version++
	o.ledgers[l.Target] = l
	return nil
}

// publish tells the request path which holdings take no new requests.
func (o *Orderer) publish(r *round) {
	for _, s := range r.sites {
		names := s.ledger.draining()
		if !slices.Equal(names, s.target.Draining) {
			o.fleet.ChangeTarget(s.target.ID, func(t *keeper.Target) { t.Draining = names })
		}
	}
}

// send sends recorded orders, those for one target in order.
func (o *Orderer) send(sites []*site, grant leaser.Grant) {
	var group errgroup.Group
	group.SetLimit(o.atOnce)
	for _, s := range sites {
		group.Go(func() error {
			o.sendTo(s.target.Address, s.orders, grant)
			return nil
		})
	}
	_ = group.Wait()
}

// sendTo sends orders to one target up to the first that fails. The check of the
// deadline spares the successor an open order; nothing depends on it.
func (o *Orderer) sendTo(address string, orders []messenger.EngineOrder, grant leaser.Grant) {
	for i, order := range orders {
		if !o.now().Before(grant.Deadline) {
			o.dropOrders(orders[i:])
			return
		}
		err := o.order(address, order)
		isDead := errors.Is(err, commander.ErrNotApplied) || errors.Is(err, commander.ErrOldFence)
		o.setFate(order.ID, fate{dead: isDead, endedAt: o.now()})
		if err != nil {
			o.dropOrders(orders[i+1:])
			return
		}
	}
}

// dropOrders notes that orders were not sent.
func (o *Orderer) dropOrders(orders []messenger.EngineOrder) {
	for _, order := range orders {
		o.setFate(order.ID, fate{dead: true, endedAt: o.now()})
	}
}

func (o *Orderer) setFate(orderID string, f fate) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.known) >= mostFates {
		delete(o.fates, o.known[0])
		o.known = o.known[1:]
	}
	o.fates[orderID] = f
	o.known = append(o.known, orderID)
}

func (o *Orderer) isDead(orderID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.fates[orderID].dead
}

// endedAt returns since when the sender of an order is known not to be sending
// it any more: its call returned, its process said so, or its process was
// replaced by another of the same instance.
func (o *Orderer) endedAt(s Send, r *round, view *keeper.View) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if f, ok := o.fates[s.OrderID]; ok {
		return f.endedAt
	}
	if !hasEnded(s, r.by, view.Instances[s.Instance]) {
		return time.Time{}
	}
	grant := grantID{process: s.Process, fence: s.leaseFence()}
	if _, known := o.ended[grant]; !known {
		o.ended[grant] = r.now
	}
	return o.ended[grant]
}

func hasEnded(s Send, by sender, in *keeper.Instance) bool {
	switch {
	case s.Instance == by.instance:
		return s.Process != by.process
	case in == nil:
		return false
	case s.Process == in.Incarnation:
		return s.leaseFence() < in.QuietFence
	}
	return slices.Contains(in.Retired, s.Process)
}

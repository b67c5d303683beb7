// Package orderer executes plans by sending load and unload orders to engines. It
// first records each order in the table service, in a transaction that requires
// the fencing token of the control lease. See Ledger for why that keeps the memory
// of engines from being overcommitted.
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
	// maxReportAge bounds the age of a target's report for which orders are sent to it.
	maxReportAge = 5 * time.Second
	// prefixCacheShare is the fraction of a target's memory that is left to its
	// prefix cache.
	prefixCacheShare   = 0.1
	defaultConcurrency = 32   // engines to which orders are sent concurrently
	maxOutcomes        = 4096 // remembered outcomes of orders that this process sent
)

// Orderer acts for the holder of the control lease. It is used by one goroutine.
type Orderer struct {
	fleet   *keeper.Fleet
	catalog func() *keeper.Catalog
	rates   func() map[string]float64
	policy  planner.Policy
	history planner.History
	limits  Limits

	now         func() time.Time
	plan        func(planner.Input) []planner.Move
	scan        func(table, prefix string) ([]messenger.Row, error)
	transact    func(messenger.TransactRequest) error
	order       func(address string, order messenger.EngineOrder) error
	concurrency int

	ledgersFence     int64     // lease fencing token under which the ledgers were read; 0 if they must be read
	ledgersReadAt    time.Time // time after the ledgers were read
	ledgers          map[string]*Ledger
	modelLoadLimiter *rate.Limiter
	ticks            int64

	mu          sync.Mutex
	outcomes    map[string]outcome    // by order ID
	outcomeIDs  []string              // order IDs in outcomes, oldest first
	endedGrants map[grantID]time.Time // time from which a grant is known to send no more orders
}

// outcome is what this process knows about an order that it recorded.
type outcome struct {
	// neverApplied means that the order was not sent or was refused.
	neverApplied bool
	endedAt      time.Time
}

// grantID identifies a grant of the lease to a process.
type grantID struct {
	process string
	fence   int64
}

// Option configures an Orderer.
type Option func(*Orderer)

// WithLimits replaces the default limits on orders.
func WithLimits(l Limits) Option { return func(o *Orderer) { o.limits = l } }

// DefaultLimits returns the limits of an Orderer without WithLimits.
func DefaultLimits() Limits {
	return Limits{
		ModelLoads:          3,
		ModelLoadsPerSecond: 2,
		AdapterLoads:        16,
		OrderTimeout:        1500 * time.Millisecond,
		DrainGrace:          1500 * time.Millisecond,
		DrainTimeout:        time.Minute,
		SettlingTime:        5 * time.Second,
	}
}

// New returns an orderer. catalog returns the current configuration; rates returns
// the requests per second by model, summed over all instances.
func New(
	tables *transactor.Client, engines *commander.Client, fleet *keeper.Fleet,
	catalog func() *keeper.Catalog, rates func() map[string]float64, policy planner.Policy, opts ...Option,
) *Orderer {
	o := &Orderer{
		fleet: fleet, catalog: catalog, rates: rates, policy: policy, limits: DefaultLimits(),
		now: time.Now, scan: tables.Scan, transact: tables.Transact, order: engines.Send, concurrency: defaultConcurrency,
		outcomes: map[string]outcome{}, endedGrants: map[grantID]time.Time{},
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
	if o.ledgersFence != grant.Fence {
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
	o.publishDraining(r)
	o.sendOrders(recorded, grant)
	return err
}

// readLedgers reads what earlier holders recorded. Since it is not known when they
// last ordered the load of a model, it uses up one load of the rate limit.
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
	o.ledgersReadAt = o.now()
	o.ledgersFence = grant.Fence
	if o.modelLoadLimiter == nil {
		o.modelLoadLimiter = rate.NewLimiter(rate.Limit(o.limits.ModelLoadsPerSecond), 1)
	}
	o.modelLoadLimiter.AllowN(now, 1)
	return nil
}

func (o *Orderer) newRound(now time.Time, grant leaser.Grant) *round {
	view := o.fleet.View()
	r := &round{
		now:              now,
		by:               sender{instance: grant.Instance, process: grant.Incarnation, fence: grant.Fence, tick: o.ticks},
		limits:           o.limits,
		modelLoadLimiter: o.modelLoadLimiter,
		catalog:          o.catalog(),
		neverApplied:     o.isNeverApplied,
	}
	r.endedAt = func(s Send) time.Time { return o.endedAt(s, r, view) }
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		if t.Kind != keeper.Engine {
			continue
		}
		l := &Ledger{Target: id}
		if stored := o.ledgers[id]; stored != nil {
			l = stored.clone()
		}
		l.checksFencing = t.ChecksFencing
		fresh := t.ReportedAt.After(o.ledgersReadAt) && now.Sub(t.ReportedAt) <= maxReportAge && !t.IsQuiet(now)
		r.engines = append(r.engines, &engineState{target: t, ledger: l, fresh: fresh})
	}
	return r
}

// record stores the changed ledgers and returns the engines to which orders may be
// sent. After a failed write, whose outcome may be unknown, all ledgers are read
// again.
func (o *Orderer) record(r *round, grant leaser.Grant) ([]*engineState, error) {
	recorded := []*engineState{}
	for i, s := range r.engines {
		if !s.changed {
			continue
		}
		if err := o.write(s.ledger, grant); err != nil {
			o.ledgersFence = 0
			for _, left := range r.engines[i:] {
				o.markUnsent(left.orders)
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

// publishDraining publishes in the fleet which holdings accept no new requests.
func (o *Orderer) publishDraining(r *round) {
	for _, s := range r.engines {
		names := s.ledger.draining()
		if !slices.Equal(names, s.target.Draining) {
			o.fleet.ChangeTarget(s.target.ID, func(t *keeper.Target) { t.Draining = names })
		}
	}
}

// sendOrders sends the recorded orders: targets concurrently, orders for one target
// in sequence.
func (o *Orderer) sendOrders(engines []*engineState, grant leaser.Grant) {
	var group errgroup.Group
	group.SetLimit(o.concurrency)
	for _, s := range engines {
		group.Go(func() error {
			o.sendTo(s.target, s.orders, grant)
			return nil
		})
	}
	_ = group.Wait()
}

// sendTo sends orders to one target up to the first that fails. The check of the
// deadline avoids an open order for the next holder; safety does not depend on it.
func (o *Orderer) sendTo(target *keeper.Target, orders []messenger.EngineOrder, grant leaser.Grant) {
	for i, order := range orders {
		if !o.now().Before(grant.Deadline) {
			o.markUnsent(orders[i:])
			return
		}
		err := o.order(target.Address, order)
		commander.NoteQuiet(o.fleet, target, o.now(), err)
		notApplied := errors.Is(err, commander.ErrNotApplied) || errors.Is(err, commander.ErrStaleFence)
		o.setOutcome(order.ID, outcome{neverApplied: notApplied, endedAt: o.now()})
		if err != nil {
			o.markUnsent(orders[i+1:])
			return
		}
	}
}

// markUnsent records that orders were not sent.
func (o *Orderer) markUnsent(orders []messenger.EngineOrder) {
	for _, order := range orders {
		o.setOutcome(order.ID, outcome{neverApplied: true, endedAt: o.now()})
	}
}

func (o *Orderer) setOutcome(orderID string, result outcome) {
	o.mu.Lock()
	defer o.mu.Unlock()
	if len(o.outcomeIDs) >= maxOutcomes {
		delete(o.outcomes, o.outcomeIDs[0])
		o.outcomeIDs = o.outcomeIDs[1:]
	}
	o.outcomes[orderID] = result
	o.outcomeIDs = append(o.outcomeIDs, orderID)
}

func (o *Orderer) isNeverApplied(orderID string) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	return o.outcomes[orderID].neverApplied
}

// endedAt returns the time from which the sender of an order is known not to send it
// any more: its call returned, its process reported so, or its process was replaced by
// another one of the same instance. It returns zero if that is not known.
func (o *Orderer) endedAt(s Send, r *round, view *keeper.View) time.Time {
	o.mu.Lock()
	defer o.mu.Unlock()
	if result, ok := o.outcomes[s.OrderID]; ok {
		return result.endedAt
	}
	if !senderEnded(s, r.by, view.Instances[s.Instance]) {
		return time.Time{}
	}
	grant := grantID{process: s.Process, fence: s.leaseFence()}
	if _, known := o.endedGrants[grant]; !known {
		o.endedGrants[grant] = r.now
	}
	return o.endedGrants[grant]
}

// senderEnded reports whether the process that recorded an order surely won't send
// it any more.
func senderEnded(s Send, by sender, in *keeper.Instance) bool {
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

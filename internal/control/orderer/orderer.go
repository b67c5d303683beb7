// Package orderer carries out plans. It records each order in the table service
// in a transaction that requires the fencing number of the control lease, and
// only then sends it.
package orderer

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

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
)

// Orderer acts for the holder of the control lease. It is used by one goroutine.
type Orderer struct {
	tables  *transactor.Client
	engines *commander.Client
	fleet   *keeper.Fleet
	catalog func() *keeper.Catalog
	rates   func() map[string]float64
	policy  planner.Policy

	fence   int64 // that the ledgers were read under; 0 if they were not read
	ledgers map[string]*Ledger
}

// New returns an orderer. catalog returns the configuration in force and rates
// the requests per second by model over all instances.
func New(
	tables *transactor.Client, engines *commander.Client, fleet *keeper.Fleet,
	catalog func() *keeper.Catalog, rates func() map[string]float64, policy planner.Policy,
) *Orderer {
	return &Orderer{tables: tables, engines: engines, fleet: fleet, catalog: catalog, rates: rates, policy: policy}
}

// Tick reconciles the ledgers with the reports, plans, records the orders and
// sends them.
func (o *Orderer) Tick(now time.Time, grant leaser.Grant) error {
	if o.fence != grant.Fence {
		if err := o.readLedgers(grant); err != nil {
			return err
		}
	}
	view := o.fleet.View()
	if err := o.reconcile(now, view, grant); err != nil {
		return err
	}
	moves := planner.Plan(planner.Input{
		Now: now, Catalog: o.catalog(), Targets: o.targets(now, view), Rates: o.rates(), Policy: o.policy,
	})
	return o.carryOut(view, moves, grant)
}

// readLedgers reads what earlier holders recorded.
func (o *Orderer) readLedgers(grant leaser.Grant) error {
	rows, err := o.tables.Scan(ledgerTable, "")
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
	o.fence = grant.Fence
	return nil
}

func (o *Orderer) ledger(target string) *Ledger {
	l := o.ledgers[target]
	if l == nil {
		l = &Ledger{Target: target}
		o.ledgers[target] = l
	}
	return l
}

func (o *Orderer) reconcile(now time.Time, view *keeper.View, grant leaser.Grant) error {
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		if t.Kind != keeper.Engine || now.Sub(t.ReportedAt) > reportTrust {
			continue
		}
		next := o.ledger(id).clone()
		if !next.reconcile(t.Report) {
			continue
		}
		if err := o.write(next, grant); err != nil {
			return err
		}
	}
	return nil
}

// write stores a ledger and keeps it once it is stored. After an unknown outcome
// all ledgers are read again.
func (o *Orderer) write(l *Ledger, grant leaser.Grant) error {
	value, err := json.Marshal(l)
	if err != nil {
		return errors.Wrap(err, "encode ledger")
	}
	err = o.tables.Transact(messenger.TransactRequest{
		Conditions: []messenger.Condition{
			grant.FenceCondition,
			{Table: ledgerTable, Key: l.Target, Version: l.version},
		},
		Writes: []messenger.Write{{Table: ledgerTable, Key: l.Target, Value: value}},
	})
	if err != nil {
		o.fence = 0
		return err
	}
	l.version++
	o.ledgers[l.Target] = l
	return nil
}

// targets returns the engines as the planner sees them.
func (o *Orderer) targets(now time.Time, view *keeper.View) []planner.Target {
	targets := []planner.Target{}
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		if t.Kind != keeper.Engine {
			continue
		}
		targets = append(targets, planner.Target{
			ID:          id,
			DataCentre:  t.DataCentre,
			MemoryBytes: int64(float64(t.MemoryBytes) * (1 - cacheShare)),
			Slots:       o.ledger(id).slots(),
			Usable:      !t.Leaving && now.Sub(t.ReportedAt) <= reportTrust,
		})
	}
	return targets
}

// carryOut records the moves of each target together, then sends them.
func (o *Orderer) carryOut(view *keeper.View, moves []planner.Move, grant leaser.Grant) error {
	byTarget := map[string][]planner.Move{}
	for _, m := range moves {
		byTarget[m.Target] = append(byTarget[m.Target], m)
	}
	for _, id := range slices.Sorted(maps.Keys(byTarget)) {
		t := view.Targets[id]
		next := o.ledger(id).clone()
		orders := record(next, byTarget[id], t.Incarnation, grant.Fence)
		if err := o.write(next, grant); err != nil {
			return err
		}
		o.send(t, orders)
	}
	return nil
}

// record enters moves into a ledger and returns the orders for them.
func record(l *Ledger, moves []planner.Move, incarnation string, fence int64) []messenger.EngineOrder {
	orders := make([]messenger.EngineOrder, 0, len(moves))
	for _, m := range moves {
		l.orders++
		id := fmt.Sprintf("%s.%d.%d.%d", l.Target, fence, l.version, l.orders)
		state := LoadOpen
		if m.Kind == planner.Unload {
			state = UnloadOpen
		}
		entry := Entry{Name: m.Name, Bytes: m.Bytes, State: state, OrderID: id, Fence: fence, Incarnation: incarnation}
		if known := l.find(m.Name); known != nil {
			*known = entry
		} else {
			l.Entries = append(l.Entries, entry)
		}
		orders = append(orders, messenger.EngineOrder{
			ID: id, Kind: string(m.Kind), Model: m.Name.Model, Adapter: m.Name.Adapter,
			Version: m.Name.Version, Bytes: m.Bytes, Fence: fence,
		})
	}
	return orders
}

// send sends recorded orders. An order that failed stays open in the ledger
// until the engine shows what became of it.
func (o *Orderer) send(t *keeper.Target, orders []messenger.EngineOrder) {
	for _, order := range orders {
		_ = o.engines.Send(t.Address, order)
	}
}

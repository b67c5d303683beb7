// Package leaser holds the control lease: a row in the table service with a
// fencing number that rises with each new holder. The lease says who plans; the
// fence row makes transactions of an earlier holder fail.
package leaser

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	leaseTable = "lease"
	leaseKey   = "control"
	fenceKey   = "fence"
	// leaseLife is how long a lease holds without renewal. Contenders wait for
	// it from when they saw the row change, so that no clocks are compared.
	leaseLife = 6 * time.Second
	// holderMargin is how much earlier than contenders the holder gives up.
	holderMargin = 2 * time.Second
	renewAfter   = time.Second
)

// Record is the value of the lease row.
type Record struct {
	Holder      string
	Incarnation string
	Fence       int64
	Renewals    int64
	Released    bool
}

// Leaser follows and contends for the lease.
type Leaser struct {
	instance    string
	incarnation string
	tables      *transactor.Client
	now         func() time.Time

	mu           sync.Mutex
	record       Record
	version      int64
	fenceVersion int64
	// seenAt is when this instance saw the row change last.
	seenAt time.Time
	// heldUntil is the deadline until which this instance may act as holder.
	heldUntil time.Time
	renewAt   time.Time
}

// New returns a leaser that holds nothing.
func New(instance, incarnation string, tables *transactor.Client) *Leaser {
	return &Leaser{instance: instance, incarnation: incarnation, tables: tables, now: time.Now}
}

// Grant is the right to act as holder until Deadline. Conditions of a
// transaction that acts for the holder include FenceCondition.
type Grant struct {
	Fence          int64
	Deadline       time.Time
	FenceCondition messenger.Condition
}

// Held returns the grant and whether this instance is the holder at now.
func (l *Leaser) Held(now time.Time) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.heldUntil) {
		return Grant{}, false
	}
	return Grant{
		Fence:    l.record.Fence,
		Deadline: l.heldUntil,
		FenceCondition: messenger.Condition{
			Table: leaseTable, Key: fenceKey, Version: l.fenceVersion,
		},
	}, true
}

// Holder returns the holder that this instance last heard of.
func (l *Leaser) Holder() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Tick renews the lease, or follows it and takes it over once it has lapsed.
func (l *Leaser) Tick() error {
	now := l.now()
	l.mu.Lock()
	held := now.Before(l.heldUntil)
	due := !now.Before(l.renewAt)
	l.mu.Unlock()
	switch {
	case held && !due:
		return nil
	case held:
		return l.renew(now)
	default:
		return l.contend(now)
	}
}

// renew writes the row again. The deadline counts from before the write.
func (l *Leaser) renew(now time.Time) error {
	l.mu.Lock()
	next := l.record
	version := l.version
	l.mu.Unlock()
	next.Renewals++
	err := l.write(next, []messenger.Condition{{Table: leaseTable, Key: leaseKey, Version: version}}, nil)
	switch {
	case err == nil:
		l.take(now, next, version+1)
		return nil
	case errors.Is(err, transactor.ErrUnknownOutcome):
		return l.settleRenewal(next, err)
	case errors.Is(err, transactor.ErrConflict):
		l.drop()
	}
	return err
}

// settleRenewal reads back a renewal whose answer was lost. A renewal that took
// effect changes the version that the next one must name; the deadline is not
// moved by it.
func (l *Leaser) settleRenewal(next Record, cause error) error {
	row, record, err := l.read()
	if err != nil {
		return cause
	}
	if record == next {
		l.mu.Lock()
		l.record = record
		l.version = row.Version
		l.mu.Unlock()
		return nil
	}
	return cause
}

func (l *Leaser) take(now time.Time, record Record, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = record
	l.version = version
	l.seenAt = now
	l.heldUntil = now.Add(leaseLife - holderMargin)
	l.renewAt = now.Add(renewAfter)
}

func (l *Leaser) drop() {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.heldUntil = time.Time{}
}

// contend follows the row and takes the lease once it did not change for its life.
func (l *Leaser) contend(now time.Time) error {
	row, record, err := l.read()
	if err != nil {
		return err
	}
	l.mu.Lock()
	if row.Version != l.version || l.seenAt.IsZero() {
		l.seenAt = now
	}
	l.version = row.Version
	l.record = record
	lapsed := row.Version == 0 || record.Released || !now.Before(l.seenAt.Add(leaseLife))
	l.mu.Unlock()
	if !lapsed {
		return nil
	}
	return l.acquire(now, row.Version, record)
}

func (l *Leaser) acquire(now time.Time, version int64, old Record) error {
	fence, err := l.tables.Get(leaseTable, fenceKey)
	if err != nil {
		return err
	}
	next := Record{Holder: l.instance, Incarnation: l.incarnation, Fence: old.Fence + 1}
	conditions := []messenger.Condition{
		{Table: leaseTable, Key: leaseKey, Version: version},
		{Table: leaseTable, Key: fenceKey, Version: fence.Version},
	}
	value, err := json.Marshal(next.Fence)
	if err != nil {
		return errors.Wrap(err, "encode fence")
	}
	err = l.write(next, conditions, []messenger.Write{{Table: leaseTable, Key: fenceKey, Value: value}})
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.fenceVersion = fence.Version + 1
	l.mu.Unlock()
	l.take(now, next, version+1)
	return nil
}

// Release gives the lease up, so that another instance takes it at once.
func (l *Leaser) Release() error {
	l.mu.Lock()
	held := l.now().Before(l.heldUntil)
	next := l.record
	version := l.version
	l.heldUntil = time.Time{}
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	return l.write(next, []messenger.Condition{{Table: leaseTable, Key: leaseKey, Version: version}}, nil)
}

func (l *Leaser) write(record Record, conditions []messenger.Condition, more []messenger.Write) error {
	value, err := json.Marshal(record)
	if err != nil {
		return errors.Wrap(err, "encode lease")
	}
	writes := append([]messenger.Write{{Table: leaseTable, Key: leaseKey, Value: value}}, more...)
	return l.tables.Transact(messenger.TransactRequest{Conditions: conditions, Writes: writes})
}

func (l *Leaser) read() (messenger.Row, Record, error) {
	row, err := l.tables.Get(leaseTable, leaseKey)
	if err != nil || row.Version == 0 {
		return row, Record{}, err
	}
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return row, record, errors.Wrap(err, "lease row")
	}
	return row, record, nil
}

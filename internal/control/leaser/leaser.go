// Package leaser elects the instance that plans, by a lease on a row of the table
// service. The row carries a fencing token that rises with each new holder. Each
// acquisition also writes the fence row, so that transactions that are
// conditional on it fail for every earlier holder.
//
// A service that comes back from a copy, in a later epoch, may have lost the last holders. A row of an
// earlier epoch is therefore no evidence that the lease is free, and the epoch leads the fencing token, so
// that tokens of two epochs differ.
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
	fenceKey   = "fence" // see fenceKeyOf
	// These are the defaults of Times.
	defaultTTL           = 6 * time.Second
	defaultMargin        = 2 * time.Second
	defaultRenewInterval = time.Second
	// followInterval is the time between two reads of a lease that another instance holds.
	followInterval = time.Second
)

// Times are the durations that govern a lease.
type Times struct {
	// TTL is how long a lease is valid without renewal. A contender counts it from
	// the moment when it saw the row change, so that no clocks are compared.
	TTL time.Duration
	// Margin is how much earlier the holder regards its lease as expired than
	// contenders do.
	Margin time.Duration
	// RenewInterval is the interval between two renewals.
	RenewInterval time.Duration
}

// Tables is the table service that stores the lease. Transact returns the new
// version of each written row.
type Tables struct {
	Get      func(table, key string) (messenger.Row, error)
	Transact func(messenger.TransactRequest) ([]messenger.StoreVersion, error)
	// Clock returns bounds on the current time of the service's clock, in
	// milliseconds, and whether they are known. If they aren't, contenders wait
	// for the whole TTL of the lease.
	Clock func() (earliest, latest int64, ok bool)
}

// TablesOf returns the tables of a service in which each write raises the version
// of its row by one.
func TablesOf(client *transactor.Client) Tables {
	return Tables{Get: client.Get, Clock: unknownClock, Transact: func(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
		versions := make([]messenger.StoreVersion, 0, len(req.Conditions))
		for _, c := range req.Conditions {
			versions = append(versions, messenger.StoreVersion{Epoch: c.Epoch, Number: c.Version + 1})
		}
		return versions, client.Transact(req)
	}}
}

func unknownClock() (earliest, latest int64, ok bool) { return 0, 0, false }

// condition requires a version of a row of the lease table.
func condition(key string, version messenger.StoreVersion) messenger.Condition {
	return messenger.Condition{Table: leaseTable, Key: key, Epoch: version.Epoch, Version: version.Number}
}

// Option configures a Leaser.
type Option func(*Leaser)

// WithTimes sets the durations of the lease; all instances must use the same.
func WithTimes(times Times) Option { return func(l *Leaser) { l.times = times } }

// WithClock sets the clock. If the clock stops while the machine is suspended, a
// holder regards an expired lease as valid after the machine resumes.
func WithClock(now func() time.Time) Option { return func(l *Leaser) { l.now = now } }

// Record is the value of the lease row.
type Record struct {
	Holder      string
	Incarnation string
	// Epoch is the epoch of the table service in which the record was written; 0 if it names none.
	Epoch    int64
	Fence    int64
	Renewals int64
	Released bool
	// Lapses is when the lease surely has expired unless it is renewed, in
	// milliseconds of the table service's clock; 0 if that clock is not known.
	Lapses int64
}

// Acquisition describes how this instance took the lease.
type Acquisition struct {
	// Fence is the fencing token of the new grant, and Row the version of the row that it is in.
	Fence int64
	Row   messenger.StoreVersion
	// Old is what the row said before, and OldRow its version then; zero if there was no row.
	Old    Record
	OldRow messenger.StoreVersion
}

// WithObserver sets the function that is called after each acquisition of the lease.
func WithObserver(observe func(Acquisition)) Option {
	return func(l *Leaser) { l.observe = observe }
}

// Leaser renews the lease of this instance, or follows that of another one and
// contends for it. It is safe for concurrent use.
type Leaser struct {
	instance    string
	incarnation string
	now         func() time.Time
	get         func(table, key string) (messenger.Row, error)
	transact    func(messenger.TransactRequest) ([]messenger.StoreVersion, error)
	clock       func() (earliest, latest int64, ok bool)
	times       Times
	observe     func(Acquisition)

	callMu sync.Mutex // serializes Tick and Release, including their calls to the table service

	mu sync.Mutex
	// record is what the row said when it was last read or written, at leaseVersion.
	record       Record
	leaseVersion messenger.StoreVersion
	// changeSeenAt is when this instance last saw the row change.
	changeSeenAt time.Time
	// epoch is the latest epoch of the table service that is known.
	epoch int64
	// knownFence is the highest fencing token that this instance has heard of.
	knownFence int64
	// grant is the last record that this instance wrote as holder, grantedAt is when it began to
	// write it, and grantVersion and fenceVersion are the versions of the rows.
	grant        Record
	grantedAt    time.Time
	grantVersion messenger.StoreVersion
	fenceVersion messenger.StoreVersion
	// refusals is how often the token of the grant was refused though the row names it.
	refusals int
	// isRefused is set until the lease is acquired anew with a higher token.
	isRefused bool
	// heldUntil is the deadline until which this instance may act as holder.
	heldUntil time.Time
	renewAt   time.Time
	// previousEndedAt is when the previous holder's grant ended, or zero.
	previousEndedAt time.Time
	// nextReadAt is when to read the lease of another holder again: at the latest
	// when it expires.
	nextReadAt time.Time
	released   bool
}

// New returns a leaser that does not hold the lease.
func New(instance, incarnation string, tables Tables, options ...Option) *Leaser {
	l := &Leaser{
		instance: instance, incarnation: incarnation, now: time.Now, get: tables.Get, transact: tables.Transact, clock: tables.Clock,
		observe: func(Acquisition) {},
		times:   Times{TTL: defaultTTL, Margin: defaultMargin, RenewInterval: defaultRenewInterval},
	}
	if l.clock == nil {
		l.clock = unknownClock
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Grant is the right to act as holder of the lease until Deadline. Each
// transaction on behalf of the holder must include FenceCondition.
type Grant struct {
	Instance       string
	Incarnation    string
	Fence          int64
	Deadline       time.Time
	FenceCondition messenger.Condition
	// PreviousEndedAt is when the previous holder's grant ended; zero if there was none.
	PreviousEndedAt time.Time
}

// Held returns the grant, and whether this instance holds the lease at now.
func (l *Leaser) Held(now time.Time) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.heldUntil) {
		return Grant{}, false
	}
	return Grant{
		Instance:        l.instance,
		Incarnation:     l.incarnation,
		Fence:           l.grant.Fence,
		Deadline:        l.heldUntil,
		PreviousEndedAt: l.previousEndedAt,
		FenceCondition:  condition(fenceKeyOf(l.fenceVersion.Epoch), l.fenceVersion),
	}, true
}

// Holder returns the lease record that this instance last read or wrote.
func (l *Leaser) Holder() Record {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.record
}

// Tick renews the lease if this instance holds it. Otherwise it reads the lease
// when due and acquires it once it has expired.
func (l *Leaser) Tick() error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	now := l.now()
	l.mu.Lock()
	held := now.Before(l.heldUntil)
	due := !now.Before(l.renewAt)
	isEarly := !held && now.Before(l.nextReadAt)
	mustAcquire := held && (l.grant.Epoch < l.epoch || l.isRefused)
	released := l.released
	l.mu.Unlock()
	switch {
	case released || isEarly:
		return nil
	case mustAcquire:
		return l.contend()
	case held && !due:
		return nil
	case held:
		return l.renew(now)
	default:
		return l.follow(now)
	}
}

// follow reads the lease, contends for it, and schedules the next read.
func (l *Leaser) follow(now time.Time) error {
	err := l.contend()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.nextReadAt = now.Add(l.readInterval(err))
	if expiresAt := l.expiresAt(now); expiresAt.After(now) && expiresAt.Before(l.nextReadAt) {
		l.nextReadAt = expiresAt
	}
	return err
}

// readInterval returns the time until the next read after one with an error, or nil. It is shorter after an error
// and while the row names no holder, so that little time is lost until it may be acquired. The caller holds l.mu.
func (l *Leaser) readInterval(err error) time.Duration {
	if err != nil || !isWrittenIn(l.record, l.leaseVersion) {
		return min(followInterval, l.times.RenewInterval)
	}
	return followInterval
}

// expiresAt returns when this instance may acquire the lease if its row does not change. The caller holds l.mu.
func (l *Leaser) expiresAt(now time.Time) time.Time {
	if !isWrittenIn(l.record, l.leaseVersion) {
		return l.earlierEpochsEnd()
	}
	if earliest, _, ok := l.clock(); ok && l.record.Lapses > 0 {
		return now.Add(time.Duration(l.record.Lapses-earliest) * time.Millisecond)
	}
	return l.changeSeenAt.Add(l.times.TTL)
}

// renew writes the row again. The new deadline counts from before the write.
func (l *Leaser) renew(now time.Time) error {
	l.mu.Lock()
	next := l.grant
	version := l.grantVersion
	l.mu.Unlock()
	next.Renewals++
	next.Lapses = l.expiry()
	versions, err := l.write(next, []messenger.Condition{condition(leaseKey, version)}, nil)
	switch {
	case err == nil && versions[0].Epoch != next.Epoch:
		l.ObserveEpoch(versions[0].Epoch)
		return errors.Wrapf(errEpochChanged, "renewal of epoch %d", next.Epoch)
	case err == nil:
		l.recordGrant(now, next, versions[0])
		return nil
	case errors.Is(err, transactor.ErrUnknownOutcome), errors.Is(err, transactor.ErrConflict):
		return l.confirmRenewal(err)
	}
	return err
}

// confirmRenewal reads the row after a renewal whose outcome is unknown, or that
// failed with a conflict, which an earlier renewal of unknown outcome can cause.
// If the row still names this grant, no other instance has acquired the lease.
// The deadline is not extended. A row of a later epoch says nothing about this grant.
func (l *Leaser) confirmRenewal(cause error) error {
	row, record, err := l.read()
	if err != nil {
		return cause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case row.Epoch != l.grant.Epoch:
		return cause
	case !l.isOwn(record) || record.Fence != l.grant.Fence:
		l.heldUntil = time.Time{}
		return cause
	}
	l.record, l.grant = record, record
	l.leaseVersion, l.grantVersion = row.StoreVersion(), row.StoreVersion()
	return nil
}

func (l *Leaser) isOwn(record Record) bool {
	return record.Holder == l.instance && record.Incarnation == l.incarnation
}

func (l *Leaser) recordGrant(now time.Time, record Record, version messenger.StoreVersion) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record, l.grant = record, record
	l.leaseVersion, l.grantVersion = version, version
	l.knownFence = max(l.knownFence, record.Fence)
	l.changeSeenAt, l.grantedAt = now, now
	l.heldUntil = now.Add(l.times.TTL - l.times.Margin)
	l.renewAt = now.Add(l.times.RenewInterval)
}

// Release gives up the lease, so that another instance can acquire it at once.
// The leaser does not contend for it again.
func (l *Leaser) Release() error {
	l.callMu.Lock()
	defer l.callMu.Unlock()
	l.mu.Lock()
	held := l.now().Before(l.heldUntil)
	next := l.grant
	version := l.grantVersion
	l.heldUntil = time.Time{}
	l.released = true
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	if _, latest, ok := l.clock(); ok {
		next.Lapses = latest + l.times.Margin.Milliseconds() // the grant ends before this is written
	}
	_, err := l.write(next, []messenger.Condition{condition(leaseKey, version)}, nil)
	return err
}

func (l *Leaser) write(record Record, conditions []messenger.Condition, extra []messenger.Write) ([]messenger.StoreVersion, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease")
	}
	writes := append([]messenger.Write{{Table: leaseTable, Key: leaseKey, Value: value}}, extra...)
	return l.transact(messenger.TransactRequest{Conditions: conditions, Writes: writes})
}

func (l *Leaser) read() (messenger.Row, Record, error) {
	row, err := l.get(leaseTable, leaseKey)
	if err != nil {
		return row, Record{}, err
	}
	l.ObserveEpoch(row.Epoch)
	if row.Version == 0 {
		return row, Record{}, nil
	}
	var record Record
	if json.Unmarshal(row.Value, &record) != nil || !isFenceOf(record.Fence, row.Epoch) {
		// Nobody can renew what is not a lease: it is free once it has not changed for its TTL.
		return row, Record{}, nil
	}
	return row, record, nil
}

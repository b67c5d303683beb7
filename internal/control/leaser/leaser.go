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
	// defaultLife and defaultMargin are the Life and Margin of Times.
	defaultLife   = 6 * time.Second
	defaultMargin = 2 * time.Second
	defaultRenew  = time.Second
	// followAfter is the time between two looks at the lease of another holder.
	followAfter = time.Second
)

// Times are those of a lease.
type Times struct {
	// Life is how long a lease holds without renewal. Contenders wait for it from
	// when they saw the row change, so that no clocks are compared.
	Life time.Duration
	// Margin is how much earlier than contenders the holder gives up.
	Margin time.Duration
	// Renew is the time between two renewals.
	Renew time.Duration
}

// Tables is the table service that keeps the lease. Transact returns the version
// that each written row has then.
type Tables struct {
	Get      func(table, key string) (messenger.Row, error)
	Transact func(messenger.TransactRequest) ([]int64, error)
	// Clock bounds the present time of the service's clock, in milliseconds; false
	// if it is not known. Without it contenders wait for the life of the lease.
	Clock func() (earliest, latest int64, ok bool)
}

// TablesOf returns the tables of a service whose rows count their own writes.
func TablesOf(client *transactor.Client) Tables {
	return Tables{Get: client.Get, Clock: noClock, Transact: func(req messenger.TransactRequest) ([]int64, error) {
		versions := make([]int64, 0, len(req.Conditions))
		for _, c := range req.Conditions {
			versions = append(versions, c.Version+1)
		}
		return versions, client.Transact(req)
	}}
}

func noClock() (earliest, latest int64, ok bool) { return 0, 0, false }

// Option changes a leaser at its construction.
type Option func(*Leaser)

// WithTimes sets the times of the lease; all instances must use the same.
func WithTimes(times Times) Option { return func(l *Leaser) { l.times = times } }

// WithClock sets the clock. One that stands still while the machine is suspended
// makes a holder believe that it still holds when it wakes.
func WithClock(now func() time.Time) Option { return func(l *Leaser) { l.now = now } }

// Record is the value of the lease row.
type Record struct {
	Holder      string
	Incarnation string
	Fence       int64
	Renewals    int64
	Released    bool
	// Lapses is when the holder gives up without another renewal, in milliseconds of
	// the clock of the table service; 0 if that clock is not known.
	Lapses int64
}

// Leaser follows and contends for the lease.
type Leaser struct {
	instance    string
	incarnation string
	now         func() time.Time
	get         func(table, key string) (messenger.Row, error)
	transact    func(messenger.TransactRequest) ([]int64, error)
	clock       func() (earliest, latest int64, ok bool)
	times       Times

	turn sync.Mutex // held by Tick and Release, over their calls to the table service

	mu           sync.Mutex
	record       Record
	version      int64
	fenceVersion int64
	// seenAt is when this instance saw the row change last.
	seenAt time.Time
	// heldUntil is the deadline until which this instance may act as holder.
	heldUntil time.Time
	renewAt   time.Time
	// clearedAt is when the right of the holder before this one has ended.
	clearedAt time.Time
	// followAt is when to look at the lease of another holder again: in time for
	// its lapse.
	followAt time.Time
	released bool
}

// New returns a leaser that holds nothing.
func New(instance, incarnation string, tables Tables, options ...Option) *Leaser {
	l := &Leaser{
		instance: instance, incarnation: incarnation, now: time.Now, get: tables.Get, transact: tables.Transact, clock: tables.Clock,
		times: Times{Life: defaultLife, Margin: defaultMargin, Renew: defaultRenew},
	}
	if l.clock == nil {
		l.clock = noClock
	}
	for _, option := range options {
		option(l)
	}
	return l
}

// Grant is the right to act as holder until Deadline. Conditions of a
// transaction that acts for the holder include FenceCondition.
type Grant struct {
	Instance       string
	Incarnation    string
	Fence          int64
	Deadline       time.Time
	FenceCondition messenger.Condition
	// ClearedAt is when the right of the holder before this one has ended; zero if
	// there was none.
	ClearedAt time.Time
}

// Held returns the grant and whether this instance is the holder at now.
func (l *Leaser) Held(now time.Time) (Grant, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if !now.Before(l.heldUntil) {
		return Grant{}, false
	}
	return Grant{
		Instance:    l.instance,
		Incarnation: l.incarnation,
		Fence:       l.record.Fence,
		Deadline:    l.heldUntil,
		ClearedAt:   l.clearedAt,
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
	l.turn.Lock()
	defer l.turn.Unlock()
	now := l.now()
	l.mu.Lock()
	held := now.Before(l.heldUntil)
	due := !now.Before(l.renewAt)
	isEarly := !held && now.Before(l.followAt)
	released := l.released
	l.mu.Unlock()
	switch {
	case released || isEarly || (held && !due):
		return nil
	case held:
		return l.renew(now)
	default:
		return l.follow(now)
	}
}

// follow looks at the lease and plans the next look.
func (l *Leaser) follow(now time.Time) error {
	err := l.contend()
	l.mu.Lock()
	defer l.mu.Unlock()
	l.followAt = now.Add(followAfter)
	lapse := l.seenAt.Add(l.times.Life)
	if earliest, _, ok := l.clock(); ok && l.record.Lapses > 0 {
		lapse = now.Add(time.Duration(l.record.Lapses-earliest) * time.Millisecond)
	}
	if lapse.After(now) && lapse.Before(l.followAt) {
		l.followAt = lapse
	}
	return err
}

// renew writes the row again. The deadline counts from before the write.
func (l *Leaser) renew(now time.Time) error {
	l.mu.Lock()
	next := l.record
	version := l.version
	l.mu.Unlock()
	next.Renewals++
	next.Lapses = l.lapses()
	versions, err := l.write(next, []messenger.Condition{{Table: leaseTable, Key: leaseKey, Version: version}}, nil)
	switch {
	case err == nil:
		l.take(now, next, versions[0])
		return nil
	case errors.Is(err, transactor.ErrUnknownOutcome), errors.Is(err, transactor.ErrConflict):
		return l.settleRenewal(err)
	}
	return err
}

// settleRenewal reads the row after a renewal whose answer was lost, or that met
// the version of such an earlier one. While the row names this grant, nobody
// else has taken it; the deadline is not moved by it.
func (l *Leaser) settleRenewal(cause error) error {
	row, record, err := l.read()
	if err != nil {
		return cause
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if !l.isOwn(record) || record.Fence != l.record.Fence {
		l.heldUntil = time.Time{}
		return cause
	}
	l.record = record
	l.version = row.Version
	return nil
}

func (l *Leaser) isOwn(record Record) bool {
	return record.Holder == l.instance && record.Incarnation == l.incarnation
}

func (l *Leaser) take(now time.Time, record Record, version int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.record = record
	l.version = version
	l.seenAt = now
	l.heldUntil = now.Add(l.times.Life - l.times.Margin)
	l.renewAt = now.Add(l.times.Renew)
}

// contend follows the row and takes the lease once it did not change for its
// life. A change counts from after the read that showed it: a contender that is
// paused before its read sees a row that its holder may have renewed since.
func (l *Leaser) contend() error {
	row, record, err := l.read()
	if err != nil {
		return err
	}
	now := l.now()
	l.mu.Lock()
	if row.Version != l.version || l.seenAt.IsZero() {
		l.seenAt = now
	}
	l.version = row.Version
	l.record = record
	lapsed := row.Version == 0 || record.Released || l.isOwn(record) || l.hasLapsed(record) || !now.Before(l.seenAt.Add(l.times.Life))
	l.mu.Unlock()
	if !lapsed {
		return nil
	}
	return l.acquire(row.Version, record)
}

// acquire takes the lease with the next fence. The deadline counts from before
// the write.
func (l *Leaser) acquire(version int64, old Record) error {
	fence, err := l.get(leaseTable, fenceKey)
	if err != nil {
		return err
	}
	next := Record{Holder: l.instance, Incarnation: l.incarnation, Fence: old.Fence + 1, Lapses: l.lapses()}
	conditions := []messenger.Condition{
		{Table: leaseTable, Key: leaseKey, Version: version},
		{Table: leaseTable, Key: fenceKey, Version: fence.Version},
	}
	value, err := json.Marshal(next.Fence)
	if err != nil {
		return errors.Wrap(err, "encode fence")
	}
	now := l.now()
	versions, err := l.write(next, conditions, []messenger.Write{{Table: leaseTable, Key: fenceKey, Value: value}})
	if errors.Is(err, transactor.ErrUnknownOutcome) {
		versions, err = l.settleAcquisition(next, err)
	}
	if err != nil {
		return err
	}
	l.mu.Lock()
	l.fenceVersion = versions[1]
	l.clearedAt = l.clearanceOf(old, now)
	l.mu.Unlock()
	l.take(now, next, versions[0])
	return nil
}

// lapses returns when a right that is written now has surely ended, by the clock of
// the table service; 0 if that is not known.
func (l *Leaser) lapses() int64 {
	_, latest, ok := l.clock()
	if !ok {
		return 0
	}
	return latest + l.times.Life.Milliseconds()
}

// hasLapsed reports whether the holder of a record has given up, by the clock of
// the table service.
func (l *Leaser) hasLapsed(record Record) bool {
	earliest, _, ok := l.clock()
	return ok && record.Lapses > 0 && earliest >= record.Lapses
}

// clearanceOf returns when the right of a record has ended, on this instance's
// clock. A record without a time ended at the latest now, when it was taken over.
func (l *Leaser) clearanceOf(old Record, now time.Time) time.Time {
	if old.Fence == 0 {
		return time.Time{}
	}
	earliest, _, ok := l.clock()
	if !ok || old.Lapses == 0 {
		return now
	}
	ended := now.Add(time.Duration(old.Lapses-earliest)*time.Millisecond - l.times.Margin)
	if ended.After(now) {
		return now
	}
	return ended
}

// settleAcquisition reads the rows after an acquisition whose answer was lost; it
// returns their versions if the acquisition took effect.
func (l *Leaser) settleAcquisition(next Record, cause error) ([]int64, error) {
	row, record, err := l.read()
	if err != nil || record != next {
		return nil, cause
	}
	fence, err := l.get(leaseTable, fenceKey)
	if err != nil {
		return nil, cause
	}
	return []int64{row.Version, fence.Version}, nil
}

// Release gives the lease up for good, so that another instance takes it at once.
func (l *Leaser) Release() error {
	l.turn.Lock()
	defer l.turn.Unlock()
	l.mu.Lock()
	held := l.now().Before(l.heldUntil)
	next := l.record
	version := l.version
	l.heldUntil = time.Time{}
	l.released = true
	l.mu.Unlock()
	if !held {
		return nil
	}
	next.Released = true
	if _, latest, ok := l.clock(); ok {
		next.Lapses = latest + l.times.Margin.Milliseconds() // the right ends before this is written
	}
	_, err := l.write(next, []messenger.Condition{{Table: leaseTable, Key: leaseKey, Version: version}}, nil)
	return err
}

func (l *Leaser) write(record Record, conditions []messenger.Condition, more []messenger.Write) ([]int64, error) {
	value, err := json.Marshal(record)
	if err != nil {
		return nil, errors.Wrap(err, "encode lease")
	}
	writes := append([]messenger.Write{{Table: leaseTable, Key: leaseKey, Value: value}}, more...)
	return l.transact(messenger.TransactRequest{Conditions: conditions, Writes: writes})
}

func (l *Leaser) read() (messenger.Row, Record, error) {
	row, err := l.get(leaseTable, leaseKey)
	if err != nil || row.Version == 0 {
		return row, Record{}, err
	}
	var record Record
	if err := json.Unmarshal(row.Value, &record); err != nil {
		return row, record, errors.Wrap(err, "lease row")
	}
	return row, record, nil
}

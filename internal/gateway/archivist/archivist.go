// Package archivist decides which verdicts on requests that end targets are kept in the table
// service, so that they outlast the loss of all instances: one row for each conviction, written once
// by the instance that decides, and removed when the conviction is lifted or has expired. The number
// of rows is bounded. The package does no I/O: callers write the changes that it returns, and pass
// the time of the store's clock.
package archivist

import (
	"cmp"
	"slices"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

const (
	// MaxRows bounds the rows in the table. Those that end first are removed beyond it.
	MaxRows = 512
	// maxOwnRows bounds the rows that one instance writes, so that the bound on all of them is
	// hardly exceeded between two sweeps.
	maxOwnRows = 256
	// maxBatch bounds the changes that are written in one transaction.
	maxBatch = 64
	// maxDeadlineErrorMilliseconds is the difference of deadlines, in milliseconds, from which a row is of another clock.
	maxDeadlineErrorMilliseconds = 2000
)

// Row is the row of a conviction.
type Row struct {
	Key   string
	Trait quarantiner.Trait
	Tied  []quarantiner.Trait
	// DeadlineMilliseconds is by the store's clock.
	DeadlineMilliseconds int64
}

// KeyOf returns the key of the row of a trait.
func KeyOf(t quarantiner.Trait) string {
	return quarantiner.FingerprintOf([]byte(t.Kind), []byte(t.Service), []byte(t.Label())).String()
}

// Change is a row to write, or to remove.
type Change struct {
	Row       Row
	IsRemoval bool
}

// Archivist holds what is to be written. The zero value is not usable; see New.
type Archivist struct {
	mu sync.Mutex
	// known maps the keys of the rows that may be in the table to their deadlines, by the local clock.
	known map[string]time.Time
	// own holds the verdicts in known that this instance has reached.
	own map[string]quarantiner.Verdict
	// pending holds the changes that are not written yet, by key.
	pending map[string]Change
}

// New returns an archivist that knows of no rows.
func New() *Archivist {
	return &Archivist{known: map[string]time.Time{}, own: map[string]quarantiner.Verdict{}, pending: map[string]Change{}}
}

// Decided records verdicts that this instance has reached, at the time clock of the store's clock.
func (a *Archivist) Decided(now time.Time, clock int64, verdicts []quarantiner.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	for _, v := range verdicts {
		key := KeyOf(v.Trait)
		if !now.Before(v.ConvictedUntil) {
			a.lift(key)
			continue
		}
		if _, isKnown := a.known[key]; isKnown || len(a.known) >= maxOwnRows {
			continue
		}
		a.known[key], a.own[key] = v.ConvictedUntil, v
		a.pending[key] = Change{Row: rowOf(v, now, clock)}
	}
}

// rowOf returns the row of a verdict.
func rowOf(v quarantiner.Verdict, now time.Time, clock int64) Row {
	return Row{Key: KeyOf(v.Trait), Trait: v.Trait, Tied: v.Tied, DeadlineMilliseconds: clock + v.ConvictedUntil.Sub(now).Milliseconds()}
}

// HasOwn reports whether a verdict that this instance has reached may be in the table.
func (a *Archivist) HasOwn(now time.Time) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	return len(a.own) > 0
}

// Restore has the rows of verdicts written again that this instance has reached and that are not in the
// table, since the store came back from a copy, or are there with a deadline by another clock. It returns
// these rows.
func (a *Archivist) Restore(now time.Time, clock int64, rows []Row) []Row {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	present := deadlinesOf(rows)
	out := []Row{}
	for key, v := range a.own {
		row := rowOf(v, now, clock)
		if present.has(row) {
			continue
		}
		a.pending[key] = Change{Row: row}
		out = append(out, row)
	}
	return out
}

// deadlines maps the keys of the rows in the table to their deadlines, in milliseconds of the store's clock.
type deadlines map[string]int64

func deadlinesOf(rows []Row) deadlines {
	out := make(deadlines, len(rows))
	for _, row := range rows {
		out[row.Key] = row.DeadlineMilliseconds
	}
	return out
}

// has reports whether the table has a row with the same deadline, which is not by another clock.
func (d deadlines) has(row Row) bool {
	deadline, isPresent := d[row.Key]
	difference := max(deadline, row.DeadlineMilliseconds) - min(deadline, row.DeadlineMilliseconds)
	return isPresent && difference < maxDeadlineErrorMilliseconds
}

// lift removes the row of a verdict that has ended, if there may be one.
func (a *Archivist) lift(key string) {
	if _, isKnown := a.known[key]; isKnown {
		delete(a.known, key)
		delete(a.own, key)
		a.pending[key] = Change{Row: Row{Key: key}, IsRemoval: true}
	}
}

// Heard records verdicts that another instance has reached and writes itself.
func (a *Archivist) Heard(now time.Time, verdicts []quarantiner.Verdict) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.forgetExpired(now)
	for _, v := range verdicts {
		key := KeyOf(v.Trait)
		if now.Before(v.ConvictedUntil) && len(a.known) < MaxRows {
			a.known[key] = v.ConvictedUntil
		} else {
			delete(a.known, key)
			delete(a.own, key)
		}
	}
}

func (a *Archivist) forgetExpired(now time.Time) {
	for key, deadline := range a.known {
		if !now.Before(deadline) {
			delete(a.known, key)
			delete(a.own, key)
		}
	}
}

// Pending returns changes to write, at most as many as fit into one transaction.
func (a *Archivist) Pending() []Change {
	a.mu.Lock()
	defer a.mu.Unlock()
	out := make([]Change, 0, min(len(a.pending), maxBatch))
	for _, change := range a.pending {
		if len(out) == maxBatch {
			break
		}
		out = append(out, change)
	}
	return out
}

// Written records that changes were written.
func (a *Archivist) Written(changes []Change) {
	a.mu.Lock()
	defer a.mu.Unlock()
	for _, change := range changes {
		current := a.pending[change.Row.Key]
		if current.IsRemoval == change.IsRemoval && current.Row.DeadlineMilliseconds == change.Row.DeadlineMilliseconds {
			delete(a.pending, change.Row.Key)
		}
	}
}

// Missing returns the rows to write that the table lacks, or has with a deadline by another clock, although their
// convictions are in force, at the time clock of the store's clock: the instance that has reached one ended before it
// wrote the row, or before the store lost it.
func Missing(now time.Time, clock int64, rows []Row, verdicts []quarantiner.Verdict) []Change {
	present := deadlinesOf(rows)
	out := []Change{}
	for _, v := range verdicts {
		row := rowOf(v, now, clock)
		if now.Before(v.ConvictedUntil) && !present.has(row) {
			out = append(out, Change{Row: row})
		}
	}
	slices.SortFunc(out, func(a, b Change) int { return cmp.Compare(b.Row.DeadlineMilliseconds, a.Row.DeadlineMilliseconds) })
	room := max(MaxRows-len(rows), 0)
	return out[:min(len(out), room, maxBatch)]
}

// Sweep returns the removals of the rows that have expired by the store's clock, that were lifted,
// or that are too many.
func Sweep(clock int64, rows []Row, isLifted func(quarantiner.Trait) bool) []Change {
	var out []Change
	kept := make([]Row, 0, len(rows))
	for _, row := range rows {
		if row.DeadlineMilliseconds <= clock || isLifted(row.Trait) {
			out = append(out, Change{Row: row, IsRemoval: true})
		} else {
			kept = append(kept, row)
		}
	}
	slices.SortFunc(kept, func(a, b Row) int {
		return cmp.Or(cmp.Compare(b.DeadlineMilliseconds, a.DeadlineMilliseconds), cmp.Compare(a.Key, b.Key))
	})
	for _, row := range kept[min(MaxRows, len(kept)):] {
		out = append(out, Change{Row: row, IsRemoval: true})
	}
	return out[:min(len(out), maxBatch)]
}

package follower

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// entry names a row of the store at a version of it.
type entry struct {
	version messenger.StoreVersion
	key     string
}

// change is a write or a removal in the log of the store.
type change struct {
	at     time.Time
	number int64
	key    string
	// value is nil for a removal.
	value []byte
}

// writer owns a row. A life of the row ends when its writer removes it or does not write it again.
type writer struct {
	key     string
	isAlive bool
	life    int
	count   int
	// isOverdue is whether it was to write its row again while the store was away.
	isOverdue bool
}

func (x *writer) value() []byte { return fmt.Appendf(nil, "%d:%d", x.life, x.count) }

// lifeOf returns the life of a row by its value.
func lifeOf(row messenger.StoreRow) (life int) {
	_, _ = fmt.Sscanf(string(row.Value), "%d:", &life)
	return life
}

// commit adds a change to the log of the store and answers the calls that wait for one.
func (w *world) commit(key string, value []byte) {
	w.number += 1 + w.Random.Int64N(3) // other tables are written as well
	c := change{at: w.Now(), number: w.number, key: key, value: value}
	w.log = append(w.log, c)
	w.put(c)
	w.wakeStore()
}

func (w *world) put(c change) {
	if c.value == nil {
		delete(w.rows, c.key)
		return
	}
	w.rows[c.key] = c
	w.written[entry{messenger.StoreVersion{Epoch: w.epoch, Number: c.number}, c.key}] = string(c.value)
}

func (w *world) wakeStore() {
	waiting := w.waiting
	w.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

// write has a writer write its row, in a new life if the last one has ended.
func (w *world) write(x *writer) {
	if w.isAway {
		return
	}
	if !x.isAlive {
		x.isAlive, x.life = true, x.life+1
	}
	x.count++
	w.commit(x.key, x.value())
}

func (w *world) changeRegularly() {
	if w.isCalm {
		return
	}
	x := w.writers[w.Random.IntN(writerCount)]
	if w.Random.IntN(3) == 0 && !w.isLasting && !w.isAway {
		x.isAlive = false
		if _, isPresent := w.rows[x.key]; isPresent {
			w.commit(x.key, nil)
		}
	} else {
		w.write(x)
	}
	w.After(w.Delay(1200*time.Millisecond), w.changeRegularly)
}

// restore has the store away for a moment and come back, mostly from a copy. Another restore may follow soon.
func (w *world) restore() {
	if w.isCalm || w.isAway {
		return
	}
	w.isAway = true
	w.wakeStore()
	copiedAt := w.Now().Add(-w.Delay(7 * time.Second))
	isOnlyAway := w.Random.IntN(5) == 0
	w.After(50*time.Millisecond+w.Delay(1500*time.Millisecond), func() {
		w.isAway = false
		if isOnlyAway {
			w.writeOverdue()
		} else {
			w.comeBack(copiedAt)
		}
	})
	next := 3*time.Second + w.Delay(9*time.Second)
	if w.Random.IntN(3) == 0 {
		next = 1600*time.Millisecond + w.Delay(2*time.Second)
	}
	w.After(next, w.restore)
}

// comeBack has the store come back from a copy in a later epoch.
func (w *world) comeBack(copiedAt time.Time) {
	w.restores++
	w.epoch++
	log := w.log
	w.log, w.rows, w.number = nil, map[string]change{}, 100
	for _, c := range log {
		if !c.at.After(copiedAt) {
			w.log, w.number = append(w.log, c), c.number
			w.put(c)
		}
	}
	if w.Random.IntN(3) == 0 { // the numbers catch up before anyone looks
		w.number += 60
	}
	if w.Random.IntN(3) == 0 {
		w.historyStart = w.number
	}
	w.historyStart = min(w.historyStart, w.number)
	for _, x := range w.writers {
		w.recover(x)
	}
}

// recover has a writer write its row again, or none at all.
func (w *world) recover(x *writer) {
	x.isOverdue = false
	if !w.isLasting && w.Random.IntN(5) == 0 {
		x.isAlive = false // nobody writes it again
		return
	}
	most, epoch := maxRewriteDelay, w.epoch
	if w.isLasting {
		most = maxLastingRewriteDelay
	}
	w.After(w.Delay(most), func() {
		if w.epoch == epoch {
			w.writeAgain(x)
		}
	})
}

// writeAgain has a writer write its row, or remove it, if the store has another one.
func (w *world) writeAgain(x *writer) {
	stored, isPresent := w.rows[x.key]
	switch {
	case w.isAway:
		x.isOverdue = true
	case x.isAlive && string(stored.value) != string(x.value()):
		w.commit(x.key, x.value())
	case !x.isAlive && isPresent:
		w.commit(x.key, nil)
	}
}

// writeOverdue has the writers write that could not while the store was away.
func (w *world) writeOverdue() {
	for _, x := range w.writers {
		if x.isOverdue {
			x.isOverdue = false
			w.writeAgain(x)
		}
	}
}

// table returns the table of the store.
func (w *world) table() messenger.TableSnapshot {
	out := messenger.TableSnapshot{Epoch: w.storeEpoch(), Version: w.number}
	for _, key := range slices.Sorted(maps.Keys(w.rows)) {
		out.Rows = append(out.Rows, w.row(w.rows[key]))
	}
	return out
}

func (w *world) storeEpoch() int64 {
	if w.plant == bareNumbers {
		return 0
	}
	return w.epoch
}

func (w *world) row(c change) messenger.StoreRow {
	return messenger.StoreRow{Key: c.key, Epoch: w.storeEpoch(), Version: c.number, Value: c.value}
}

// answerFeed delivers the changes of the store after a number as soon as there are any.
func (w *world) answerFeed(after int64, until time.Time, deliver func(answer)) {
	isOver := false
	attempt := func() {
		if isOver {
			return
		}
		out := w.changesAfter(after)
		isOver = out.err != nil || len(out.changes.Rows)+len(out.changes.Removed) > 0 || !w.Now().Before(until)
		if isOver {
			deliver(out)
		}
	}
	var again func()
	again = func() {
		attempt()
		if !isOver {
			w.waiting = append(w.waiting, again)
		}
	}
	w.After(until.Sub(w.Now()), attempt)
	again()
}

func (w *world) changesAfter(after int64) answer {
	out := answer{changes: Changes{Epoch: w.storeEpoch(), Version: w.number}}
	switch {
	case w.isAway:
		out.err = errUnavailable
		return out
	case after > w.number || after < w.historyStart:
		out.err = ErrHistoryTruncated
		return out
	}
	last := map[string]change{}
	for _, c := range w.log {
		if c.number > after {
			last[c.key] = c
		}
	}
	for _, key := range slices.Sorted(maps.Keys(last)) {
		if c := last[key]; c.value == nil {
			out.changes.Removed = append(out.changes.Removed, key)
		} else {
			out.changes.Rows = append(out.changes.Rows, w.row(c))
		}
	}
	return out
}

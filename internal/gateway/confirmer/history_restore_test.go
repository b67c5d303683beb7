package confirmer_test

import (
	"encoding/json"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// maxAway, maxCopyAge and maxRewrite are of the restores: how long the store is away, how old the copy is, and
	// how long after the return the operator writes the last manifest again.
	maxAway    = 1500 * time.Millisecond
	maxCopyAge = 6 * time.Second
	maxRewrite = 2 * time.Second
	// maxClockJump is by how much the store's clock may differ from that of the epoch before.
	maxClockJump = 20 * time.Second
)

// span is a time in which a key was in a manifest.
type span struct{ from, to time.Time }

// spans are when each key was in the manifest.
type spans map[string][]span

// set records the keys of the manifest from now on.
func (s spans) set(keys map[string]bool, now time.Time) {
	for key, isPresent := range keys {
		all := s[key]
		was := len(all) > 0 && all[len(all)-1].to.IsZero()
		if was && !isPresent {
			all[len(all)-1].to = now
		} else if !was && isPresent {
			s[key] = append(all, span{from: now})
		}
	}
}

// hadSince reports whether the manifest had a key at some time from a time on.
func (s spans) hadSince(key string, from time.Time) bool {
	return slices.ContainsFunc(s[key], func(s span) bool { return s.to.IsZero() || s.to.After(from) })
}

// hasSince reports whether the manifest has had a key all the time from a time on.
func (s spans) hasSince(key string, from time.Time) bool {
	return slices.ContainsFunc(s[key], func(s span) bool { return s.to.IsZero() && !s.from.After(from) })
}

// commit is a manifest as it was written.
type commit struct {
	at  time.Time
	row messenger.StoreRow
}

// restores is how the store goes away and comes back from copies.
type restores struct {
	epoch, clockBase int64
	isAway           bool
	commits          []commit
	// lackedAt is when the store last lacked the operator's last manifest.
	lackedAt time.Time
	count    int
}

func newRestores() restores { return restores{epoch: 1, clockBase: 1000} }

// restore has the store go away, and come back from a copy in a later epoch with another clock.
func (w *world) restore() {
	if w.restores.isAway || w.isCalm {
		return
	}
	w.restores.isAway, w.waiting = true, nil
	w.restores.count++
	copiedAt := w.Now().Add(-w.Delay(maxCopyAge))
	w.After(w.Delay(maxAway), func() { w.comeBack(copiedAt) })
}

// missChange has the store lose a change that an instance has not seen, which hears only the store for a while.
func (w *world) missChange(n *node) {
	if w.restores.isAway {
		return
	}
	for other := disturber.Outside; other < len(w.nodes); other++ {
		w.Cut[[2]int{n.Index, other}], w.Cut[[2]int{other, n.Index}] = true, true
	}
	w.changeKeys()
	w.After(w.Delay(maxCopyAge), w.restore)
	heard := w.Delay(maxCopyAge + maxAway)
	toStore, fromStore := [2]int{n.Index, disturber.Outside}, [2]int{disturber.Outside, n.Index}
	w.After(heard, func() {
		delete(w.Cut, toStore)
		delete(w.Cut, fromStore)
	})
	w.After(heard+w.Delay(2*maxRewrite), func() {
		if !w.isCalm {
			w.Cut[toStore], w.Cut[fromStore] = true, true
		}
	})
}

// comeBack brings the store back. What the operator wrote since the copy is written again later, unless the
// store has gone away again.
func (w *world) comeBack(copiedAt time.Time) {
	d := &w.restores
	d.isAway = false
	d.epoch++
	d.clockBase += int64((w.Random.Float64() - 0.5) * float64(maxClockJump.Milliseconds()))
	d.clockBase = max(d.clockBase, 1000)
	kept := slices.IndexFunc(d.commits, func(c commit) bool { return c.at.After(copiedAt) })
	if kept >= 0 {
		d.commits = d.commits[:kept]
	}
	w.row, w.version = messenger.StoreRow{}, 0
	if len(d.commits) > 0 {
		w.row = d.commits[len(d.commits)-1].row
		w.row.Epoch, w.version = d.epoch, w.row.Version
	}
	w.After(w.Delay(maxRewrite), func() {
		if !d.isAway && w.lacksLast() {
			d.lackedAt = w.Now()
			w.commit()
		}
	})
}

// lacksLast reports whether the store is away, or came back without the operator's last manifest.
func (w *world) lacksLast() bool {
	if w.restores.isAway || w.row.Version == 0 {
		return true
	}
	in := content{}
	if err := json.Unmarshal(w.row.Value, &in); err != nil {
		panic(err)
	}
	return in.Version != w.manifest
}

// mayKnowKey reports whether an instance may act on a key from a time on: the operator's manifest had it. One
// whose first answer came in a restore may know nothing of what the store lacked.
func (w *world) mayKnowKey(n *node, key string, from time.Time) bool {
	if w.spans.hadSince(key, from) {
		return true
	}
	if w.hasLacked(n, from) {
		w.excused++
		return true
	}
	return false
}

// mustKnowKey reports whether a key may not be called unknown: the operator's manifest has had it from a time on.
func (w *world) mustKnowKey(n *node, key string, from time.Time) bool {
	return w.spans.hasSince(key, from) && !w.hasLacked(n, from)
}

// hasLacked reports whether an instance whose first answer came in a restore may go on by a store that lacked the
// operator's last manifest at some time from a time on.
func (w *world) hasLacked(n *node, from time.Time) bool {
	return n.knowsCopyOnly && (w.lacksLast() || w.restores.lackedAt.After(from))
}

// observeEpoch is what an instance does with the first answer of a later epoch.
func (w *world) observeEpoch(n *node, number int64) {
	if number <= n.epoch {
		return
	}
	now := w.local(n)
	_, latest, _ := n.clock.Bounds(now)
	if w.plant == renewedProofs {
		latest = n.confirmer.Proof().StoreMilliseconds
	}
	change := confirmer.EpochChange{After: messenger.StoreVersion{Epoch: number}, LatestBefore: latest, At: now}
	if w.plant != confirmedAtOnce {
		change.Before.Epoch = n.epoch
	}
	n.confirmer.ObserveEpoch(change)
	n.clock, n.epoch = confirmer.Clock{}, number
}

package leaser

import (
	"encoding/json"
	"fmt"
	"iter"
	"math/rand/v2"
	"strings"
	"time"

	"github.com/crocusring/crocusring/internal/fake/storer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// The times are those that the supervisor uses.
const (
	worldTTL    = 1500 * time.Millisecond
	worldMargin = 400 * time.Millisecond
	worldRenew  = 400 * time.Millisecond
	worldTick   = 100 * time.Millisecond
	// worldHandover is the least time between what two holders do.
	worldHandover = 3 * time.Second
	// maxDrift is how fast or slow a clock may run, in millionths, and maxHandoverError how much sooner a holder
	// may act for it.
	maxDrift         = 500
	maxHandoverError = 10 * time.Millisecond
	// worldStep is the time between two steps of a world.
	worldStep = 10 * time.Millisecond
)

// epochPlant is a fault that the histories must find.
type epochPlant int

const (
	noPlant         epochPlant = iota
	hiddenEpochs               // the table service hides its epochs
	forgottenGrants            // an instance that observes an epoch forgets that it was the last holder
	epochlessTokens            // the tokens that a target sees lack the epoch
	believedCopies             // all rows look as if they were written in the epoch of the answer
	eternalLease               // the row seems to change with each read
	noHandover                 // the end of the grant before is not known
)

// epochStore is a table service that may be away and come back from a copy. The numbers of conditions count in
// whatever epoch they were read.
type epochStore struct {
	*storer.Store
	awayUntil time.Time
	offsets   map[int64]int64 // of the clock in each epoch, in milliseconds
	copies    []storeCopy
}

type storeCopy struct {
	storer.Copy
	madeAt time.Time
}

// lateWrite is a write whose caller has lost patience before it is applied.
type lateWrite struct {
	at  time.Time
	req messenger.TransactRequest
}

// epochWorld plays leasers in virtual time, as coroutines that rest between their steps.
type epochWorld struct {
	random *rand.Rand
	plant  epochPlant
	now    time.Time
	calm   bool
	store  epochStore
	late   []lateWrite
	nodes  []*epochNode
	starts int
	// hasClock is whether the leasers know the store's clock.
	hasClock bool
	// holders maps each token that was held to its holder.
	holders   map[int64]string
	highest   int64
	spoiledAt time.Time
	// lastHolder is the latest holder with its token, and lastHeldAt when it held the lease last.
	lastHolder string
	lastFence  int64
	lastHeldAt time.Time
	grants     int
	log        []string
	violation  string
}

func newEpochWorld(seed uint64, nodes int, firstEpoch int64, plant epochPlant) *epochWorld {
	w := &epochWorld{
		random: rand.New(rand.NewPCG(seed, 57)), plant: plant, now: time.Unix(1000, 0), holders: map[int64]string{},
		store: epochStore{Store: storer.New(firstEpoch), offsets: map[int64]int64{}},
	}
	w.hasClock = w.random.IntN(3) > 0
	for id := range nodes {
		w.nodes = append(w.nodes, nil)
		w.start(id)
	}
	return w
}

func (w *epochWorld) note(format string, args ...any) {
	at := w.now.Sub(time.Unix(1000, 0)).Milliseconds()
	w.log = append(w.log, fmt.Sprintf("%6d ", at)+fmt.Sprintf(format, args...))
}

func (w *epochWorld) violate(format string, args ...any) {
	if w.violation != "" {
		return
	}
	w.note(format, args...)
	w.violation = strings.Join(w.log, "\n")
}

// delay returns a random time up to limit.
func (w *epochWorld) delay(limit time.Duration) time.Duration {
	return time.Duration(w.random.Int64N(int64(limit) + 1))
}

// start starts an instance, or another incarnation of it.
func (w *epochWorld) start(id int) {
	w.starts++
	n := &epochNode{w: w, id: id, incarnation: fmt.Sprint(w.starts), wakeAt: w.now.Add(w.delay(worldTick)), bound: 1 + w.random.Int64N(30)}
	n.offset, n.drift = w.delay(time.Hour), w.random.Int64N(2*maxDrift+1)-maxDrift
	tables := Tables{Get: n.get, Transact: n.transact, Clock: n.clock}
	n.leaser = New(fmt.Sprintf("i%d", id), n.incarnation, tables, WithClock(n.local),
		WithTimes(Times{TTL: worldTTL, Margin: worldMargin, RenewInterval: worldRenew}))
	n.next, n.stop = iter.Pull(n.run)
	w.nodes[id] = n
}

func (w *epochWorld) isAway() bool { return w.now.Before(w.store.awayUntil) }

// planted returns a row as a faulty table service gives it.
func (w *epochWorld) planted(row messenger.Row) messenger.Row {
	switch {
	case w.plant == hiddenEpochs:
		row.Epoch = 0
	case w.plant == eternalLease && row.Key == leaseKey:
		row.Version += w.now.UnixMilli()
	case w.plant == believedCopies && row.Key == leaseKey && row.Version > 0:
		var record Record
		_ = json.Unmarshal(row.Value, &record) // written by a leaser, or spoiled
		record.Epoch = row.Epoch
		row.Value, _ = json.Marshal(record) // has no value that cannot be encoded
	}
	return row
}

// restore has the table service go away, and come back from a copy that is up to 8 s old.
func (w *epochWorld) restore(away time.Duration) {
	w.store.awayUntil = w.now.Add(away)
	recent := []storeCopy{}
	for _, c := range w.store.copies {
		if w.now.Sub(c.madeAt) < 8*time.Second {
			recent = append(recent, c)
		}
	}
	from := storeCopy{Copy: storer.New(0).Copy()}
	if len(recent) > 0 && w.random.IntN(5) > 0 {
		from = recent[w.random.IntN(len(recent))]
	}
	w.store.Restore(from.Copy)
	w.store.offsets[w.store.Epoch] = w.random.Int64N(200_000) - 100_000
	w.store.copies = nil
	w.note("restore: away %v, epoch %d, lease %s", away, w.store.Epoch, from.Rows[leaseKey].Value)
}

// step lets worldStep pass.
func (w *epochWorld) step() {
	w.now = w.now.Add(worldStep)
	w.applyLate()
	if w.random.IntN(40) == 0 {
		w.store.copies = append(w.store.copies, storeCopy{madeAt: w.now, Copy: w.store.Copy()})
	}
	if w.random.IntN(100) == 0 && !w.isAway() {
		w.store.Version++ // another table is written
	}
	w.exchange()
	for _, n := range w.nodes {
		if !n.isFrozen() && !n.wakeAt.After(w.now) {
			_, _ = n.next()
		}
		n.poll()
		w.judge()
	}
}

// applyLate applies late writes that are due and whose conditions hold.
func (w *epochWorld) applyLate() {
	kept := w.late[:0]
	for _, l := range w.late {
		if l.at.After(w.now) || w.isAway() {
			kept = append(kept, l)
			continue
		}
		if _, err := w.store.Transact(l.req); err == nil {
			w.note("late write applied: %s", l.req.Writes[0].Value)
		}
	}
	w.late = kept
}

// exchange has two instances exchange the highest tokens that they know.
func (w *epochWorld) exchange() {
	from, to := w.nodes[w.random.IntN(len(w.nodes))], w.nodes[w.random.IntN(len(w.nodes))]
	if w.random.IntN(4) > 0 || from.isFrozen() || to.isFrozen() || from.isCut() || to.isCut() {
		return
	}
	to.leaser.NoteFence(from.leaser.KnownFence())
}

// judge checks who holds the lease now.
func (w *epochWorld) judge() {
	holder := ""
	for _, n := range w.nodes {
		grant, isHeld := n.leaser.Held(n.local())
		if !isHeld || n.hasLeft {
			n.heard = n.leaser.KnownFence()
			continue
		}
		name := fmt.Sprintf("i%d/%s", n.id, n.incarnation)
		if holder != "" {
			w.violate("two hold the lease: %s and %s", holder, name)
		}
		holder = name
		w.judgeHandover(n, name, grant)
		w.judgeToken(name, grant.Fence)
	}
}

// judgeHandover checks that an instance that acts a handover after the end of the grant before does not act sooner
// after another holder. Left out is an instance that has not heard of that holder, which a restore has lost: it goes
// on as the last holder that is known.
func (w *epochWorld) judgeHandover(n *epochNode, name string, grant Grant) {
	if w.plant == noHandover {
		grant.PreviousEndedAt = time.Time{}
	}
	isNew := w.lastHolder != name && w.lastHolder != "" && grant.Fence != w.lastFence
	wait := max(0, grant.PreviousEndedAt.Add(worldHandover).Sub(n.local()))
	acts := w.now.Add(wait + maxHandoverError)
	if isNew && n.heard >= w.lastFence && acts.Before(w.lastHeldAt.Add(worldHandover)) {
		w.violate("%s acts from %v after the end of the grant of %s", name, acts.Sub(w.lastHeldAt), w.lastHolder)
	}
	w.lastHolder, w.lastFence, w.lastHeldAt = name, grant.Fence, w.now
}

// judgeToken checks that a token is new or that of the same holder, and above those of earlier holders.
func (w *epochWorld) judgeToken(name string, fence int64) {
	if w.plant == epochlessTokens {
		fence &= 1<<epochShift - 1
	}
	switch known, isKnown := w.holders[fence]; {
	case isKnown && known != name:
		w.violate("token %d is given out twice: to %s and %s", fence, known, name)
	case isKnown:
	case fence < w.highest:
		w.violate("%s holds token %d after %d", name, fence, w.highest)
	default:
		w.note("%s holds token %d", name, fence)
		w.grants++
	}
	w.holders[fence], w.highest = name, max(w.highest, fence)
}

// disturb makes one of the faults.
func (w *epochWorld) disturb() {
	n := w.nodes[w.random.IntN(len(w.nodes))]
	if w.random.IntN(2) == 0 {
		n = w.holderOr(n)
	}
	switch w.random.IntN(7) {
	case 0:
		n.frozenUntil = w.now.Add(w.delay(5 * time.Second))
		w.note("i%d freezes for %v", n.id, n.frozenUntil.Sub(w.now))
	case 1:
		n.cutUntil = w.now.Add(w.delay(5 * time.Second))
		w.note("i%d is cut for %v", n.id, n.cutUntil.Sub(w.now))
	case 2:
		w.note("i%d is killed and starts", n.id)
		n.stop()
		w.start(n.id)
	case 3:
		n.isLeaving = true
		w.note("i%d leaves", n.id)
	case 4:
		w.store.awayUntil = w.now.Add(w.delay(2 * time.Second))
		w.note("the store is away for %v", w.store.awayUntil.Sub(w.now))
	case 5:
		grant, _ := n.leaser.Held(n.local())
		n.leaser.NoteRefused(grant.Fence)
		w.note("a target refuses token %d", grant.Fence)
	case 6:
		w.store.Put(leaseKey, []byte(`[]`))
		w.spoiledAt = w.now
		w.note("the lease row is spoiled")
	}
}

// holderOr returns the instance that holds the lease, or other if there is none.
func (w *epochWorld) holderOr(other *epochNode) *epochNode {
	for _, n := range w.nodes {
		if _, isHeld := n.leaser.Held(n.local()); isHeld {
			return n
		}
	}
	return other
}

// play lets time pass with faults; restores begin at the given times from now.
func (w *epochWorld) play(length time.Duration, restores []time.Duration) {
	begin := w.now
	for w.now.Sub(begin) < length && w.violation == "" {
		w.step()
		if w.random.IntN(80) == 0 {
			w.disturb()
		}
		for _, n := range w.nodes {
			if n.hasLeft && w.random.IntN(100) == 0 {
				w.start(n.id)
			}
		}
		if len(restores) > 0 && w.now.Sub(begin) >= restores[0] {
			w.restore(w.delay(3 * time.Second))
			restores = restores[1:]
		}
	}
}

// heal ends all faults. Instances that have left start again.
func (w *epochWorld) heal() {
	w.calm, w.late, w.store.awayUntil = true, nil, time.Time{}
	for _, n := range w.nodes {
		n.frozenUntil, n.cutUntil = time.Time{}, time.Time{}
		if n.hasLeft || n.isLeaving {
			n.stop()
			w.start(n.id)
		}
	}
	w.note("all faults end")
}

// awaitHolder lets time pass until an instance holds the lease, and returns it; nil after patience.
func (w *epochWorld) awaitHolder(patience time.Duration, isWanted func(*epochNode) bool) *epochNode {
	for end := w.now.Add(patience); w.now.Before(end) && w.violation == ""; {
		w.step()
		for _, n := range w.nodes {
			if _, isHeld := n.leaser.Held(n.local()); isHeld && isWanted(n) {
				return n
			}
		}
	}
	return nil
}

func (w *epochWorld) close() {
	for _, n := range w.nodes {
		n.stop()
	}
}

func anyNode(*epochNode) bool { return true }

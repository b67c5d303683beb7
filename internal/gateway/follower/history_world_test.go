package follower

import (
	"context"
	"fmt"
	"iter"
	"maps"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	historyLength = 25 * time.Second
	// readTimeout, feedTimeoutMargin, readerWait and readerMargin are those of the calls of an instance.
	readTimeout       = time.Second
	feedTimeoutMargin = 700 * time.Millisecond
	readerWait        = time.Second
	readerMargin      = 300 * time.Millisecond
	readerAge         = time.Second
	statusInterval    = 400 * time.Millisecond
	statusTTL         = 1500 * time.Millisecond
	maxNodes          = 5
	readerCount       = 2
	writerCount       = 6
	tableName         = "targets"
	// maxRewriteDelay is how long after the return of the store its writers write their entries again, and
	// maxLastingRewriteDelay is the same for a table whose rows are kept until then.
	maxRewriteDelay        = 1200 * time.Millisecond
	maxLastingRewriteDelay = 6 * time.Second
	// settleTime is how long after the last change and the last disturbance all copies equal the store's
	// table: a call that hangs, at the instance and at its readers, a pause, a read, and the grace of both.
	settleTime = shortFeedWait + feedTimeoutMargin + readerCount*(readerWait+readerMargin) + maxRetryInterval +
		(readerCount+1)*readTimeout + 2*ReturnGracePeriod
)

// plant is a fault that the histories must find.
type plant int

const (
	noPlant plant = iota
	// bareNumbers have no epochs.
	bareNumbers
	// staleAnswers of an earlier epoch are taken for those of the epoch of the copy.
	staleAnswers
	// ignoredMissing takes the rows that a peer is about to remove for rows of the store.
	ignoredMissing
	// noGrace removes what the first table of a later epoch lacks at once.
	noGrace
	// noPause goes on at once after a failed step.
	noPause
)

// task is a sequence of calls that waits in virtual time.
type task struct {
	w     *world
	node  *node
	yield func(struct{}) bool
	next  func() (struct{}, bool)
	// isStopped ends all waits at once.
	isStopped bool
}

// wait calls begin and waits until the function that it is given has been called.
func (t *task) wait(begin func(resume func())) {
	if t.isStopped {
		return
	}
	begin(func() { t.w.On(t.node.Machine, 0, func() { t.next() }) })
	t.isStopped = !t.yield(struct{}{})
}

func (t *task) sleep(d time.Duration) {
	t.wait(func(resume func()) { t.w.After(d, resume) })
}

// status is what a peer has told of itself.
type status struct {
	version     messenger.StoreVersion
	hasStoreFor time.Duration
	receivedAt  time.Time
}

// node is a simulated instance. All but its follower is a model.
type node struct {
	*disturber.Machine
	readers  []int
	peers    map[int]status
	follower *Follower
	// epoch is the latest one that the store itself has named.
	epoch int64
	// view is what has been applied, and removedAt the version of the copy at which a row was removed.
	view      map[string]messenger.StoreRow
	removedAt map[string]messenger.StoreVersion
	version   messenger.StoreVersion
	waiting   []func()
	stops     []func()
	// steps are the begins of the latest steps that brought nothing new.
	steps []time.Time
}

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

// world is a random history of a store, its writers and the instances that copy its table, in virtual time.
type world struct {
	*disturber.Network
	plant     plant
	isLasting bool
	began     time.Time
	nodes     []*node

	epoch, number int64
	rows          map[string]change
	log           []change
	// historyStart is the number after which the store knows the changes.
	historyStart int64
	isAway       bool
	waiting      []func()
	writers      []*writer
	// written holds the values of all rows that the store has had.
	written map[entry]string

	// isCalm ends the disturbances and the changes.
	isCalm bool

	restores, adopted int
	violation         string
}

func newWorld(seed uint64, p plant) *world {
	began := time.Unix(1000, 0)
	w := &world{
		Network: disturber.New(began, rand.New(rand.NewPCG(seed, 57)), 2*time.Second), plant: p, began: began, isLasting: seed%4 == 3,
		epoch: 1 + int64(seed%3), number: 100, rows: map[string]change{}, written: map[entry]string{},
	}
	w.historyStart = w.number
	for i := range writerCount {
		x := &writer{key: fmt.Sprintf("row-%d", i)}
		w.writers = append(w.writers, x)
		w.write(x)
	}
	for range 2 + w.Random.IntN(maxNodes-1) {
		w.addNode()
	}
	w.After(w.Delay(time.Second), w.changeRegularly)
	w.After(w.Delay(3*time.Second), w.disturb)
	w.After(time.Second+w.Delay(9*time.Second), w.restore)
	return w
}

func (w *world) fail(format string, values ...any) {
	if w.violation == "" {
		w.violation = w.Now().Sub(w.began).String() + ": " + fmt.Sprintf(format, values...)
	}
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

func (w *world) addNode() {
	n := &node{Machine: w.AddMachine()}
	w.nodes = append(w.nodes, n)
	w.start(n)
}

// start starts a node, which knows nothing.
func (w *world) start(n *node) {
	w.stop(n)
	n.Incarnation++
	n.epoch, n.version, n.steps, n.waiting = 0, messenger.StoreVersion{}, nil, nil
	n.peers, n.view, n.removedAt = map[int]status{}, map[string]messenger.StoreRow{}, map[string]messenger.StoreVersion{}
	n.readers = nil
	if n.Index >= readerCount && w.Random.IntN(3) > 0 {
		n.readers = w.Random.Perm(readerCount)[:1+w.Random.IntN(readerCount)]
	}
	options := []Option{WithShortWait(), func(f *Follower) { f.now = w.Now }}
	if w.isLasting {
		options = append(options, WithLastingRows(preferLaterKnown))
	}
	steps := &task{w: w, node: n}
	n.follower = New(tableName, w.sourceOf(steps), func(rows []messenger.StoreRow, removed []string) { w.judge(n, rows, removed) }, options...)
	w.run(steps, w.step)
	w.run(&task{w: w, node: n}, w.confirm)
	w.run(&task{w: w, node: n}, w.sendStatuses)
}

func (w *world) stop(n *node) {
	for _, stop := range n.stops {
		stop()
	}
	n.stops = nil
}

// run runs a task until its node is stopped.
func (w *world) run(t *task, do func(*task)) {
	next, stop := iter.Pull(func(yield func(struct{}) bool) {
		t.yield = yield
		do(t)
	})
	t.next = next
	t.node.stops = append(t.node.stops, stop)
	w.On(t.node.Machine, w.Delay(time.Millisecond), func() { t.next() })
}

// call calls the store or a node and returns its answer; ok is false if none arrives in time.
func call[T any](t *task, to int, timeout time.Duration, serve func(answer func(T))) (out T, ok bool) {
	w, from := t.w, t.node.Index
	t.wait(func(resume func()) {
		isOver := false
		end := func() {
			if !isOver {
				isOver = true
				resume()
			}
		}
		w.After(timeout, end)
		w.Send(from, to, func() {
			serve(func(answer T) {
				w.Send(to, from, func() {
					if !isOver {
						out, ok = answer, true
						end()
					}
				})
			})
		})
	})
	return out, ok && !t.isStopped
}

// step follows the table as Run does.
func (w *world) step(t *task) {
	n := t.node
	for failures := 0; !t.isStopped; {
		began := w.Now()
		before := n.follower.Version()
		isDone := n.follower.Step()
		if t.isStopped {
			return
		}
		w.noteProgress(n, began, before)
		if isDone {
			failures = 0
		} else {
			failures++
		}
		interval := n.follower.intervalAfter(failures)
		if w.plant == noPause {
			interval = 0
		}
		t.sleep(interval)
	}
}

// noteProgress fails if a node makes call after call without a pause, although none brings anything new.
func (w *world) noteProgress(n *node, began time.Time, before messenger.StoreVersion) {
	const maxSteps, atLeast = 5, 100 * time.Millisecond
	w.noteVersion(n)
	if w.plant == noGrace {
		for key := range n.follower.returnDeadlines {
			n.follower.returnDeadlines[key] = w.Now()
		}
	}
	if n.follower.Version().IsAfter(before) {
		n.steps = nil
		return
	}
	n.steps = append(n.steps, began)
	if len(n.steps) > maxSteps {
		n.steps = n.steps[1:]
		if w.Now().Sub(n.steps[0]) < atLeast {
			w.fail("node %d makes %d steps in %s at %+v", n.Index, maxSteps, w.Now().Sub(n.steps[0]), before)
		}
	}
}

// noteVersion fails if the version of a copy has fallen, and answers the nodes that wait for changes.
func (w *world) noteVersion(n *node) {
	version := n.follower.Version()
	if version.IsBefore(n.version) {
		w.fail("copy of node %d goes back from %+v to %+v", n.Index, n.version, version)
	}
	n.version = version
	waiting := n.waiting
	n.waiting = nil
	for _, retry := range waiting {
		retry()
	}
}

// confirm asks the store beside the calls of step, and adopts copies of peers.
func (w *world) confirm(t *task) {
	n := t.node
	for !t.isStopped {
		t.sleep(300*time.Millisecond + w.Delay(4*time.Second))
		if t.isStopped {
			return
		}
		if w.Random.IntN(2) == 0 {
			follow := func(_ string, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
				return w.followStore(t, after, wait)
			}
			_ = n.follower.Confirm(follow, func(string) (messenger.TableSnapshot, error) { return w.readStore(t) })
		} else if snapshot, ok := w.peerSnapshot(t, n.follower.Version()); ok {
			n.follower.Adopt(snapshot)
		}
		if !t.isStopped {
			w.noteVersion(n)
		}
	}
}

// sendStatuses tells all others the version of the copy.
func (w *world) sendStatuses(t *task) {
	n := t.node
	for !t.isStopped {
		version, hasStoreFor := n.follower.Version(), n.follower.HasStoreFor()
		for _, other := range w.nodes {
			if other != n {
				w.Send(n.Index, other.Index, func() {
					other.peers[n.Index] = status{version: version, hasStoreFor: hasStoreFor, receivedAt: w.Now()}
				})
			}
		}
		t.sleep(statusInterval)
	}
}

func (w *world) sourceOf(t *task) Source {
	return Source{
		Read: func(string) (messenger.TableSnapshot, error) { return w.readTable(t) },
		Follow: func(_ string, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
			return w.followTable(t, after, wait)
		},
		PeerSnapshot: func(_ string, newer messenger.StoreVersion) (messenger.TableSnapshot, bool) {
			return w.peerSnapshot(t, newer)
		},
		PeerHasHadStore: func(since time.Time) bool { return w.peerHasHadStore(t.node, since) },
	}
}

// peerSnapshot returns the copy of the peer that has told the newest version.
func (w *world) peerSnapshot(t *task, newer messenger.StoreVersion) (messenger.TableSnapshot, bool) {
	from := disturber.Outside
	for _, index := range slices.Sorted(maps.Keys(t.node.peers)) {
		peer := t.node.peers[index]
		if w.Now().Sub(peer.receivedAt) < statusTTL && peer.version.IsAfter(newer) {
			newer, from = peer.version, index
		}
	}
	if from == disturber.Outside {
		return messenger.TableSnapshot{}, false
	}
	return w.fetch(t, from)
}

// fetch returns the copy of a peer.
func (w *world) fetch(t *task, from int) (messenger.TableSnapshot, bool) {
	out, ok := call(t, from, readTimeout, func(answer func(messenger.TableSnapshot)) { answer(w.nodes[from].follower.Snapshot()) })
	if ok && len(out.Missing) > 0 {
		w.adopted++
	}
	if w.plant == ignoredMissing {
		out.Missing = nil
	}
	return out, ok
}

func (w *world) peerHasHadStore(n *node, since time.Time) bool {
	for _, peer := range n.peers {
		if w.Now().Sub(peer.receivedAt) < statusTTL && peer.receivedAt.Add(-peer.hasStoreFor).Before(since) {
			return true
		}
	}
	return false
}

// followTable follows the table through a reader or, if none is able to, the store.
func (w *world) followTable(t *task, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
	for _, index := range t.node.readers {
		changes, err := w.followReader(t, index, after, min(wait, readerWait))
		if err == nil || isTruncated(err) {
			return changes, err
		}
	}
	return w.followStore(t, after, wait)
}

// readTable reads the table from a reader or, if none has a fresh copy, the store.
func (w *world) readTable(t *task) (messenger.TableSnapshot, error) {
	for _, index := range t.node.readers {
		out, ok := w.fetch(t, index)
		isFresh := time.Duration(out.AgeMilliseconds)*time.Millisecond <= readerAge
		if ok && out.Version > 0 && isFresh && !out.StoreVersion().IsBefore(t.node.follower.Version()) {
			return out, nil
		}
	}
	return w.readStore(t)
}

// answer is an answer to a call for changes.
type answer struct {
	changes Changes
	err     error
}

// followReader follows the table through another node.
func (w *world) followReader(t *task, index int, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
	reader := w.nodes[index]
	out, ok := call(t, index, wait+readerMargin, func(deliver func(answer)) {
		until := w.Now().Add(min(wait, reader.follower.FreshFor(readerWait+readerAge)))
		w.answerChanges(reader, after, until, deliver)
	})
	switch {
	case !ok:
		return Changes{}, errUnavailable
	case out.err == nil && out.changes.Age > wait+readerAge:
		return Changes{}, errUnavailable
	}
	return out.changes, out.err
}

// answerChanges delivers the changes of the copy of a node as soon as there are any.
func (w *world) answerChanges(reader *node, after messenger.StoreVersion, until time.Time, deliver func(answer)) {
	isOver := false
	var attempt func()
	attempt = func() {
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		changes, err := reader.follower.Since(ctx, after)
		switch {
		case isOver:
		case err == nil && len(changes.Rows)+len(changes.Removed) == 0 && w.Now().Before(until):
			reader.waiting = append(reader.waiting, attempt)
		default:
			isOver = true
			deliver(answer{changes: ChangesFromPeer(changes), err: sentinel(err)})
		}
	}
	w.On(reader.Machine, until.Sub(w.Now()), attempt)
	attempt()
}

// sentinel returns what a status tells of an error of Since.
func sentinel(err error) error {
	switch {
	case err == nil:
		return nil
	case isTruncated(err):
		return ErrHistoryTruncated
	default:
		return errUnavailable
	}
}

// hasEpoch records the epoch of an answer of the store, and reports whether it is not an earlier one.
func (w *world) hasEpoch(n *node, epoch int64) bool {
	isCurrent := epoch >= n.epoch || w.plant == staleAnswers
	n.epoch = max(n.epoch, epoch)
	return isCurrent
}

// readStore is what the client of the store does for a whole table.
func (w *world) readStore(t *task) (messenger.TableSnapshot, error) {
	out, ok := call(t, disturber.Outside, readTimeout, func(answer func(messenger.TableSnapshot)) {
		if !w.isAway {
			answer(w.table())
		}
	})
	if !ok || !w.hasEpoch(t.node, out.Epoch) {
		return messenger.TableSnapshot{}, errUnavailable
	}
	if version := t.node.follower.Version(); w.plant == staleAnswers && out.Epoch < version.Epoch {
		out.Version, out.Rows = max(out.Version, version.Number), inEpoch(version.Epoch, out).Rows
		out.Epoch = version.Epoch
	}
	return out, nil
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

// followStore is what the client of the store does for changes.
func (w *world) followStore(t *task, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
	if after.Epoch < t.node.epoch && w.plant != staleAnswers {
		return Changes{}, ErrHistoryTruncated
	}
	out, ok := call(t, disturber.Outside, wait+feedTimeoutMargin, func(deliver func(answer)) { w.answerFeed(after.Number, w.Now().Add(wait), deliver) })
	if !ok || errors.Is(out.err, errUnavailable) || !w.hasEpoch(t.node, out.changes.Epoch) {
		return Changes{}, errUnavailable
	}
	if w.plant == staleAnswers && out.err == nil {
		epoch := t.node.follower.Version().Epoch
		out.changes.Epoch, out.changes.Rows = epoch, inEpoch(epoch, messenger.TableSnapshot{Rows: out.changes.Rows}).Rows
		return out.changes, nil
	}
	if out.err != nil || out.changes.Epoch != after.Epoch {
		return Changes{}, ErrHistoryTruncated
	}
	return out.changes, nil
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

// preferLaterKnown resolves by the versions of rows, and takes no row that is not known.
func preferLaterKnown(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	if !isKnown || next.StoreVersion().IsBefore(known.StoreVersion()) {
		return known, isKnown
	}
	return next, true
}

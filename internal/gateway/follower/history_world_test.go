package follower

import (
	"fmt"
	"iter"
	"math/rand/v2"
	"time"

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

// preferLaterKnown resolves by the versions of rows, and takes no row that is not known.
func preferLaterKnown(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	if !isKnown || next.StoreVersion().IsBefore(known.StoreVersion()) {
		return known, isKnown
	}
	return next, true
}

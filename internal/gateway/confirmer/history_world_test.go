package confirmer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/crocusring/crocusring/internal/fake/scheduler"
	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/confirmer"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	bound          = 5 * time.Second
	applyTime      = 3 * time.Second
	historyLength  = 30 * time.Second
	healTime       = 8 * time.Second
	statusInterval = 400 * time.Millisecond
	pollWait       = time.Second
	callTimeout    = 1700 * time.Millisecond
	retryInterval  = 500 * time.Millisecond
	maxFreezeCheck = 500 * time.Millisecond
	maxNodes       = 5
	keyCount       = 4
	tableName      = "manifest"
	rowKey         = "config"
	// storeIndex is the index of the store beside those of the nodes.
	storeIndex = -1
	// maxClockError is the rate, in parts per million, by which local clocks differ from the store's.
	maxClockError = 900
)

// plant is a fault that the histories must find.
type plant int

const (
	noPlant plant = iota
	// agelessProofs are taken for as new as their arrival.
	agelessProofs
	// anyVersion adopts the proofs of peers for newer manifests.
	anyVersion
	// stoppedClock does not run while its instance is frozen.
	stoppedClock
	// tableFirst looks at the manifest once, before the proof.
	tableFirst
)

// node is a simulated instance. All but its tables and their proofs is a model.
type node struct {
	index       int
	incarnation int
	frozenUntil time.Time
	// base and rate, in parts per million, are of the local clock, and suspended is by how much a
	// planted fault has it late.
	base, suspended time.Duration
	rate            int64
	// reader is the node through which this one follows the store; storeIndex for none.
	reader int

	clock     confirmer.Clock
	confirmer *confirmer.Confirmer
	registry  *registrar.Registrar
	follower  *follower.Follower
	check     authenticator.Authenticator
}

// span is a time in which a key was in the manifest of the store.
type span struct{ from, to time.Time }

// world is a random history of instances, their store and their callers in virtual time.
type world struct {
	*scheduler.Scheduler
	random *rand.Rand
	plant  plant
	began  time.Time
	nodes  []*node

	row     messenger.StoreRow
	version int64
	keys    map[string]bool
	spans   map[string][]span
	waiting []func()
	// cut holds the ways, from an index to another, on which no message arrives, and loss is the
	// share of messages that are lost.
	cut  map[[2]int]bool
	loss float64
	// isCalm ends the disturbances and the changes of keys.
	isCalm bool

	served, refused int
	violation       string
}

func newWorld(seed uint64, p plant) *world {
	began := time.Unix(1000, 0)
	w := &world{
		Scheduler: scheduler.New(began), random: rand.New(rand.NewPCG(seed, 11)), plant: p, began: began,
		keys: map[string]bool{}, spans: map[string][]span{}, cut: map[[2]int]bool{},
	}
	w.changeKeys()
	for range 2 + w.random.IntN(maxNodes-2) {
		w.addNode()
	}
	w.After(w.delay(3*time.Second), w.changeRegularly)
	w.After(w.delay(3*time.Second), w.disturb)
	return w
}

func (w *world) delay(most time.Duration) time.Duration {
	return time.Duration(w.random.Float64() * float64(most))
}

func keyName(number int) string { return fmt.Sprintf("key-%d", number) }

// changeKeys commits a manifest with other keys.
func (w *world) changeKeys() {
	now := w.Now()
	for number := range keyCount {
		key := keyName(number)
		isPresent := w.random.IntN(2) == 0
		if was := w.keys[key]; was && !isPresent {
			spans := w.spans[key]
			spans[len(spans)-1].to = now
		} else if !was && isPresent {
			w.spans[key] = append(w.spans[key], span{from: now})
		}
		w.keys[key] = isPresent
	}
	w.version++
	value, err := json.Marshal(w.keys)
	if err != nil {
		panic(err)
	}
	w.row = messenger.StoreRow{Key: rowKey, Version: w.version, Value: value}
	waiting := w.waiting
	w.waiting = nil
	for _, answer := range waiting {
		answer()
	}
}

func (w *world) changeRegularly() {
	if w.isCalm {
		return
	}
	w.changeKeys()
	w.After(w.delay(8*time.Second), w.changeRegularly)
}

// hadKey reports whether the store's manifest had a key at some time from a time on.
func (w *world) hadKey(key string, from time.Time) bool {
	return slices.ContainsFunc(w.spans[key], func(s span) bool { return s.to.IsZero() || s.to.After(from) })
}

// hasKeySince reports whether the store's manifest has had a key all the time from a time on.
func (w *world) hasKeySince(key string, from time.Time) bool {
	return slices.ContainsFunc(w.spans[key], func(s span) bool { return s.to.IsZero() && !s.from.After(from) })
}

func (w *world) storeTime() int64 { return 1000 + w.Now().Sub(w.began).Milliseconds() }

// local returns the time of the local clock of a node.
func (w *world) local(n *node) time.Time {
	elapsed := w.Now().Sub(w.began)
	return time.Unix(0, 0).Add(n.base + elapsed + elapsed*time.Duration(n.rate)/1_000_000 - n.suspended)
}

func (w *world) latest(n *node) int64 {
	_, latest, ok := n.clock.Bounds(w.local(n))
	if !ok {
		return 0
	}
	return latest
}

func (w *world) addNode() {
	n := &node{index: len(w.nodes)}
	w.nodes = append(w.nodes, n)
	w.start(n)
}

// start starts a node, which knows nothing, on a machine that may have been started anew.
func (w *world) start(n *node) {
	n.incarnation++
	n.base, n.rate, n.suspended = w.delay(time.Hour), w.random.Int64N(2*maxClockError)-maxClockError, 0
	n.reader = storeIndex
	if n.index > 0 && w.random.IntN(2) == 0 {
		n.reader = 0
	}
	n.clock, n.confirmer, n.registry = confirmer.Clock{}, confirmer.New(bound), registrar.New()
	n.check = authenticator.Authenticator{
		View: n.registry.View, Currency: func() (bool, bool) { return n.confirmer.Currency(w.latest(n)) },
	}
	registry, c := n.registry, n.confirmer
	n.follower = follower.New(tableName, follower.Source{}, func(rows []messenger.StoreRow, _ []string) {
		for _, row := range rows {
			registry.SetManifest(decode(row))
			c.SetApplied(row.StoreVersion())
		}
	}, follower.WithProofs(func() messenger.GatewayProof {
		proof := c.Proof()
		return messenger.GatewayProof{RowEra: proof.Version.Era, RowVersion: proof.Version.Number, StoreMilliseconds: proof.StoreMilliseconds}
	}, func(proof messenger.GatewayProof) { w.receiveProof(n, proof) }))
	w.onNode(n, w.delay(statusInterval), func() { w.poll(n) })
	w.onNode(n, w.delay(statusInterval), func() { w.sendStatuses(n) })
	w.onNode(n, w.delay(statusInterval), func() { w.confirm(n) })
	w.onNode(n, w.delay(statusInterval), func() { w.receiveRequests(n) })
}

// decode returns the manifest in a row. Its version is that of the row.
func decode(row messenger.StoreRow) *registrar.Manifest {
	keys := map[string]bool{}
	if err := json.Unmarshal(row.Value, &keys); err != nil {
		panic(err)
	}
	account := &registrar.Account{Name: "a"}
	for key, isPresent := range keys {
		if isPresent {
			account.Keys = append(account.Keys, registrar.DigestKey(key))
		}
	}
	return &registrar.Manifest{Version: row.Version, Accounts: map[string]*registrar.Account{"a": account}}
}

// receiveProof is what the supervisor does with the proof that comes with rows.
func (w *world) receiveProof(n *node, proof messenger.GatewayProof) {
	if w.plant == agelessProofs && proof.StoreMilliseconds > 0 {
		proof.StoreMilliseconds = w.latest(n)
	}
	if proof.RowVersion == 0 {
		n.confirmer.Confirm(proof.StoreMilliseconds, w.latest(n))
		return
	}
	w.receive(n, proof)
}

// receive adopts the proof of a peer and reports whether the peer's manifest is newer.
func (w *world) receive(n *node, proof messenger.GatewayProof) (isNewer bool) {
	if w.plant == anyVersion {
		proof.RowVersion = min(proof.RowVersion, max(n.confirmer.Proof().Version.Number, 1))
	}
	return n.confirmer.Receive(confirmer.Proof{Version: proof.StoreVersion(), StoreMilliseconds: proof.StoreMilliseconds}, w.latest(n))
}

// onNode runs an action of a node when it is no longer frozen, unless it has been restarted.
func (w *world) onNode(n *node, d time.Duration, run func()) {
	incarnation := n.incarnation
	var attempt func()
	attempt = func() {
		switch {
		case n.incarnation != incarnation:
		case w.Now().Before(n.frozenUntil):
			// heal may end the freeze earlier.
			w.After(min(n.frozenUntil.Sub(w.Now()), maxFreezeCheck)+w.delay(time.Millisecond), attempt)
		default:
			run()
		}
	}
	w.After(d, attempt)
}

// message sends a message on a way: it may be lost, late, or arrive twice.
func (w *world) message(from, to int, arrive func()) {
	if w.cut[[2]int{from, to}] || w.random.Float64() < w.loss {
		return
	}
	times := 1
	if w.random.IntN(20) == 0 {
		times = 2
	}
	for range times {
		latency := time.Millisecond + w.delay(4*time.Millisecond)
		if w.random.IntN(20) == 0 {
			latency += w.delay(4 * time.Second)
		}
		if to == storeIndex {
			w.After(latency, arrive)
			continue
		}
		w.onNode(w.nodes[to], latency, arrive)
	}
}

// poll follows the manifest by a long poll of the store or of a reader, and goes on when the call
// has ended.
func (w *world) poll(n *node) {
	hasEnded := false
	again := func(d time.Duration) {
		if !hasEnded {
			hasEnded = true
			w.onNode(n, d, func() { w.poll(n) })
		}
	}
	if n.reader == storeIndex || n.follower.Version().IsZero() {
		w.callStore(n, pollWait, func() { again(0) })
	} else {
		w.callReader(n, func() { again(0) })
	}
	w.onNode(n, callTimeout, func() { again(w.delay(retryInterval)) })
}

// confirm asks the store directly while the proof is old.
func (w *world) confirm(n *node) {
	if age, ok := n.confirmer.Age(w.latest(n)); !ok || age > bound/2 {
		w.callStore(n, 0, func() {})
	}
	w.onNode(n, statusInterval, func() { w.confirm(n) })
}

// toCaller returns a function that runs an action unless the node has been restarted since: its
// connections ended then.
func toCaller(n *node) func(run func()) {
	incarnation := n.incarnation
	return func(run func()) {
		if n.incarnation == incarnation {
			run()
		}
	}
}

// callStore reads the manifest, or its changes once there are any or wait has passed.
func (w *world) callStore(n *node, wait time.Duration, end func()) {
	sent, after, deliver := w.local(n), n.follower.Version(), toCaller(n)
	w.message(n.index, storeIndex, func() {
		hasAnswered := false
		answer := func() {
			if hasAnswered {
				return
			}
			hasAnswered = true
			deliver(func() { w.answerFromStore(n, sent, after, end) })
		}
		if after.IsBefore(w.row.StoreVersion()) {
			answer()
			return
		}
		w.waiting = append(w.waiting, answer)
		w.After(wait, answer)
	})
}

func (w *world) answerFromStore(n *node, sent time.Time, after messenger.StoreVersion, end func()) {
	row, now, version := w.row, w.storeTime(), w.version
	w.message(storeIndex, n.index, func() {
		defer end()
		n.clock.Record(now, sent, w.local(n))
		proof := messenger.GatewayProof{StoreMilliseconds: now}
		if after.IsZero() {
			n.follower.Adopt(messenger.TableSnapshot{Version: version, Rows: []messenger.StoreRow{row}, Proof: proof})
			return
		}
		changes := follower.Changes{Version: version, Proof: proof}
		if row.StoreVersion().IsAfter(after) {
			changes.Rows = []messenger.StoreRow{row}
		}
		w.applyChanges(n, changes)
	})
}

func (w *world) applyChanges(n *node, changes follower.Changes) {
	err := n.follower.Confirm(func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) { return changes, nil }, nil)
	if err != nil {
		panic(err)
	}
}

// callReader asks a reader for the changes, which may take as long as a long poll.
func (w *world) callReader(n *node, end func()) {
	after, reader, deliver := n.follower.Version(), w.nodes[n.reader], toCaller(n)
	w.message(n.index, reader.index, func() {
		w.onNode(reader, w.delay(pollWait), func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			changes, err := reader.follower.Since(ctx, after)
			if err != nil {
				w.sendSnapshot(reader, n)
				return
			}
			deliver(func() {
				w.message(reader.index, n.index, func() {
					defer end()
					w.applyChanges(n, follower.ChangesFromPeer(changes))
				})
			})
		})
	})
}

// sendSnapshot sends the copy of a node to another one.
func (w *world) sendSnapshot(from, to *node) {
	snapshot := from.follower.Snapshot()
	if snapshot.Version == 0 {
		return
	}
	snapshot.Proof = follower.ProofFromPeer(snapshot.Proof)
	w.message(from.index, to.index, func() { to.follower.Adopt(snapshot) })
}

// sendStatuses sends the proof to all others, which answer with theirs. A node without a manifest
// is sent that of the others as well.
func (w *world) sendStatuses(n *node) {
	for _, other := range w.nodes {
		if other == n {
			continue
		}
		w.sendStatus(n, other, func() { w.sendStatus(other, n, func() {}) })
		if n.follower.Version().IsZero() {
			w.message(n.index, other.index, func() { w.sendSnapshot(other, n) })
		}
	}
	w.onNode(n, statusInterval, func() { w.sendStatuses(n) })
}

func (w *world) sendStatus(from, to *node, then func()) {
	proof := from.confirmer.Proof()
	message := messenger.GatewayProof{RowEra: proof.Version.Era, RowVersion: proof.Version.Number, StoreMilliseconds: proof.StoreMilliseconds}
	w.message(from.index, to.index, func() {
		if message.RowVersion > 0 {
			if w.plant == agelessProofs {
				message.StoreMilliseconds = w.latest(to)
			}
			if w.receive(to, message) {
				w.message(to.index, from.index, func() { w.sendSnapshot(from, to) })
			}
		}
		then()
	})
}

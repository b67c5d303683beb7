package confirmer_test

import (
	"context"
	"encoding/json"
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/crocusring/crocusring/internal/fake/disturber"
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
	// statusIntervalPerNode is the same divided by the number of nodes where there are many.
	statusIntervalPerNode = 25 * time.Millisecond
	// confirmInterval is the time between two checks whether to ask the store, and askSpread that over which all do.
	confirmInterval = 200 * time.Millisecond
	askSpread       = 300 * time.Millisecond
	callTimeout     = 1700 * time.Millisecond
	retryInterval   = 500 * time.Millisecond
	maxNodes        = 5
	keyCount        = 4
	tableName       = "manifest"
	rowKey          = "config"
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
	// confirmedAtOnce takes the store's word for what it came back with.
	confirmedAtOnce
	// renewedProofs are as new as the epoch, whatever their age when it was observed.
	renewedProofs
	// anyClock compares the proofs of peers with the store's clock of another epoch.
	anyClock
	// neverAsks leaves it to the readers and peers of an instance to have the newest manifest.
	neverAsks
)

// node is a simulated instance. All but its tables and their proofs is a model.
type node struct {
	*disturber.Machine
	// base and rate, in parts per million, are of the local clock, and suspended is by how much a
	// planted fault has it late.
	base, suspended time.Duration
	rate            int64
	// reader is the node through which this one follows the store; disturber.Outside for none.
	reader int
	// epoch is the latest one of the store's answers.
	epoch int64
	// notInTouchAt is when the instance last was frozen, restarted or cut off from the store.
	notInTouchAt time.Time
	// answerLostAt is when an answer of the store was last lost.
	answerLostAt time.Time
	// knowsCopyOnly reports that the store lacked what the operator had written in its first answer.
	knowsCopyOnly bool

	clock     confirmer.Clock
	confirmer *confirmer.Confirmer
	schedule  *confirmer.Schedule
	registry  *registrar.Registrar
	follower  *follower.Follower
	check     authenticator.Authenticator
}

// world is a random history of instances, their store and their callers in virtual time.
type world struct {
	*disturber.Network
	plant plant
	began time.Time
	nodes []*node

	row      messenger.StoreRow
	version  int64
	waiting  []func()
	restores restores
	// keys are those of the operator's last manifest, and spans are when they were in it.
	manifest int64
	keys     map[string]bool
	spans    spans
	// changes are the manifests in the order in which they were acknowledged.
	changes []change
	// answersAreLost has single answers of the store lost.
	answersAreLost bool
	// isCalm ends the disturbances and the changes of keys.
	isCalm bool

	served, refused int
	// mostLate is the longest time for which a change was not in force at an instance in touch, and calls counts those to
	// the store in each callWindow.
	mostLate time.Duration
	calls    map[int64]int
	// looks counts how often an instance in touch was looked at.
	looks int
	// excused counts the runs of instances that may know only what the store came back with.
	excused   int
	violation string
}

// newEmptyWorld returns a world of a few instances in which nothing changes. Late messages are up to maxDelay late.
func newEmptyWorld(seed uint64, p plant, maxDelay time.Duration) *world {
	began := time.Unix(1000, 0)
	w := &world{
		Network: disturber.New(began, rand.New(rand.NewPCG(seed, 11)), maxDelay, disturber.WithDoubles(20)), plant: p, began: began,
		keys: map[string]bool{}, spans: spans{}, restores: newRestores(), calls: map[int64]int{},
	}
	w.changeKeys()
	for range 2 + w.Random.IntN(maxNodes-2) {
		w.addNode()
	}
	return w
}

func newWorld(seed uint64, p plant) *world {
	w := newEmptyWorld(seed, p, 4*time.Second)
	w.After(w.Delay(3*time.Second), w.changeRegularly)
	w.After(w.Delay(3*time.Second), w.disturb)
	return w
}

func keyName(number int) string { return fmt.Sprintf("key-%d", number) }

// changeKeys commits a manifest with other keys.
func (w *world) changeKeys() {
	if w.lacksLast() {
		w.restores.lackedAt = w.Now()
	}
	for number := range keyCount {
		w.keys[keyName(number)] = w.Random.IntN(2) == 0
	}
	w.spans.set(w.keys, w.Now())
	w.manifest++
	w.commit()
	w.changes = append(w.changes, change{at: w.Now(), manifest: w.manifest})
}

// commit writes the operator's last manifest.
func (w *world) commit() {
	value, err := json.Marshal(content{Version: w.manifest, Keys: w.keys})
	if err != nil {
		panic(err)
	}
	w.version++
	w.row = messenger.StoreRow{Key: rowKey, Epoch: w.restores.epoch, Version: w.version, Value: value}
	w.restores.commits = append(w.restores.commits, commit{at: w.Now(), row: w.row})
	w.answerWaiting()
}

func (w *world) answerWaiting() {
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
	if !w.restores.isAway {
		w.changeKeys()
	}
	w.After(w.Delay(8*time.Second), w.changeRegularly)
}

func (w *world) storeTime() int64 { return w.restores.clockBase + w.Now().Sub(w.began).Milliseconds() }

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
	n := &node{Machine: w.AddMachine()}
	w.nodes = append(w.nodes, n)
	w.start(n)
}

// start starts a node, which knows nothing, on a machine that may have been started anew.
func (w *world) start(n *node) {
	n.Incarnation++
	n.epoch, n.knowsCopyOnly, n.notInTouchAt = 0, false, w.Now()
	n.base, n.rate, n.suspended = w.Delay(time.Hour), w.Random.Int64N(2*maxClockError)-maxClockError, 0
	n.reader = disturber.Outside
	if n.Index > 0 && w.Random.IntN(2) == 0 {
		n.reader = 0
	}
	n.clock, n.confirmer, n.registry = confirmer.Clock{}, confirmer.New(bound, confirmer.WithClock(func() time.Time { return w.local(n) })), registrar.New()
	n.schedule = confirmer.NewSchedule(applyTime, bound/2, w.Delay)
	n.check = authenticator.Authenticator{
		View: n.registry.View, Currency: func() (bool, bool) { return n.confirmer.Currency(w.latest(n)) },
	}
	registry, c := n.registry, n.confirmer
	n.follower = follower.New(tableName, follower.Source{}, func(rows []messenger.StoreRow, _ []string) {
		for _, row := range rows {
			registry.SetManifest(decode(row))
			c.SetApplied(row.StoreVersion())
		}
	}, follower.WithLastingRows(resolve),
		follower.WithProofs(func() messenger.GatewayProof { return w.proofOf(n) }, func(proof messenger.GatewayProof) { w.receiveProof(n, proof) }))
	w.On(n.Machine, w.Delay(statusInterval), func() { w.poll(n) })
	w.On(n.Machine, w.Delay(statusInterval), func() { w.sendStatuses(n) })
	w.On(n.Machine, w.Delay(statusInterval), func() { w.confirm(n) })
	w.On(n.Machine, w.Delay(statusInterval), func() { w.receiveRequests(n) })
}

// content is the value of the manifest's row.
type content struct {
	Version int64
	Keys    map[string]bool
}

// decode returns the manifest in a row.
func decode(row messenger.StoreRow) *registrar.Manifest {
	in := content{}
	if err := json.Unmarshal(row.Value, &in); err != nil {
		panic(err)
	}
	account := &registrar.Account{Name: "a"}
	for key, isPresent := range in.Keys {
		if isPresent {
			account.Keys = append(account.Keys, registrar.DigestKey(key))
		}
	}
	return &registrar.Manifest{Version: in.Version, Accounts: map[string]*registrar.Account{"a": account}}
}

// resolve is what the supervisor does with the manifest of a later epoch.
func resolve(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	if isKnown && decode(next).Version < decode(known).Version {
		next.Value = known.Value
	}
	return next, true
}

// proofOf returns the proof that a node passes on.
func (w *world) proofOf(n *node) messenger.GatewayProof {
	proof := n.confirmer.Proof()
	return messenger.GatewayProof{RowEpoch: proof.Version.Epoch, RowVersion: proof.Version.Number, StoreMilliseconds: proof.StoreMilliseconds}
}

// receiveProof is what the supervisor does with the proof that comes with rows.
func (w *world) receiveProof(n *node, proof messenger.GatewayProof) {
	if w.plant == agelessProofs && proof.StoreMilliseconds > 0 {
		proof.StoreMilliseconds = w.latest(n)
	}
	if proof.RowVersion == 0 {
		n.confirmer.Confirm(proof.RowEpoch, proof.StoreMilliseconds, w.latest(n))
		return
	}
	w.receive(n, proof)
}

// receive adopts the proof of a peer and reports whether the peer's manifest is newer.
func (w *world) receive(n *node, proof messenger.GatewayProof) (isNewer bool) {
	if w.plant == anyVersion {
		proof.RowVersion = min(proof.RowVersion, max(n.confirmer.Proof().Version.Number, 1))
	}
	if w.plant == anyClock {
		proof.RowEpoch, proof.RowVersion = n.epoch, min(proof.RowVersion, n.confirmer.Applied().Number)
	}
	return n.confirmer.Receive(confirmer.Proof{Version: proof.StoreVersion(), StoreMilliseconds: proof.StoreMilliseconds}, w.latest(n))
}

// poll follows the manifest by a long poll of the store or of a reader, and goes on when the call
// has ended.
func (w *world) poll(n *node) {
	hasEnded := false
	again := func(d time.Duration) {
		if !hasEnded {
			hasEnded = true
			w.On(n.Machine, d, func() { w.poll(n) })
		}
	}
	if n.reader == disturber.Outside || n.follower.Version().IsZero() {
		w.callStore(n, pollWait, func() { again(0) })
	} else {
		w.callReader(n, func() { again(0) })
	}
	w.On(n.Machine, callTimeout, func() { again(w.Delay(retryInterval)) })
}

// confirm asks the store directly while the proof is old.
func (w *world) confirm(n *node) {
	latest := w.latest(n)
	age, ok := n.confirmer.Age(latest)
	if n.schedule.IsDue(w.local(n), age, ok, max(askSpread, time.Duration(len(w.nodes))*time.Millisecond)) && n.confirmer.MayConfirm(latest) && w.plant != neverAsks {
		w.callStore(n, 0, func() {})
	}
	w.On(n.Machine, confirmInterval, func() { w.confirm(n) })
}

// toCaller returns a function that runs an action unless the node has been restarted since: its
// connections ended then.
func toCaller(n *node) func(run func()) {
	incarnation := n.Incarnation
	return func(run func()) {
		if n.Incarnation == incarnation {
			run()
		}
	}
}

// callReader asks a reader for the changes, which may take as long as a long poll.
func (w *world) callReader(n *node, end func()) {
	after, reader, deliver := n.follower.Version(), w.nodes[n.reader], toCaller(n)
	w.Send(n.Index, reader.Index, func() {
		w.On(reader.Machine, w.Delay(pollWait), func() {
			ctx, cancel := context.WithCancel(context.Background())
			cancel()
			changes, err := reader.follower.Since(ctx, after)
			if err != nil {
				w.sendSnapshot(reader, n)
				return
			}
			deliver(func() {
				w.Send(reader.Index, n.Index, func() {
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
	w.Send(from.Index, to.Index, func() { to.follower.Adopt(snapshot) })
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
			w.Send(n.Index, other.Index, func() { w.sendSnapshot(other, n) })
		}
	}
	w.On(n.Machine, max(statusInterval, time.Duration(len(w.nodes))*statusIntervalPerNode), func() { w.sendStatuses(n) })
}

func (w *world) sendStatus(from, to *node, then func()) {
	message, manifest := w.proofOf(from), inForce(from)
	w.Send(from.Index, to.Index, func() {
		isNewer := !to.follower.Version().IsZero() && manifest > inForce(to)
		if message.RowVersion > 0 {
			if w.plant == agelessProofs {
				message.StoreMilliseconds = w.latest(to)
			}
			isNewer = w.receive(to, message) || isNewer
		}
		if isNewer {
			w.Send(to.Index, from.Index, func() { w.sendSnapshot(from, to) })
		}
		then()
	})
}

// inForce returns the operator's version of the manifest in force.
func inForce(n *node) int64 {
	if manifest := n.registry.View().Manifest; manifest != nil {
		return manifest.Version
	}
	return 0
}

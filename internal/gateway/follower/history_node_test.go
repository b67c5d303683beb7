package follower

import (
	"context"
	"maps"
	"slices"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/wire/messenger"
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

// answer is an answer to a call for changes.
type answer struct {
	changes Changes
	err     error
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

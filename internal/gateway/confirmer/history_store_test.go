package confirmer_test

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// callStore reads the manifest, or its changes once there are any or wait has passed.
func (w *world) callStore(n *node, wait time.Duration, end func()) {
	w.calls[w.Now().UnixNano()/int64(callWindow)]++
	sent, after, deliver := w.local(n), n.follower.Version(), toCaller(n)
	w.Send(n.Index, disturber.Outside, func() {
		epoch := w.restores.epoch
		hasAnswered := w.restores.isAway
		answer := func() {
			if hasAnswered || w.restores.isAway || epoch != w.restores.epoch {
				return
			}
			hasAnswered = true
			deliver(func() { w.answerFromStore(n, sent, after, end) })
		}
		if after.Epoch != epoch || after.IsBefore(w.row.StoreVersion()) {
			answer()
			return
		}
		w.waiting = append(w.waiting, answer)
		w.After(wait, answer)
	})
}

func (w *world) answerFromStore(n *node, sent time.Time, after messenger.StoreVersion, end func()) {
	row, now, version := w.row, w.storeTime(), messenger.StoreVersion{Epoch: w.restores.epoch, Number: w.version}
	lacksLast := w.lacksLast()
	if w.losesAnswer(n) {
		return
	}
	w.Send(disturber.Outside, n.Index, func() {
		defer end()
		if version.Epoch < n.epoch {
			return
		}
		n.knowsCopyOnly = n.knowsCopyOnly || (n.epoch == 0 && lacksLast)
		w.observeEpoch(n, version.Epoch)
		n.clock.Record(now, sent, w.local(n))
		rows := []messenger.StoreRow{}
		if row.Version > 0 {
			rows = append(rows, row)
		}
		proof := messenger.GatewayProof{RowEpoch: version.Epoch, StoreMilliseconds: now}
		if after.Epoch != version.Epoch || after.Number > version.Number {
			n.follower.Adopt(messenger.TableSnapshot{Epoch: version.Epoch, Version: version.Number, Rows: rows, Proof: proof})
			return
		}
		if !row.StoreVersion().IsAfter(after) {
			rows = nil
		}
		w.applyChanges(n, follower.Changes{Epoch: version.Epoch, Version: version.Number, Rows: rows, Proof: proof})
	})
}

// errNotRead ends a call of the follower that would read the whole table.
var errNotRead = errors.New("table is not read")

// applyChanges applies changes, unless they are of another epoch than the copy.
func (w *world) applyChanges(n *node, changes follower.Changes) {
	err := n.follower.Confirm(func(string, messenger.StoreVersion, time.Duration) (follower.Changes, error) { return changes, nil },
		func(string) (messenger.TableSnapshot, error) { return messenger.TableSnapshot{}, errNotRead })
	if err != nil && !errors.Is(err, errNotRead) && !errors.Is(err, follower.ErrOutdated) {
		panic(err)
	}
}

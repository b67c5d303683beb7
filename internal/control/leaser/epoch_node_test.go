package leaser

import (
	"time"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// epochNode is one instance.
type epochNode struct {
	w           *epochWorld
	id          int
	incarnation string
	leaser      *Leaser
	yield       func(struct{}) bool
	next        func() (struct{}, bool)
	stop        func()
	isStopped   bool
	isLeaving   bool
	hasLeft     bool
	wakeAt      time.Time
	frozenUntil time.Time
	cutUntil    time.Time
	pollAt      time.Time
	// epoch is the latest epoch that the client of the table service knows, and clockEpoch the one of its clock.
	epoch, clockEpoch int64
	offset            time.Duration // of its clock
	drift             int64         // of its clock, in millionths
	heard             int64         // the highest token that it had heard of when it did not hold the lease last
	bound             int64         // how far the bounds of the clock are from the truth, in milliseconds
}

// local returns the time of the clock of the instance, which runs fast or slow.
func (n *epochNode) local() time.Time {
	elapsed := n.w.now.Sub(time.Unix(1000, 0))
	return n.w.now.Add(n.offset + elapsed*time.Duration(n.drift)/1_000_000)
}

// run ticks until the instance is stopped or leaves.
func (n *epochNode) run(yield func(struct{}) bool) {
	n.yield = yield
	for n.rest(worldTick) {
		if n.isLeaving {
			_ = n.leaser.Release() // an outcome like any other
			n.hasLeft = true
			return
		}
		if err := n.leaser.Tick(); err != nil {
			n.w.note("i%d: %v", n.id, err)
		}
	}
}

// rest lets time pass; false if the instance was stopped.
func (n *epochNode) rest(d time.Duration) bool {
	if n.isStopped {
		return false
	}
	n.wakeAt = n.w.now.Add(d)
	n.isStopped = !n.yield(struct{}{})
	return !n.isStopped
}

// leg lets one way of a call pass, and reports whether the message arrives.
func (n *epochNode) leg() bool {
	limit, isLost := 20*time.Millisecond, false
	if !n.w.calm {
		isLost = n.w.random.IntN(40) == 0
		if n.w.random.IntN(20) == 0 {
			limit = 900 * time.Millisecond
		}
	}
	return n.rest(n.w.delay(limit)) && !isLost && !n.isCut()
}

func (n *epochNode) isCut() bool { return n.w.now.Before(n.cutUntil) }

func (n *epochNode) isFrozen() bool { return n.w.now.Before(n.frozenUntil) }

// answer receives an answer of an epoch, and reports whether a later one is known.
func (n *epochNode) answer(epoch int64) (isLate bool) {
	n.observeEpoch(epoch)
	if epoch < n.epoch {
		return true
	}
	n.clockEpoch = epoch
	return false
}

// observeEpoch is what the client of the table service does before it returns the answer that shows an epoch.
func (n *epochNode) observeEpoch(epoch int64) {
	if epoch <= n.epoch {
		return
	}
	if n.w.plant == forgottenGrants && n.epoch > 0 {
		n.leaser.grant = Record{}
	}
	n.epoch, n.clockEpoch = epoch, 0
	if n.w.plant != hiddenEpochs {
		n.leaser.ObserveEpoch(epoch)
	}
}

func (n *epochNode) get(table, key string) (messenger.Row, error) {
	if !n.leg() || n.w.isAway() {
		return messenger.Row{}, transactor.ErrUnavailable
	}
	row, _ := n.w.store.Get(table, key) // it has no error
	if !n.leg() || n.answer(row.Epoch) {
		return messenger.Row{}, transactor.ErrUnavailable
	}
	return n.w.planted(row), nil
}

func (n *epochNode) transact(req messenger.TransactRequest) ([]messenger.StoreVersion, error) {
	for _, c := range req.Conditions {
		if n.w.plant != hiddenEpochs && c.Epoch < n.epoch {
			return nil, transactor.ErrConflict
		}
	}
	if !n.w.calm && n.w.random.IntN(12) == 0 {
		n.w.late = append(n.w.late, lateWrite{at: n.w.now.Add(n.w.delay(5 * time.Second)), req: req})
		n.rest(time.Second)
		return nil, transactor.ErrUnknownOutcome
	}
	if !n.leg() || n.w.isAway() {
		return nil, transactor.ErrUnavailable
	}
	versions, err := n.w.store.Transact(req)
	epoch := n.w.store.Epoch
	switch {
	case !n.leg() || n.answer(epoch):
		return nil, transactor.ErrUnknownOutcome
	case err != nil:
		return nil, err
	}
	if n.w.plant == hiddenEpochs {
		for i := range versions {
			versions[i].Epoch = 0
		}
	}
	return versions, nil
}

// clock returns bounds of the table service's clock in the epoch that is known.
func (n *epochNode) clock() (earliest, latest int64, ok bool) {
	if !n.w.hasClock || (n.clockEpoch == 0 && n.epoch > 0) {
		return 0, 0, false
	}
	at := n.w.now.UnixMilli() + n.w.store.offsets[n.clockEpoch]
	return at - n.bound, at + n.bound, true
}

// poll is what other parts of the instance do: they call the table service again and again.
func (n *epochNode) poll() {
	if n.isFrozen() || n.isCut() || n.w.isAway() || n.w.now.Before(n.pollAt) {
		return
	}
	n.pollAt = n.w.now.Add(n.w.delay(worldTick))
	n.observeEpoch(n.w.store.Epoch)
}

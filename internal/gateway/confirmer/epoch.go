package confirmer

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/follower"
	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// rewriteTime is how long after the store came back from a copy the manifests that it lost may have to
// be written again.
const rewriteTime = follower.ReturnGracePeriod

// EpochChange describes the first answer of a later epoch of the store.
type EpochChange struct {
	// Before is the newest version of the epoch before; zero if this is the first answer of all.
	Before messenger.StoreVersion
	// After is the version in that answer.
	After messenger.StoreVersion
	// LatestBefore is the upper bound of the time by the store's clock of the epoch before, in
	// milliseconds, at the local time At; 0 if it is not known.
	LatestBefore int64
	At           time.Time
}

// epoch is what a confirmer knows of the epoch of the store's clock. Until rewriteTime after the store's
// return, which is not later than the first answer of the epoch, the table may lack a manifest that removed
// a key. Proofs of that time, also those of peers that observed no epoch before, count only where no epoch was observed
// before: such an instance cannot tell.
type epoch struct {
	number  int64
	isFirst bool
	// returnedBy is a time of the store by which it had returned; 0 before the first answer.
	returnedBy int64
	// before is the age of the proof of an earlier epoch.
	before keptAge
}

// keptAge is the age of a proof at a local time. The zero value is no proof.
type keptAge struct {
	isKnown bool
	atTime  time.Duration
	at      time.Time
}

// age returns the greatest possible age now.
func (k keptAge) age(now time.Time) (time.Duration, bool) {
	elapsed := now.Sub(k.at)
	return k.atTime + elapsed + timekeeper.MaxDrift(elapsed), k.isKnown
}

// isSettledAt reports whether a proof of a time of the store counts, since all that was lost is written again.
// By the time returned the store had returned.
func (e *epoch) isSettledAt(storeMilliseconds, returned, latest int64) bool {
	if e.isFirst {
		return true
	}
	if storeMilliseconds <= 0 || storeMilliseconds > latest {
		return false
	}
	if e.returnedBy == 0 {
		e.returnedBy = returned
	}
	return storeMilliseconds >= e.returnedBy+rewriteTime.Milliseconds()
}

// MayConfirm reports whether a proof of the current time would count.
func (c *Confirmer) MayConfirm(latest int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.epoch.isFirst || c.epoch.returnedBy == 0 || latest >= c.epoch.returnedBy+rewriteTime.Milliseconds()
}

// ObserveEpoch ends the proofs of the epoch before: they hold until their bound by the local clock, since the
// store's clock may be another one.
func (c *Confirmer) ObserveEpoch(change EpochChange) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if change.After.Epoch <= c.epoch.number {
		return
	}
	before := c.epoch.before
	if age, ok := c.proofAge(change.LatestBefore); ok {
		kept := keptAge{isKnown: true, atTime: age, at: change.At}
		if known, isKept := before.age(change.At); !isKept || age < known {
			before = kept
		}
	}
	c.epoch = epoch{number: change.After.Epoch, isFirst: change.Before.IsZero(), before: before}
	c.proof = Proof{}
}

package confirmer

import (
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
)

// rewriteTime is how long after the store came back from a copy the manifests that it lost may have to
// be written again.
const rewriteTime = 2200 * time.Millisecond

// Era describes the change to a later era of the store.
type Era struct {
	Number int64
	// IsFirst reports that no answer of an earlier era has arrived.
	IsFirst bool
	// LatestBefore is the upper bound of the store's clock of the era before at the local time At; 0 if
	// it is not known.
	LatestBefore int64
	At           time.Time
}

// era is what a confirmer knows of the era of the store's clock. Until rewriteTime after the store's
// return, which is not later than the first answer of the era, the table may lack a manifest that removed
// a key. Proofs of that time, also those of peers that met no era before, count only where no era was met
// before: such an instance cannot tell.
type era struct {
	number  int64
	isFirst bool
	// metBy is a time of the store by which it had returned; 0 before the first answer.
	metBy int64
	// before is the age of the proof of an earlier era.
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

// isWholeAt reports whether a proof of a time of the store counts, since all that was lost is written again.
// By the time returned the store had returned.
func (e *era) isWholeAt(storeMilliseconds, returned, latest int64) bool {
	if e.isFirst {
		return true
	}
	if storeMilliseconds <= 0 || storeMilliseconds > latest {
		return false
	}
	if e.metBy == 0 {
		e.metBy = returned
	}
	return storeMilliseconds >= e.metBy+rewriteTime.Milliseconds()
}

// MayConfirm reports whether a proof of the current time would count.
func (c *Confirmer) MayConfirm(latest int64) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.era.isFirst || c.era.metBy == 0 || latest >= c.era.metBy+rewriteTime.Milliseconds()
}

// MeetEra ends the proofs of the era before: they hold until their bound by the local clock, since the
// store's clock may be another one.
func (c *Confirmer) MeetEra(next Era) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if next.Number <= c.era.number {
		return
	}
	before := c.era.before
	if age, ok := c.proofAge(next.LatestBefore); ok {
		kept := keptAge{isKnown: true, atTime: age, at: next.At}
		if known, isKept := before.age(next.At); !isKept || age < known {
			before = kept
		}
	}
	c.era = era{number: next.Number, isFirst: next.IsFirst, before: before}
	c.proof = Proof{}
}

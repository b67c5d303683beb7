// Package confirmer holds the proof that the manifest of an instance is current. A proof says that
// a row version was the newest one at a time of the store's clock. Since it names the store's time,
// instances can pass it on, and it stays true however late it arrives.
//
// A key may be acted on only while the proof is younger than a bound. If a manifest removes a key,
// no proof for an earlier manifest names a later time, so each instance stops to accept the key
// within the bound, also one that reaches neither the store nor its peers.
//
// Schedule decides when an instance asks the store itself for a proof.
//
// The store may come back from a copy without the manifest that removed a key; see epoch.go.
package confirmer

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// defaultApplyTime is how long after its acknowledgement a manifest must be in force everywhere, unless
// WithApplyTime says otherwise.
const defaultApplyTime = 3 * time.Second

// Proof states that Version was the newest version of the manifest's row at a time of the store's
// clock of the same epoch. The zero value proves nothing.
type Proof struct {
	Version           messenger.StoreVersion
	StoreMilliseconds int64
}

// Confirmer holds the newest proof of an instance. Its methods take the upper bound of the current
// time of the store's clock as latest; 0 if there is no reading of that clock. It is safe for
// concurrent use. The zero value is not usable; see New.
type Confirmer struct {
	bound time.Duration
	// applyTime is how long after its acknowledgement a manifest must be in force.
	applyTime time.Duration
	// now is a local clock that keeps running while the machine is suspended.
	now func() time.Time

	mu sync.Mutex
	// applied is the version of the row whose manifest is in force.
	applied messenger.StoreVersion
	// unreadable is the newest version of the row whose manifest could not be put into force.
	unreadable messenger.StoreVersion
	// substituted is the last version of the row that could not be read while an earlier manifest stays in
	// force under it.
	substituted messenger.StoreVersion
	proof       Proof
	since       since
	epoch       epoch
}

// Option configures a confirmer.
type Option func(*Confirmer)

// WithClock sets the local clock. It must keep running while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(c *Confirmer) { c.now = now } }

// WithApplyTime sets how long after its acknowledgement a manifest must be in force.
func WithApplyTime(applyTime time.Duration) Option {
	return func(c *Confirmer) { c.applyTime = applyTime }
}

// New returns a confirmer without proof. A bound of 0 means that no proof is required.
func New(bound time.Duration, options ...Option) *Confirmer {
	c := &Confirmer{bound: bound, applyTime: defaultApplyTime, now: timekeeper.BootTime, epoch: epoch{isFirst: true}}
	for _, option := range options {
		option(c)
	}
	return c
}

// SetApplied records that the manifest in a version of the row is in force.
func (c *Confirmer) SetApplied(version messenger.StoreVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.applied = c.applied.Max(version)
}

// Applied returns the version of the row whose manifest is in force; zero before the first one.
func (c *Confirmer) Applied() messenger.StoreVersion {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.applied
}

// SetUnreadable records that the manifest in a version of the row cannot be put into force. There may
// be earlier versions that have not been seen, so that nothing is confirmed until a later version,
// or a readable copy of that one, is applied.
func (c *Confirmer) SetUnreadable(version messenger.StoreVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unreadable = c.unreadable.Max(version)
}

// SetSubstituted records that the manifest in a version of the row of a later epoch cannot be read, so that
// the one before stays in force under that version. There may be manifests between the two: nothing is
// confirmed until a later version is applied.
func (c *Confirmer) SetSubstituted(version messenger.StoreVersion) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.substituted = version
}

// Confirm records that the store had no version after the applied one at a time of its clock of an
// epoch. It must be called after the rows of that answer have been applied.
func (c *Confirmer) Confirm(epoch, storeMilliseconds, latest int64) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.epoch.number != epoch {
		return
	}
	isSettled := c.epoch.isSettledAt(storeMilliseconds, storeMilliseconds, latest)
	if c.unreadable.IsAfter(c.applied) || c.substituted == c.applied || c.applied.Epoch != epoch {
		return
	}
	c.since.note(c.applied, storeMilliseconds, latest)
	if isSettled {
		c.proof.replace(Proof{Version: c.applied, StoreMilliseconds: storeMilliseconds}, latest)
	}
}

// Receive adopts the proof of a peer if this instance has applied at least its version. Otherwise
// it returns true: the manifest of the peer is newer. A proof of another epoch than that of the
// store's clock here is not adopted.
func (c *Confirmer) Receive(proof Proof, latest int64) (isNewer bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if proof.Version.IsAfter(c.applied) {
		return true
	}
	if proof.Version.Epoch == c.epoch.number && c.epoch.isSettledAt(proof.StoreMilliseconds, latest, latest) {
		c.proof.replace(proof, latest)
	}
	return false
}

// replace replaces a proof by a later one. A time after latest is not possible: such a proof is
// ignored, and one that is held is of a clock that the store does not have any more.
func (p *Proof) replace(proof Proof, latest int64) {
	if proof.Version.Number <= 0 || proof.StoreMilliseconds <= 0 || proof.StoreMilliseconds > latest {
		return
	}
	if proof.StoreMilliseconds > p.StoreMilliseconds || p.StoreMilliseconds > latest {
		*p = proof
	}
}

// Proof returns the newest proof to be passed on.
func (c *Confirmer) Proof() Proof {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.proof
}

// IsRequired reports whether keys may be acted on only with a proof.
func (c *Confirmer) IsRequired() bool { return c.bound > 0 }

// Currency reports whether keys may be acted on, and whether the manifest in force has all keys of a
// manifest that must be in force by now. The manifest must be looked at after this call, not before.
func (c *Confirmer) Currency(latest int64) (isConfirmed, isRecent bool) {
	if !c.IsRequired() {
		return true, true
	}
	age, ok := c.Age(latest)
	return ok && age < c.bound, ok && age < min(c.bound, c.applyTime)
}

// IsRecent reports whether the manifest in force has all that a manifest has which must be in force by now,
// whether or not proofs are required. The manifest must be looked at after this call, not before.
func (c *Confirmer) IsRecent(latest int64) bool {
	age, ok := c.Age(latest)
	return ok && age < c.applyTime
}

// Age returns the greatest possible age of the proof, or of that of the epoch before; false if there is
// none.
func (c *Confirmer) Age(latest int64) (age time.Duration, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	age, ok = c.proofAge(latest)
	if before, isKept := c.epoch.before.age(c.now()); isKept && (!ok || before < age) {
		return before, true
	}
	return age, ok
}

// proofAge returns the greatest possible age of the proof by the store's clock; false if there is none.
// The caller holds c.mu.
func (c *Confirmer) proofAge(latest int64) (time.Duration, bool) {
	if c.proof.Version.IsZero() || c.proof.StoreMilliseconds > latest {
		return 0, false
	}
	return time.Duration(latest-c.proof.StoreMilliseconds) * time.Millisecond, true
}

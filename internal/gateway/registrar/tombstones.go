package registrar

import (
	"sync"
	"time"
)

const (
	// tombstoneTTL is how long targets that are gone are remembered, which is longer than two changes of
	// the store's epoch within seconds take.
	tombstoneTTL = 60 * time.Second
	// MaxTombstones bounds the targets that are remembered. The oldest are forgotten beyond it.
	MaxTombstones = 4096
)

// Tombstones remembers targets that left, ended or were superseded, so that an entry in an old copy of the
// table does not bring them back. It is safe for concurrent use. The zero value is not usable; see
// NewTombstones.
type Tombstones struct {
	mu   sync.Mutex
	byID map[string]tombstone
	// order holds the IDs in the order in which they were added; one may be there more than once.
	order []addedID
}

// tombstone is the last that was known of a target, in an epoch of the store.
type tombstone struct {
	target  *Target
	epoch   int64
	addedAt time.Time
}

type addedID struct {
	id      string
	addedAt time.Time
}

// NewTombstones returns an empty memory.
func NewTombstones() *Tombstones { return &Tombstones{byID: map[string]tombstone{}} }

// Add remembers that a target is gone in an epoch of the store.
func (d *Tombstones) Add(target *Target, epoch int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.byID[target.ID]; ok && target.IsOlderThan(known.target) {
		return
	}
	d.byID[target.ID] = tombstone{target: target, epoch: epoch, addedAt: now}
	d.order = append(d.order, addedID{id: target.ID, addedAt: now})
	for len(d.order) > 0 && (len(d.order) > MaxTombstones || now.Sub(d.order[0].addedAt) >= tombstoneTTL) {
		if oldest := d.order[0]; d.byID[oldest.id].addedAt.Equal(oldest.addedAt) {
			delete(d.byID, oldest.id)
		}
		d.order = d.order[1:]
	}
}

// Remove forgets a target that is used again.
func (d *Tombstones) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byID, id)
}

// Covers reports whether an entry of a later epoch than that in which its target went is no newer than what
// was known then.
func (d *Tombstones) Covers(entry *Target, epoch int64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.byID[entry.ID]
	if !ok || epoch <= known.epoch || now.Sub(known.addedAt) >= tombstoneTTL {
		return false
	}
	isSame := entry.StartMilliseconds == known.target.StartMilliseconds && entry.Heartbeat == known.target.Heartbeat
	return isSame || entry.IsOlderThan(known.target)
}

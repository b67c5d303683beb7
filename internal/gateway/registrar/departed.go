package registrar

import (
	"sync"
	"time"
)

const (
	// departedTTL is how long targets that are gone are remembered, which is longer than two changes of
	// the store's epoch within seconds take.
	departedTTL = 60 * time.Second
	// MaxDeparted bounds the targets that are remembered. The oldest are forgotten beyond it.
	MaxDeparted = 4096
)

// Departed remembers targets that left, ended or were superseded, so that an entry in an old copy of the
// table does not bring them back. It is safe for concurrent use. The zero value is not usable; see
// NewDeparted.
type Departed struct {
	mu   sync.Mutex
	byID map[string]departure
	// order holds the IDs in the order in which they were added; one may be there more than once.
	order []addedID
}

// departure is the last that was known of a target, in an epoch of the store.
type departure struct {
	target  *Target
	epoch   int64
	addedAt time.Time
}

type addedID struct {
	id      string
	addedAt time.Time
}

// NewDeparted returns an empty memory.
func NewDeparted() *Departed { return &Departed{byID: map[string]departure{}} }

// Add remembers that a target is gone in an epoch of the store.
func (d *Departed) Add(target *Target, epoch int64, now time.Time) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if known, ok := d.byID[target.ID]; ok && target.IsOlderThan(known.target) {
		return
	}
	d.byID[target.ID] = departure{target: target, epoch: epoch, addedAt: now}
	d.order = append(d.order, addedID{id: target.ID, addedAt: now})
	for len(d.order) > 0 && (len(d.order) > MaxDeparted || now.Sub(d.order[0].addedAt) >= departedTTL) {
		if oldest := d.order[0]; d.byID[oldest.id].addedAt.Equal(oldest.addedAt) {
			delete(d.byID, oldest.id)
		}
		d.order = d.order[1:]
	}
}

// Remove forgets a target that is used again.
func (d *Departed) Remove(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	delete(d.byID, id)
}

// IsGone reports whether an entry of a later epoch than that in which its target went is no newer than what
// was known then.
func (d *Departed) IsGone(entry *Target, epoch int64, now time.Time) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	known, ok := d.byID[entry.ID]
	if !ok || epoch <= known.epoch || now.Sub(known.addedAt) >= departedTTL {
		return false
	}
	isSame := entry.StartMilliseconds == known.target.StartMilliseconds && entry.Heartbeat == known.target.Heartbeat
	return isSame || entry.IsOlderThan(known.target)
}

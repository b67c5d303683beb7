// Package prefixer tracks which targets are likely to have a prompt prefix in their
// cache. Its sources are the cache events of engines, which arrive late and with
// gaps, and the requests that this instance sends. The result is therefore only an
// estimate.
package prefixer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key identifies a prefix of a prompt to a model. The zero key means no prefix.
type Key uint64

// KeyOf returns the key of a prefix of a prompt to a model.
func KeyOf(model, prefix string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prefix)
	return Key(d.Sum64())
}

const (
	// maxKeys bounds the number of prefixes in a table.
	maxKeys = 100_000
	// cachedTTL is how long a prefix counts as cached after it was last stored or
	// used. The limit is needed because the event of its removal may be lost.
	cachedTTL = 5 * time.Minute
)

// location is a target that is likely to have a prefix cached, until a deadline.
type location struct {
	target string
	until  time.Time
}

// Table holds up to two locations of each prefix, the most recent first. Its methods
// are safe for concurrent use.
type Table struct {
	mu        sync.Mutex
	locations map[Key][2]location
}

// New returns an empty table.
func New() *Table {
	return &Table{locations: map[Key][2]location{}}
}

// Insert records that a target has a prefix cached, because an event reported it or
// a request with the prefix was sent to the target.
func (t *Table) Insert(now time.Time, target string, key Key) {
	if key == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.locations[key]
	if !known && len(t.locations) >= maxKeys {
		t.evict(now)
	}
	if entry[0].target != target {
		entry[1] = entry[0]
	}
	entry[0] = location{target: target, until: now.Add(cachedTTL)}
	t.locations[key] = entry
}

// evict removes a key: an expired one if there is one among the first few, and the
// last of these otherwise.
func (t *Table) evict(now time.Time) {
	const maxScanned = 8
	scanned := 0
	var last Key
	for key, entry := range t.locations {
		last = key
		if scanned++; scanned >= maxScanned || now.After(entry[0].until) {
			break
		}
	}
	delete(t.locations, last)
}

// Remove records that a target no longer has a prefix cached.
func (t *Table) Remove(target string, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.locations[key]
	if !known {
		return
	}
	if entry[0].target == target {
		entry[0], entry[1] = entry[1], location{}
	} else if entry[1].target == target {
		entry[1] = location{}
	}
	if entry[0].target == "" {
		delete(t.locations, key)
		return
	}
	t.locations[key] = entry
}

// Targets returns the targets that are likely to have a prefix cached, the most
// recent first. An empty string means none.
func (t *Table) Targets(now time.Time, key Key) [2]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := [2]string{}
	for i, p := range t.locations[key] {
		if now.Before(p.until) {
			targets[i] = p.target
		}
	}
	return targets
}

// RemoveTarget removes a target from all prefixes, since it restarted or was removed.
func (t *Table) RemoveTarget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, entry := range t.locations {
		if entry[1].target == target {
			entry[1] = location{}
		}
		if entry[0].target == target {
			entry[0], entry[1] = entry[1], location{}
		}
		if entry[0].target == "" {
			delete(t.locations, key)
			continue
		}
		t.locations[key] = entry
	}
}

// Len returns the number of prefixes in the table.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.locations)
}

// Package prefixer keeps which targets are likely to have a prompt prefix in
// their cache. It learns from cache events, which come late and with gaps, and
// from the requests that this instance sends; what it tells is a guess.
package prefixer

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Key names a prefix of a prompt to a model. The zero key names none.
type Key uint64

// KeyOf returns the key of a prefix.
func KeyOf(model, prefix string) Key {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.WriteString(prefix)
	return Key(d.Sum64())
}

const (
	// mostKeys bounds the table.
	mostKeys = 100_000
	// trustTime is how long a prefix counts as cached after it was last seen.
	// An event that tells its removal may have been lost.
	trustTime = 5 * time.Minute
)

// place is a target that is likely to have a prefix cached, until a deadline.
type place struct {
	target string
	until  time.Time
}

// Table holds the places of each prefix, the one seen last first. Its methods may
// be called at any time.
type Table struct {
	mu     sync.Mutex
	places map[Key][2]place
}

// New returns an empty table.
func New() *Table {
	return &Table{places: map[Key][2]place{}}
}

// Stored notes that a target has a prefix: an event told so, or a request with
// it was sent there.
func (t *Table) Stored(now time.Time, target string, key Key) {
	if key == 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.places[key]
	if !known && len(t.places) >= mostKeys {
		t.evict(now)
	}
	if entry[0].target != target {
		entry[1] = entry[0]
	}
	entry[0] = place{target: target, until: now.Add(trustTime)}
	t.places[key] = entry
}

// evict removes a key, an expired one if the first few hold one.
func (t *Table) evict(now time.Time) {
	const mostSeen = 8
	seen := 0
	var last Key
	for key, entry := range t.places {
		last = key
		if seen++; seen >= mostSeen || now.After(entry[0].until) {
			break
		}
	}
	delete(t.places, last)
}

// Removed notes that a target dropped a prefix.
func (t *Table) Removed(target string, key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	entry, known := t.places[key]
	if !known {
		return
	}
	if entry[0].target == target {
		entry[0], entry[1] = entry[1], place{}
	} else if entry[1].target == target {
		entry[1] = place{}
	}
	if entry[0].target == "" {
		delete(t.places, key)
		return
	}
	t.places[key] = entry
}

// Targets returns the targets that are likely to have a prefix, the one seen last
// first. Empty strings stand for none.
func (t *Table) Targets(now time.Time, key Key) [2]string {
	t.mu.Lock()
	defer t.mu.Unlock()
	targets := [2]string{}
	for i, p := range t.places[key] {
		if now.Before(p.until) {
			targets[i] = p.target
		}
	}
	return targets
}

// Forget removes a target from all prefixes, after it restarted.
func (t *Table) Forget(target string) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for key, entry := range t.places {
		if entry[1].target == target {
			entry[1] = place{}
		}
		if entry[0].target == target {
			entry[0], entry[1] = entry[1], place{}
		}
		if entry[0].target == "" {
			delete(t.places, key)
			continue
		}
		t.places[key] = entry
	}
}

// Len returns the number of prefixes.
func (t *Table) Len() int {
	t.mu.Lock()
	defer t.mu.Unlock()
	return len(t.places)
}

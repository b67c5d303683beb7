package configurer

import (
	"maps"
	"slices"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Tree is an instance's copy of the settings. Its revision never decreases, and an
// entry is replaced only by one of a higher revision. It is safe for concurrent use.
type Tree struct {
	mu       sync.Mutex
	revision int64
	entries  entries // replaced as a whole, never modified
	catalog  atomic.Pointer[keeper.Catalog]
}

// entries are settings by path, deleted ones included.
type entries map[string]messenger.SettingEntry

// NewTree returns an empty tree.
func NewTree() *Tree {
	t := &Tree{entries: entries{}}
	t.catalog.Store(keeper.NewCatalog())
	return t
}

// Catalog returns the current configuration.
func (t *Tree) Catalog() *keeper.Catalog {
	return t.catalog.Load()
}

// Revision returns the revision of the current configuration.
func (t *Tree) Revision() int64 {
	return t.Catalog().Revision
}

// Merge merges a set of entries and reports whether the tree then has the revision of
// the set or a higher one. A set that begins after the tree's revision would leave a
// gap and is not merged.
func (t *Tree) Merge(set messenger.SettingsSince) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if set.Revision <= t.revision {
		return true
	}
	if set.After > t.revision {
		return false
	}
	merged := maps.Clone(t.entries)
	for _, e := range set.Entries {
		old, exists := merged[e.Path]
		if e.Revision > set.Revision || (exists && old.Revision >= e.Revision) {
			continue
		}
		merged[e.Path] = e
	}
	t.entries = merged
	t.revision = set.Revision
	t.catalog.Store(buildCatalog(merged.sorted(), set.Revision))
	return true
}

// snapshot returns the entries at one revision.
func (t *Tree) snapshot() (entries, int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	return t.entries, t.revision
}

// Since returns the entries changed after a revision, deleted ones included.
func (t *Tree) Since(revision int64) messenger.SettingsSince {
	current, currentRevision := t.snapshot()
	changed := []messenger.SettingEntry{}
	for _, e := range current.sorted() {
		if e.Revision > revision {
			changed = append(changed, e)
		}
	}
	return messenger.SettingsSince{After: revision, Revision: currentRevision, Entries: changed}
}

// Below returns the entries whose path starts with prefix, deleted ones excluded.
func (t *Tree) Below(prefix string) messenger.SettingsAnswer {
	current, revision := t.snapshot()
	below := []messenger.SettingEntry{}
	for _, e := range current.sorted() {
		if !e.Deleted && strings.HasPrefix(e.Path, prefix) {
			below = append(below, e)
		}
	}
	return messenger.SettingsAnswer{Revision: revision, Entries: below}
}

func (e entries) sorted() []messenger.SettingEntry {
	list := make([]messenger.SettingEntry, 0, len(e))
	for _, path := range slices.Sorted(maps.Keys(e)) {
		list = append(list, e[path])
	}
	return list
}

// has reports whether a path is set.
func (e entries) has(path string) bool {
	entry, ok := e[path]
	return ok && !entry.Deleted
}

// version returns the version that a change request must state: 0 for a path that is
// not set.
func (e entries) version(path string) int64 {
	if !e.has(path) {
		return 0
	}
	return e[path].Version
}

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

// Tree is an instance's copy of the settings. It only moves forward: an entry is
// replaced by one of a higher revision alone, and its revision never falls.
type Tree struct {
	mu       sync.Mutex
	revision int64
	entries  map[string]messenger.SettingEntry
	catalog  atomic.Pointer[keeper.Catalog]
}

// NewTree returns an empty tree.
func NewTree() *Tree {
	t := &Tree{entries: map[string]messenger.SettingEntry{}}
	t.catalog.Store(keeper.NewCatalog())
	return t
}

// Catalog returns the configuration in force.
func (t *Tree) Catalog() *keeper.Catalog {
	return t.catalog.Load()
}

// Revision returns the revision of the configuration in force.
func (t *Tree) Revision() int64 {
	return t.Catalog().Revision
}

// Merge takes over entries that are complete up to revision.
func (t *Tree) Merge(entries []messenger.SettingEntry, revision int64) {
	t.mu.Lock()
	defer t.mu.Unlock()
	for _, e := range entries {
		if known, ok := t.entries[e.Path]; ok && known.Revision >= e.Revision {
			continue
		}
		t.entries[e.Path] = e
	}
	if revision <= t.revision {
		return
	}
	t.revision = revision
	t.catalog.Store(buildCatalog(t.sorted(), revision))
}

// Since returns the entries changed after a revision, deleted ones included.
func (t *Tree) Since(revision int64) messenger.SettingsSince {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := []messenger.SettingEntry{}
	for _, e := range t.sorted() {
		if e.Revision > revision {
			entries = append(entries, e)
		}
	}
	return messenger.SettingsSince{Revision: t.revision, Complete: true, Entries: entries}
}

// Below returns the entries whose path starts with prefix, deleted ones excluded.
func (t *Tree) Below(prefix string) messenger.SettingsAnswer {
	t.mu.Lock()
	defer t.mu.Unlock()
	entries := []messenger.SettingEntry{}
	for _, e := range t.sorted() {
		if !e.Deleted && strings.HasPrefix(e.Path, prefix) {
			entries = append(entries, e)
		}
	}
	return messenger.SettingsAnswer{Revision: t.revision, Entries: entries}
}

func (t *Tree) sorted() []messenger.SettingEntry {
	list := make([]messenger.SettingEntry, 0, len(t.entries))
	for _, path := range slices.Sorted(maps.Keys(t.entries)) {
		list = append(list, t.entries[path])
	}
	return list
}

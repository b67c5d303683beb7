package configurer

import (
	"encoding/json"
	"flag"
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// treeMachine is a state machine test of several trees that follow one history of
// changes, and merge its sets and those of each other in any order.
type treeMachine struct {
	trees   []*Tree
	history []entries // by revision
}

func newTreeMachine() *treeMachine {
	const trees = 3
	m := &treeMachine{history: []entries{{}}}
	for range trees {
		m.trees = append(m.trees, NewTree())
	}
	return m
}

func (m *treeMachine) newest() int64 { return int64(len(m.history) - 1) }

// commit adds a change of one to three paths to the history.
func (m *treeMachine) commit(t *rapid.T) {
	after := entries{}
	for path, e := range m.history[m.newest()] {
		after[path] = e
	}
	revision := m.newest() + 1
	for _, i := range rapid.SliceOfNDistinct(rapid.IntRange(0, 4), 1, 3, rapid.ID).Draw(t, "paths") {
		path := fmt.Sprintf("/platform/models/m%d", i)
		after[path] = messenger.SettingEntry{
			Path: path, Version: after[path].Version + 1, Revision: revision,
			Deleted: rapid.Bool().Draw(t, "deleted"), Value: json.RawMessage(`{"Version":"v1","Bytes":1,"Copies":1,"MaximumCopies":0}`),
		}
	}
	m.history = append(m.history, after)
}

// set returns the entries that changed between two revisions of the history.
func (m *treeMachine) set(after, revision int64) messenger.SettingsSince {
	set := messenger.SettingsSince{After: after, Revision: revision}
	for _, e := range m.history[revision].sorted() {
		if e.Revision > after {
			set.Entries = append(set.Entries, e)
		}
	}
	return set
}

func (m *treeMachine) tree(t *rapid.T, label string) *Tree {
	return m.trees[rapid.IntRange(0, len(m.trees)-1).Draw(t, label)]
}

// deliver merges a set of the history that may be late, repeated or preceded by a gap.
func (m *treeMachine) deliver(t *rapid.T) {
	tree := m.tree(t, "tree")
	revision := rapid.Int64Range(0, m.newest()).Draw(t, "revision")
	after := rapid.Int64Range(0, revision).Draw(t, "after")
	before := tree.Revision()
	merged := tree.Merge(m.set(after, revision))
	assert.Equal(t, after <= before || revision <= before, merged)
	assert.GreaterOrEqual(t, tree.Revision(), before, "the revision never decreases")
}

// exchange merges the entries of one tree since a random revision into another tree.
func (m *treeMachine) exchange(t *rapid.T) {
	from, to := m.tree(t, "from"), m.tree(t, "to")
	to.Merge(from.Since(rapid.Int64Range(0, m.newest()).Draw(t, "since")))
}

func (m *treeMachine) check(t *rapid.T) {
	for _, tree := range m.trees {
		known, revision := tree.snapshot()
		require.Equal(t, m.history[revision].sorted(), known.sorted(), "the tree equals the history at its revision")
		require.Equal(t, revision, tree.Revision())
	}
}

func TestTreeProperties(t *testing.T) {
	require.NoError(t, flag.Set("rapid.seed", "1"))
	rapid.Check(t, func(t *rapid.T) {
		m := newTreeMachine()
		t.Repeat(map[string]func(*rapid.T){"commit": m.commit, "deliver": m.deliver, "exchange": m.exchange, "": m.check})
	})
}

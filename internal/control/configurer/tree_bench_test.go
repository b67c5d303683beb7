package configurer

import (
	"encoding/json"
	"fmt"
	"runtime"
	"testing"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// benchEntries returns models with two adapters each.
func benchEntries(models int) []messenger.SettingEntry {
	entries := make([]messenger.SettingEntry, 0, 3*models)
	add := func(path, value string) {
		entries = append(entries, messenger.SettingEntry{
			Path: path, Version: 1, Revision: int64(len(entries) + 1), Value: json.RawMessage(value),
		})
	}
	for i := range models {
		add(fmt.Sprintf("/platform/models/m%d", i), `{"Version":"v1","Bytes":21474836480,"Copies":2,"MaximumCopies":40}`)
		for j := range 2 {
			add(fmt.Sprintf("/platform/adapters/m%d/a%d", i, j), `{"Version":"v1","Bytes":104857600}`)
		}
	}
	return entries
}

// BenchmarkMergeOne measures the merge of one accepted change. It also reports the bytes
// that an instance sends to a peer for it, and the heap bytes of the tree.
func BenchmarkMergeOne(b *testing.B) {
	for _, models := range []int{30, 270, 810} {
		b.Run(fmt.Sprintf("%d models", models), func(b *testing.B) {
			entries := benchEntries(models)
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			tree := NewTree()
			tree.Merge(messenger.SettingsSince{Revision: int64(len(entries)), Entries: entries})
			runtime.GC()
			runtime.ReadMemStats(&after)
			held := after.HeapAlloc - before.HeapAlloc
			changed := entries[:1]
			revision := int64(len(entries))
			b.ResetTimer()
			for b.Loop() {
				revision++
				changed[0].Revision = revision
				tree.Merge(messenger.SettingsSince{After: revision - 1, Revision: revision, Entries: changed})
			}
			sent, err := json.Marshal(tree.Since(revision - 1))
			if err != nil {
				b.Fatal(err)
			}
			b.ReportMetric(float64(len(sent)), "bytes/change")
			b.ReportMetric(float64(held), "held-bytes")
		})
	}
}

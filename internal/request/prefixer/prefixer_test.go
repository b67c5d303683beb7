package prefixer_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/request/prefixer"
)

var now = time.Date(2026, time.January, 1, 0, 0, 0, 0, time.UTC)

func TestTable(t *testing.T) {
	key := prefixer.KeyOf("oak", "Summarise the notes of")
	t.Run("the last two targets are returned, the most recent first", func(t *testing.T) {
		table := prefixer.New()
		for _, target := range []string{"a", "b", "c", "b"} {
			table.Insert(now, target, key)
		}
		assert.Equal(t, [2]string{"b", "c"}, table.Targets(now, key))
	})
	t.Run("a removal is applied", func(t *testing.T) {
		table := prefixer.New()
		table.Insert(now, "a", key)
		table.Insert(now, "b", key)
		table.Remove("b", key)
		assert.Equal(t, [2]string{"a"}, table.Targets(now, key))
		table.Remove("a", key)
		assert.Zero(t, table.Len())
	})
	t.Run("a location expires if its removal event is lost", func(t *testing.T) {
		table := prefixer.New()
		table.Insert(now, "a", key)
		assert.Equal(t, [2]string{}, table.Targets(now.Add(time.Hour), key))
	})
	t.Run("a restarted target is removed", func(t *testing.T) {
		table := prefixer.New()
		table.Insert(now, "a", key)
		table.Insert(now, "b", key)
		table.RemoveTarget("b")
		assert.Equal(t, [2]string{"a"}, table.Targets(now, key))
	})
	t.Run("models do not share prefixes", func(t *testing.T) {
		assert.NotEqual(t, prefixer.KeyOf("oak", "x"), prefixer.KeyOf("oa", "kx"))
	})
	t.Run("the zero key is not stored", func(t *testing.T) {
		table := prefixer.New()
		table.Insert(now, "a", 0)
		assert.Zero(t, table.Len())
	})
	t.Run("the table is bounded", func(t *testing.T) {
		table := prefixer.New()
		for i := range 150_000 {
			table.Insert(now, "a", prefixer.Key(i+1))
		}
		assert.Equal(t, 100_000, table.Len())
	})
}

func BenchmarkTargets(b *testing.B) {
	for _, n := range []int{100, 10_000, 100_000} {
		table := prefixer.New()
		for i := range n {
			table.Insert(now, "a", prefixer.KeyOf("oak", fmt.Sprint(i)))
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				table.Targets(now, prefixer.KeyOf("oak", "77"))
			}
		})
	}
}

package supervisor

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestCrashIsReportedToWhoeverExamines guards against a crash that is forgotten with the instance
// that it was reported to.
func TestCrashIsReportedToWhoeverExamines(t *testing.T) {
	start := time.Unix(1000, 0)
	c := newCrashReports()
	add := func(now time.Time, target, content string) crashReport {
		return c.add(now, "s", placeOf(target, 1), messenger.CrashReport{Target: target, StartMilliseconds: 1, Losses: []messenger.Loss{{Trait: messenger.Trait{Kind: "Content", Name: content}}}})
	}
	first, second, third := examiner{"a", 1}, examiner{"b", 1}, examiner{"c", 1}
	order := []examiner{first, second}
	due := func(now time.Time) map[examiner][]crashReport {
		return c.due(now, func(string) []examiner { return order })
	}
	report := add(start, "t1", "x")
	c.markInformed(report, first)
	t.Run("the second one gets a copy", func(t *testing.T) {
		reports := due(start)
		require.Len(t, reports, 1)
		require.Len(t, reports[second], 1)
		assert.True(t, reports[second][0].message.IsCopy)
		c.markInformed(reports[second][0], second)
		assert.Empty(t, due(start))
	})
	t.Run("one that takes its place acts on a fresh report", func(t *testing.T) {
		order = []examiner{third, second}
		assert.False(t, due(start.Add(time.Second))[third][0].message.IsCopy)
		assert.True(t, due(start.Add(time.Minute))[third][0].message.IsCopy, "and keeps an old one")
	})
	t.Run("one that has started anew gets it again", func(t *testing.T) {
		order = []examiner{{"a", 2}, second}
		assert.Len(t, due(start)[examiner{"a", 2}], 1)
	})
	t.Run("another content lost there is told to all", func(t *testing.T) {
		order = []examiner{first, second}
		stale := report
		report = add(start, "t1", "y")
		c.markInformed(stale, first)
		reports := due(start)
		require.Len(t, reports[first][0].message.Losses, 2)
		assert.Equal(t, "y", reports[first][0].message.Losses[1].Trait.Name)
		assert.Len(t, reports[second], 1)
		add(start, "t1", "y")
		assert.Len(t, due(start)[first][0].message.Losses, 2)
	})
	t.Run("reports are bounded and end", func(t *testing.T) {
		for n := range 2 * maxCrashReports {
			add(start.Add(time.Duration(n)), fmt.Sprintf("u%d", n), "x")
		}
		for n := range 2 * maxReportLosses {
			add(start, "t1", fmt.Sprint(n))
		}
		assert.LessOrEqual(t, len(c.reports), maxCrashReports)
		assert.LessOrEqual(t, len(c.reports[placeOf("t1", 1)].message.Losses), maxReportLosses)
		assert.Empty(t, due(start.Add(2*crashReportTTL)))
	})
}

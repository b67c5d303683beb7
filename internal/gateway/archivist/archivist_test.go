package archivist_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/archivist"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

var start = time.Unix(1000, 0)

func contentTrait(n int) quarantiner.Trait {
	return quarantiner.ContentTrait(quarantiner.FingerprintOf([]byte(fmt.Sprint(n))))
}

func convicted(n int, until time.Time) quarantiner.Verdict {
	return quarantiner.Restored(start, contentTrait(n), nil, until)
}

// drain returns all pending changes as written, and the number of transactions.
func drain(a *archivist.Archivist) (changes []archivist.Change, transactions int) {
	for {
		batch := a.Pending()
		if len(batch) == 0 {
			return changes, transactions
		}
		a.Written(batch)
		changes = append(changes, batch...)
		transactions++
	}
}

// TestVerdictIsWrittenOnce guards against writes that grow with the reports on a request.
func TestVerdictIsWrittenOnce(t *testing.T) {
	a := archivist.New()
	until := start.Add(time.Minute)
	for n := range 10 {
		a.Decided(start.Add(time.Duration(n)*time.Second), int64(5000+1000*n), []quarantiner.Verdict{convicted(1, until)})
	}
	changes, _ := drain(a)
	require.Len(t, changes, 1)
	assert.Equal(t, int64(65_000), changes[0].Row.DeadlineMilliseconds)
	t.Run("lifted", func(t *testing.T) {
		a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, time.Time{})})
		changes, _ := drain(a)
		require.Len(t, changes, 1)
		assert.True(t, changes[0].IsRemoval)
		a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, time.Time{})})
		assert.Empty(t, a.Pending(), "nothing is left to remove")
	})
	t.Run("again after it has expired", func(t *testing.T) {
		a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, until)})
		drain(a)
		a.Decided(until, 65_000, []quarantiner.Verdict{convicted(1, until.Add(time.Minute))})
		assert.Len(t, a.Pending(), 1)
	})
}

// TestAnotherInstanceLiftsAVerdict guards against a row that is left since the instance which wrote it
// is lost.
func TestAnotherInstanceLiftsAVerdict(t *testing.T) {
	a := archivist.New()
	a.Heard(start, []quarantiner.Verdict{convicted(1, start.Add(time.Minute))})
	assert.Empty(t, a.Pending())
	a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, time.Time{}), convicted(2, time.Time{})})
	changes, _ := drain(a)
	require.Len(t, changes, 1)
	assert.Equal(t, archivist.KeyOf(contentTrait(1)), changes[0].Row.Key)
}

// TestWriteThatIsReplacedIsNotForgotten guards against a verdict that is lifted while its row is being
// written.
func TestWriteThatIsReplacedIsNotForgotten(t *testing.T) {
	a := archivist.New()
	a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, start.Add(time.Minute))})
	writing := a.Pending()
	a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, time.Time{})})
	a.Written(writing)
	changes, _ := drain(a)
	require.Len(t, changes, 1)
	assert.True(t, changes[0].IsRemoval)
}

// TestRowsAreBounded guards against a table and transactions that grow with the verdicts.
func TestRowsAreBounded(t *testing.T) {
	a := archivist.New()
	var verdicts []quarantiner.Verdict
	for n := range 5000 {
		verdicts = append(verdicts, convicted(n, start.Add(time.Minute)))
	}
	a.Decided(start, 5000, verdicts[:100])
	changes, transactions := drain(a)
	assert.Len(t, changes, 100, "a hundred at once are kept")
	assert.Equal(t, 2, transactions)
	a.Decided(start, 5000, verdicts)
	changes, _ = drain(a)
	assert.Len(t, changes, 156)
}

func TestSweep(t *testing.T) {
	rows := []archivist.Row{{Key: "expired", DeadlineMilliseconds: 10, Trait: contentTrait(-1)}, {Key: "lifted", DeadlineMilliseconds: 99, Trait: contentTrait(-2)}}
	for n := range archivist.MaxRows + 1 {
		rows = append(rows, archivist.Row{Key: fmt.Sprintf("row%04d", n), DeadlineMilliseconds: int64(100 + n), Trait: contentTrait(n)})
	}
	keys := []string{}
	for _, change := range archivist.Sweep(10, rows, func(trait quarantiner.Trait) bool { return trait == contentTrait(-2) }) {
		assert.True(t, change.IsRemoval)
		keys = append(keys, change.Row.Key)
	}
	assert.Equal(t, []string{"expired", "lifted", "row0000"}, keys)
}

// TestVerdictThatIsMissingIsWrittenAgain guards against a conviction that is forgotten, since the store came back from
// a copy without its row, or with a clock by which it has ended.
func TestVerdictThatIsMissingIsWrittenAgain(t *testing.T) {
	newArchivist := func() *archivist.Archivist {
		a := archivist.New()
		a.Decided(start, 5000, []quarantiner.Verdict{convicted(1, start.Add(time.Minute))})
		a.Heard(start, []quarantiner.Verdict{convicted(2, start.Add(time.Minute))})
		drain(a)
		return a
	}
	later := start.Add(10 * time.Second)
	row := func(deadline int64) []archivist.Row {
		return []archivist.Row{{Key: archivist.KeyOf(contentTrait(1)), DeadlineMilliseconds: deadline}}
	}
	t.Run("missing", func(t *testing.T) {
		a := newArchivist()
		assert.True(t, a.HasOwn(later))
		assert.Len(t, a.Restore(later, 900, nil), 1)
		changes, _ := drain(a)
		require.Len(t, changes, 1)
		assert.Equal(t, int64(50_900), changes[0].Row.DeadlineMilliseconds, "by the clock of the later epoch")
	})
	t.Run("there with the deadline of another clock", func(t *testing.T) {
		assert.Len(t, newArchivist().Restore(later, 900, row(65_000)), 1)
	})
	t.Run("there", func(t *testing.T) {
		assert.Empty(t, newArchivist().Restore(later, 900, row(51_000)))
	})
	t.Run("lifted or expired", func(t *testing.T) {
		a := newArchivist()
		assert.Empty(t, a.Restore(start.Add(time.Minute), 900, nil))
		assert.False(t, a.HasOwn(start.Add(time.Minute)))
		a = newArchivist()
		a.Heard(later, []quarantiner.Verdict{convicted(1, time.Time{})})
		assert.Empty(t, a.Restore(later, 900, nil))
	})
}

// TestVerdictOfLostInstanceIsMissing guards against a conviction that is forgotten, since the instance that reached it ended
// before it wrote the row, or before the store lost it.
func TestVerdictOfLostInstanceIsMissing(t *testing.T) {
	const clock = 900
	known := []quarantiner.Verdict{convicted(1, start.Add(time.Minute)), convicted(2, start.Add(time.Minute)), convicted(3, start)}
	row := func(n int, deadline int64) archivist.Row {
		return archivist.Row{Key: archivist.KeyOf(contentTrait(n)), Trait: contentTrait(n), DeadlineMilliseconds: deadline}
	}
	keys := func(rows ...archivist.Row) []string {
		out := []string{}
		for _, change := range archivist.Missing(start, clock, rows, known) {
			assert.False(t, change.IsRemoval)
			assert.EqualValues(t, 60_900, change.Row.DeadlineMilliseconds)
			out = append(out, change.Row.Key)
		}
		return out
	}
	assert.Equal(t, []string{archivist.KeyOf(contentTrait(2))}, keys(row(1, 60_000)), "lacking")
	assert.Equal(t, []string{archivist.KeyOf(contentTrait(2))}, keys(row(1, 60_000), row(2, 5)), "by another clock")
	assert.Empty(t, keys(row(1, 60_000), row(2, 60_000)))
	full := []archivist.Row{}
	for n := range archivist.MaxRows {
		full = append(full, row(100+n, 60_000))
	}
	assert.Empty(t, keys(full...), "the table is bounded")
}

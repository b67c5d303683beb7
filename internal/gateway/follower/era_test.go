package follower

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// inEra returns a table as an answer of an era has it.
func inEra(era int64, table messenger.TableSnapshot) messenger.TableSnapshot {
	table.Era = era
	for i := range table.Rows {
		table.Rows[i].Era = era
	}
	return table
}

// TestTableOfALaterEraReplacesTheCopy guards against a copy that is kept for good since its version is greater than
// those that the store gives out after it came back from a copy of its own.
func TestTableOfALaterEraReplacesTheCopy(t *testing.T) {
	s, f := newTestStore()
	s.table = inEra(5, snapshot(90, row("a", 90), row("b", 80)))
	f.Step()
	s.isHistoryTruncated = true
	s.table = inEra(6, snapshot(70, row("a", 70), row("b", 60)))
	f.Step()
	assert.Equal(t, map[string]int64{"a": 70, "b": 60}, s.applied)
	assert.Equal(t, messenger.StoreVersion{Era: 6, Number: 70}, f.Version())
}

// TestOlderTableIsNotReadAgainAtOnce guards against a call to the store every few milliseconds while its versions are
// lower than that of the copy.
func TestOlderTableIsNotReadAgainAtOnce(t *testing.T) {
	s, f := newTestStore()
	s.table = snapshot(90, row("a", 90))
	f.Step()
	s.isHistoryTruncated = true
	s.table = snapshot(70, row("a", 70))
	assert.False(t, f.Step())
}

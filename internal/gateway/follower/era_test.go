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

// preferLonger is a resolver by which the longer value is in force.
func preferLonger(known messenger.StoreRow, isKnown bool, next messenger.StoreRow) (messenger.StoreRow, bool) {
	if isKnown && len(next.Value) < len(known.Value) {
		next.Value = known.Value
	}
	return next, true
}

// TestLastingRowsStayInForce guards against a value that is replaced by an earlier one, or that a joiner does not get
// from its peers, since the store came back from a copy.
func TestLastingRowsStayInForce(t *testing.T) {
	const key = "a"
	value := func(version int64, value string) messenger.StoreRow {
		return messenger.StoreRow{Key: key, Version: version, Value: []byte(value)}
	}
	newFollower := func() (*testStore, *Follower) {
		s, f := newTestStore()
		WithLastingRows()(f)
		WithResolver(preferLonger)(f)
		s.table = inEra(5, snapshot(90, value(90, "later")))
		f.Step()
		s.isHistoryTruncated = true
		s.table = inEra(6, snapshot(70, value(70, "old")))
		f.Step()
		return s, f
	}
	inForce := func(f *Follower) string { return string(f.Snapshot().Rows[0].Value) }
	t.Run("over the store's copy, under its version", func(t *testing.T) {
		_, f := newFollower()
		assert.Equal(t, "later", inForce(f))
		assert.Equal(t, messenger.StoreVersion{Era: 6, Number: 70}, f.Snapshot().Rows[0].StoreVersion())
	})
	t.Run("over a later change with an earlier value", func(t *testing.T) {
		s, f := newFollower()
		s.changes = []Changes{{Era: 6, Version: 71, Rows: inEra(6, snapshot(71, value(71, "mid"))).Rows}}
		f.Step()
		assert.Equal(t, "later", inForce(f))
	})
	t.Run("from a peer's copy, whatever its version", func(t *testing.T) {
		for _, copied := range []messenger.TableSnapshot{
			inEra(6, snapshot(70, value(70, "much later"))), inEra(6, snapshot(60, value(60, "much later"))), inEra(5, snapshot(95, value(95, "much later"))),
		} {
			_, f := newFollower()
			f.Adopt(copied)
			assert.Equal(t, "much later", inForce(f))
			assert.Equal(t, messenger.StoreVersion{Era: 6, Number: 70}, f.Snapshot().Rows[0].StoreVersion())
		}
	})
	t.Run("not from a peer's copy that is earlier", func(t *testing.T) {
		_, f := newFollower()
		f.Adopt(inEra(6, snapshot(70, value(70, "old"))))
		assert.Equal(t, "later", inForce(f))
	})
}

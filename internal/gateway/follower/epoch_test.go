package follower

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// inEpoch returns a table as an answer of an epoch has it.
func inEpoch(epoch int64, table messenger.TableSnapshot) messenger.TableSnapshot {
	table.Epoch = epoch
	for i := range table.Rows {
		table.Rows[i].Epoch = epoch
	}
	return table
}

// TestTableOfALaterEpochReplacesTheCopy guards against a copy that is kept for good since its version is greater than
// those that the store gives out after it came back from a copy of its own.
func TestTableOfALaterEpochReplacesTheCopy(t *testing.T) {
	s, f := newTestStore()
	s.table = inEpoch(5, snapshot(90, row("a", 90), row("b", 80)))
	f.Step()
	s.isHistoryTruncated = true
	s.table = inEpoch(6, snapshot(70, row("a", 70), row("b", 60)))
	f.Step()
	assert.Equal(t, map[string]int64{"a": 70, "b": 60}, s.applied)
	assert.Equal(t, messenger.StoreVersion{Epoch: 6, Number: 70}, f.Version())
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

// TestMissingRowOfAPeerIsRemovedAfterTheGrace guards against an instance that takes a row which its peer is about to
// remove for one that the store has, and keeps it for good.
func TestMissingRowOfAPeerIsRemovedAfterTheGrace(t *testing.T) {
	s, f := newTestStore()
	copied := inEpoch(6, snapshot(70, row("b", 60)))
	copied.Rows = append(copied.Rows, messenger.StoreRow{Key: "a", Epoch: 5, Version: 90})
	copied.Missing = []string{"a"}
	f.Adopt(copied)
	assert.Equal(t, map[string]int64{"a": 90, "b": 60}, s.applied)
	assert.Equal(t, []string{"a"}, f.Snapshot().Missing)
	s.changes = []Changes{{Epoch: 6, Version: 71}, {Epoch: 6, Version: 72}}
	f.Step()
	s.now = s.now.Add(ReturnGracePeriod)
	f.Step()
	assert.Equal(t, map[string]int64{"b": 60}, s.applied)
	t.Run("the copy of another peer brings it back no more", func(t *testing.T) {
		copied.Version = 80
		f.Adopt(copied)
		assert.Equal(t, map[string]int64{"b": 60}, s.applied)
	})
}

// TestSecondChangeOfEpochBeginsTheGraceAnew guards against entries that vanish since the grace of the first of two changes
// of epoch ends, although the store is just back from the second.
func TestSecondChangeOfEpochBeginsTheGraceAnew(t *testing.T) {
	s, f := newTestStore()
	observe := func(epoch int64) {
		s.table, s.isHistoryTruncated = inEpoch(epoch, snapshot(70, row("b", 60))), true
		f.Step()
	}
	s.table = inEpoch(5, snapshot(90, row("a", 90), row("b", 60)))
	f.Step()
	observe(6)
	s.now = s.now.Add(ReturnGracePeriod / 2)
	observe(7)
	s.now = s.now.Add(ReturnGracePeriod - time.Millisecond)
	s.changes = []Changes{{Epoch: 7, Version: 71}, {Epoch: 7, Version: 72}}
	f.Step()
	assert.Contains(t, s.applied, "a")
	s.now = s.now.Add(time.Millisecond)
	f.Step()
	assert.NotContains(t, s.applied, "a")
}

// TestOutageWithinTheGraceOfAnEpochBeginsAGrace guards against entries that expired in an outage, and vanish at its end
// since it was observed within the grace of a change of epoch.
func TestOutageWithinTheGraceOfAnEpochBeginsAGrace(t *testing.T) {
	s, f := newTestStore()
	s.table = inEpoch(5, snapshot(90, row("a", 90), row("b", 60)))
	f.Step()
	s.table, s.isHistoryTruncated = inEpoch(6, snapshot(70, row("a", 65), row("b", 60))), true
	f.Step()
	s.outage(f, ReturnGracePeriod-minRetryInterval)
	s.changes = []Changes{{Epoch: 6, Version: 80, Removed: []string{"a"}}, {Epoch: 6, Version: 81}, {Epoch: 6, Version: 82}}
	f.Step()
	s.now = s.now.Add(ReturnGracePeriod - time.Millisecond)
	f.Step()
	assert.Contains(t, s.applied, "a")
	s.now = s.now.Add(time.Millisecond)
	f.Step()
	assert.NotContains(t, s.applied, "a")
}

// TestLastingRowIsKeptUntilItIsWrittenAgain guards against a manifest that vanishes when the table is read a second time
// before the operator has written it again.
func TestLastingRowIsKeptUntilItIsWrittenAgain(t *testing.T) {
	s, f := newTestStore()
	WithLastingRows(preferNext)(f)
	s.table = inEpoch(5, snapshot(90, row("a", 90)))
	f.Step()
	for version := range int64(3) {
		s.table, s.isHistoryTruncated = inEpoch(6, snapshot(70+version)), true
		f.Step()
		f.Adopt(s.table)
		s.now = s.now.Add(ReturnGracePeriod)
	}
	assert.Contains(t, s.applied, "a")
	s.changes = []Changes{{Epoch: 6, Version: 80, Rows: inEpoch(6, snapshot(80, row("a", 80))).Rows}}
	f.Step()
	assert.Equal(t, map[string]int64{"a": 80}, s.applied)
}

// TestTruncatedHistoryWithoutANewerTableIsAFailedStep guards against calls every few milliseconds, in turn for changes
// that cannot be had and for a table that is known.
func TestTruncatedHistoryWithoutANewerTableIsAFailedStep(t *testing.T) {
	s, f := newTestStore()
	s.table = inEpoch(6, snapshot(70, row("a", 70)))
	f.Step()
	s.isHistoryTruncated = true
	assert.False(t, f.Step())
	s.table, s.isHistoryTruncated = inEpoch(6, snapshot(71, row("a", 70))), true
	assert.True(t, f.Step())
}

// TestCopyThatWasNotReadYetHasNoHistory guards against an instance that has just started and has those which follow the
// table through it read it again and again.
func TestCopyThatWasNotReadYetHasNoHistory(t *testing.T) {
	_, f := newTestStore()
	_, err := f.Since(t.Context(), messenger.StoreVersion{Epoch: 6, Number: 70})
	assert.ErrorIs(t, err, ErrOutdated)
	assert.NotErrorIs(t, err, ErrHistoryTruncated)
}

// TestEntryIsRemovedByAnAnswerOfAfterItsGrace guards against an instance that was frozen or cut off in the grace, and
// removes entries which have been written again meanwhile before it has asked.
func TestEntryIsRemovedByAnAnswerOfAfterItsGrace(t *testing.T) {
	const most = ReturnGracePeriod
	for name, c := range map[string]struct {
		// before and during are the times before the call and in it.
		before, during time.Duration
		changes        Changes
		err            error
	}{
		"a call that fails":               {during: most, err: errUnavailable},
		"an answer that has waited":       {during: most, changes: Changes{Epoch: 6, Version: 71}},
		"an old copy of another instance": {before: most, changes: Changes{Epoch: 6, Version: 71, Age: time.Second}},
	} {
		t.Run(name, func(t *testing.T) {
			s, f := newTestStore()
			s.table = inEpoch(5, snapshot(90, row("a", 90)))
			f.Step()
			s.table, s.isHistoryTruncated = inEpoch(6, snapshot(70)), true
			f.Step()
			s.now = s.now.Add(c.before)
			f.source.Follow = func(string, messenger.StoreVersion, time.Duration) (Changes, error) {
				s.now = s.now.Add(c.during)
				return c.changes, c.err
			}
			f.Step()
			assert.Contains(t, s.applied, "a")
			assert.LessOrEqual(t, f.untilNextReturnDeadline(), peerCheckInterval)
			f.source.Follow = s.follow
			s.changes = []Changes{{Epoch: 6, Version: 72}, {Epoch: 6, Version: 73}}
			f.Step()
			f.Step()
			assert.NotContains(t, s.applied, "a")
		})
	}
}

// TestVersionOfALaterEpochThanTheCopy guards against changes of an earlier epoch for an instance that has observed a later one.
func TestVersionOfALaterEpochThanTheCopy(t *testing.T) {
	s, f := newTestStore()
	s.table = inEpoch(5, snapshot(90, row("a", 90)))
	f.Step()
	_, err := f.Since(t.Context(), messenger.StoreVersion{Epoch: 6, Number: 70})
	assert.ErrorIs(t, err, ErrOutdated)
}

// TestPeerOfAnEarlierEpochKnowsNoRemovals guards against entries that vanish since a peer has had the store without an
// outage: what the store came back without, nobody has removed.
func TestPeerOfAnEarlierEpochKnowsNoRemovals(t *testing.T) {
	s, f := newTestStore()
	s.table = inEpoch(5, snapshot(90, row("a", 90)))
	f.Step()
	s.now = s.now.Add(time.Second)
	s.outage(f, time.Second)
	s.peerHasStoreSince = s.now.Add(-time.Hour)
	s.table, s.isHistoryTruncated = inEpoch(6, snapshot(70)), true
	f.Step()
	s.changes = []Changes{{Epoch: 6, Version: 71}, {Epoch: 6, Version: 72}}
	s.now = s.now.Add(ReturnGracePeriod - time.Millisecond)
	f.Step()
	assert.Contains(t, s.applied, "a")
	assert.Equal(t, ReturnGracePeriod-time.Millisecond, f.HasStoreFor(), "nor does this instance know of any before")
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
		WithLastingRows(preferLonger)(f)
		s.table = inEpoch(5, snapshot(90, value(90, "later")))
		f.Step()
		s.isHistoryTruncated = true
		s.table = inEpoch(6, snapshot(70, value(70, "old")))
		f.Step()
		return s, f
	}
	inForce := func(f *Follower) string { return string(f.Snapshot().Rows[0].Value) }
	t.Run("over the store's copy, under its version", func(t *testing.T) {
		_, f := newFollower()
		assert.Equal(t, "later", inForce(f))
		assert.Equal(t, messenger.StoreVersion{Epoch: 6, Number: 70}, f.Snapshot().Rows[0].StoreVersion())
	})
	t.Run("over a later change with an earlier value", func(t *testing.T) {
		s, f := newFollower()
		s.changes = []Changes{{Epoch: 6, Version: 71, Rows: inEpoch(6, snapshot(71, value(71, "mid"))).Rows}}
		f.Step()
		assert.Equal(t, "later", inForce(f))
	})
	t.Run("from a peer's copy, whatever its version", func(t *testing.T) {
		for _, copied := range []messenger.TableSnapshot{
			inEpoch(6, snapshot(70, value(70, "much later"))), inEpoch(6, snapshot(60, value(60, "much later"))), inEpoch(5, snapshot(95, value(95, "much later"))),
		} {
			_, f := newFollower()
			f.Adopt(copied)
			assert.Equal(t, "much later", inForce(f))
			assert.Equal(t, messenger.StoreVersion{Epoch: 6, Number: 70}, f.Snapshot().Rows[0].StoreVersion())
		}
	})
	t.Run("not from a peer's copy that is earlier", func(t *testing.T) {
		_, f := newFollower()
		f.Adopt(inEpoch(6, snapshot(70, value(70, "old"))))
		assert.Equal(t, "later", inForce(f))
	})
}

// TestFirstCallAfterAFailureDoesNotWait guards against a table that is read again only once a call for changes ends
// that the store holds open, since its number is of the epoch before.
func TestFirstCallAfterAFailureDoesNotWait(t *testing.T) {
	s, f := newTestStore()
	waits := []time.Duration{}
	f.source.Follow = func(table string, after messenger.StoreVersion, wait time.Duration) (Changes, error) {
		waits = append(waits, wait)
		return s.follow(table, after, wait)
	}
	s.table = snapshot(5, row("a", 3))
	f.Step()
	s.isUnavailable = true
	f.Step()
	s.isUnavailable = false
	f.Step()
	f.Step()
	assert.Equal(t, []time.Duration{maxFeedWait, 0, maxFeedWait}, waits)
}

package quarantiner

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// TestRestoredVerdict guards against a conviction that is not in force again after all instances
// were lost, that outlasts its deadline, or that overrides what an instance still knows.
func TestRestoredVerdict(t *testing.T) {
	now := time.Unix(1000, 0)
	content, part := ContentTrait(FingerprintOf([]byte("x"))), PartTrait("s", "p1")
	q := New("a", WithTrials())
	until := now.Add(time.Minute)
	require.Len(t, q.MergeShared(now, []Verdict{Restored(now, content, nil, until), Restored(now, part, []Trait{content}, until)}), 2)
	_, err := q.CheckAll(now, []Trait{content})
	require.ErrorIs(t, err, ErrConvicted)
	t.Run("one with a tie holds for both together", func(t *testing.T) {
		_, err := q.CheckAll(now, []Trait{part})
		assert.NotErrorIs(t, err, ErrConvicted)
	})
	t.Run("suspect after the deadline", func(t *testing.T) {
		isSuspect, err := q.CheckAll(until, []Trait{content})
		require.NoError(t, err)
		assert.True(t, isSuspect)
	})
	t.Run("an absurd deadline is bounded", func(t *testing.T) {
		other := ContentTrait(FingerprintOf([]byte("y")))
		q.MergeShared(now, []Verdict{Restored(now, other, nil, now.Add(1000*time.Hour))})
		_, err := q.CheckAll(now.Add(trialConvictionTTL), []Trait{other})
		assert.NotErrorIs(t, err, ErrConvicted)
	})
	t.Run("known verdicts go before it", func(t *testing.T) {
		lifted := Restored(now, content, nil, time.Time{})
		lifted.Revision, lifted.Deadline, lifted.Crashes, lifted.TrialCrashes = 1, until, nil, nil
		q.MergeShared(now, []Verdict{lifted})
		assert.Empty(t, q.MergeShared(now, []Verdict{Restored(now, content, nil, until)}))
	})
}

package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

var (
	badPart   = quarantiner.PartTrait("chat", "bad")
	soundPart = quarantiner.PartTrait("chat", "sound")
	firstPart = quarantiner.PartTrait("chat", "first")
)

// newPartExaminer returns an examiner that has seen requests most of which bear firstPart alone.
func newPartExaminer() *quarantiner.Quarantiner {
	q := newExaminer()
	for range 100 {
		countRequest(q, firstPart)
	}
	return q
}

func countRequest(q *quarantiner.Quarantiner, traits ...quarantiner.Trait) {
	q.CountRequest()
	for _, t := range traits {
		q.CountBearer(t)
	}
}

func reportLoss(q *quarantiner.Quarantiner, at time.Duration, target string, losses ...quarantiner.Loss) {
	q.ReportCrash(start.Add(at), place(target), losses)
}

// tryTraits permits a run with some traits and reports that it ended its target before an answer.
func tryTraits(t *testing.T, q *quarantiner.Quarantiner, at time.Duration, target string, traits ...quarantiner.Trait) {
	t.Helper()
	require.NoError(t, q.BeginTrial(start.Add(at), traits, place(target), start.Add(at+time.Second)))
	reportLoss(q, at, target, lost(traits...)...)
}

func assertTraits(t *testing.T, q *quarantiner.Quarantiner, at time.Duration, isSuspect bool, want error, traits ...quarantiner.Trait) {
	t.Helper()
	got, err := q.CheckAll(start.Add(at), traits)
	assert.Equal(t, isSuspect, got)
	assert.ErrorIs(t, err, want)
}

func TestPartIsConvictedWhateverElseTheRequestHolds(t *testing.T) {
	q := newPartExaminer()
	for n := range 2 {
		reportLoss(q, 0, fmt.Sprintf("t%d", n), lost(badPart, firstPart, quarantiner.ContentTrait(fingerprint(50+n)))...)
	}
	assertTraits(t, q, 0, false, nil, badPart)
	assertTraits(t, q, settled, true, nil, badPart)
	assertTraits(t, q, settled, false, nil, firstPart)
	tryTraits(t, q, settled, "t2", badPart, firstPart, quarantiner.ContentTrait(bad))
	assertTraits(t, q, 2*settled, true, quarantiner.ErrConvicted, badPart, quarantiner.ContentTrait(innocent))
	assertTraits(t, q, 2*settled, false, nil, firstPart)
	var convicted *quarantiner.ConvictedError
	_, err := q.CheckAll(start.Add(2*settled), []quarantiner.Trait{badPart})
	require.ErrorAs(t, err, &convicted)
	assert.Contains(t, convicted.Error(), "part bad of its prompt")
}

// TestAnswersClearParts guards against blaming a part with which requests are answered.
func TestAnswersClearParts(t *testing.T) {
	suspect := func() *quarantiner.Quarantiner {
		q := newPartExaminer()
		reportLoss(q, 0, "t1", lost(soundPart)...)
		reportLoss(q, time.Minute, "t2", lost(soundPart)...)
		assertTraits(t, q, time.Minute+settled, true, nil, soundPart)
		return q
	}
	t.Run("answered before the second end, elsewhere", func(t *testing.T) {
		q, peer := suspect(), newExaminer()
		peer.RememberAnswer(start.Add(30*time.Second), soundPart)
		added := peer.MergeShared(start.Add(time.Minute), q.Changes(start.Add(time.Minute)))
		objections := peer.Objections(start.Add(time.Minute), added)
		require.Len(t, objections, 1)
		q.NoteAnswer(start.Add(time.Minute), []quarantiner.Trait{soundPart}, objections[0].At)
		assertTraits(t, q, time.Minute+settled, false, nil, soundPart)
	})
	t.Run("an answer long ago is no objection", func(t *testing.T) {
		q, peer := suspect(), newExaminer()
		peer.RememberAnswer(start.Add(-time.Minute), soundPart)
		added := peer.MergeShared(start.Add(time.Minute), q.Changes(start.Add(time.Minute)))
		assert.Empty(t, peer.Objections(start.Add(time.Minute), added))
	})
	t.Run("ends shortly after an answer are not counted", func(t *testing.T) {
		q := newPartExaminer()
		q.RememberAnswer(start, soundPart)
		for n := range 5 {
			reportLoss(q, time.Second, fmt.Sprintf("t%d", n), lost(soundPart)...)
		}
		assertTraits(t, q, time.Minute, false, nil, soundPart)
	})
}

// TestCommonPartIsNotHeldBack guards against an outage of a service whose requests all share a part,
// while its targets are killed and nobody is answered.
func TestCommonPartIsNotHeldBack(t *testing.T) {
	q := newPartExaminer()
	for n := range 20 {
		at := time.Duration(n) * time.Second
		reportLoss(q, at, fmt.Sprintf("t%d", n), quarantiner.Loss{Trait: firstPart, HasBegun: n == 0})
		require.NoError(t, q.BeginTrial(start.Add(at), []quarantiner.Trait{firstPart}, place("x"), start.Add(at+time.Second)))
		assertTraits(t, q, at+settled/2, false, nil, firstPart)
	}
	t.Run("unless none of the answers had begun", func(t *testing.T) {
		q := newPartExaminer()
		reportLoss(q, 0, "t1", lost(firstPart)...)
		reportLoss(q, 0, "t2", lost(firstPart)...)
		assertTraits(t, q, 2*time.Second, false, nil, firstPart)
		assertTraits(t, q, 4*time.Second, true, nil, firstPart)
	})
}

// TestContentDoesNotBlameItsParts guards against refusing sound requests for a content that ends
// targets, and that bears a part of theirs.
func TestContentDoesNotBlameItsParts(t *testing.T) {
	content := quarantiner.ContentTrait(bad)
	q := newPartExaminer()
	reportLoss(q, 0, "t1", lost(content, soundPart)...)
	reportLoss(q, 0, "t2", append(lost(content), quarantiner.Loss{Trait: soundPart})...)
	tryTraits(t, q, settled, "t3", content, soundPart)
	assertTraits(t, q, 2*settled, true, quarantiner.ErrConvicted, content)
	assertTraits(t, q, 2*settled, true, nil, soundPart)
	q.NoteAnswer(start.Add(2*settled), []quarantiner.Trait{soundPart}, start.Add(2*settled))
	assertTraits(t, q, 2*settled, false, nil, soundPart)
	t.Run("a part that ends targets under other contents is convicted all the same", func(t *testing.T) {
		q := newPartExaminer()
		reportLoss(q, 0, "t1", lost(content, badPart)...)
		reportLoss(q, 0, "t2", lost(content, badPart)...)
		tryTraits(t, q, settled, "t3", content, badPart)
		tryTraits(t, q, 2*settled, "t4", quarantiner.ContentTrait(innocent), badPart)
		assertTraits(t, q, 3*settled, true, quarantiner.ErrConvicted, badPart)
	})
}

// TestPartsThatAlwaysComeTogether guards against refusing sound requests with one of them.
func TestPartsThatAlwaysComeTogether(t *testing.T) {
	q := newPartExaminer()
	together := []quarantiner.Trait{badPart, soundPart}
	reportLoss(q, 0, "t1", lost(together...)...)
	reportLoss(q, 0, "t2", lost(together...)...)
	for n := range 3 {
		assertTraits(t, q, time.Duration(n+1)*settled, true, nil, together...)
		tryTraits(t, q, time.Duration(n+1)*settled, fmt.Sprintf("x%d", n), together...)
	}
	at := 4 * settled
	assertTraits(t, q, at, true, quarantiner.ErrConvicted, together...)
	assertTraits(t, q, at, true, nil, soundPart)
	peer := newPartExaminer()
	peer.MergeShared(start.Add(at), q.Changes(start.Add(at)))
	assertTraits(t, peer, at, true, quarantiner.ErrConvicted, together...)
	assertTraits(t, peer, at, true, nil, soundPart)
	q.NoteAnswer(start.Add(at), []quarantiner.Trait{soundPart}, start.Add(at))
	assertTraits(t, q, at, false, nil, soundPart)
	assertTraits(t, q, at, true, quarantiner.ErrConvicted, badPart)
}

// TestEndThatATrialDidNotCauseIsHeldAgainstOthers guards against a cause that hides behind the trial
// of another suspect at its target, which never began.
func TestEndThatATrialDidNotCauseIsHeldAgainstOthers(t *testing.T) {
	q := newExaminer()
	for _, target := range []string{"t1", "t2"} {
		report(q, 0, target, innocent)
	}
	require.NoError(t, q.BeginTrial(start, contents(innocent), place("t3"), start.Add(time.Second)))
	report(q, 0, "t3", bad)
	report(q, 0, "t4", bad)
	assertVerdict(t, q, 0, bad, false, nil)
	q.EndTrial(start, contents(innocent), place("t3"))
	assertVerdict(t, q, 0, bad, true, nil)
}

// TestPartBesideManyEndsNeedsMoreTrials guards against refusing sound requests with a part that was at
// some of very many ends by chance.
func TestPartBesideManyEndsNeedsMoreTrials(t *testing.T) {
	q := newPartExaminer()
	for n := range 8 {
		reportLoss(q, 0, fmt.Sprintf("k%d", n), lost(quarantiner.ContentTrait(fingerprint(50+n)))...)
	}
	reportLoss(q, 0, "t1", lost(soundPart)...)
	reportLoss(q, 0, "t2", lost(soundPart)...)
	for n := range 2 {
		at := time.Duration(n+1) * settled
		tryTraits(t, q, at, fmt.Sprintf("x%d", n), soundPart, quarantiner.ContentTrait(fingerprint(80+n)))
		assertTraits(t, q, at+settled/2, true, nil, soundPart)
	}
	tryTraits(t, q, 3*settled, "x2", soundPart, quarantiner.ContentTrait(fingerprint(90)))
	assertTraits(t, q, 4*settled, true, quarantiner.ErrConvicted, soundPart)
}

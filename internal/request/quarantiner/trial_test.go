package quarantiner_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// settled is a time from start on at which no report is on its way any more.
const settled = time.Second

func newExaminer() *quarantiner.Quarantiner {
	return quarantiner.New("entry-1", quarantiner.WithTrials())
}

// contents returns the traits of requests by their contents.
func contents(of ...quarantiner.Fingerprint) []quarantiner.Trait {
	out := []quarantiner.Trait{}
	for _, f := range of {
		out = append(out, quarantiner.ContentTrait(f))
	}
	return out
}

// lost returns traits as those of requests that were lost before their answers had begun.
func lost(traits ...quarantiner.Trait) []quarantiner.Loss {
	out := []quarantiner.Loss{}
	for _, t := range traits {
		out = append(out, quarantiner.Loss{Trait: t})
	}
	return out
}

func report(q *quarantiner.Quarantiner, at time.Duration, target string, on ...quarantiner.Fingerprint) {
	q.ReportCrash(start.Add(at), place(target), lost(contents(on...)...))
}

// tryAndCrash permits a trial and reports that a crash ended it.
func tryAndCrash(t *testing.T, q *quarantiner.Quarantiner, at time.Duration, target string, f quarantiner.Fingerprint, beside ...quarantiner.Fingerprint) {
	t.Helper()
	require.NoError(t, q.BeginTrial(start.Add(at), contents(f), place(target), start.Add(at+time.Second)))
	report(q, at, target, append(beside, f)...)
}

func assertVerdict(t *testing.T, q *quarantiner.Quarantiner, at time.Duration, f quarantiner.Fingerprint, suspect bool, want error) {
	t.Helper()
	got, err := q.Check(start.Add(at), f)
	assert.Equal(t, suspect, got)
	assert.ErrorIs(t, err, want)
}

// convict makes an examiner convict the bad request, alone.
func convict(t *testing.T, q *quarantiner.Quarantiner) {
	t.Helper()
	report(q, 0, "t1", bad, bystander)
	report(q, 0, "t2", bad, innocent)
	tryAndCrash(t, q, 10*time.Millisecond, "t3", bad, bystander)
}

func TestTrialConvictsRequestThatEndsTargets(t *testing.T) {
	q := newExaminer()
	assert.True(t, q.IsEmpty())
	report(q, 0, "t1", bad, innocent)
	assertVerdict(t, q, 0, bad, false, nil)
	report(q, 0, "t2", bad)
	report(q, 0, "t2", bad)
	assertVerdict(t, q, 0, bad, true, nil)
	assertVerdict(t, q, 0, innocent, false, nil)
	tryAndCrash(t, q, 0, "t3", bad, bystander)
	assertVerdict(t, q, 0, bad, true, quarantiner.ErrWait)
	assertVerdict(t, q, settled, bad, true, quarantiner.ErrConvicted)
	var convicted *quarantiner.ConvictedError
	_, err := q.Check(start.Add(settled), bad)
	require.ErrorAs(t, err, &convicted)
	assert.Equal(t, []string{"t1/a", "t2/a", "t3/a"}, convicted.Crashes)
	assert.Equal(t, settled, convicted.Age)
	assert.Equal(t, quarantiner.Counts{Suspects: 1, Convictions: 1}, q.Counts())
	t.Run("what ran beside it is not blamed any more", func(t *testing.T) {
		report(q, settled, "t4", innocent, bystander)
		assertVerdict(t, q, settled, innocent, false, nil)
		assertVerdict(t, q, settled, bystander, false, nil)
	})
	t.Run("the verdict ends, and one more trial renews it", func(t *testing.T) {
		later := 10*time.Minute + settled
		assertVerdict(t, q, later, bad, true, nil)
		tryAndCrash(t, q, later, "t5", bad)
		assertVerdict(t, q, later+settled, bad, true, quarantiner.ErrConvicted)
	})
	t.Run("nothing is remembered for good", func(t *testing.T) { assertVerdict(t, q, time.Hour, bad, false, nil) })
}

// TestSuspectsRunOneAtATime guards against trials that do not show which suspect ended a target.
func TestSuspectsRunOneAtATime(t *testing.T) {
	q := newExaminer()
	for _, target := range []string{"t1", "t2"} {
		report(q, 0, target, bad, innocent)
	}
	end := start.Add(time.Second)
	require.NoError(t, q.BeginTrial(start, contents(bad), place("t3"), end))
	assert.ErrorIs(t, q.BeginTrial(start, contents(bad), place("t4"), end), quarantiner.ErrWait, "one run of a suspect")
	assert.ErrorIs(t, q.BeginTrial(start, contents(innocent), place("t3"), end), quarantiner.ErrWait, "one suspect on a target")
	assert.NoError(t, q.BeginTrial(start, contents(bystander), place("t3"), end), "others are not kept back")
	assert.NoError(t, q.BeginTrial(start, contents(innocent), place("t4"), end))
	assert.NoError(t, q.BeginTrial(end, contents(bad), place("t5"), end.Add(time.Second)), "a trial that nobody ends does not last")
}

func TestSuspectThatIsAnsweredIsCleared(t *testing.T) {
	for _, target := range []string{"t1", "t2"} {
		t.Run("in a trial", func(t *testing.T) {
			q := newExaminer()
			report(q, 0, "t1", innocent)
			report(q, 0, "t2", innocent)
			require.NoError(t, q.BeginTrial(start, contents(innocent), place("t3"), start.Add(time.Second)))
			q.EndTrial(start, contents(innocent), place("t3"))
			q.NoteAnswer(start, contents(innocent), start)
			assertVerdict(t, q, 0, innocent, false, nil)
			report(q, 0, target, innocent)
			assertVerdict(t, q, 0, innocent, false, nil)
		})
	}
	t.Run("not by a run that nobody answered", func(t *testing.T) {
		q := newExaminer()
		report(q, 0, "t1", bad)
		report(q, 0, "t2", bad)
		require.NoError(t, q.BeginTrial(start, contents(bad), place("t3"), start.Add(time.Second)))
		q.EndTrial(start, contents(bad), place("t3"))
		assertVerdict(t, q, 0, bad, true, nil)
		tryAndCrash(t, q, 0, "t4", bad)
		assertVerdict(t, q, settled, bad, true, quarantiner.ErrConvicted)
	})
	t.Run("a conviction ends when an equal request ends well elsewhere", func(t *testing.T) {
		q := newExaminer()
		convict(t, q)
		q.NoteAnswer(start.Add(settled), contents(bad), start.Add(settled))
		assertVerdict(t, q, settled, bad, false, nil)
		assert.Equal(t, 1, q.Counts().TakenBack)
	})
}

// TestTrialThatEndsWithOthersConvictsNobody guards against blaming a request for what ends
// several targets at once.
func TestTrialThatEndsWithOthersConvictsNobody(t *testing.T) {
	suspect := func() *quarantiner.Quarantiner {
		q := newExaminer()
		report(q, 0, "t1", innocent)
		report(q, time.Second, "t2", innocent)
		return q
	}
	const at = 3 * time.Second
	t.Run("that are known before", func(t *testing.T) {
		q := suspect()
		report(q, at-10*time.Millisecond, "t4", bystander)
		tryAndCrash(t, q, at, "t3", innocent)
		assertVerdict(t, q, at+settled, innocent, true, nil)
	})
	t.Run("that are known later", func(t *testing.T) {
		q := suspect()
		tryAndCrash(t, q, at, "t3", innocent)
		assertVerdict(t, q, at, innocent, true, quarantiner.ErrWait)
		report(q, at+10*time.Millisecond, "t4", bystander)
		assertVerdict(t, q, at+settled, innocent, true, nil)
		assert.Equal(t, quarantiner.Counts{Suspects: 1, Convictions: 1, TakenBack: 1}, q.Counts())
	})
	t.Run("but a third one does", func(t *testing.T) {
		q := suspect()
		for n := range 3 {
			tryAndCrash(t, q, at, fmt.Sprintf("t%d", 10+n), innocent)
			report(q, at, fmt.Sprintf("t%d", 20+n), bystander)
		}
		assertVerdict(t, q, at+settled, innocent, true, quarantiner.ErrConvicted)
	})
	t.Run("the end of an earlier incarnation says nothing of a trial", func(t *testing.T) {
		q := suspect()
		later := quarantiner.Place{Target: "t3", Incarnation: "b"}
		require.NoError(t, q.BeginTrial(start.Add(at), contents(innocent), later, start.Add(at+time.Second)))
		report(q, at, "t3", bystander)
		assertVerdict(t, q, at+settled, innocent, true, nil)
	})
	t.Run("nor the end of a target at which it never began", func(t *testing.T) {
		q := suspect()
		require.NoError(t, q.BeginTrial(start.Add(at), contents(innocent), place("t3"), start.Add(at+time.Second)))
		report(q, at, "t3", bystander)
		q.EndTrial(start.Add(at), contents(innocent), place("t3"))
		assertVerdict(t, q, at+settled, innocent, true, nil)
	})
}

// TestVerdictsReachPeers guards against peers that miss a verdict, or keep an outdated one.
func TestVerdictsReachPeers(t *testing.T) {
	examiner, peer := newExaminer(), quarantiner.New("entry-2", quarantiner.WithTrials())
	exchange := func(at time.Duration) {
		for _, v := range examiner.Changes(start.Add(at)) {
			peer.MergeShared(start.Add(at), []quarantiner.Verdict{v})
		}
	}
	report(examiner, 0, "t1", bad)
	assert.Empty(t, examiner.Changes(start), "a first crash is no verdict")
	convict(t, examiner)
	exchange(0)
	assertVerdict(t, peer, settled, bad, true, quarantiner.ErrConvicted)
	assert.Equal(t, examiner.Digest(start), peer.Digest(start))
	assert.Empty(t, examiner.Changes(start))
	t.Run("one that starts reads all", func(t *testing.T) {
		late := quarantiner.New("entry-3", quarantiner.WithTrials())
		assert.NotEqual(t, late.Digest(start), peer.Digest(start))
		assert.Len(t, late.MergeShared(start, peer.Shared(start)), 1)
		assert.Empty(t, late.MergeShared(start, peer.Shared(start)), "the second time nothing is new")
		assertVerdict(t, late, settled, bad, true, quarantiner.ErrConvicted)
		assert.Equal(t, peer.Digest(start), late.Digest(start))
	})
	t.Run("also if the request has crashed very many", func(t *testing.T) {
		q, other := newExaminer(), quarantiner.New("entry-5", quarantiner.WithTrials())
		for n := range 200 {
			report(q, 0, fmt.Sprintf("x%d", n), bad)
		}
		tryAndCrash(t, q, 0, "last", bad)
		other.MergeShared(start, q.Changes(start))
		assertVerdict(t, other, settled, bad, true, quarantiner.ErrConvicted)
	})
	t.Run("an outdated verdict is ignored", func(t *testing.T) {
		old := peer.Shared(start)
		examiner.NoteAnswer(start.Add(settled), contents(bad), start.Add(settled))
		exchange(settled)
		assertVerdict(t, peer, settled, bad, false, nil)
		peer.MergeShared(start.Add(settled), old)
		assertVerdict(t, peer, settled, bad, false, nil)
	})
	t.Run("malformed ones are ignored", func(t *testing.T) {
		odd := quarantiner.New("entry-4", quarantiner.WithTrials())
		forever := start.Add(100 * time.Hour)
		odd.MergeShared(start, []quarantiner.Verdict{
			{Trait: quarantiner.ContentTrait(innocent), Revision: 1, Crashes: []string{"a", "b", "c"}, ConvictedUntil: forever, Deadline: start},
			{Trait: quarantiner.ContentTrait(innocent), Revision: 1, Crashes: make([]string, 1000), ConvictedUntil: forever, Deadline: forever},
			{Trait: quarantiner.ContentTrait(bad), Revision: 1, Crashes: []string{"b", "a"}, ConvictedUntil: forever, Deadline: forever},
		})
		assertVerdict(t, odd, 0, innocent, false, nil)
		assertVerdict(t, odd, time.Minute, bad, true, quarantiner.ErrConvicted)
		assertVerdict(t, odd, time.Hour, bad, false, nil)
	})
}

// TestExaminerThatStartsKnowsWhatOthersTell guards against one that permits what is a suspect.
func TestExaminerThatStartsKnowsWhatOthersTell(t *testing.T) {
	examiner, next := newExaminer(), quarantiner.New("entry-2", quarantiner.WithTrials())
	report(examiner, 0, "t1", bad)
	next.KeepCrash(start, place("t1"), lost(contents(bad)...))
	assertVerdict(t, next, 0, bad, false, nil)
	report(next, 0, "t2", bad)
	assertVerdict(t, next, 0, bad, true, nil)
	t.Run("also if it kept the crash that is reported to it", func(t *testing.T) {
		q := newExaminer()
		q.KeepCrash(start, place("t1"), lost(contents(bad)...))
		q.KeepCrash(start, place("t2"), lost(contents(bad)...))
		assert.Empty(t, q.Changes(start))
		report(q, 0, "t2", bad)
		assert.Len(t, q.Changes(start), 1)
	})
	third := quarantiner.New("entry-3", quarantiner.WithTrials())
	third.MergeShared(start, next.VerdictsOn(start, contents(bad, innocent)))
	tryAndCrash(t, third, 0, "t3", bad)
	assertVerdict(t, third, settled, bad, true, quarantiner.ErrConvicted)
}

// TestMemoryIsBounded guards against requests without end that each end a target.
func TestMemoryIsBounded(t *testing.T) {
	q := newExaminer()
	convict(t, q)
	many := []quarantiner.Fingerprint{}
	for n := range 4500 {
		many = append(many, fingerprint(1000+n))
	}
	report(q, settled, "x", many...)
	assertVerdict(t, q, settled, bad, true, quarantiner.ErrConvicted)
	assert.LessOrEqual(t, q.Records(), 4096)
}

func BenchmarkCheckOfUnknownContent(b *testing.B) {
	q := newExaminer()
	for n := range 1000 {
		report(q, 0, fmt.Sprintf("x%d", n), fingerprint(1000+n))
	}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = q.Check(start, innocent)
	}
}

func BenchmarkFingerprint(b *testing.B) {
	body := make([]byte, 1200)
	b.ReportAllocs()
	for b.Loop() {
		_ = quarantiner.FingerprintOf([]byte("POST"), []byte("h.example"), []byte("/lohu930/2f"), nil, body)
	}
}

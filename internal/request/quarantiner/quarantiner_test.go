package quarantiner_test

import (
	"fmt"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var (
	bad       = fingerprint(1)
	innocent  = fingerprint(2)
	bystander = fingerprint(3)
)

// fingerprint returns the fingerprint of the n-th content.
func fingerprint(n int) quarantiner.Fingerprint {
	return quarantiner.FingerprintOf([]byte(strconv.Itoa(n)))
}

var start = time.Unix(1_800_000_000, 0)

func place(target string) quarantiner.Place {
	return quarantiner.Place{Target: target, Incarnation: "a"}
}

// crash reports to q a crash of a target on which requests ran.
func crash(q *quarantiner.Quarantiner, target string, on ...quarantiner.Fingerprint) {
	for _, f := range on {
		q.Crashed(start, place(target), f)
		q.End(target, f)
	}
}

func assertState(t *testing.T, q *quarantiner.Quarantiner, f quarantiner.Fingerprint, suspect bool, want error) {
	t.Helper()
	got, err := q.Check(start, f)
	assert.Equal(t, suspect, got)
	assert.ErrorIs(t, err, want)
}

func TestSecondCrashConvictsIsolatedSuspect(t *testing.T) {
	q := quarantiner.New("entry-1")
	crash(q, "t1", bad, innocent)
	assertState(t, q, bad, true, nil)
	require.NoError(t, q.Begin(start, "t2", bad, false))
	assert.ErrorIs(t, q.Begin(start, "t2", innocent, false), quarantiner.ErrWait, "suspects run on different targets")
	assert.ErrorIs(t, q.Begin(start, "t3", bad, false), quarantiner.ErrWait, "one copy at a time")
	assert.ErrorIs(t, q.Begin(start, "t2", bystander, false), quarantiner.ErrWait, "other requests avoid the target of a suspect")
	assert.NoError(t, q.Begin(start, "t2", bystander, true), "unless there is no other target")
	require.NoError(t, q.Begin(start, "t3", innocent, false))
	crash(q, "t2", bystander, bad)
	assertState(t, q, bad, true, quarantiner.ErrConvicted)
	assertState(t, q, bystander, false, nil)
	q.Clear(start, innocent)
	assertState(t, q, innocent, false, nil)
	crash(q, "t1", innocent)
	assertState(t, q, innocent, false, nil)
	t.Run("until the verdict expires", func(t *testing.T) {
		_, err := q.Check(start.Add(time.Hour), bad)
		assert.NoError(t, err)
	})
}

func TestCrashSeenByTwoInstancesCountsOnce(t *testing.T) {
	one, two := quarantiner.New("entry-1"), quarantiner.New("entry-2")
	crash(one, "t1", innocent)
	crash(two, "t1", innocent)
	for range 3 {
		one.Merge(two.Verdicts(start), start)
		two.Merge(one.Verdicts(start), start)
	}
	assertState(t, one, innocent, true, nil)
	assertState(t, two, innocent, true, quarantiner.ErrElsewhere)
	one.Clear(start, innocent)
	two.Merge(one.Verdicts(start), start)
	one.Merge(two.Verdicts(start), start)
	assertState(t, one, innocent, false, nil)
	assertState(t, two, innocent, false, nil)
}

func TestVerdictsAreBounded(t *testing.T) {
	q := quarantiner.New("entry-1")
	const many = 300
	for n := range many {
		at := start.Add(time.Duration(n) * time.Second)
		q.Crashed(at, place("t1"), fingerprint(n))
		q.Crashed(at, place("t2"), fingerprint(n))
	}
	now := start.Add(many * time.Second)
	verdicts := q.Verdicts(now)
	require.Len(t, verdicts, 64)
	peer := quarantiner.New("entry-2")
	peer.Merge(verdicts, now)
	_, err := peer.Check(now, fingerprint(many-1))
	assert.ErrorIs(t, err, quarantiner.ErrConvicted, "the latest convictions are sent")

	cleared := quarantiner.New("entry-1")
	crash(cleared, "t1", innocent)
	cleared.Clear(start, innocent)
	assert.Len(t, cleared.Verdicts(start), 1)
	assert.Empty(t, cleared.Verdicts(start.Add(10*time.Second)))
}

// TestExchangedVerdictsExpire guards against peers that extend each
// other's deadlines by sending a verdict back and forth.
func TestExchangedVerdictsExpire(t *testing.T) {
	one, two := quarantiner.New("entry-1"), quarantiner.New("entry-2")
	crash(one, "t1", bad)
	crash(one, "t2", bad)
	for now := start; now.Before(start.Add(2 * time.Hour)); now = now.Add(time.Minute) {
		two.Merge(one.Verdicts(now), now)
		one.Merge(two.Verdicts(now), now)
	}
	_, err := two.Check(start.Add(2*time.Hour), bad)
	assert.NoError(t, err)
}

func TestCrashesAtTwoInstancesAddUp(t *testing.T) {
	one, two := quarantiner.New("entry-1"), quarantiner.New("entry-2")
	crash(one, "t1", bad)
	crash(two, "t2", bad)
	one.Merge(two.Verdicts(start), start)
	assertState(t, one, bad, true, quarantiner.ErrConvicted)
}

func TestOneOfTwoConcurrentClaimsRuns(t *testing.T) {
	one, two := quarantiner.New("entry-1"), quarantiner.New("entry-2")
	exchange := func() {
		one.Merge(two.Verdicts(start), start)
		two.Merge(one.Verdicts(start), start)
	}
	crash(one, "t1", bad)
	crash(two, "t1", innocent)
	require.NoError(t, one.Begin(start, "t2", bad, false))
	require.NoError(t, two.Begin(start, "t2", innocent, false))
	exchange()
	assert.NoError(t, one.Confirm(start, bad))
	assert.ErrorIs(t, two.Confirm(start, innocent), quarantiner.ErrWait)
	crash(one, "t2", bad)
	assertState(t, one, bad, true, quarantiner.ErrConvicted)
}

func TestDeadOwnerIsReplaced(t *testing.T) {
	alive := true
	one := quarantiner.New("entry-1")
	two := quarantiner.New("entry-2", quarantiner.WithAlive(func(string) bool { return alive }))
	three := quarantiner.New("entry-3")
	crash(one, "t1", bad)
	two.Merge(one.Verdicts(start), start)
	three.Merge(one.Verdicts(start), start)
	assertState(t, two, bad, true, quarantiner.ErrElsewhere)
	alive = false
	assertState(t, two, bad, true, nil)
	require.NoError(t, two.Begin(start, "t2", bad, false))
	three.Merge(two.Verdicts(start), start)
	two.Merge(three.Verdicts(start), start)
	assert.NoError(t, two.Confirm(start, bad), "the later owner has precedence")
	crash(two, "t2", bad)
	three.Merge(two.Verdicts(start), start)
	assertState(t, three, bad, true, quarantiner.ErrConvicted)
}

func TestMergeIgnoresMalformedVerdicts(t *testing.T) {
	q := quarantiner.New("entry-1")
	later := start.Add(time.Minute)
	q.Merge([]messenger.Verdict{
		{Fingerprint: "x", Owner: "entry-2", Deadline: later, Places: []string{"a", "b"}},
		{Fingerprint: bad.String(), Deadline: later, Places: []string{"a", "b"}},
		{Fingerprint: bad.String(), Owner: "entry-2", Deadline: start, Places: []string{"a", "b"}},
	}, start)
	assertState(t, q, bad, false, nil)
}

// run is a request that an instance runs on a target.
type run struct {
	instance int
	target   string
	request  quarantiner.Fingerprint
}

// model is a model of instances, targets and one request that crashes targets.
type model struct {
	instances    []*quarantiner.Quarantiner
	incarnations map[string]int
	running      []run
	claimed      []run // suspects that are not yet confirmed
	crashes      int
}

const (
	instances = 3
	targets   = 4
	requests  = 6
)

func newModel() *model {
	m := &model{incarnations: map[string]int{}}
	for i := range instances {
		m.instances = append(m.instances, quarantiner.New(fmt.Sprintf("entry-%d", i)))
	}
	return m
}

// announce exchanges verdicts between one instance and all others.
func (m *model) announce(i int) {
	for j, peer := range m.instances {
		if j != i {
			peer.Merge(m.instances[i].Verdicts(start), start)
			m.instances[i].Merge(peer.Verdicts(start), start)
		}
	}
}

func (m *model) send(t *rapid.T) {
	request := fingerprint(rapid.IntRange(1, requests).Draw(t, "request"))
	if slices.ContainsFunc(slices.Concat(m.running, m.claimed), func(r run) bool { return r.request == request }) {
		return // each resend follows the end of the previous send
	}
	i := rapid.IntRange(0, instances-1).Draw(t, "instance")
	q := m.instances[i]
	suspect, err := q.Check(start, request)
	if err != nil {
		if request != bad {
			require.NotErrorIs(t, err, quarantiner.ErrConvicted, "an innocent request is convicted")
		}
		return
	}
	target := fmt.Sprintf("t%d", rapid.IntRange(1, targets).Draw(t, "target"))
	if q.Begin(start, target, request, rapid.Bool().Draw(t, "shared")) != nil {
		return
	}
	if suspect {
		m.claimed = append(m.claimed, run{i, target, request})
		return
	}
	m.running = append(m.running, run{i, target, request})
}

// confirm announces a claim and runs the suspect if no other claim has precedence.
func (m *model) confirm(t *rapid.T) {
	if len(m.claimed) == 0 {
		return
	}
	i := rapid.IntRange(0, len(m.claimed)-1).Draw(t, "claim")
	r := m.claimed[i]
	m.claimed = slices.Delete(m.claimed, i, i+1)
	m.announce(r.instance)
	if m.instances[r.instance].Confirm(start, r.request) != nil {
		m.instances[r.instance].End(r.target, r.request)
		return
	}
	m.running = append(m.running, r)
}

// crash crashes the target of the bad request and ends all requests there.
func (m *model) crash(t *rapid.T) {
	at := slices.IndexFunc(m.running, func(r run) bool { return r.request == bad })
	if at < 0 {
		return
	}
	target := m.running[at].target
	m.crashes++
	require.LessOrEqual(t, m.crashes, 2, "targets lost by one request")
	crashed := place(target)
	crashed.Incarnation = fmt.Sprint(m.incarnations[target])
	m.incarnations[target]++
	runs := rapid.Permutation(m.running).Draw(t, "order")
	m.running = nil
	for _, r := range runs {
		if r.target != target {
			m.running = append(m.running, r)
			continue
		}
		m.instances[r.instance].Crashed(start, crashed, r.request)
		m.instances[r.instance].End(target, r.request)
		if rapid.Bool().Draw(t, "announce at once") || r.request == bad {
			m.announce(r.instance)
		}
	}
}

func (m *model) finish(t *rapid.T) {
	i := slices.IndexFunc(m.running, func(r run) bool { return r.request != bad })
	if i < 0 {
		return
	}
	r := m.running[i]
	if rapid.Bool().Draw(t, "whole") {
		m.instances[r.instance].Clear(start, r.request)
	}
	m.instances[r.instance].End(r.target, r.request)
	m.running = slices.Delete(m.running, i, i+1)
}

// TestBadRequestCrashesAtMostTwoTargets checks, over random sequences of events, that
// one bad request crashes at most two targets and that no other request is convicted.
func TestBadRequestCrashesAtMostTwoTargets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newModel()
		t.Repeat(map[string]func(*rapid.T){
			"send": m.send, "confirm": m.confirm, "crash": m.crash, "finish": m.finish,
			"heartbeat": func(t *rapid.T) { m.announce(rapid.IntRange(0, instances-1).Draw(t, "instance")) },
		})
	})
}

// TestContentsAreNotMistaken guards against contents that differ and share a fingerprint.
func TestContentsAreNotMistaken(t *testing.T) {
	of := func(parts ...string) quarantiner.Fingerprint {
		all := [][]byte{}
		for _, part := range parts {
			all = append(all, []byte(part))
		}
		return quarantiner.FingerprintOf(all...)
	}
	assert.Equal(t, of("a", "b"), of("a", "b"))
	for _, other := range []quarantiner.Fingerprint{of("ab"), of("ab", ""), of("", "ab"), of("a", "b", ""), of("b", "a"), of("a", "B")} {
		assert.NotEqual(t, of("a", "b"), other)
	}
	parsed, ok := quarantiner.ParseFingerprint(bad.String())
	assert.True(t, ok)
	assert.Equal(t, bad, parsed)
	for _, odd := range []string{"", "1", bad.String() + "0", "zz" + bad.String()[2:]} {
		_, ok := quarantiner.ParseFingerprint(odd)
		assert.False(t, ok, odd)
	}
}

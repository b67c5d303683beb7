package limiter_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/limiter"
)

// testClock is a manual clock.
type testClock struct{ now time.Time }

func (c *testClock) read() time.Time      { return c.now }
func (c *testClock) step(d time.Duration) { c.now = c.now.Add(d) }

var testTarget = limiter.Target{ID: "t", DataCentre: "a"}

func newClock() *testClock { return &testClock{now: time.Unix(1000, 0)} }

// newSettled returns an instance that has counted for itself for a while.
func newSettled(c *testClock, name, dataCentre string) *limiter.Limiter {
	l := limiter.New(limiter.Member{Name: name, DataCentre: dataCentre}, 5, limiter.WithClock(c.read))
	c.step(10 * time.Second)
	return l
}

func named(c *testClock, perSecond float64) limiter.Limit {
	return limiter.Limit{IsNamed: true, PerSecond: perSecond, SeenAt: c.now}
}

// members returns n instances of a data centre.
func members(dataCentre string, n int) []limiter.Member {
	out := make([]limiter.Member, 0, n)
	for i := range n {
		out = append(out, limiter.Member{Name: fmt.Sprintf("%s%02d", dataCentre, i), DataCentre: dataCentre})
	}
	return out
}

func mustBegin(t *testing.T, l *limiter.Limiter, target limiter.Target) limiter.Ask {
	t.Helper()
	ask, err := l.Begin(target)
	require.NoError(t, err)
	return ask
}

func granterOf(t *testing.T, l *limiter.Limiter, target limiter.Target) string {
	t.Helper()
	return mustBegin(t, l, target).Granter
}

// beginLimited lets an instance know a limit of one request a second and ask for a permit.
func beginLimited(t *testing.T, c *testClock, l *limiter.Limiter) limiter.Ask {
	t.Helper()
	l.Observe("t", named(c, 1))
	return mustBegin(t, l, testTarget)
}

func TestTargetWithoutLimitNeedsNoPermit(t *testing.T) {
	l := newSettled(newClock(), "i1", "a")
	assert.Empty(t, granterOf(t, l, testTarget))
}

// TestGranterIsAskedAtBoundedRate guards against a granter that is asked the more often the
// more instances there are.
func TestGranterIsAskedAtBoundedRate(t *testing.T) {
	const (
		askers = 790
		length = 60 * time.Second
		step   = 10 * time.Millisecond
	)
	c := newClock()
	l := newSettled(c, "i1", "a")
	askAt := make([]time.Time, askers)
	asks := 0
	for end := c.now.Add(length); c.now.Before(end); c.step(step) {
		for i := range askAt {
			if c.now.Before(askAt[i]) {
				continue
			}
			asks++
			askAt[i] = c.now.Add(max(l.Grant(testTarget, named(c, 1)).RetryIn, step))
		}
	}
	t.Logf("%d asks in %v", asks, length)
	assert.Less(t, float64(asks)/length.Seconds(), 0.2*askers)
}

func TestOlderLimitIsIgnored(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	old := named(c, 5)
	c.step(time.Second)
	assert.True(t, l.Observe("t", named(c, 1)))
	assert.False(t, l.Observe("t", old))
	assert.False(t, l.Observe("t", limiter.Limit{SeenAt: old.SeenAt}), "an answer to an earlier request lifts no limit")
	limit, ok := l.Limit("t")
	assert.True(t, ok)
	assert.InDelta(t, 1, limit.PerSecond, 1e-9)
	c.step(time.Second)
	assert.True(t, l.Observe("t", limiter.Limit{SeenAt: c.now}))
	assert.Empty(t, granterOf(t, l, testTarget))
}

func TestChangedLimitEndsDenial(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	ask := beginLimited(t, c, l)
	require.ErrorIs(t, l.Finish(ask, limiter.Answer{RetryIn: 5 * time.Second, Limit: ask.Limit}, nil), limiter.ErrDenied)
	assert.Equal(t, 5*time.Second, l.BlockedFor("t"))
	_, err := l.Begin(testTarget)
	require.ErrorIs(t, err, limiter.ErrDenied)
	c.step(time.Second)
	l.Observe("t", named(c, 9))
	assert.Zero(t, l.BlockedFor("t"))
}

// TestLatePermitIsNotUsed guards against an instance that froze while it asked and uses a
// permit after others have been granted the same time.
func TestLatePermitIsNotUsed(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	ask := beginLimited(t, c, l)
	c.step(time.Second)
	assert.ErrorIs(t, l.Finish(ask, limiter.Answer{IsGranted: true, Limit: ask.Limit}, nil), limiter.ErrDenied)
}

func TestFailedAskDeniesForAWhile(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	ask := beginLimited(t, c, l)
	require.ErrorIs(t, l.Finish(ask, limiter.Answer{}, assert.AnError), limiter.ErrDenied)
	assert.Positive(t, l.BlockedFor("t"))
}

// TestGranterIsInDataCentreOfTarget guards against permits that cross data centres, and need
// statuses of all instances, in a large system.
func TestGranterIsInDataCentreOfTarget(t *testing.T) {
	c := newClock()
	l := newSettled(c, "b00", "b")
	all := append(members("a", 6), members("b", 7)[1:]...)
	l.SetMembers(append(all, members("small", 2)...), nil, statusTTL)
	for centre, want := range map[string]string{"a": "a", "b": "b", "small": "a b", "none": "a b"} {
		t.Run(centre, func(t *testing.T) {
			target := limiter.Target{ID: "t-" + centre, DataCentre: centre}
			l.Observe(target.ID, named(c, 1))
			assert.Contains(t, want, granterOf(t, l, target)[:1])
		})
	}
	t.Run("an instance outside all groups grants nothing", func(t *testing.T) {
		outside := newSettled(c, "small00", "small")
		outside.SetMembers(all, nil, statusTTL)
		assert.False(t, outside.Grant(testTarget, named(c, 100)).IsGranted)
		c.step(time.Second)
		assert.False(t, outside.Grant(testTarget, named(c, 100)).IsGranted)
	})
}

// TestLimitZeroIsTriedNowAndThen guards against a target that gets nothing for good: only its
// answers show that it names a limit no more.
func TestLimitZeroIsTriedNowAndThen(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	granted := 0
	for range 60 {
		c.step(time.Second)
		if l.Grant(testTarget, named(c, 0)).IsGranted {
			granted++
		}
	}
	assert.Positive(t, granted)
	assert.Less(t, granted, 8)
}

func TestPruneKeepsLimitOfTargetThatIsGoneForAMoment(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	l.Observe("t", named(c, 1))
	isGone := func(string) bool { return false }
	l.Prune(isGone)
	assert.Equal(t, "i1", granterOf(t, l, testTarget))
	c.step(2 * time.Minute)
	l.Prune(isGone)
	assert.Empty(t, granterOf(t, l, testTarget))
}

// TestRowsOfCrashedInstancesDoNotCountForGood guards against limits that are used less and
// less, since each instance that crashed and was replaced leaves its row in the table.
func TestRowsOfCrashedInstancesDoNotCountForGood(t *testing.T) {
	c := newClock()
	l := limiter.New(limiter.Member{Name: "i1", DataCentre: "a"}, 5, limiter.WithClock(c.read))
	l.SetRegistered(members("gone", 20))
	l.SetMembers(nil, nil, statusTTL)
	assert.Equal(t, 21, l.Report().Size)
	c.step(2 * time.Minute)
	l.SetRegistered(members("gone", 20))
	l.SetMembers(nil, nil, statusTTL)
	assert.Equal(t, 1, l.Report().Size)
}

// TestSilentMembersCountWhileHalfAreSilent guards against two halves of a system that are
// cut off from each other and each use the whole of a limit.
func TestSilentMembersCountWhileHalfAreSilent(t *testing.T) {
	c := newClock()
	l := newSettled(c, "a00", "a")
	l.SetMembers(members("a", 4)[1:], nil, statusTTL)
	for _, p := range []struct{ live, want int }{{2, 4}, {3, 3}} {
		c.step(2 * time.Minute)
		l.SetMembers(members("a", p.live)[1:], nil, statusTTL)
		assert.Equal(t, p.want, l.Report().Size)
	}
}

// TestLimitEndsWithIncarnation guards against a target that is limited for good since it
// crashed, its entry went, and it came back under its ID without a limit and without models,
// so that no request goes there whose answer would show this.
func TestLimitEndsWithIncarnation(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	l.SetIncarnation("t", 5)
	l.Observe("t", named(c, 1))
	c.step(time.Second)
	l.Prune(func(string) bool { return false }) // its entry is gone
	l.SetIncarnation("t", 5)
	assert.Equal(t, "i1", granterOf(t, l, testTarget), "the same incarnation goes on")
	l.SetIncarnation("t", 9)
	assert.Empty(t, granterOf(t, l, testTarget))
}

// TestOldLimitDoesNotKeepModelsAway guards against a target without models that gets none
// for good: only an answer to a request shows that its limit is gone.
func TestOldLimitDoesNotKeepModelsAway(t *testing.T) {
	c := newClock()
	l := newSettled(c, "i1", "a")
	l.Observe("t", named(c, 1))
	_, ok := l.RecentLimit("t")
	assert.True(t, ok)
	c.step(time.Minute)
	_, ok = l.RecentLimit("t")
	assert.False(t, ok)
	assert.Equal(t, "i1", granterOf(t, l, testTarget), "requests still need permits")
}

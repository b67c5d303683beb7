package watcher

import (
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/edge/lister"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	target   = "target-1"
	addressA = "127.0.0.1:1"
	addressB = "127.0.0.1:2"
	tick     = 500 * time.Millisecond
)

var (
	name       = keeper.Name{Model: "oak", Version: "v1"}
	errSilence = errors.New("no answer")
)

// testWatcher is a watcher whose list and reports the test sets.
type testWatcher struct {
	*Watcher
	t         *testing.T
	kind      string
	clock     time.Time
	entries   []messenger.ListedInstance
	report    keeper.Report
	reportErr error
}

func newTestWatcher(t *testing.T, kind string) *testWatcher {
	b := &testWatcher{t: t, kind: kind, clock: time.Unix(1000, 0), report: keeper.Report{
		Incarnation: "a", Holdings: []keeper.Holding{{Name: name, State: keeper.Loaded}},
	}}
	b.Watcher = &Watcher{
		fleet: keeper.NewFleet(), now: func() time.Time { return b.clock },
		slots: make(chan struct{}, 1), awaited: map[string]bool{},
		list: func() ([]messenger.ListedInstance, error) { return b.entries, nil },
	}
	b.Watcher.report = func(_ string, now time.Time) (keeper.Report, error) {
		b.report.ReportedAt = now
		return b.report, b.reportErr
	}
	b.step("Live", addressA)
	return b
}

// step reads the list once, with the target in the given state, or without the target
// if state is empty, and waits for the reports.
func (b *testWatcher) step(state, address string) {
	b.entries = nil
	if state != "" {
		b.entries = []messenger.ListedInstance{{ID: target, Kind: b.kind, Address: address, State: state}}
	}
	require.NoError(b.t, b.TickList())
	b.TickReports()
	require.Eventually(b.t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.awaited) == 0
	}, time.Second, time.Millisecond)
	b.clock = b.clock.Add(tick)
}

func (b *testWatcher) repeat(n int, state, address string) {
	for range n {
		b.step(state, address)
	}
}

func (b *testWatcher) assertAcceptsWork(want bool) {
	b.t.Helper()
	t := b.fleet.View().Targets[target]
	accepts := t != nil && !t.Leaving
	if b.kind == lister.KindEngine {
		accepts = len(b.fleet.View().Holders(name)) > 0
	}
	assert.Equal(b.t, want, accepts, "target accepts work")
}

// TestLeavingTarget checks that a leaving target gets no new work, whatever the list
// says afterwards of the same incarnation.
func TestLeavingTarget(t *testing.T) {
	t.Run("a list that changes back does not undo it", func(t *testing.T) {
		for _, kind := range []string{lister.KindEngine, lister.KindService} {
			b := newTestWatcher(t, kind)
			b.assertAcceptsWork(true)
			for _, state := range []string{"Leaving", "Live", "", "Live", "Leaving", "Live"} {
				b.repeat(8, state, addressA)
				b.assertAcceptsWork(false)
			}
		}
	})
	t.Run("its own report counts before the list shows it", func(t *testing.T) {
		b := newTestWatcher(t, lister.KindEngine)
		b.report.ReportsLeaving = true
		b.step("Live", addressA)
		b.assertAcceptsWork(false)
		b.report.ReportsLeaving = false
		b.step("Live", addressA)
		b.assertAcceptsWork(false)
	})
	t.Run("a peer's report counts for the incarnation that it names", func(t *testing.T) {
		b := newTestWatcher(t, lister.KindEngine)
		b.ApplyLeavingTargets([]messenger.LeavingTarget{{Target: target, Incarnation: "earlier", Address: addressA}})
		b.assertAcceptsWork(true)
		b.ApplyLeavingTargets([]messenger.LeavingTarget{{Target: target, Incarnation: "a", Address: addressA}})
		b.assertAcceptsWork(false)
	})
	t.Run("a new incarnation accepts work once the list shows it as live", func(t *testing.T) {
		b := newTestWatcher(t, lister.KindEngine)
		b.step("Leaving", addressA)
		b.report.Incarnation = "b"
		b.step("Leaving", addressA)
		b.assertAcceptsWork(false)
		b.step("Live", addressA)
		b.assertAcceptsWork(true)
	})
	t.Run("a service is live again at a new address", func(t *testing.T) {
		b := newTestWatcher(t, lister.KindService)
		b.step("Leaving", addressA)
		b.step("Live", addressB)
		b.assertAcceptsWork(true)
	})
	t.Run("a target that the list omits is out of use within 3 s", func(t *testing.T) {
		b := newTestWatcher(t, lister.KindService)
		b.repeat(2, "", addressA)
		b.assertAcceptsWork(true)
		b.repeat(4, "", addressA)
		b.assertAcceptsWork(false)
	})
}

// TestSilentEngine checks that an engine without recent reports gets no new work, and
// gets work again with its next report.
func TestSilentEngine(t *testing.T) {
	b := newTestWatcher(t, lister.KindEngine)
	b.reportErr = errSilence
	b.repeat(2, "Live", addressA)
	b.assertAcceptsWork(true)
	b.repeat(3, "Live", addressA)
	b.assertAcceptsWork(false)
	require.NotNil(t, b.fleet.View().Targets[target], "silent engine stays in the fleet")
	b.reportErr = nil
	b.step("Live", addressA)
	b.assertAcceptsWork(true)
}

// TestReportInterval checks how often engines are asked for reports in 20 ticks of
// 200 ms: busy ones at each tick, loading ones at each tick from the first report that
// shows it, idle ones less often.
func TestReportInterval(t *testing.T) {
	count := func(t *testing.T, prepare func(*testWatcher)) int {
		b := newTestWatcher(t, lister.KindEngine)
		waitIdle := func() { assert.Eventually(t, func() bool { return b.isIdle() }, time.Second, time.Millisecond) }
		waitIdle()
		b.clock = b.clock.Add(changeWindow + tick)
		b.TickReports()
		waitIdle()
		asked := 0
		report := b.Watcher.report
		b.Watcher.report = func(address string, now time.Time) (keeper.Report, error) {
			asked++
			return report(address, now)
		}
		prepare(b)
		const ticks, interval = 20, 200 * time.Millisecond
		for range ticks {
			b.clock = b.clock.Add(interval)
			b.TickReports()
			waitIdle()
		}
		return asked
	}
	t.Run("an idle engine", func(t *testing.T) {
		assert.Equal(t, 5, count(t, func(*testWatcher) {}))
	})
	t.Run("an engine that works for this instance", func(t *testing.T) {
		assert.Equal(t, 20, count(t, func(b *testWatcher) { b.fleet.View().Targets[target].Counter.InFlight.Add(1) }))
	})
	t.Run("an engine that loads, from the first report that shows it", func(t *testing.T) {
		assert.Equal(t, 17, count(t, func(b *testWatcher) { b.report.Holdings = []keeper.Holding{{Name: name, State: keeper.Loading}} }))
	})
}

func (b *testWatcher) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.awaited) == 0
}

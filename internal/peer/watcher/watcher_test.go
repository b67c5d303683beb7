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

// bench runs a watcher over a list and reports that the test sets.
type bench struct {
	*Watcher
	t       *testing.T
	kind    string
	clock   time.Time
	entries []messenger.ListedInstance
	report  keeper.Report
	failing error
}

func newBench(t *testing.T, kind string) *bench {
	b := &bench{t: t, kind: kind, clock: time.Unix(1000, 0), report: keeper.Report{
		Incarnation: "a", Holdings: []keeper.Holding{{Name: name, State: keeper.Loaded}},
	}}
	b.Watcher = &Watcher{
		fleet: keeper.NewFleet(), now: func() time.Time { return b.clock },
		slots: make(chan struct{}, 1), asked: map[string]bool{},
		list: func() ([]messenger.ListedInstance, error) { return b.entries, nil },
	}
	b.Watcher.report = func(_ string, now time.Time) (keeper.Report, error) {
		b.report.ReportedAt = now
		return b.report, b.failing
	}
	b.step("Live", addressA)
	return b
}

// step reads the list once, with the target in a state, and asks for reports.
func (b *bench) step(state, address string) {
	b.entries = nil
	if state != "" {
		b.entries = []messenger.ListedInstance{{ID: target, Kind: b.kind, Address: address, State: state}}
	}
	require.NoError(b.t, b.TickList())
	b.TickReports()
	require.Eventually(b.t, func() bool {
		b.mu.Lock()
		defer b.mu.Unlock()
		return len(b.asked) == 0
	}, time.Second, time.Millisecond)
	b.clock = b.clock.Add(tick)
}

func (b *bench) repeat(n int, state, address string) {
	for range n {
		b.step(state, address)
	}
}

func (b *bench) assertTakesWork(want bool) {
	b.t.Helper()
	t := b.fleet.View().Targets[target]
	takes := t != nil && !t.Leaving
	if b.kind == lister.KindEngine {
		takes = len(b.fleet.View().Holders(name)) > 0
	}
	assert.Equal(b.t, want, takes, "target takes work")
}

func TestLeavingTarget(t *testing.T) {
	t.Run("a flapping list does not bring it back", func(t *testing.T) {
		for _, kind := range []string{lister.KindEngine, lister.KindService} {
			b := newBench(t, kind)
			b.assertTakesWork(true)
			for _, state := range []string{"Leaving", "Live", "", "Live", "Leaving", "Live"} {
				b.repeat(8, state, addressA)
				b.assertTakesWork(false)
			}
		}
	})
	t.Run("its own word counts before the list", func(t *testing.T) {
		b := newBench(t, lister.KindEngine)
		b.report.SaysLeaving = true
		b.step("Live", addressA)
		b.assertTakesWork(false)
		b.report.SaysLeaving = false
		b.step("Live", addressA)
		b.assertTakesWork(false)
	})
	t.Run("a peer's word counts for the incarnation it names", func(t *testing.T) {
		b := newBench(t, lister.KindEngine)
		b.Hear([]messenger.LeavingTarget{{Target: target, Incarnation: "earlier", Address: addressA}})
		b.assertTakesWork(true)
		b.Hear([]messenger.LeavingTarget{{Target: target, Incarnation: "a", Address: addressA}})
		b.assertTakesWork(false)
	})
	t.Run("a new incarnation takes work once the list agrees", func(t *testing.T) {
		b := newBench(t, lister.KindEngine)
		b.step("Leaving", addressA)
		b.report.Incarnation = "b"
		b.step("Leaving", addressA)
		b.assertTakesWork(false)
		b.step("Live", addressA)
		b.assertTakesWork(true)
	})
	t.Run("a service comes back at a new address", func(t *testing.T) {
		b := newBench(t, lister.KindService)
		b.step("Leaving", addressA)
		b.step("Live", addressB)
		b.assertTakesWork(true)
	})
	t.Run("one that the list drops is out of use within 3 s", func(t *testing.T) {
		b := newBench(t, lister.KindService)
		b.repeat(2, "", addressA)
		b.assertTakesWork(true)
		b.repeat(4, "", addressA)
		b.assertTakesWork(false)
	})
}

func TestSilentEngine(t *testing.T) {
	b := newBench(t, lister.KindEngine)
	b.failing = errSilence
	b.repeat(2, "Live", addressA)
	b.assertTakesWork(true)
	b.repeat(3, "Live", addressA)
	b.assertTakesWork(false)
	require.NotNil(t, b.fleet.View().Targets[target], "is not forgotten")
	b.failing = nil
	b.step("Live", addressA)
	b.assertTakesWork(true)
}

func TestReportsAreAskedForAsOftenAsTheyMatter(t *testing.T) {
	count := func(t *testing.T, prepare func(*bench)) int {
		b := newBench(t, lister.KindEngine)
		settle := func() { assert.Eventually(t, func() bool { return b.isIdle() }, time.Second, time.Millisecond) }
		settle()
		b.clock = b.clock.Add(changingTime + tick)
		b.TickReports()
		settle()
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
			settle()
		}
		return asked
	}
	t.Run("a quiet engine", func(t *testing.T) {
		assert.Equal(t, 5, count(t, func(*bench) {}))
	})
	t.Run("an engine that works for this instance", func(t *testing.T) {
		assert.Equal(t, 20, count(t, func(b *bench) { b.fleet.View().Targets[target].Counter.InFlight.Add(1) }))
	})
	t.Run("an engine that loads, from the first report that shows it", func(t *testing.T) {
		assert.Equal(t, 17, count(t, func(b *bench) { b.report.Holdings = []keeper.Holding{{Name: name, State: keeper.Loading}} }))
	})
}

func (b *bench) isIdle() bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.asked) == 0
}

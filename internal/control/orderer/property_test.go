package orderer

import (
	"flag"
	"fmt"
	"os"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// TestMain fixes the seed of the property tests unless the flags give another.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestLedgerHolds runs the orderer and the planner against engines in virtual
// time, with faults in any order, and checks that no memory is overcommitted, that
// no last copy is unloaded, and that all models are reachable once faults cease.
func TestLedgerHolds(t *testing.T) {
	for _, checks := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", checks), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				w := newWorld(checks)
				defer w.stop()
				rt.Repeat(w.actions())
				w.heal()
				w.check(rt)
				for _, m := range w.catalog.Models {
					require.Positive(rt, w.copies(keeper.Name{Model: m.Name, Version: m.Version}), "copies of %s", m.Name)
				}
			})
		})
	}
}

func (w *world) check(rt *rapid.T) {
	require.Empty(rt, w.faults)
}

// heal ends all faults: paused processes are dead and known to be so, and each
// engine restarts once.
func (w *world) heal() {
	const settled = 80 // ticks
	w.next, w.tableFault, w.down = delivered, nil, false
	for _, e := range w.engines {
		e.unlisted = false
	}
	for _, e := range w.engines {
		for range settled {
			w.tick()
		}
		if !e.checks || e.leaving {
			e.restart(w.now)
		}
	}
	for range settled {
		w.tick()
	}
}

func (w *world) actions() map[string]func(*rapid.T) {
	model := rapid.IntRange(0, models-1)
	return map[string]func(*rapid.T){
		"": w.check,
		"tick": func(rt *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(rt, "ticks") {
				w.tick()
			}
		},
		"step":     func(*rapid.T) { w.step(w.holder) },
		"wait":     func(*rapid.T) { w.pass(tickTime) },
		"takeOver": func(rt *rapid.T) { w.takeOver(rapid.Bool().Draw(rt, "killed")) },
		"former": func(rt *rapid.T) {
			if len(w.former) == 0 {
				rt.Skip()
			}
			w.step(rapid.SampledFrom(w.former).Draw(rt, "process"))
		},
		"restart": func(rt *rapid.T) { rapid.SampledFrom(w.engines).Draw(rt, "engine").restart(w.now) },
		"order": func(rt *rapid.T) {
			w.next = delivery(rapid.IntRange(int(lost), int(deliveries)-1).Draw(rt, "delivery"))
			w.tick()
		},
		"table": func(rt *rapid.T) {
			w.tookEffect = rapid.Bool().Draw(rt, "took effect")
			w.tableFault = transactor.ErrUnknownOutcome
		},
		"outage": func(*rapid.T) { w.down = !w.down },
		"list": func(rt *rapid.T) {
			e := rapid.SampledFrom(w.engines).Draw(rt, "engine")
			e.unlisted = !e.unlisted
		},
		"leave": func(rt *rapid.T) { rapid.SampledFrom(w.engines).Draw(rt, "engine").leaving = true },
		"demand": func(rt *rapid.T) {
			w.rates[modelName(model.Draw(rt, "model"))] = float64(rapid.IntRange(0, 30).Draw(rt, "rate"))
		},
		"version": func(rt *rapid.T) {
			w.configure(model.Draw(rt, "model"), fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(rt, "version")))
		},
		"remove": func(rt *rapid.T) {
			if len(w.catalog.Models) > 2 {
				delete(w.catalog.Models, modelName(model.Draw(rt, "model")))
				w.changedAt = w.now
			}
		},
	}
}

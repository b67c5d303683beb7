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

// TestMain fixes the seed of the property tests unless a flag sets another one.
func TestMain(m *testing.M) {
	flag.Parse()
	if seed := flag.Lookup("rapid.seed"); seed.Value.String() == "0" {
		if err := seed.Value.Set("1"); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// TestLedgerInvariants runs the orderer and the planner against engines in virtual
// time, with random faults. It checks that no memory is overcommitted, that no last
// copy is unloaded, and that all models are loaded after the faults have ended.
func TestLedgerInvariants(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", fencing), func(t *testing.T) {
			rapid.Check(t, func(rt *rapid.T) {
				c := newTestCluster(fencing)
				defer c.stop()
				rt.Repeat(c.actions())
				c.endFaults()
				c.check(rt)
				for _, m := range c.catalog.Models {
					require.Positive(rt, c.copies(keeper.Name{Model: m.Name, Version: m.Version}), "copies of %s", m.Name)
				}
			})
		})
	}
}

func (c *testCluster) check(rt *rapid.T) {
	require.Empty(rt, c.violations)
}

// endFaults ends all faults and runs the holder until it has recovered. Paused
// processes never resume. Each engine without fencing, and each leaving one, restarts
// once.
func (c *testCluster) endFaults() {
	const recoveryTicks = 80
	c.nextDelivery, c.transactFault, c.down = delivered, nil, false
	for _, e := range c.engines {
		e.unlisted = false
	}
	for _, e := range c.engines {
		for range recoveryTicks {
			c.tick()
		}
		if !e.fencing || e.leaving {
			e.restart(c.now)
		}
	}
	for range recoveryTicks {
		c.tick()
	}
}

func (c *testCluster) actions() map[string]func(*rapid.T) {
	model := rapid.IntRange(0, modelCount-1)
	return map[string]func(*rapid.T){
		"": c.check,
		"tick": func(rt *rapid.T) {
			for range rapid.IntRange(1, 20).Draw(rt, "ticks") {
				c.tick()
			}
		},
		"step":     func(*rapid.T) { c.step(c.holder) },
		"wait":     func(*rapid.T) { c.advanceTime(tickTime) },
		"takeOver": func(rt *rapid.T) { c.takeOver(rapid.Bool().Draw(rt, "killed")) },
		"former": func(rt *rapid.T) {
			if len(c.former) == 0 {
				rt.Skip()
			}
			c.step(rapid.SampledFrom(c.former).Draw(rt, "process"))
		},
		"restart": func(rt *rapid.T) { rapid.SampledFrom(c.engines).Draw(rt, "engine").restart(c.now) },
		"order": func(rt *rapid.T) {
			c.nextDelivery = delivery(rapid.IntRange(int(lost), int(deliveries)-1).Draw(rt, "delivery"))
			c.tick()
		},
		"table": func(rt *rapid.T) {
			c.tookEffect = rapid.Bool().Draw(rt, "took effect")
			c.transactFault = transactor.ErrUnknownOutcome
		},
		"outage": func(*rapid.T) { c.down = !c.down },
		"list": func(rt *rapid.T) {
			e := rapid.SampledFrom(c.engines).Draw(rt, "engine")
			e.unlisted = !e.unlisted
		},
		"leave": func(rt *rapid.T) { rapid.SampledFrom(c.engines).Draw(rt, "engine").leaving = true },
		"demand": func(rt *rapid.T) {
			c.rates[modelName(model.Draw(rt, "model"))] = float64(rapid.IntRange(0, 30).Draw(rt, "rate"))
		},
		"version": func(rt *rapid.T) {
			c.configure(model.Draw(rt, "model"), fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(rt, "version")))
		},
		"remove": func(rt *rapid.T) {
			if len(c.catalog.Models) > 2 {
				delete(c.catalog.Models, modelName(model.Draw(rt, "model")))
				c.changedAt = c.now
			}
		},
	}
}

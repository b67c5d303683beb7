package planner_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// newInput returns an input of empty targets with 100 bytes of memory each, in
// three data centres, and of models of 40 bytes.
func newInput(targets int, models ...string) planner.Input {
	in := planner.Input{Now: epoch, Catalog: keeper.NewCatalog(), Rates: map[string]float64{}, Policy: planner.DefaultPolicy()}
	in.Policy.LoadsAtOnce, in.Policy.MostMoves = 0, 100
	for i := range targets {
		in.Targets = append(in.Targets, planner.Target{
			ID: fmt.Sprintf("target-%02d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), MemoryBytes: 100, Usable: true,
		})
	}
	for _, name := range models {
		in.Catalog.Models[name] = keeper.Model{Name: name, Version: "v1", Bytes: 40, Copies: 1}
	}
	return in
}

// planUntilStable applies plans until one has no moves, and returns the
// resulting input and all moves.
func planUntilStable(t *testing.T, in planner.Input) (planner.Input, []planner.Move) {
	t.Helper()
	all := []planner.Move{}
	const maxPlans = 50
	for range maxPlans {
		moves := planner.Plan(in)
		requireCopiesKept(t, in, moves)
		requireMemoryRespected(t, in, moves)
		if len(moves) == 0 {
			return in, all
		}
		all = append(all, moves...)
		in = applyMoves(in, moves)
	}
	require.Fail(t, "plans did not converge")
	return in, nil
}

// holdersOf returns the targets and data centres that hold a loaded copy of a
// name.
func holdersOf(in planner.Input, name string) (targets, centres map[string]bool) {
	targets, centres = map[string]bool{}, map[string]bool{}
	for _, target := range in.Targets {
		for _, s := range target.Slots {
			if target.Usable && s.Stable && s.Name == keeper.ParseName(name) {
				targets[target.ID] = true
				centres[target.DataCentre] = true
			}
		}
	}
	return targets, centres
}

func TestPlanCopies(t *testing.T) {
	t.Run("two copies in two data centres", func(t *testing.T) {
		in, _ := planUntilStable(t, newInput(3, "oak", "elm"))
		for _, name := range []string{"oak@v1", "elm@v1"} {
			targets, centres := holdersOf(in, name)
			assert.Len(t, targets, 2)
			assert.Len(t, centres, 2)
		}
	})
	t.Run("the most demanded model is loaded first", func(t *testing.T) {
		in := newInput(3, "elm", "oak")
		in.Rates["oak"] = 5
		assert.Equal(t, "oak", planner.Plan(in)[0].Name.Model)
	})
	t.Run("a first copy takes the room of a standby copy", func(t *testing.T) {
		in, _ := planUntilStable(t, newInput(2, "a", "b"))
		for _, name := range []string{"c", "d"} {
			in.Catalog.Models[name] = keeper.Model{Name: name, Version: "v1", Bytes: 40, Copies: 1}
		}
		in, _ = planUntilStable(t, in)
		for _, name := range []string{"a@v1", "b@v1", "c@v1", "d@v1"} {
			targets, _ := holdersOf(in, name)
			assert.Len(t, targets, 1, name)
		}
	})
	t.Run("demand beyond two copies is served by further ones", func(t *testing.T) {
		in := newInput(6, "oak", "elm")
		in.Rates["oak"] = 30
		in, _ = planUntilStable(t, in)
		targets, _ := holdersOf(in, "oak@v1")
		assert.Len(t, targets, 4)
	})
	t.Run("no load while the allowed number is in progress", func(t *testing.T) {
		in := newInput(3, "oak", "elm")
		in.Policy.LoadsAtOnce = 1
		in.Targets[0].Slots = []planner.Slot{{Name: keeper.ParseName("oak@v1"), Bytes: 40, Arriving: true}}
		assert.Empty(t, planner.Plan(in))
	})
}

func TestPlanVersions(t *testing.T) {
	change := func(in planner.Input) planner.Input {
		m := in.Catalog.Models["oak"]
		m.Version = "v2"
		in.Catalog.Models["oak"] = m
		return in
	}
	t.Run("the new version is loaded beside the old one", func(t *testing.T) {
		in, _ := planUntilStable(t, newInput(3, "oak"))
		in = change(in)
		for _, m := range planner.Plan(in) {
			assert.Equal(t, planner.Load, m.Kind, "%v", m)
		}
		in, _ = planUntilStable(t, in)
		targets, _ := holdersOf(in, "oak@v2")
		assert.Len(t, targets, 2)
		targets, _ = holdersOf(in, "oak@v1")
		assert.Empty(t, targets)
	})
	t.Run("without room for both a copy of the old one is unloaded first", func(t *testing.T) {
		in := newInput(2, "oak")
		for i := range in.Targets {
			in.Targets[i].MemoryBytes = 60
		}
		in, _ = planUntilStable(t, in)
		in, _ = planUntilStable(t, change(in))
		targets, _ := holdersOf(in, "oak@v2")
		assert.Len(t, targets, 2)
	})
}

func TestPlanAdapters(t *testing.T) {
	in := newInput(6, "oak")
	in.Rates["oak"] = 30
	for i := range 4 {
		a := keeper.Adapter{Model: "oak", Name: fmt.Sprintf("a%d", i), Version: "v1", Bytes: 2}
		in.Catalog.Adapters["oak"] = append(in.Catalog.Adapters["oak"], a)
	}
	in.Rates["oak:a3.v1"] = 10
	in, _ = planUntilStable(t, in)
	models, _ := holdersOf(in, "oak@v1")
	require.Len(t, models, 4)
	t.Run("an adapter without demand has the least number of copies", func(t *testing.T) {
		targets, centres := holdersOf(in, "oak:a0.v1@v1")
		assert.Len(t, targets, 2)
		assert.Len(t, centres, 2)
	})
	t.Run("a demanded adapter is beside each copy of its model", func(t *testing.T) {
		targets, _ := holdersOf(in, "oak:a3.v1@v1")
		assert.Equal(t, models, targets)
	})
}

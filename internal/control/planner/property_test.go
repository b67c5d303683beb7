package planner_test

import (
	"fmt"
	"maps"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// drawInput returns an arbitrary valid input.
func drawInput(t *rapid.T) planner.Input {
	c := keeper.NewCatalog()
	in := planner.Input{Now: epoch, Catalog: c, Rates: map[string]float64{}, PeakRates: map[string]float64{}, Policy: drawPolicy(t)}
	names := []keeper.Name{}
	for i := range rapid.IntRange(1, 8).Draw(t, "models") {
		m := keeper.Model{
			Name: modelID(i), Version: "v2", Bytes: rapid.Int64Range(1, 40).Draw(t, "bytes"),
			Copies: rapid.IntRange(1, 3).Draw(t, "copies"),
		}
		if rapid.Bool().Draw(t, "bounded") {
			m.MaximumCopies = m.Copies + rapid.IntRange(0, 2).Draw(t, "more")
		}
		c.Models[m.Name] = m
		in.Rates[m.Name] = rapid.Float64Range(0, 60).Draw(t, "rate")
		in.PeakRates[m.Name] = rapid.Float64Range(0, 60).Draw(t, "peak rate")
		names = append(names, keeper.Name{Model: m.Name, Version: "v1"}, keeper.Name{Model: m.Name, Version: "v2"})
		for j := range rapid.IntRange(0, 3).Draw(t, "adapters") {
			a := keeper.Adapter{Model: m.Name, Name: fmt.Sprintf("a%d", j), Version: "v1", Bytes: rapid.Int64Range(1, 3).Draw(t, "small")}
			c.Adapters[m.Name] = append(c.Adapters[m.Name], a)
			in.Rates[m.Name+":"+a.FullName()] = rapid.Float64Range(0, 5).Draw(t, "adapter rate")
			names = append(names, keeper.Name{Model: m.Name, Version: "v2", Adapter: a.FullName()})
		}
		names = append(names, keeper.Name{Model: m.Name, Version: "v2", Adapter: "old.v1"})
	}
	names = append(names, keeper.Name{Model: "gone", Version: "v1"})
	for i := range rapid.IntRange(1, 8).Draw(t, "targets") {
		in.Targets = append(in.Targets, drawTarget(t, i, c, names))
	}
	return in
}

func drawPolicy(t *rapid.T) planner.Policy {
	p := planner.DefaultPolicy()
	p.MostMoves = rapid.IntRange(1, 8).Draw(t, "most moves")
	p.StandbyCopies = rapid.IntRange(0, 3).Draw(t, "standby")
	p.LoadsAtOnce = rapid.IntRange(0, 4).Draw(t, "loads at once")
	p.StandbyGain = rapid.Float64Range(0, 4).Draw(t, "standby gain")
	p.MinimumGain = rapid.Float64Range(0.5, 4).Draw(t, "gain")
	return p
}

func drawTarget(t *rapid.T, i int, c *keeper.Catalog, names []keeper.Name) planner.Target {
	target := planner.Target{
		ID: fmt.Sprintf("target-%02d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres),
		MemoryBytes: rapid.Int64Range(20, 120).Draw(t, "memory"), Usable: rapid.IntRange(0, 5).Draw(t, "usable") > 0,
	}
	used := int64(0)
	for _, name := range rapid.SliceOfNDistinct(rapid.SampledFrom(names), 0, min(8, len(names)), rapid.ID[keeper.Name]).Draw(t, "held") {
		s := planner.Slot{Name: name, Bytes: sizeOf(c, name)}
		state := rapid.IntRange(0, 5).Draw(t, "state")
		s.Arriving = state == 0
		s.Stable = state > 1
		if used+s.Bytes <= target.MemoryBytes {
			used += s.Bytes
			target.Slots = append(target.Slots, s)
		}
	}
	return target
}

func sizeOf(c *keeper.Catalog, name keeper.Name) int64 {
	if name.Adapter == "" && name.Model != "gone" {
		return c.Models[name.Model].Bytes
	}
	for _, a := range c.Adapters[name.Model] {
		if a.FullName() == name.Adapter {
			return a.Bytes
		}
	}
	return 2
}

func cloneInput(in planner.Input) planner.Input {
	in.Targets = slices.Clone(in.Targets)
	for i := range in.Targets {
		in.Targets[i].Slots = slices.Clone(in.Targets[i].Slots)
	}
	in.Rates = maps.Clone(in.Rates)
	return in
}

func targetOf(in planner.Input, id string) *planner.Target {
	i := slices.IndexFunc(in.Targets, func(t planner.Target) bool { return t.ID == id })
	return &in.Targets[i]
}

// stableCopies returns the number of loaded copies on usable targets by name.
func stableCopies(in planner.Input) map[keeper.Name]int {
	copies := map[keeper.Name]int{}
	for _, t := range in.Targets {
		for _, s := range t.Slots {
			if t.Usable && s.Stable {
				copies[s.Name]++
			}
		}
	}
	return copies
}

// applyMoves returns the input after completion of all open orders and the
// given moves.
func applyMoves(in planner.Input, moves []planner.Move) planner.Input {
	next := cloneInput(in)
	for i := range next.Targets {
		t := &next.Targets[i]
		t.Slots = slices.DeleteFunc(t.Slots, func(s planner.Slot) bool {
			return !s.Stable && !s.Arriving ||
				slices.Contains(moves, planner.Move{Kind: planner.Unload, Target: t.ID, Name: s.Name, Bytes: s.Bytes})
		})
		for j := range t.Slots {
			t.Slots[j].Stable, t.Slots[j].Arriving = true, false
		}
	}
	for _, m := range moves {
		if m.Kind == planner.Load {
			t := targetOf(next, m.Target)
			t.Slots = append(t.Slots, planner.Slot{Name: m.Name, Bytes: m.Bytes, Stable: true})
		}
	}
	return next
}

func TestPlanKeepsInvariants(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		moves := planner.Plan(in)
		requireMemoryRespected(t, in, moves)
		requireOrdersValid(t, in, moves)
		requireCopiesKept(t, in, moves)
	})
}

// requireMemoryRespected checks the memory of each target with all loads done
// and no unload done.
func requireMemoryRespected(t require.TestingT, in planner.Input, moves []planner.Move) {
	used := map[string]int64{}
	for _, target := range in.Targets {
		for _, s := range target.Slots {
			used[target.ID] += s.Bytes
		}
	}
	for _, m := range moves {
		if m.Kind == planner.Load {
			used[m.Target] += m.Bytes
			require.LessOrEqual(t, used[m.Target], targetOf(in, m.Target).MemoryBytes, "%v", m)
		}
	}
}

func requireOrdersValid(t require.TestingT, in planner.Input, moves []planner.Move) {
	loads := 0
	seen := map[planner.Move]bool{}
	for _, m := range moves {
		target := targetOf(in, m.Target)
		require.True(t, target.Usable, "%v", m)
		require.False(t, seen[m], "%v twice", m)
		seen[m] = true
		i := slices.IndexFunc(target.Slots, func(s planner.Slot) bool { return s.Name == m.Name })
		if m.Kind == planner.Unload {
			require.True(t, i >= 0 && target.Slots[i].Stable, "%v", m)
			continue
		}
		require.Negative(t, i, "%v", m)
		if m.Name.Adapter == "" {
			loads++
		}
	}
	if in.Policy.LoadsAtOnce > 0 {
		require.LessOrEqual(t, loads, in.Policy.LoadsAtOnce)
	}
}

func requireCopiesKept(t require.TestingT, in planner.Input, moves []planner.Move) {
	before := stableCopies(in)
	after := maps.Clone(before)
	for _, m := range moves {
		if m.Kind == planner.Unload {
			after[m.Name]--
		}
	}
	for _, m := range in.Catalog.Models {
		current := keeper.Name{Model: m.Name, Version: m.Version}
		old := keeper.Name{Model: m.Name, Version: "v1"}
		requireCopyRemains(t, before[current], after[current], current)
		requireCopyRemains(t, before[current]+before[old], after[current]+after[old], old)
		for _, a := range in.Catalog.Adapters[m.Name] {
			name := keeper.Name{Model: m.Name, Version: m.Version, Adapter: a.FullName()}
			requireCopyRemains(t, before[name], after[name], name)
		}
	}
}

func requireCopyRemains(t require.TestingT, before, after int, name keeper.Name) {
	if before > 0 {
		require.Positive(t, after, "last copy of %s", name)
	}
}

func TestPlanIgnoresOrderOfInput(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		in := drawInput(t)
		shuffled := cloneInput(in)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		rng.Shuffle(len(shuffled.Targets), func(i, j int) {
			shuffled.Targets[i], shuffled.Targets[j] = shuffled.Targets[j], shuffled.Targets[i]
		})
		for _, target := range shuffled.Targets {
			rng.Shuffle(len(target.Slots), func(i, j int) { target.Slots[i], target.Slots[j] = target.Slots[j], target.Slots[i] })
		}
		before := cloneInput(in)
		moves := planner.Plan(in)
		require.Equal(t, moves, planner.Plan(shuffled))
		require.Equal(t, before.Targets, in.Targets, "input changed")
	})
}

// TestPlanConverges applies plans under constant demand until nothing is left
// to do. It guards against plans that undo each other's moves.
func TestPlanConverges(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const maxPlans = 200
		in := drawInput(t)
		var moves []planner.Move
		for range maxPlans {
			moves = planner.Plan(in)
			if len(moves) == 0 {
				in = applyMoves(in, nil) // open orders may free memory
				if moves = planner.Plan(in); len(moves) == 0 {
					return
				}
			}
			requireMemoryRespected(t, in, moves)
			in = applyMoves(in, moves)
		}
		require.Empty(t, moves, "moves left after %d plans", maxPlans)
	})
}

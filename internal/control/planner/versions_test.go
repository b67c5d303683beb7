package planner_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// TestOldVersionsMakeRoom starts with all memory occupied by old versions, each
// with a single copy. It guards against a planner that keeps every last copy of
// a version and so never loads the configured versions.
func TestOldVersionsMakeRoom(t *testing.T) {
	const bytes = 240
	in := planner.Input{Now: epoch, Catalog: keeper.NewCatalog(), Policy: planner.DefaultPolicy()}
	for model, version := range map[string]string{"ash": "v5", "elm": "v11", "fir": "v10", "oak": "v12"} {
		in.Catalog.Models[model] = keeper.Model{Name: model, Version: version, Bytes: bytes, Copies: 1}
	}
	for id, held := range map[string][]string{
		"target-1": {"ash@v0", "fir@v0", "oak@v0"},
		"target-2": {"elm@v0", "fir@v1", "oak@v3"},
		"target-3": {"fir@v6", "fir@v7", "oak@v9"},
	} {
		target := planner.Target{ID: id, DataCentre: id, MemoryBytes: 900, Usable: true}
		for _, name := range held {
			target.Slots = append(target.Slots, planner.Slot{Name: keeper.ParseName(name), Bytes: bytes, Stable: true})
		}
		in.Targets = append(in.Targets, target)
	}
	const maxPlans = 50
	for range maxPlans {
		moves := planner.Plan(in)
		if len(moves) == 0 {
			break
		}
		requireMemoryRespected(t, in, moves)
		in = applyMoves(in, moves)
		held := stableCopies(in)
		for model := range in.Catalog.Models {
			copies := 0
			for name, n := range held {
				if name.Model == model {
					copies += n
				}
			}
			assert.Positive(t, copies, "%s is unreachable", model)
		}
	}
	for model, m := range in.Catalog.Models {
		assert.Positive(t, stableCopies(in)[keeper.Name{Model: model, Version: m.Version}], "%s@%s", model, m.Version)
	}
}

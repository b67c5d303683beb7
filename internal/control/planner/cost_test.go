package planner_test

import (
	"fmt"
	"runtime"
	"testing"

	"github.com/crocusring/crocusring/internal/control/planner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// balancedInput returns an input in which each target holds four models with two
// adapters each, evenly spread.
func balancedInput(models, targets int) planner.Input {
	const slots, adapters, bytes, small = 4, 2, 16 * gibibyte, 256 << 20
	c := keeper.NewCatalog()
	in := planner.Input{Now: epoch, Catalog: c, Rates: map[string]float64{}, Policy: planner.DefaultPolicy()}
	for i := range models {
		name := fmt.Sprintf("model-%03d", i)
		c.Models[name] = keeper.Model{Name: name, Version: "v1", Bytes: bytes, Copies: 2}
		for j := range adapters {
			c.Adapters[name] = append(c.Adapters[name], keeper.Adapter{Model: name, Name: fmt.Sprintf("a%d", j), Version: "v1", Bytes: small})
		}
		in.Rates[name] = float64(targets) / float64(models) * float64(1+i%7)
	}
	for i := range targets {
		t := planner.Target{ID: fmt.Sprintf("target-%05d", i), DataCentre: fmt.Sprintf("dc-%d", i%dataCentres), MemoryBytes: engineMemory, Usable: true}
		for j := range slots {
			model := fmt.Sprintf("model-%03d", (i*slots+j)%models)
			t.Slots = append(t.Slots, planner.Slot{Name: keeper.Name{Model: model, Version: "v1"}, Bytes: bytes, Stable: true})
			for _, a := range c.Adapters[model] {
				name := keeper.Name{Model: model, Version: "v1", Adapter: a.FullName()}
				t.Slots = append(t.Slots, planner.Slot{Name: name, Bytes: small, Stable: true})
			}
		}
		in.Targets = append(in.Targets, t)
	}
	return in
}

// planSizes lists numbers of models and targets, in this order: the sizes of two
// deployments, an intermediate size, one data centre of the largest planned
// system, three times that, and the whole of that system.
var planSizes = []struct{ models, targets int }{{30, 18}, {60, 75}, {200, 300}, {810, 925}, {810, 2775}, {810, 12000}}

func BenchmarkPlan(b *testing.B) {
	for _, size := range planSizes {
		in := balancedInput(size.models, size.targets)
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(in)
			}
		})
	}
}

// BenchmarkPlanLoss plans after the loss of a third of the targets.
func BenchmarkPlanLoss(b *testing.B) {
	for _, size := range planSizes {
		in := balancedInput(size.models, size.targets)
		for i := range in.Targets {
			in.Targets[i].Usable = i%dataCentres != 1
		}
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(in)
			}
		})
	}
}

// BenchmarkInputBytes reports the memory of the input of a plan.
func BenchmarkInputBytes(b *testing.B) {
	for _, size := range planSizes {
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			var before, after runtime.MemStats
			for b.Loop() {
				runtime.GC()
				runtime.ReadMemStats(&before)
				in := balancedInput(size.models, size.targets)
				runtime.GC()
				runtime.ReadMemStats(&after)
				runtime.KeepAlive(in)
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.targets), "B/target")
			b.ReportMetric(0, "ns/op")
		})
	}
}

// fullInput returns an input without free memory, in which half of the
// models have two copies and the others one.
func fullInput(models, targets int) planner.Input {
	in := balancedInput(models, targets)
	const slots = 4
	next := 0
	for i := range in.Targets {
		t := &in.Targets[i]
		t.MemoryBytes = slots * 16 * gibibyte
		t.Slots = nil
		for range slots {
			name := keeper.Name{Model: fmt.Sprintf("model-%03d", next%models), Version: "v1"}
			t.Slots = append(t.Slots, planner.Slot{Name: name, Bytes: 16 * gibibyte, Stable: true})
			next++
		}
	}
	in.Catalog.Adapters = map[string][]keeper.Adapter{}
	return in
}

// BenchmarkPlanFull plans for models that lack standby copies while no
// target has room for one.
func BenchmarkPlanFull(b *testing.B) {
	for _, size := range []struct{ models, targets int }{{48, 18}, {270, 100}, {810, 303}, {2430, 911}} {
		in := fullInput(size.models, size.targets)
		b.Run(fmt.Sprintf("%dx%d", size.models, size.targets), func(b *testing.B) {
			b.ReportAllocs()
			for b.Loop() {
				planner.Plan(in)
			}
		})
	}
}

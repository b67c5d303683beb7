package keeper

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

func benchFleet(targets, holdings int) *Fleet {
	f := NewFleet()
	for i := range targets {
		f.ChangeTarget(fmt.Sprintf("engine-%d", i), func(t *Target) {
			t.Kind = Engine
			t.ReportedAt = time.Unix(0, 0)
			for j := range holdings {
				t.Holdings = append(t.Holdings, Holding{
					Name: Name{Model: fmt.Sprintf("m%d", (i+j)%810), Version: "v1"}, Bytes: 1 << 30, State: Loaded,
				})
			}
		})
	}
	return f
}

// BenchmarkChangeTarget measures the cost of applying one report, for several numbers
// of targets that an instance knows, and the memory that a target uses.
func BenchmarkChangeTarget(b *testing.B) {
	sizes := []struct{ targets, holdings int }{{15, 8}, {60, 8}, {240, 8}, {960, 8}, {18, 100}}
	for _, size := range sizes {
		b.Run(fmt.Sprintf("%d targets, %d holdings", size.targets, size.holdings), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			f := benchFleet(size.targets, size.holdings)
			runtime.GC()
			runtime.ReadMemStats(&after)
			b.ResetTimer()
			for b.Loop() {
				f.ChangeTarget("engine-0", func(t *Target) { t.Running++ })
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(size.targets), "bytes/target")
		})
	}
}

package forecaster_test

import (
	"fmt"
	"runtime"
	"testing"
	"time"

	"github.com/crocusring/crocusring/internal/control/forecaster"
)

// BenchmarkUpdate updates the rates of all names, as happens once per plan, and
// reports the memory of the table.
func BenchmarkUpdate(b *testing.B) {
	for _, n := range []int{125, 1000, 10000} {
		rates := map[string]float64{}
		for i := range n {
			rates[fmt.Sprintf("model-%05d", i)] = float64(1 + i%7)
		}
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			var before, after runtime.MemStats
			runtime.GC()
			runtime.ReadMemStats(&before)
			table := forecaster.Table{}
			table.Update(epoch, rates, forecaster.Default())
			runtime.GC()
			runtime.ReadMemStats(&after)
			now := epoch
			for b.Loop() {
				now = now.Add(time.Second)
				table.Update(now, rates, forecaster.Default())
			}
			b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(n), "B/name")
		})
	}
}

package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// BenchmarkIdleControl reports what an instance spends on control alone, with
// four instances and no requests, for three numbers of targets.
func BenchmarkIdleControl(b *testing.B) {
	const (
		entries = 4
		window  = 10 * time.Second
	)
	for _, engines := range []int{6, 18, 54} {
		b.Run(fmt.Sprintf("%d targets", engines), func(b *testing.B) {
			c := newCluster(b, engines, entries)
			models := make([]string, 0, engines)
			for i := range engines {
				models = append(models, fmt.Sprintf("m%d", i))
			}
			c.configure(models...)
			for b.Loop() {
				before := spentBy(b, c.entries)
				time.Sleep(window)
				after := spentBy(b, c.entries)
				perNode := window.Seconds() * entries
				b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/perNode, "%core/node")
				b.ReportMetric(float64(after.bytes-before.bytes)/1024/perNode, "KiB/s/node")
				b.ReportMetric(float64(after.resident)/entries/(1<<20), "MiB/node")
			}
		})
	}
}

// spent is what processes have used so far.
type spent struct {
	cpu      time.Duration
	bytes    int // read and written, on connections for the most part
	resident int
}

func spentBy(b *testing.B, processes []*process) spent {
	var sum spent
	for _, p := range processes {
		pid := p.command.Process.Pid
		sum.cpu += cpuTime(b, pid)
		sum.resident += residentBytes(b, pid)
		text, err := os.ReadFile(fmt.Sprintf("/proc/%d/io", pid))
		require.NoError(b, err)
		for line := range strings.Lines(string(text)) {
			name, value, _ := strings.Cut(strings.TrimSpace(line), ": ")
			if name != "rchar" && name != "wchar" {
				continue
			}
			n, err := strconv.Atoi(value)
			require.NoError(b, err)
			sum.bytes += n
		}
	}
	return sum
}

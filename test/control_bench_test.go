package test

import (
	"encoding/json"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/platformer"
)

// BenchmarkIdleControl reports the resources that an instance uses without requests, in
// clusters of four instances with different numbers of targets.
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
				before, countsBefore := usageOf(b, c.entries), c.tableCounts()
				time.Sleep(window)
				after, countsAfter := usageOf(b, c.entries), c.tableCounts()
				perNode := window.Seconds() * entries
				b.ReportMetric(100*(after.cpu-before.cpu).Seconds()/perNode, "%core/node")
				b.ReportMetric(float64(after.bytes-before.bytes)/1024/perNode, "KiB/s/node")
				b.ReportMetric(float64(after.resident)/entries/(1<<20), "MiB/node")
				b.ReportMetric(float64(countsAfter.Reads-countsBefore.Reads)/window.Seconds(), "reads/s")
				b.ReportMetric(float64(countsAfter.Writes-countsBefore.Writes)/window.Seconds(), "writes/s")
			}
		})
	}
}

// tableCounts returns the number of reads and writes at the table service so far, by all
// instances.
func (c *cluster) tableCounts() platformer.Counts {
	c.t.Helper()
	resp, err := c.client.Get("http://" + c.platform.address + "/fake/counts")
	require.NoError(c.t, err)
	defer resp.Body.Close()
	var counts platformer.Counts
	require.NoError(c.t, json.NewDecoder(resp.Body).Decode(&counts))
	return counts
}

// usage is the total of resources that processes have used so far.
type usage struct {
	cpu      time.Duration
	bytes    int // read and written, mostly on connections
	resident int
}

func usageOf(b *testing.B, processes []*process) usage {
	var sum usage
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

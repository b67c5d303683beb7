package commander

import (
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// BenchmarkReport measures the time to read one report over loopback and its size.
func BenchmarkReport(b *testing.B) {
	for _, holdings := range []int{4, 16, 64} {
		b.Run(fmt.Sprintf("%d holdings", holdings), func(b *testing.B) {
			report := messenger.EngineReport{Target: "engine-1", Incarnation: "engine-1-1", Role: "Serve", AppliedOrders: []string{}}
			for i := range holdings {
				report.Holdings = append(report.Holdings, messenger.EngineHolding{
					Model: fmt.Sprintf("model-%d", i), Version: "v1", Bytes: 1 << 30, State: "Loaded",
				})
			}
			body, err := json.Marshal(report)
			if err != nil {
				b.Fatal(err)
			}
			ln, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				b.Fatal(err)
			}
			server := &fasthttp.Server{Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetBody(body) }}
			go func() { _ = server.Serve(ln) }()
			b.Cleanup(func() { _ = server.Shutdown() })
			client := New(poster.New())
			for b.Loop() {
				if _, err := client.Report(ln.Addr().String(), time.Now()); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(len(body)), "bytes/report")
		})
	}
}

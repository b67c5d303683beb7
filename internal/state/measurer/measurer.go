// Package measurer collects the metrics of an instance: counters and histograms for
// each team and each model or service. The number of these names is limited.
package measurer

import (
	"bytes"
	"fmt"
	"io"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/rcrowley/go-metrics"
)

const (
	// maxNames limits the teams and models that have metrics of their own. All others
	// share the name overflowName.
	maxNames      = 2000
	overflowName  = "other"
	reservoirSize = 256
	decayAlpha    = 0.015
)

// Measurer holds the metrics. It is safe for concurrent use.
type Measurer struct {
	registry metrics.Registry
	answers  map[Answer]metrics.Counter

	mu    sync.Mutex
	names map[string]bool
	// counts is the number of requests by model since periodStart, the time of the last
	// call of Rates.
	counts      map[string]int64
	periodStart time.Time
	rates       map[string]float64
}

// New returns a measurer without metrics, whose first period of Rates starts at now.
func New(now time.Time) *Measurer {
	m := &Measurer{
		registry: metrics.NewRegistry(), names: map[string]bool{}, answers: map[Answer]metrics.Counter{},
		counts: map[string]int64{}, rates: map[string]float64{}, periodStart: now,
	}
	for _, framing := range []string{"Length", "Chunks", "Close"} {
		m.answers[Answer{Framing: framing, IsWhole: true}] = metrics.GetOrRegisterCounter("Framing."+framing+".Whole", m.registry)
		m.answers[Answer{Framing: framing}] = metrics.GetOrRegisterCounter("Framing."+framing+".Broken", m.registry)
	}
	m.registerEvents()
	return m
}

// Answer describes the end of a target's answer.
type Answer struct {
	// Framing is what ends the body: Length, Chunks or Close.
	Framing string
	// IsWhole reports that the answer was complete.
	IsWhole bool
}

// CountAnswer counts an answer of a target that has ended.
func (m *Measurer) CountAnswer(a Answer) {
	if counter := m.answers[a]; counter != nil {
		counter.Inc(1)
	}
}

// Outcome is the outcome of a request.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "Answered"
	Refused  Outcome = "Refused"
	Unknown  Outcome = "Unknown"
)

// Request describes a request that has ended.
type Request struct {
	Team           string
	Class          string // name of the model or service
	Outcome        Outcome
	Elapsed        time.Duration
	UntilFirstByte time.Duration // time to the first byte of the answer; 0 if there was none
}

// Observe adds an ended request to the metrics.
func (m *Measurer) Observe(r Request) {
	team := m.boundedName("Team." + r.Team)
	class := m.boundedName("Class." + r.Class)
	for _, name := range []string{team, class} {
		metrics.GetOrRegisterCounter(name+"."+string(r.Outcome), m.registry).Inc(1)
		if r.Outcome != Answered {
			continue
		}
		m.histogram(name + ".Microseconds").Update(r.Elapsed.Microseconds())
		m.histogram(name + ".FirstMicroseconds").Update(r.UntilFirstByte.Microseconds())
	}
}

// ObserveLateness adds how late a manifest was in force that came from an origin. There are few origins.
func (m *Measurer) ObserveLateness(origin string, late time.Duration) {
	m.histogram("Manifest." + origin + ".LateMilliseconds").Update(late.Milliseconds())
}

// CountRequest counts a request towards the rate of a model, or of an adapter under
// the name MODEL:ADAPTER.
func (m *Measurer) CountRequest(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[model]++
}

const rateDecay = 0.7 // weight of the earlier rate in the smoothed rate

// Rates ends the present period and returns the smoothed requests per second by model.
// It returns the earlier rates if no time has passed since the period started.
func (m *Measurer) Rates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := now.Sub(m.periodStart).Seconds()
	if seconds <= 0 {
		return m.rates
	}
	const negligible = 0.01 // requests per second
	rates := map[string]float64{}
	for model, old := range m.rates {
		if r := old * rateDecay; r > negligible {
			rates[model] = r
		}
	}
	for model, n := range m.counts {
		rates[model] += (1 - rateDecay) * float64(n) / seconds
	}
	m.counts = map[string]int64{}
	m.periodStart = now
	m.rates = rates
	return rates
}

// RegisterGauge adds a metric whose value is read when the metrics are written.
func (m *Measurer) RegisterGauge(name string, value func() int64) {
	m.registry.GetOrRegister(name, metrics.NewFunctionalGauge(value))
}

func (m *Measurer) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}).(metrics.Histogram)
}

// boundedName returns the name, or overflowName if there are maxNames others.
func (m *Measurer) boundedName(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] {
		return name
	}
	if len(m.names) >= maxNames {
		return overflowName
	}
	m.names[name] = true
	return name
}

// WriteJSON writes all metrics as one JSON object.
func (m *Measurer) WriteJSON(w io.Writer) error {
	body, err := m.registry.(*metrics.StandardRegistry).MarshalJSON()
	if err != nil {
		return errors.Wrap(err, "encode metrics")
	}
	if _, err := w.Write(body); err != nil {
		return errors.Wrap(err, "write metrics")
	}
	return nil
}

// percentiles are the percentiles of histograms in the text format.
var percentiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics in the text format for scrapers: a line for each
// counter or gauge, and for each histogram a line for its count and for each percentile.
func (m *Measurer) WriteText(w io.Writer) error {
	var out bytes.Buffer
	m.registry.Each(func(name string, metric any) {
		family, label := textName(name)
		switch value := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(&out, "crocusring_%s{%s} %d\n", family, label, value.Count())
		case metrics.Gauge:
			fmt.Fprintf(&out, "crocusring_%s{%s} %d\n", family, label, value.Value())
		case metrics.Histogram:
			snapshot := value.Snapshot()
			fmt.Fprintf(&out, "crocusring_%s_count{%s} %d\n", family, label, snapshot.Count())
			for i, v := range snapshot.Percentiles(percentiles) {
				fmt.Fprintf(&out, "crocusring_%s{%s,quantile=\"%g\"} %g\n", family, label, percentiles[i], v)
			}
		}
	})
	if _, err := w.Write(out.Bytes()); err != nil {
		return errors.Wrap(err, "write metrics")
	}
	return nil
}

// textName splits KIND.NAME.METRIC, in which NAME may contain dots, into a family and a
// label.
func textName(name string) (family, label string) {
	kind, rest, _ := strings.Cut(name, ".")
	at := strings.LastIndex(rest, ".")
	if at < 0 {
		return strings.ToLower(kind), fmt.Sprintf("name=%q", rest)
	}
	return strings.ToLower(kind + "_" + rest[at+1:]), fmt.Sprintf("name=%q", rest[:at])
}

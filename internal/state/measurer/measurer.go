// Package measurer keeps the metrics of an instance: counters and histograms
// for each team and each model, bounded in number.
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
	// mostNames bounds the teams and models that have metrics of their own.
	mostNames     = 2000
	overflowName  = "other"
	reservoirSize = 256
	decayAlpha    = 0.015
)

// Measurer holds the metrics. Its methods may be called at any time.
type Measurer struct {
	registry metrics.Registry

	mu    sync.Mutex
	names map[string]bool
	// rates counts the requests by model since the last call of Rates.
	counts map[string]int64
	since  time.Time
	rates  map[string]float64
}

// New returns a measurer without metrics.
func New(now time.Time) *Measurer {
	return &Measurer{
		registry: metrics.NewRegistry(), names: map[string]bool{},
		counts: map[string]int64{}, rates: map[string]float64{}, since: now,
	}
}

// Outcome says how a request ended.
type Outcome string

// Outcomes of a request.
const (
	Answered Outcome = "Answered"
	Refused  Outcome = "Refused"
	Unknown  Outcome = "Unknown"
)

// Request is one ended request.
type Request struct {
	Team    string
	Class   string // model or service
	Outcome Outcome
	Took    time.Duration
	First   time.Duration // to the first byte of the answer; 0 if none came
}

// Observe adds an ended request to the metrics.
func (m *Measurer) Observe(r Request) {
	team := m.bounded("Team." + r.Team)
	class := m.bounded("Class." + r.Class)
	for _, name := range []string{team, class} {
		metrics.GetOrRegisterCounter(name+"."+string(r.Outcome), m.registry).Inc(1)
		if r.Outcome != Answered {
			continue
		}
		m.histogram(name + ".Microseconds").Update(r.Took.Microseconds())
		m.histogram(name + ".FirstMicroseconds").Update(r.First.Microseconds())
	}
}

// Arrived counts a request towards the rate of a model, or of an adapter under
// the name MODEL:ADAPTER.
func (m *Measurer) Arrived(model string) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts[model]++
}

const rateDecay = 0.7 // weight of the earlier rate

// Rates closes a period and returns the smoothed requests per second by model.
func (m *Measurer) Rates(now time.Time) map[string]float64 {
	m.mu.Lock()
	defer m.mu.Unlock()
	seconds := now.Sub(m.since).Seconds()
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
	m.since = now
	m.rates = rates
	return rates
}

func (m *Measurer) histogram(name string) metrics.Histogram {
	return m.registry.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(reservoirSize, decayAlpha))
	}).(metrics.Histogram)
}

// bounded returns the name, or that for all others once there are too many.
func (m *Measurer) bounded(name string) string {
	m.mu.Lock()
	defer m.mu.Unlock()
	if m.names[name] {
		return name
	}
	if len(m.names) >= mostNames {
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

// percentiles are those of the histograms in the text format.
var percentiles = []float64{0.5, 0.9, 0.99}

// WriteText writes all metrics in the text format that scrapers read: a line for
// each counter, and for each histogram one for its count and each percentile.
func (m *Measurer) WriteText(w io.Writer) error {
	var out bytes.Buffer
	m.registry.Each(func(name string, metric any) {
		family, label := textName(name)
		switch value := metric.(type) {
		case metrics.Counter:
			fmt.Fprintf(&out, "crocusring_%s{%s} %d\n", family, label, value.Count())
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

// textName splits KIND.NAME.METRIC, of which NAME may hold dots, into a family and
// a label.
func textName(name string) (family, label string) {
	kind, rest, _ := strings.Cut(name, ".")
	at := strings.LastIndex(rest, ".")
	if at < 0 {
		return strings.ToLower(kind), fmt.Sprintf("name=%q", rest)
	}
	return strings.ToLower(kind + "_" + rest[at+1:]), fmt.Sprintf("name=%q", rest[:at])
}

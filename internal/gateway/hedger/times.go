package hedger

import (
	"time"

	"github.com/rcrowley/go-metrics"
)

const (
	// sampleSize is the number of times that are kept of each period.
	sampleSize = 256
	// period is the time after which a new sample begins; the delay is derived from the
	// present and the last one.
	period = 10 * time.Second
	// minSamples is the number of times from which the delay is derived at least.
	minSamples = 32
	// refreshInterval is how long derived quantiles are used again.
	refreshInterval = 250 * time.Millisecond
)

// times are the recent times of a route until a run had a good answer.
type times struct {
	present metrics.Sample
	last    metrics.Sample
	// since is when the present period began.
	since time.Time
	// median and tail are the quantiles as of refreshedAt.
	median, tail time.Duration
	isKnown      bool
	refreshedAt  time.Time
}

func newTimes(now time.Time) *times {
	return &times{present: metrics.NewUniformSample(sampleSize), last: metrics.NewUniformSample(sampleSize), since: now}
}

func (t *times) add(now time.Time, took time.Duration) {
	t.rotate(now)
	t.present.Update(took.Microseconds())
}

// rotate begins a new period if the present one is over.
func (t *times) rotate(now time.Time) {
	switch age := now.Sub(t.since); {
	case age < period:
		return
	case age < 2*period:
		t.present, t.last = t.last, t.present
	default:
		t.last.Clear()
	}
	t.present.Clear()
	t.since = now
}

func (t *times) isExpired(now time.Time) bool { return now.Sub(t.since) >= 2*period }

// quantiles returns the median and another quantile; false while too few times are known.
func (t *times) quantiles(now time.Time, quantile float64) (median, tail time.Duration, isKnown bool) {
	t.rotate(now)
	if t.refreshedAt.IsZero() || now.Sub(t.refreshedAt) >= refreshInterval {
		t.refresh(now, quantile)
	}
	return t.median, t.tail, t.isKnown
}

func (t *times) refresh(now time.Time, quantile float64) {
	t.refreshedAt = now
	values := append(t.present.Values(), t.last.Values()...)
	t.isKnown = len(values) >= minSamples
	if !t.isKnown {
		return
	}
	found := metrics.SamplePercentiles(values, []float64{0.5, quantile})
	t.median = time.Duration(found[0]) * time.Microsecond
	t.tail = time.Duration(found[1]) * time.Microsecond
}

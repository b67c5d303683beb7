package tallier

import "time"

const (
	// idleShare says when nobody asks for a model: it was not among this many
	// requests for each model of its service.
	idleShare = 25
	// leastAsked is the rate, in requests a second, from which a model counts as asked
	// for: a single request reaches it for some seconds.
	leastAsked = 0.1
	// longestGap bounds the time that one observation stands for.
	longestGap = time.Second
)

// Watch tells which models nobody asks for. It counts in requests and not in time, so
// that a quiet night makes no model idle, and it begins without any that is.
// The zero value is not usable; see NewWatch.
type Watch struct {
	at time.Time
	// seen is the number of requests of each service so far, and asked what it was
	// when a model was last asked for.
	seen  map[string]float64
	asked map[Key]float64
}

// NewWatch returns a watch that has seen nothing.
func NewWatch() *Watch { return &Watch{seen: map[string]float64{}, asked: map[Key]float64{}} }

// Observe takes the demand at a time.
func (w *Watch) Observe(now time.Time, demand map[Key]Demand) {
	gap := min(now.Sub(w.at), longestGap)
	if w.at.IsZero() {
		gap = 0
	}
	w.at = now
	for key, d := range demand {
		if key.Adapter == "" {
			w.seen[key.Service] += d.Rate * gap.Seconds()
		}
	}
	for key, d := range demand {
		if key.Adapter == "" && (d.Rate >= leastAsked || d.Waiting > 0) {
			w.asked[key] = w.seen[key.Service]
		}
	}
}

// Idle returns those of the models of a service that nobody asks for, each with the
// number of requests for others since it was last asked for.
func (w *Watch) Idle(service string, models []string) map[string]float64 {
	idle := map[string]float64{}
	for _, model := range models {
		since := w.seen[service] - w.asked[Key{Service: service, Model: model}]
		if since >= float64(idleShare*len(models)) {
			idle[model] = since
		}
	}
	return idle
}

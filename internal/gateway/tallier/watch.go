package tallier

import "time"

const (
	// idleRequestsPerModel defines when a model is idle: it had no request among the last
	// idleRequestsPerModel requests per model of its service.
	idleRequestsPerModel = 25
	// minActiveRate is the rate, in requests a second, from which a model counts as
	// requested. A single request reaches it for a few seconds.
	minActiveRate = 0.1
	// maxObservationGap limits the time that one observation accounts for.
	maxObservationGap = time.Second
)

// Watch detects idle models. It counts requests rather than time, so that no model becomes
// idle in a period without traffic, and initially no model is idle. The zero value is not
// usable; see NewWatch.
type Watch struct {
	observedAt time.Time
	// requests is the number of requests of each service so far, and requestsAtLastUse its
	// value when a model was last requested.
	requests          map[string]float64
	requestsAtLastUse map[Key]float64
}

// NewWatch returns a Watch without observations.
func NewWatch() *Watch {
	return &Watch{requests: map[string]float64{}, requestsAtLastUse: map[Key]float64{}}
}

// Observe records the demand at a time.
func (w *Watch) Observe(now time.Time, demand map[Key]Demand) {
	gap := min(now.Sub(w.observedAt), maxObservationGap)
	if w.observedAt.IsZero() {
		gap = 0
	}
	w.observedAt = now
	for key, d := range demand {
		if key.Adapter == "" {
			w.requests[key.Service] += d.Rate * gap.Seconds()
		}
	}
	for key, d := range demand {
		if key.Adapter == "" && (d.Rate >= minActiveRate || d.Waiting > 0) {
			w.requestsAtLastUse[key] = w.requests[key.Service]
		}
	}
}

// Idle returns the idle ones among the models of a service, each with the number of
// requests for the service since the model's last one.
func (w *Watch) Idle(service string, models []string) map[string]float64 {
	idle := map[string]float64{}
	for _, model := range models {
		since := w.requests[service] - w.requestsAtLastUse[Key{Service: service, Model: model}]
		if since >= float64(idleRequestsPerModel*len(models)) {
			idle[model] = since
		}
	}
	return idle
}

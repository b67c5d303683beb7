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

// IdleDetector detects idle models. It counts requests rather than time, so that no model becomes
// idle in a period without traffic, and initially no model is idle. The zero value is not
// usable; see NewIdleDetector.
type IdleDetector struct {
	observedAt time.Time
	// requests is the number of requests of each service so far, and requestsAtLastUse its
	// value when a model was last requested.
	requests          map[string]float64
	requestsAtLastUse map[Key]float64
}

// NewIdleDetector returns an IdleDetector without observations.
func NewIdleDetector() *IdleDetector {
	return &IdleDetector{requests: map[string]float64{}, requestsAtLastUse: map[Key]float64{}}
}

// Observe records the demand at a time.
func (i *IdleDetector) Observe(now time.Time, demand map[Key]Demand) {
	gap := min(now.Sub(i.observedAt), maxObservationGap)
	if i.observedAt.IsZero() {
		gap = 0
	}
	i.observedAt = now
	for key, d := range demand {
		if key.Adapter == "" {
			i.requests[key.Service] += d.Rate * gap.Seconds()
		}
	}
	for key, d := range demand {
		if key.Adapter == "" && (d.Rate >= minActiveRate || d.Waiting > 0) {
			i.requestsAtLastUse[key] = i.requests[key.Service]
		}
	}
}

// Idle returns the idle ones among the models of a service, each with the number of
// requests for the service since the model's last one.
func (i *IdleDetector) Idle(service string, models []string) map[string]float64 {
	idle := map[string]float64{}
	for _, model := range models {
		since := i.requests[service] - i.requestsAtLastUse[Key{Service: service, Model: model}]
		if since >= float64(idleRequestsPerModel*len(models)) {
			idle[model] = since
		}
	}
	return idle
}

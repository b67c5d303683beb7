package measurer

import "github.com/rcrowley/go-metrics"

// Event is something that an instance counts as a whole, for no team and no model.
type Event string

// Events.
const (
	// CutTargetEnded, CutTargetPresent and CutTargetUnknown count requests whose connection to a
	// target was cut, by whether the target has ended.
	CutTargetEnded   Event = "Cut.TargetEnded"
	CutTargetPresent Event = "Cut.TargetPresent"
	CutTargetUnknown Event = "Cut.TargetUnknown"
)

var events = []Event{CutTargetEnded, CutTargetPresent, CutTargetUnknown}

// registerEvents registers the counters of all events, so that they are shown before the first.
func (m *Measurer) registerEvents() {
	for _, event := range events {
		metrics.GetOrRegisterCounter(string(event), m.registry)
	}
}

// CountEvent counts an event n times.
func (m *Measurer) CountEvent(event Event, n int) {
	metrics.GetOrRegisterCounter(string(event), m.registry).Inc(int64(n))
}

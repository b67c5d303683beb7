package tallier

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestIdleModels covers a model that loses its demand, and periods without any requests.
func TestIdleModels(t *testing.T) {
	models := []string{"hot", "rare", "left"}
	detector := NewIdleDetector()
	now := time.Unix(0, 0)
	observe := func(seconds int, rates map[string]float64) {
		demand := map[Key]Demand{}
		for model, rate := range rates {
			demand[Key{Service: "s", Model: model}] = Demand{Rate: rate}
		}
		for range 5 * seconds {
			now = now.Add(200 * time.Millisecond)
			detector.Observe(now, demand)
		}
	}
	assert.Empty(t, detector.Idle("s", models), "no observations yet")
	observe(60, nil)
	assert.Empty(t, detector.Idle("s", models), "without requests no model is idle")
	observe(10, map[string]float64{"hot": 20, "left": 5})
	observe(3, map[string]float64{"hot": 20, "rare": 0.4})
	assert.Empty(t, detector.Idle("s", models))
	observe(2, map[string]float64{"hot": 20})
	idle := detector.Idle("s", models)
	assert.Len(t, idle, 1)
	assert.InDelta(t, 101.2, idle["left"], 0.1)
	observe(5, map[string]float64{"hot": 20, "left": 0.4})
	idle = detector.Idle("s", models)
	assert.Len(t, idle, 1, "a model that is requested again is not idle")
	assert.InDelta(t, 142, idle["rare"], 0.1)
}

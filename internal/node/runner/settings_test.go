package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/arbiter"
)

// TestPace counts the instances that read the revision early in a turn.
func TestPace(t *testing.T) {
	const turns = 200
	start := time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC)
	for _, instances := range []int{1, 4, 16, 790} {
		early := 0
		for turn := range turns {
			for i := range instances {
				age := paceOf(start.Add(time.Duration(turn)*turnTime), fmt.Sprintf("entry-%d", i+1), instances).age
				assert.Less(t, age, arbiter.Limit)
				if age < backupAge {
					early++
				}
			}
		}
		assert.InDelta(t, min(instances, pollers), float64(early)/turns, 0.5, "%d instances", instances)
	}
}

package runner

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/control/arbiter"
)

// TestEarlyPollersPerTurn checks that about the intended number of instances read the revision
// early in each turn, whatever the number of instances, and that each instance reads
// it before its settings would be too old to serve with.
func TestEarlyPollersPerTurn(t *testing.T) {
	const turns = 200
	start := time.Date(2026, 1, 10, 3, 0, 0, 0, time.UTC)
	for _, instances := range []int{1, 4, 16, 790} {
		early := 0
		for turn := range turns {
			for i := range instances {
				age := pollPaceOf(start.Add(time.Duration(turn)*pollTurn), fmt.Sprintf("entry-%d", i+1), instances).age
				assert.Less(t, age, arbiter.ConfirmationTTL)
				if age < backupPollAge {
					early++
				}
			}
		}
		assert.InDelta(t, min(instances, earlyPollers), float64(early)/turns, 0.5, "%d instances", instances)
	}
}

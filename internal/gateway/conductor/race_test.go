package conductor

import (
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
)

// TestRaceHasOneWinner guards against two runs that both write to the caller.
func TestRaceHasOneWinner(t *testing.T) {
	for range 2000 {
		race := newRace(t.Context(), time.Now)
		var winners atomic.Int64
		var group sync.WaitGroup
		for run := range runCount {
			group.Go(func() {
				r := &reply{race: race, number: run}
				if r.claim() {
					winners.Add(1)
					assert.NoError(t, race.contexts[run].Err())
					assert.True(t, r.claim(), "again for its next events")
				}
			})
		}
		group.Wait()
		assert.EqualValues(t, 1, winners.Load())
		race.cancelAll()
	}
}

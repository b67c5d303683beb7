package leaser

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

// histories is the number of random histories; CI plays the default.
var histories = flag.Int("histories", 300, "the number of random histories of the lease over eras")

const (
	historyLength = 12 * time.Second
	// recoveryTime is how long it takes at most until somebody holds the lease again: a TTL, a second, and
	// the three calls of an acquisition, each of which takes up to 40 ms.
	recoveryTime = worldTTL + time.Second + 120*time.Millisecond
)

// drillTimes returns when the drills of a history begin: one to three within seconds.
func drillTimes(w *eraWorld) []time.Duration {
	at := 4*time.Second + w.delay(4*time.Second)
	drills := []time.Duration{at}
	for range w.random.IntN(3) {
		at += w.delay(3 * time.Second)
		drills = append(drills, at)
	}
	return drills
}

// playHistory plays a history with faults, and then waits for a holder. Every fourth one is of a table service
// without eras, which is never restored from a copy, and every fourth one of a table service that names its era
// from the first drill on.
func playHistory(seed uint64, plant eraPlant) *eraWorld {
	firstEra := int64(1)
	hasDrills := seed%4 != 3 || plant != noPlant
	if plant == noPlant && seed%4 >= 2 {
		firstEra = 0
	}
	w := newEraWorld(seed, 3, firstEra, plant)
	defer w.close()
	var drills []time.Duration
	if hasDrills {
		drills = drillTimes(w)
	}
	w.play(historyLength, drills)
	w.heal()
	patience := recoveryTime
	if w.now.Sub(w.spoiledAt) < followInterval {
		patience += worldMargin // the row may be read a second later, and its writer may have been the last holder
	}
	if w.awaitHolder(patience, anyNode) == nil {
		w.violate("nobody holds the lease")
	}
	return w
}

// playQuietDrill plays a drill without other faults, and waits until the last holder holds the lease again.
func playQuietDrill(seed uint64, plant eraPlant) *eraWorld {
	w := newEraWorld(seed, 3, 1, plant)
	defer w.close()
	w.calm = true
	last := w.awaitHolder(recoveryTime, anyNode)
	for end := w.now.Add(time.Second + w.delay(3*time.Second)); w.now.Before(end); {
		w.step()
	}
	if last == nil || w.holderOr(nil) != last {
		w.violate("the holder changes without a fault")
		return w
	}
	w.drill(w.delay(3 * time.Second))
	for w.isAway() {
		w.step()
	}
	isAfresh := func(n *eraNode) bool { return n == last && n.leaser.grant.Era == w.store.era }
	if w.awaitHolder(recoveryTime, isAfresh) == nil {
		w.violate("i%d does not hold the lease again", last.id)
	}
	return w
}

// TestLeaseHoldsOverEras guards against two holders at a time, or within the time of a handover; against fencing
// tokens that two holders have, or that do not rise; and against a lease that nobody holds any more; over drills and
// other faults.
func TestLeaseHoldsOverEras(t *testing.T) {
	grants := 0
	for seed := range uint64(*histories) {
		w := playHistory(seed, noPlant)
		require.Empty(t, w.violation, "seed %d", seed)
		grants += w.grants
	}
	t.Logf("%d histories, %d grants", *histories, grants)
	assert.Greater(t, grants, 3**histories, "the histories show nothing if the lease hardly ever changes hands")
}

// TestLastHolderGoesOnAfterDrill guards against a long time without a holder after a drill that the last holder
// was not touched by.
func TestLastHolderGoesOnAfterDrill(t *testing.T) {
	for seed := range uint64(*histories) {
		w := playQuietDrill(seed, noPlant)
		require.Empty(t, w.violation, "seed %d", seed)
	}
}

// TestEraHistoriesFindPlantedFaults guards against histories that would not show a fault.
func TestEraHistoriesFindPlantedFaults(t *testing.T) {
	const maxSeeds = 300
	for name, x := range map[string]struct {
		plant eraPlant
		play  func(uint64, eraPlant) *eraWorld
		want  string
	}{
		"eras hidden, one token twice":  {hiddenEras, playHistory, "given out twice"},
		"eras hidden, two holders":      {hiddenEras, playHistory, "two hold"},
		"rows of copies believed":       {believedCopies, playHistory, "two hold"},
		"tokens without the era, twice": {eralessTokens, playHistory, "given out twice"},
		"tokens without the era, lower": {eralessTokens, playHistory, "holds token"},
		"no handover":                   {noHandover, playHistory, "acts from"},
		"a row that always changes":     {eternalLease, playHistory, "nobody holds"},
		"a last holder that forgets it": {forgottenGrants, playQuietDrill, "does not hold the lease again"},
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(maxSeeds) {
				lines := strings.Split(x.play(seed, x.plant).violation, "\n")
				if strings.Contains(lines[len(lines)-1], x.want) {
					t.Logf("seed %d: %s", seed, lines[len(lines)-1])
					return
				}
			}
			t.Errorf("not found in %d histories", maxSeeds)
		})
	}
}

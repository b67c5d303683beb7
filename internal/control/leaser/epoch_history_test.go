package leaser

import (
	"flag"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/disturber"
)

// histories is the number of random histories; CI plays the default.
var histories = flag.Int("histories", 300, "the number of random histories of the lease over epochs")

const (
	historyLength = 12 * time.Second
	// recoveryTime is how long it takes at most until somebody holds the lease again: a TTL, a second, and
	// the three calls of an acquisition, each of which takes up to 40 ms.
	recoveryTime = worldTTL + time.Second + 120*time.Millisecond
)

// restoreTimes returns when the restores of a history begin: one to three within seconds.
func restoreTimes(w *epochWorld) []time.Duration {
	at := 4*time.Second + w.delay(4*time.Second)
	restores := []time.Duration{at}
	for range w.random.IntN(3) {
		at += w.delay(3 * time.Second)
		restores = append(restores, at)
	}
	return restores
}

// playHistory plays a history with faults, and then waits for a holder. Every fourth one is of a table service
// without epochs, which is never restored from a copy, and every fourth one of a table service that names its epoch
// from the first restore on.
func playHistory(seed uint64, plant epochPlant) *epochWorld {
	firstEpoch := int64(1)
	hasRestores := seed%4 != 3 || plant != noPlant
	if plant == noPlant && seed%4 >= 2 {
		firstEpoch = 0
	}
	w := newEpochWorld(seed, 3, firstEpoch, plant)
	defer w.close()
	var restores []time.Duration
	if hasRestores {
		restores = restoreTimes(w)
	}
	w.play(historyLength, restores)
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

// playQuietRestore plays a restore without other faults, and waits until the last holder holds the lease again.
func playQuietRestore(seed uint64, plant epochPlant) *epochWorld {
	w := newEpochWorld(seed, 3, 1, plant)
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
	w.restore(w.delay(3 * time.Second))
	for w.isAway() {
		w.step()
	}
	isAfresh := func(n *epochNode) bool { return n == last && n.leaser.grant.Epoch == w.store.Epoch }
	if w.awaitHolder(recoveryTime, isAfresh) == nil {
		w.violate("i%d does not hold the lease again", last.id)
	}
	return w
}

// TestLeaseHoldsOverEpochs guards against two holders at a time, or within the time of a handover; against fencing
// tokens that two holders have, or that do not rise; and against a lease that nobody holds any more; over restores and
// other faults.
func TestLeaseHoldsOverEpochs(t *testing.T) {
	grants := 0
	for seed := range uint64(*histories) {
		w := playHistory(seed, noPlant)
		require.Empty(t, w.violation, "seed %d", seed)
		grants += w.grants
	}
	t.Logf("%d histories, %d grants", *histories, grants)
	assert.Greater(t, grants, 3**histories, "the histories show nothing if the lease hardly ever changes hands")
}

// TestLastHolderGoesOnAfterRestore guards against a long time without a holder after a restore that the last holder
// was not touched by.
func TestLastHolderGoesOnAfterRestore(t *testing.T) {
	for seed := range uint64(*histories) {
		w := playQuietRestore(seed, noPlant)
		require.Empty(t, w.violation, "seed %d", seed)
	}
}

// TestEpochHistoriesFindPlantedFaults guards against histories that would not show a fault.
func TestEpochHistoriesFindPlantedFaults(t *testing.T) {
	const maxSeeds = 300
	for name, x := range map[string]struct {
		plant epochPlant
		play  func(uint64, epochPlant) *epochWorld
		want  string
	}{
		"epochs hidden, one token twice":  {hiddenEpochs, playHistory, "given out twice"},
		"epochs hidden, two holders":      {hiddenEpochs, playHistory, "two hold"},
		"rows of copies believed":         {believedCopies, playHistory, "two hold"},
		"tokens without the epoch, twice": {epochlessTokens, playHistory, "given out twice"},
		"tokens without the epoch, lower": {epochlessTokens, playHistory, "holds token"},
		"no handover":                     {noHandover, playHistory, "acts from"},
		"a row that always changes":       {eternalLease, playHistory, "nobody holds"},
		"a last holder that forgets it":   {forgottenGrants, playQuietRestore, "does not hold the lease again"},
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation := disturber.Find(maxSeeds, func(seed uint64) string {
				lines := strings.Split(x.play(seed, x.plant).violation, "\n")
				if last := lines[len(lines)-1]; strings.Contains(last, x.want) {
					return last
				}
				return ""
			})
			require.NotEmpty(t, violation, "not found in %d histories", maxSeeds)
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}

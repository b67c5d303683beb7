package confirmer_test

import (
	"flag"
	"maps"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/disturber"
)

const (
	// contactTime is how long an instance must have run, and reached the store, for the bound to hold.
	contactTime = 4 * time.Second
	// lookInterval is the time between two looks at all instances.
	lookInterval = 50 * time.Millisecond
	// answerLossInterval is the shortest time between two answers of the store to an instance that are lost.
	answerLossInterval = contactTime
	// maxChangeInterval is the longest time between two manifests.
	maxChangeInterval = time.Second
	// callWindow is the time in which calls to the store are counted.
	callWindow = 100 * time.Millisecond
)

// scale is the number of instances of TestManifestIsInForceAtScale; CI plays the default.
var scale = flag.Int("scale", 30, "the number of instances behind readers that hang")

// change is a manifest and when the store acknowledged it.
type change struct {
	at       time.Time
	manifest int64
}

// newSoundWorld returns a world whose store is sound, and whose instances hang, are cut off, restart and join.
func newSoundWorld(seed uint64, p plant) *world {
	w := newEmptyWorld(seed, p, 0)
	w.answersAreLost = true
	w.After(0, w.changeOften)
	w.After(0, w.disturbInstances)
	w.After(0, w.look)
	return w
}

func (w *world) changeOften() {
	w.changeKeys()
	w.After(w.Delay(maxChangeInterval), w.changeOften)
}

// disturbInstances disturbs an instance, or the ways between two.
func (w *world) disturbInstances() {
	w.After(w.Delay(3*time.Second), w.disturbInstances)
	n := w.nodes[w.Random.IntN(len(w.nodes))]
	switch w.Random.IntN(7) {
	case 0:
		n.FrozenUntil = w.Now().Add(w.Delay(9 * time.Second))
	case 1:
		w.start(n)
	case 2:
		if len(w.nodes) < maxNodes {
			w.addNode()
		}
	case 3: // what follows the store through others hears nothing from them
		for other := range w.nodes {
			w.Cut[[2]int{other, n.Index}] = true
		}
	case 4: // an instance hears nothing from the store
		w.Cut[[2]int{disturber.Outside, n.Index}] = true
	case 5:
		w.Cut[[2]int{w.Random.IntN(len(w.nodes)), n.Index}] = true
	case 6:
		w.Heal()
	}
}

// losesAnswer reports whether an answer of the store to an instance is lost: single ones are, where the store is sound.
func (w *world) losesAnswer(n *node) bool {
	const oneIn = 4
	if !w.answersAreLost || w.Now().Sub(n.answerLostAt) < answerLossInterval || w.Random.IntN(oneIn) > 0 {
		return false
	}
	n.answerLostAt = w.Now()
	return true
}

// look fails if an instance in touch does not have a manifest that must be in force.
func (w *world) look() {
	w.After(lookInterval, w.look)
	must := w.mustBeInForce()
	for _, n := range w.nodes {
		if w.Now().Before(n.FrozenUntil) || w.Cut[[2]int{n.Index, disturber.Outside}] || w.Cut[[2]int{disturber.Outside, n.Index}] {
			n.notInTouchAt = w.Now()
		}
		if w.Now().Sub(n.notInTouchAt) < contactTime {
			continue
		}
		w.looks++
		w.mostLate = max(w.mostLate, w.lateness(n))
		if inForce(n) < must {
			w.fail("node %d has manifest %d at %s, where %d must be in force", n.Index, inForce(n), w.Now().Sub(w.began), must)
		}
	}
}

// lateness returns how long ago the oldest change was acknowledged that is not in force at an instance; 0 if all are.
func (w *world) lateness(n *node) time.Duration {
	for _, c := range w.changes {
		if c.manifest > inForce(n) {
			return w.Now().Sub(c.at)
		}
	}
	return 0
}

// mustBeInForce returns the newest manifest that was acknowledged at least applyTime ago; 0 if none was.
func (w *world) mustBeInForce() (manifest int64) {
	for _, c := range w.changes {
		if w.Now().Sub(c.at) >= applyTime {
			manifest = c.manifest
		}
	}
	return manifest
}

// TestManifestIsInForceInTime guards against a change that an instance puts into force too late, or never, though it and the
// store are sound: those through which it follows the store are frozen, cut off or started anew, or it has just joined.
func TestManifestIsInForceInTime(t *testing.T) {
	looks := 0
	for seed := range uint64(*histories) {
		w := newSoundWorld(seed, noPlant)
		w.play(historyLength)
		require.Empty(t, w.violation, "seed %d", seed)
		looks += w.looks
	}
	t.Logf("%d histories: %d looks at instances in touch", *histories, looks)
	assert.Greater(t, looks, *histories*100, "the histories show nothing if hardly any instance is in touch")
}

// TestLateHistoriesFindPlantedFault guards against histories that would not show a late manifest.
func TestLateHistoriesFindPlantedFault(t *testing.T) {
	const maxSeeds = 100
	seed, violation := disturber.Find(maxSeeds, func(seed uint64) string {
		w := newSoundWorld(seed, neverAsks)
		w.play(historyLength)
		return w.violation
	})
	require.NotEmpty(t, violation, "not found in %d histories", maxSeeds)
	t.Logf("seed %d: %s", seed, violation)
}

// TestManifestIsInForceAtScale guards against many instances that ask the store at the same moment, or too late, when the two
// through which they all follow it hang.
func TestManifestIsInForceAtScale(t *testing.T) {
	const (
		calm, frozen = 5 * time.Second, 10 * time.Second
		// maxCallsPerInstance is how many calls an instance makes in a callWindow, at the mean of all: they are spread
		// over three windows at least.
		maxCallsPerInstance = 0.5
	)
	w := newEmptyWorld(1, noPlant, 0)
	for len(w.nodes) < *scale {
		w.addNode()
	}
	for _, n := range w.nodes[2:] {
		n.reader = n.Index % 2
	}
	w.After(0, w.changeOften)
	w.After(0, w.look)
	w.play(calm)
	before := maps.Clone(w.calls)
	for _, n := range w.nodes[:2] {
		n.FrozenUntil = w.Now().Add(frozen)
	}
	w.play(frozen)
	require.Empty(t, w.violation)
	most := slices.Max(slices.Collect(maps.Values(w.calls)))
	t.Logf("%d instances: most late %s, %d calls in the busiest %s, %d before", *scale, w.mostLate, most, callWindow, slices.Max(slices.Collect(maps.Values(before))))
	assert.Less(t, w.mostLate, applyTime)
	assert.Less(t, float64(most), maxCallsPerInstance*float64(*scale))
}

package follower

import (
	"flag"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// histories is the number of random histories; CI plays the default.
var histories = flag.Int("histories", 400, "the number of random histories of a store that comes back from copies")

func isTruncated(err error) bool { return errors.Is(err, ErrHistoryTruncated) }

// judge fails if a change that is applied takes a row back, or removes one that its writer still writes.
func (w *world) judge(n *node, rows []messenger.StoreRow, removed []string) {
	for _, key := range removed {
		if known, isKnown := n.view[key]; isKnown {
			w.judgeRemoval(n, known)
		}
		delete(n.view, key)
		n.removedAt[key] = n.follower.Version()
	}
	for _, row := range rows {
		w.judgeRow(n, row)
		n.view[row.Key] = row
	}
}

func (w *world) judgeRemoval(n *node, known messenger.StoreRow) {
	for _, x := range w.writers {
		if x.key == known.Key && x.isAlive && x.life == lifeOf(known) {
			w.fail("%s of %+v vanishes from node %d at %+v, though its writer writes it again", x.key, known.StoreVersion(), n.Index, n.follower.Version())
		}
	}
}

func (w *world) judgeRow(n *node, row messenger.StoreRow) {
	known, isKnown := n.view[row.Key]
	removedAt, wasRemoved := n.removedAt[row.Key]
	switch {
	case isKnown && row.StoreVersion().IsBefore(known.StoreVersion()):
		w.fail("%s of node %d goes back from %+v to %+v", row.Key, n.Index, known.StoreVersion(), row.StoreVersion())
	case !isKnown && wasRemoved && !row.StoreVersion().IsAfter(removedAt):
		w.fail("%s of node %d was removed at %+v and comes back with %+v", row.Key, n.Index, removedAt, row.StoreVersion())
	case w.plant != bareNumbers && w.written[entry{row.StoreVersion(), row.Key}] != string(row.Value):
		w.fail("%s of node %d is %s at %+v, which the store never had", row.Key, n.Index, row.Value, row.StoreVersion())
	}
}

// disturb changes something at random.
func (w *world) disturb() {
	if w.isCalm {
		return
	}
	w.After(w.Delay(3*time.Second), w.disturb)
	n := w.nodes[w.Random.IntN(len(w.nodes))]
	switch w.Random.IntN(8) {
	case 0:
		n.FrozenUntil = w.Now().Add(w.Delay(6 * time.Second))
	case 1:
		if w.Random.IntN(2) == 0 {
			w.start(n)
		}
	case 2:
		if len(w.nodes) < maxNodes {
			w.addNode()
		}
	case 3: // the store refuses an instance
		w.Cut[[2]int{n.Index, disturber.Outside}] = true
	case 4: // one way is cut
		w.Cut[[2]int{w.Random.IntN(len(w.nodes)+1) - 1, n.Index}] = true
	case 5:
		w.Loss = w.Random.Float64() * 0.5
	default:
		w.Heal()
	}
}

func (w *world) play(length time.Duration) {
	for end := w.Now().Add(length); w.violation == "" && w.Now().Before(end); {
		w.Step()
	}
}

// settle ends the disturbances and plays until all copies must equal the table of the store.
func (w *world) settle() {
	w.play(historyLength)
	w.isCalm = true
	w.play(maxLastingRewriteDelay) // the last restore may be under way
	w.Heal()
	w.play(settleTime)
	for _, n := range w.nodes {
		w.judgeCopy(n)
	}
	for _, n := range w.nodes {
		w.stop(n)
	}
}

// judgeCopy fails if the copy of a node is not the table of the store.
func (w *world) judgeCopy(n *node) {
	for key, row := range n.view {
		if _, isPresent := w.rows[key]; !isPresent {
			w.fail("node %d has %s at %+v, the store has none", n.Index, key, row.StoreVersion())
		}
	}
	for key, c := range w.rows {
		if n.view[key].StoreVersion() != w.row(c).StoreVersion() {
			w.fail("node %d has %s at %+v, the store at %+v", n.Index, key, n.view[key].StoreVersion(), w.row(c).StoreVersion())
		}
	}
}

// TestCopiesFollowTheStoreAcrossEpochs guards against copies that go back, lose entries which are written again within the
// grace, keep those that are not, call without a pause, or never equal the store's table again.
func TestCopiesFollowTheStoreAcrossEpochs(t *testing.T) {
	restores, adopted := 0, 0
	for seed := range uint64(*histories) {
		w := newWorld(seed, noPlant)
		w.settle()
		require.Empty(t, w.violation, "seed %d", seed)
		restores, adopted = restores+w.restores, adopted+w.adopted
	}
	t.Logf("%d histories: %d changes of epoch, %d copies with rows that may return", *histories, restores, adopted)
	assert.Greater(t, restores, *histories, "the histories show nothing without restores")
	assert.Positive(t, adopted)
}

// TestHistoriesFindPlantedFaults guards against histories that would not show a fault.
func TestHistoriesFindPlantedFaults(t *testing.T) {
	const maxSeeds = 300
	for name, p := range map[string]plant{
		"numbers without epochs": bareNumbers, "answers of an earlier epoch": staleAnswers, "missing rows taken for rows of the store": ignoredMissing,
		"no grace in a later epoch": noGrace, "no pause after an older table": noPause,
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation := disturber.Find(maxSeeds, func(seed uint64) string {
				w := newWorld(seed, p)
				w.settle()
				return w.violation
			})
			require.NotEmpty(t, violation, "not found in %d histories", maxSeeds)
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}

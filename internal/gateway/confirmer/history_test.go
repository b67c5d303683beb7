package confirmer_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/disturber"
	"github.com/crocusring/crocusring/internal/gateway/authenticator"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// histories is the number of random histories; CI plays the default.
var histories = flag.Int("histories", 400, "the number of random histories of revoked keys")

// receiveRequests has a node receive requests again and again.
func (w *world) receiveRequests(n *node) {
	key, sentAt := keyName(w.Random.IntN(keyCount+1)), w.Now()
	incarnation := n.Incarnation
	w.On(n.Machine, w.Delay(50*time.Millisecond), func() { w.accept(n, key, sentAt) })
	w.After(100*time.Millisecond+w.Delay(200*time.Millisecond), func() {
		if n.Incarnation == incarnation {
			w.receiveRequests(n)
		}
	})
}

func credentialOf(key string) authenticator.Credential {
	return authenticator.Credential{IsPresent: true, Digest: registrar.DigestKey(key)}
}

// accept is what the conductor does: a request is checked when it is accepted and before it is sent.
func (w *world) accept(n *node, key string, sentAt time.Time) {
	view := n.registry.View()
	check := func(step func(error)) {
		if w.plant == tableFirst && view.HasAccounts() {
			// The instance is frozen between the look at the table and that at the proof.
			w.On(n.Machine, w.Delay(2*time.Second), func() { step(checkTableFirst(n, view, key)) })
			return
		}
		_, err := n.check.Check(false, credentialOf(key))
		step(err)
	}
	check(func(err error) {
		w.judgeRefusal(n, key, err)
		if err != nil || !n.check.IsNeeded() {
			return
		}
		held := w.Delay(50 * time.Millisecond)
		if w.Random.IntN(10) == 0 {
			held += w.Delay(6 * time.Second)
		}
		w.On(n.Machine, held, func() {
			check(func(err error) {
				if err == nil {
					w.On(n.Machine, 0, func() { w.run(n, key, sentAt) })
				}
			})
		})
	})
}

func checkTableFirst(n *node, view *registrar.View, key string) error {
	if view.AccountOf(registrar.DigestKey(key)) == nil {
		return authenticator.ErrUnknownKey
	}
	if isConfirmed, _ := n.check.Currency(); !isConfirmed {
		return authenticator.ErrUnconfirmed
	}
	return nil
}

// run records that a target runs a request.
func (w *world) run(n *node, key string, sentAt time.Time) {
	w.served++
	if !w.mayKnowKey(n, key, sentAt.Add(-bound)) {
		w.fail("%s ran at node %d at %s, sent at %s, last keys %v", key, n.Index, w.Now().Sub(w.began), sentAt.Sub(w.began), w.spans[key])
	}
}

// judgeRefusal records a refusal, and fails if it is final for a key of a manifest that must be in
// force.
func (w *world) judgeRefusal(n *node, key string, err error) {
	if err != nil {
		w.refused++
	}
	if w.plant == noPlant && errors.Is(err, authenticator.ErrUnknownKey) && w.mustKnowKey(n, key, w.Now().Add(-applyTime)) {
		w.fail("%s is unknown at node %d at %s, in the manifest for %s, proof %+v, manifest %d",
			key, n.Index, w.Now().Sub(w.began), applyTime, n.confirmer.Proof(), n.registry.View().Manifest.Version)
	}
}

func (w *world) fail(format string, values ...any) {
	if w.violation == "" {
		w.violation = fmt.Sprintf(format, values...)
	}
}

// disturb changes something at random.
func (w *world) disturb() {
	if w.isCalm {
		return
	}
	w.After(w.Delay(4*time.Second), w.disturb)
	n := w.nodes[w.Random.IntN(len(w.nodes))]
	switch w.Random.IntN(13) {
	case 0:
		length := w.Delay(9 * time.Second)
		n.FrozenUntil = w.Now().Add(length)
		if w.plant == stoppedClock {
			n.suspended += length
		}
	case 1:
		w.start(n)
	case 2:
		if len(w.nodes) < maxNodes {
			w.addNode()
		}
	case 3: // the store refuses an instance
		w.Cut[[2]int{n.Index, disturber.Outside}] = true
	case 4: // one way is cut
		w.Cut[[2]int{w.Random.IntN(len(w.nodes)+1) - 1, n.Index}] = true
	case 5: // an instance reaches nobody
		for to := disturber.Outside; to < len(w.nodes); to++ {
			w.Cut[[2]int{n.Index, to}] = true
		}
	case 6: // the store is down
		for from := range w.nodes {
			w.Cut[[2]int{from, disturber.Outside}] = true
		}
	case 7:
		w.Loss = w.Random.Float64() * 0.5
	case 8:
		w.Heal()
	case 9:
		w.restore()
	case 10: // two within seconds
		w.restore()
		w.After(maxAway+w.Delay(2*maxRewrite), w.restore)
	case 11, 12:
		w.missChange(n)
	}
}

func (w *world) play(length time.Duration) {
	for end := w.Now().Add(length); w.violation == "" && w.Now().Before(end); {
		w.Step()
	}
}

// assertServes asserts that each node accepts the keys of the store's manifest and no other one.
func (w *world) assertServes(t *testing.T, seed uint64) {
	t.Helper()
	for _, n := range w.nodes {
		for number := range keyCount + 1 {
			key := keyName(number)
			_, err := n.check.Check(false, credentialOf(key))
			if w.keys[key] {
				assert.NoError(t, err, "seed %d, node %d, %s", seed, n.Index, key)
			} else {
				assert.ErrorIs(t, err, authenticator.ErrUnknownKey, "seed %d, node %d, %s", seed, n.Index, key)
			}
		}
	}
}

// TestRevokedKeysDoNotRun guards against requests that run although they were sent later than the
// bound after a manifest removed their key, in whatever state the instances, the store and the
// network are, and also if the store came back without that manifest; against keys that are refused for good although they are in a manifest that must be in
// force; and
// against instances that do not serve keys again after a disturbance.
func TestRevokedKeysDoNotRun(t *testing.T) {
	served, refused, restored, excused := 0, 0, 0, 0
	for seed := range uint64(*histories) {
		w := newWorld(seed, noPlant)
		w.play(historyLength)
		require.Empty(t, w.violation, "seed %d", seed)
		served, refused, restored, excused = served+w.served, refused+w.refused, restored+w.restores.count, excused+w.excused
		w.Heal()
		w.isCalm = true
		w.play(healTime)
		require.Empty(t, w.violation, "seed %d", seed)
		w.assertServes(t, seed)
	}
	t.Logf("%d histories: %d requests served, %d refused, %d restores, %d excused", *histories, served, refused, restored, excused)
	assert.Positive(t, restored)
	assert.Less(t, excused, served/100, "hardly any instance may know only what the store came back with")
	assert.Greater(t, served, refused/4, "the histories show nothing if hardly any key is served")
}

// TestHistoriesFindPlantedFaults guards against histories that would not show a fault.
func TestHistoriesFindPlantedFaults(t *testing.T) {
	const maxSeeds = 300
	for name, p := range map[string]plant{
		"proofs as new as their arrival": agelessProofs, "proofs for newer manifests": anyVersion,
		"a clock that stops with its machine": stoppedClock, "the manifest before the proof": tableFirst,
		"confirmed at once in a later epoch": confirmedAtOnce, "proofs that a later epoch renews": renewedProofs, "proofs by another clock": anyClock,
	} {
		t.Run(name, func(t *testing.T) {
			seed, violation := disturber.Find(maxSeeds, func(seed uint64) string {
				w := newWorld(seed, p)
				w.play(historyLength)
				return w.violation
			})
			require.NotEmpty(t, violation, "not found in %d histories", maxSeeds)
			t.Logf("seed %d: %s", seed, violation)
		})
	}
}

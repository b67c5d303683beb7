package supervisor

import (
	"encoding/json"
	"fmt"
	"testing"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// putTarget puts an entry into the target table of an instance.
func putTarget(t *testing.T, s *Supervisor, target registrar.Target) {
	t.Helper()
	value, err := json.Marshal(target)
	require.NoError(t, err)
	s.applyTargets([]messenger.StoreRow{{Key: target.ID, Version: target.StartMilliseconds, Value: value}}, nil)
}

// TestRequestWhoseTargetsEndInSilenceIsStopped guards against a request that ends each target that runs
// it, but is never suspected since their connections stay open in silence and their addresses do not answer.
func TestRequestWhoseTargetsEndInSilenceIsStopped(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeTarget: decodeTestTarget}, logr.Discard())
	content := quarantiner.FingerprintOf([]byte("x"))
	traits := []quarantiner.Trait{quarantiner.ContentTrait(content)}
	for n := range 4 {
		target := registrar.Target{ID: fmt.Sprintf("t%d", n), Service: "s", Address: fmt.Sprintf("h%d:1", n), StartMilliseconds: 5}
		putTarget(t, s, target)
		run := conductor.Run{Service: "s", Target: &target, Content: content, HasBegun: true, Deadline: time.Now().Add(time.Second)}
		isSuspect, err := s.quarantiner.CheckAll(time.Now(), traits)
		require.NoError(t, err)
		require.Equal(t, n >= 2, isSuspect, "after %d ends", n)
		if isSuspect {
			require.NoError(t, s.beginTrial(t.Context(), run))
			run.IsTrial = true
		}
		s.quarantine().Silent(run, time.Now().Add(-time.Second))
		time.Sleep(600 * time.Millisecond) // ends at the same moment have another cause
		next := target
		if n%2 == 1 {
			next.ID += "new"
		}
		next.StartMilliseconds = 9
		putTarget(t, s, next)
		assert.Eventually(t, func() bool { return len(s.quarantiner.Losses(time.Now(), traits, true)) == 1 && s.silences.IsEmpty() }, time.Second, 5*time.Millisecond)
		time.Sleep(50 * time.Millisecond) // the report is handed on in the background
	}
	assert.Eventually(t, func() bool {
		_, err := s.quarantiner.CheckAll(time.Now(), traits)
		return errors.Is(err, quarantiner.ErrConvicted)
	}, 2*time.Second, 20*time.Millisecond)
}

// TestTargetThatLeavesIsHeldAgainstNobody guards against requests that are suspected since a target that
// was silent has left and another one has started at its address.
func TestTargetThatLeavesIsHeldAgainstNobody(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "a"}, Platform{DecodeTarget: decodeTestTarget}, logr.Discard())
	content := quarantiner.FingerprintOf([]byte("x"))
	for n := range 4 {
		target := registrar.Target{ID: fmt.Sprintf("t%d", n), Service: "s", Address: fmt.Sprintf("h%d:1", n), StartMilliseconds: 5}
		putTarget(t, s, target)
		run := conductor.Run{Service: "s", Target: &target, Content: content}
		leaving := target
		leaving.Leaving = true
		putTarget(t, s, leaving)
		s.quarantine().Silent(run, time.Now().Add(-time.Second))
		next := target
		next.ID, next.StartMilliseconds = target.ID+"new", 9
		putTarget(t, s, next)
	}
	time.Sleep(50 * time.Millisecond)
	assert.True(t, s.quarantiner.IsEmpty())
}

package orderer_test

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/platformer"
	"github.com/crocusring/crocusring/internal/node/loader"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	team         = "wil"
	mebibyte     = 1 << 20
	readyTimeout = 20 * time.Second
	pollInterval = 20 * time.Millisecond
	// maxPathVersions exceeds the number of changes of any path in a test.
	maxPathVersions = 30
)

func newSystem(t *testing.T, fencing bool, opts ...engineer.Option) *assembler.System {
	t.Helper()
	opts = append([]engineer.Option{engineer.WithMemory(1000 * mebibyte)}, opts...)
	s, err := assembler.New(assembler.WithNodes(2), assembler.WithEngines(3, opts...), assembler.WithFencing(fencing),
		assembler.WithPolicy(loader.Policy{LoadsPerSecond: 20}))
	require.NoError(t, err)
	t.Cleanup(s.Close)
	setPath(t, s, "/platform/teams/"+team, fmt.Sprintf(
		`{"CredentialDigest":%q,"RequestsPerSecond":0,"Burst":0,"InFlight":0}`, assembler.Digest(team)))
	return s
}

// setPath sets a path. It tries all versions, since a change whose answer was lost
// may have raised the version.
func setPath(t *testing.T, s *assembler.System, path, value string) {
	t.Helper()
	version := int64(-1)
	require.Eventually(t, func() bool {
		version = (version + 1) % maxPathVersions
		c := messenger.SettingChange{Path: path, Version: version, Value: json.RawMessage(value)}
		_, err := s.Change(s.Nodes[0].Address, c)
		return err == nil
	}, readyTimeout, time.Millisecond, path)
}

func declareModel(t *testing.T, s *assembler.System, model, version string, size, copies int) {
	t.Helper()
	setPath(t, s, "/platform/models/"+model,
		fmt.Sprintf(`{"Version":%q,"Bytes":%d,"Copies":%d,"MaximumCopies":0}`, version, size*mebibyte, copies))
}

// streamChat requests a stream and reports whether it was received whole.
func streamChat(s *assembler.System, node int, model string, tokens int) bool {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":"x"}]}`, model, tokens)
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Nodes[node].Address+"/v1/chat/completions", strings.NewReader(body))
	if err != nil {
		return false
	}
	req.Header.Set("Authorization", "Bearer "+assembler.Credential(team))
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK && strings.HasSuffix(string(text), "data: [DONE]\n\n")
}

func awaitModel(t *testing.T, s *assembler.System, model string) {
	t.Helper()
	require.Eventually(t, func() bool { return streamChat(s, 0, model, 1) && streamChat(s, 1, model, 1) }, readyTimeout, pollInterval, model)
}

// TestUnloadIsGraceful replaces a version while long streams run: every stream must
// be whole. The engines must not cut any stream either, which clients would not
// notice, since a cut stream is resumed on another engine.
func TestUnloadIsGraceful(t *testing.T) {
	t.Parallel()
	s := newSystem(t, true, engineer.WithTokenInterval(10*time.Millisecond))
	declareModel(t, s, "oak", "v1", 250, 2)
	awaitModel(t, s, "oak")
	var streams sync.WaitGroup
	for i := range 8 {
		streams.Go(func() { assert.True(t, streamChat(s, i%2, "oak", 300)) })
	}
	time.Sleep(200 * time.Millisecond)
	declareModel(t, s, "oak", "v2", 250, 2)
	require.Eventually(t, func() bool { return !isRecorded(s, "v1") }, readyTimeout, pollInterval, "v1 unloaded")
	streams.Wait()
	for _, e := range s.Engines {
		assert.Zero(t, e.CutsByUnload())
	}
	assert.True(t, streamChat(s, 1, "oak", 1))
}

// isRecorded reports whether a version is in the ledger of a target.
func isRecorded(s *assembler.System, version string) bool {
	for _, row := range s.Platform.Rows("ledger") {
		if strings.Contains(string(row.Value), fmt.Sprintf("%q", version)) {
			return true
		}
	}
	return false
}

// TestMemoryUnderFaults changes versions while orders are lost, late and duplicated,
// answers are lost and an engine restarts: the memory must not be overcommitted.
func TestMemoryUnderFaults(t *testing.T) {
	for _, fencing := range []bool{true, false} {
		t.Run(fmt.Sprintf("fencing %t", fencing), func(t *testing.T) {
			t.Parallel()
			s := newSystem(t, fencing)
			models := []string{"oak", "elm", "ash", "fir"}
			for _, m := range models {
				declareModel(t, s, m, "v0", 240, 1)
			}
			for _, m := range models {
				awaitModel(t, s, m)
			}
			injectFaults(t, s, models, rand.New(rand.NewPCG(7, 7)))
			for _, e := range s.Engines {
				e.SetFault(engineer.Fault{})
			}
			for _, m := range models {
				awaitModel(t, s, m)
			}
			for i, e := range s.Engines {
				assert.LessOrEqual(t, e.MaxOvercommit(), int64(0), "engine %d", i+1)
			}
		})
	}
}

func injectFaults(t *testing.T, s *assembler.System, models []string, r *rand.Rand) {
	t.Helper()
	const rounds = 6
	for round := range rounds {
		for _, e := range s.Engines {
			f := engineer.Fault{LateBy: 1500 * time.Millisecond}
			switch r.IntN(4) {
			case 0:
				f.LoseOrders = 1
			case 1:
				f.LateOrders = 1
			case 2:
				f.DuplicateOrders = 2
			case 3:
				f.LoseOrderAnswers = 1
			}
			e.SetFault(f)
		}
		switch round {
		case rounds / 3:
			s.Engines[r.IntN(len(s.Engines))].Crash()
		case 2 * rounds / 3:
			s.Platform.SetFault(platformer.Fault{LoseAnswers: 2})
		}
		model := models[r.IntN(len(models))]
		declareModel(t, s, model, fmt.Sprintf("v%d", round+1), 240, 1)
		awaitModel(t, s, model)
	}
}

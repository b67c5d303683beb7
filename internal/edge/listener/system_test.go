package listener_test

import (
	"encoding/json"
	"fmt"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/historian"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	model   = "oak"
	within  = 10 * time.Second
	pollGap = 5 * time.Millisecond
)

// system is an assembled system with a recorder of its callers' requests.
type system struct {
	*assembler.System
	t        *testing.T
	recorder *historian.Recorder
	caller   *historian.Caller
}

// newSystem starts a system with one team, one model on all engines, and two
// services of which only "notes" may be repeated.
func newSystem(t *testing.T, opts ...assembler.Option) *system {
	t.Helper()
	assembled, err := assembler.New(opts...)
	require.NoError(t, err)
	t.Cleanup(assembled.Close)
	recorder := historian.New()
	s := &system{System: assembled, t: t, recorder: recorder}
	s.caller = historian.NewCaller(recorder, assembler.Credential("wil"), "send")
	targets := []string{}
	for i := range assembled.Services {
		targets = append(targets, fmt.Sprintf("service-%d", i+1))
	}
	changes := []messenger.SettingChange{
		change("/platform/teams/wil", map[string]any{
			"CredentialDigest": assembler.Digest("wil"), "RequestsPerSecond": 0, "Burst": 0, "InFlight": 0,
		}),
		change("/platform/services/orders", map[string]any{"Repeatable": false, "Targets": targets}),
		change("/platform/services/notes", map[string]any{"Repeatable": true, "Targets": targets}),
	}
	if n := len(assembled.Engines); n > 0 {
		changes = append(changes, change("/platform/models/"+model, map[string]any{
			"Version": "v1", "Bytes": 1 << 30, "Copies": n, "MaximumCopies": 0,
		}))
	}
	require.Eventually(t, func() bool {
		_, err := assembled.Change(assembled.Nodes[0].Address, changes...)
		return err == nil
	}, within, pollGap)
	s.await()
	return s
}

func change(path string, value any) messenger.SettingChange {
	text, _ := json.Marshal(value)
	return messenger.SettingChange{Path: path, Value: text}
}

// await waits until each instance reports all instances and all copies of the model,
// and can reach a service.
func (s *system) await() {
	s.t.Helper()
	warm := historian.NewCaller(historian.New(), assembler.Credential("wil"), "warm")
	for _, n := range s.Nodes {
		require.Eventually(s.t, func() bool {
			hasCopies := len(s.Engines) == 0
			status := s.status(n.Address)
			for _, m := range status.Models {
				hasCopies = hasCopies || m.Copies == len(s.Engines)
			}
			isServed := len(s.Services) == 0 || warm.ServiceRequest(s.t.Context(), n.Address, historian.ServiceRequest{Service: "notes", Path: "/warm"}).Ended
			return hasCopies && isServed && len(status.Instances) == len(s.Nodes)
		}, within, pollGap, "at %s", n.ID)
	}
}

func (s *system) status(address string) messenger.StatusAnswer {
	req, err := http.NewRequest(http.MethodGet, "http://"+address+"/v1/status", http.NoBody)
	require.NoError(s.t, err)
	req.Header.Set("Authorization", "Bearer "+assembler.OperatorCredential)
	var answer messenger.StatusAnswer
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return answer
	}
	defer resp.Body.Close()
	_ = json.NewDecoder(resp.Body).Decode(&answer)
	return answer
}

// issueKey returns a key issued by the instance at address.
func (s *system) issueKey(address string) string {
	s.t.Helper()
	resp, err := http.Get("http://" + address + "/v1/locate")
	require.NoError(s.t, err)
	defer resp.Body.Close()
	var answer messenger.LocateAnswer
	require.NoError(s.t, json.NewDecoder(resp.Body).Decode(&answer))
	return answer.Key
}

// ownKey returns a key as made by a caller, a UUID of version 7.
func ownKey(number int) string {
	ms := time.Now().UnixMilli()
	return fmt.Sprintf("%08x-%04x-7000-8000-%012x", ms>>16, ms&0xffff, number)
}

// history returns the requests sent so far and the executions at all targets.
func (s *system) history() historian.History {
	h := s.recorder.History()
	for i, e := range s.Engines {
		for _, x := range e.Executions() {
			h.Executions = append(h.Executions, historian.Execution{
				Target: fmt.Sprintf("engine-%d", i+1), Incarnation: x.Incarnation, RequestID: x.RequestID, Key: x.Key, From: x.From,
			})
		}
	}
	for i, service := range s.Services {
		for _, x := range service.Executions() {
			h.Executions = append(h.Executions, historian.Execution{
				Target: fmt.Sprintf("service-%d", i+1), RequestID: x.RequestID, Key: x.Key,
			})
		}
	}
	return h
}

// starts returns the number of executions of a request, given its key or ID.
func (s *system) starts(name string) int {
	n := 0
	for _, x := range s.history().Executions {
		if x.Key == name || x.RequestID == name {
			n++
		}
	}
	return n
}

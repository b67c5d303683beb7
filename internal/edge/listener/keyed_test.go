package listener_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/fake/assembler"
	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/fake/historian"
	"github.com/crocusring/crocusring/internal/fake/platformer"
)

func TestKeyedRequestsRunOnce(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithEngines(0), assembler.WithNodes(3), assembler.WithServices(2))
	first, second, third := s.Nodes[0], s.Nodes[1], s.Nodes[2]
	order := func(ctx context.Context, address, key, text string) historian.Send {
		return s.caller.ServiceRequest(ctx, address, historian.ServiceRequest{Service: "orders", Path: "/cut", Text: text, Key: key})
	}
	ctx := t.Context()
	t.Run("a key made by the caller at all instances", func(t *testing.T) {
		key := ownKey(1)
		for _, n := range s.Nodes {
			assert.True(t, order(ctx, n.Address, key, "parcel").Ended)
		}
		assert.Equal(t, 1, s.starts(key))
	})
	t.Run("another body", func(t *testing.T) {
		for i, key := range []string{ownKey(2), s.issueKey(first.Address)} {
			require.True(t, order(ctx, first.Address, key, "parcel").Ended)
			for _, n := range []*assembler.Node{first, second} {
				r := order(ctx, n.Address, key, "another parcel")
				assert.Equal(t, http.StatusUnprocessableEntity, r.Status, i)
				assert.Equal(t, "KeyReused", r.Code)
				assert.False(t, r.NotRun)
			}
			assert.Equal(t, 1, s.starts(key))
		}
	})
	t.Run("the answer of the service is lost", func(t *testing.T) {
		for _, service := range s.Services {
			service.DropAnswers(1)
		}
		key := ownKey(3)
		r := order(ctx, first.Address, key, "parcel")
		assert.Equal(t, "OutcomeUnknown", r.Code)
		assert.False(t, r.NotRun)
		assert.Equal(t, r.Code, order(ctx, second.Address, key, "parcel").Code)
		assert.Equal(t, 1, s.starts(key))
		for _, service := range s.Services {
			service.DropAnswers(0)
		}
	})
	t.Run("the table service is down", func(t *testing.T) {
		s.Platform.SetFault(platformer.Fault{Down: true})
		own, issued := ownKey(4), s.issueKey(first.Address)
		r := order(ctx, first.Address, own, "parcel")
		assert.Equal(t, "Unavailable", r.Code)
		assert.False(t, r.NotRun, "another instance may hold the claim")
		assert.True(t, r.RetryAfter)
		assert.True(t, order(ctx, second.Address, issued, "parcel").Ended, "issued keys need no table service")
		s.Platform.SetFault(platformer.Fault{})
		assert.True(t, order(ctx, second.Address, own, "parcel").Ended)
		assert.True(t, order(ctx, first.Address, own, "parcel").Ended)
		assert.Equal(t, 1, s.starts(own))
		assert.Equal(t, 1, s.starts(issued))
	})
	t.Run("answers of the table service are lost", func(t *testing.T) {
		key := ownKey(5)
		s.Platform.SetFault(platformer.Fault{LoseAnswers: 3})
		order(ctx, first.Address, key, "parcel")
		s.Platform.SetFault(platformer.Fault{})
		assert.True(t, order(ctx, second.Address, key, "parcel").Ended, "the key can still be used")
		assert.Equal(t, 1, s.starts(key))
	})
	t.Run("a request that may be repeated runs again after it failed", func(t *testing.T) {
		for _, service := range s.Services {
			service.DropAnswers(1)
		}
		key := s.issueKey(first.Address)
		note := historian.ServiceRequest{Service: "notes", Path: "/note", Text: "parcel", Key: key, Repeatable: true}
		r := s.caller.ServiceRequest(ctx, second.Address, note)
		assert.Equal(t, "OutcomeUnknown", r.Code)
		assert.True(t, r.RetryAfter)
		assert.True(t, s.caller.ServiceRequest(ctx, second.Address, note).Ended)
	})
	t.Run("the caller disconnects", func(t *testing.T) {
		key := s.issueKey(first.Address)
		gone, cancel := context.WithCancel(ctx)
		slow := historian.ServiceRequest{Service: "orders", Path: "/slow?delay=200ms", Text: "parcel", Key: key}
		go func() {
			assert.Eventually(t, func() bool { return s.starts(key) > 0 }, within, pollGap)
			cancel()
		}()
		assert.False(t, s.caller.ServiceRequest(gone, first.Address, slow).Ended)
		assert.True(t, s.caller.ServiceRequest(ctx, second.Address, slow).Ended)
		assert.Equal(t, 1, s.starts(key))
	})
	t.Run("a refusal says nothing about other copies", func(t *testing.T) {
		key := s.issueKey(first.Address)
		require.True(t, order(ctx, first.Address, key, "parcel").Ended)
		r := s.caller.ServiceRequest(ctx, first.Address, historian.ServiceRequest{Service: "unknown", Path: "/cut", Text: "parcel", Key: key})
		assert.Equal(t, "UnknownService", r.Code)
		assert.False(t, r.NotRun)
	})
	t.Run("the home dies between claim and answer", func(t *testing.T) {
		own, issued := ownKey(6), s.issueKey(third.Address)
		for _, key := range []string{own, issued} {
			go s.caller.ServiceRequest(ctx, third.Address, historian.ServiceRequest{Service: "orders", Path: "/slow?delay=1s", Text: "parcel", Key: key})
		}
		require.Eventually(t, func() bool { return s.starts(own)+s.starts(issued) == 2 }, within, pollGap)
		third.Kill()
		for _, key := range []string{own, issued} {
			r := s.caller.ServiceRequest(ctx, first.Address, historian.ServiceRequest{Service: "orders", Path: "/slow?delay=1s", Text: "parcel", Key: key})
			assert.Equal(t, "OutcomeUnknown", r.Code)
			assert.False(t, r.NotRun)
			assert.Equal(t, 1, s.starts(key))
		}
	})
	assert.Empty(t, historian.Check(s.history()))
}

func TestServicePathsAreSentVerbatimOrRefused(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithEngines(0), assembler.WithNodes(2), assembler.WithServices(1))
	get := func(node *assembler.Node, target, key string) int {
		conn, err := net.Dial("tcp", node.Address)
		require.NoError(t, err)
		defer conn.Close()
		fmt.Fprintf(conn, "GET %s HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer %s\r\nConnection: close, X-Hop\r\nX-Hop: 1\r\nX-Request-Key: %s\r\n\r\n",
			target, assembler.Credential("wil"), key)
		resp, err := http.ReadResponse(bufio.NewReader(conn), nil)
		require.NoError(t, err)
		defer resp.Body.Close()
		_, _ = io.Copy(io.Discard, resp.Body)
		return resp.StatusCode
	}
	for _, below := range []string{"/a%2Fb//c%20d?x=%41&y=a+b", "//", "/", "/A%c3%a9;v=1", "/a.b/..c", "?q=../.."} {
		t.Run("sent "+below, func(t *testing.T) {
			want := below
			if !strings.HasPrefix(want, "/") {
				want = "/" + want
			}
			// Once run by this instance, and once relayed to the home of the key.
			for _, key := range []string{"", s.issueKey(s.Nodes[1].Address)} {
				require.Equal(t, http.StatusOK, get(s.Nodes[0], "/v1/services/notes"+below, key))
				ran := s.Services[0].Executions()
				assert.Equal(t, want, ran[len(ran)-1].Target)
			}
		})
	}
	before := len(s.Services[0].Executions())
	for _, target := range []string{
		"/v1/services/notes/../orders/cut", "/v1/services/notes/%2e%2e/orders/cut", "/v1/services/notes/a/..%2f..%2forders",
		"/v1/services/notes/.", "/v1/services/notes/..;x/orders", "/v1/services/%6eotes/cut", "/v1/services/notes/%zz",
		"/v1/services/notes/a\\..\\b", "//v1/services/notes/cut", "/v1/./services/notes/cut", "http://entry/v1/services/notes/cut",
		"/v1/services/../services/notes/cut", "/v1/services/notes/a#b", "/v1/services//notes/cut",
	} {
		t.Run("refused "+target, func(t *testing.T) {
			status := get(s.Nodes[0], target, "")
			assert.True(t, status == http.StatusBadRequest || status == http.StatusNotFound, "status %d", status)
		})
	}
	assert.Len(t, s.Services[0].Executions(), before)
}

func TestRelayedAnswerIsCutWhenHomeDies(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithNodes(2), assembler.WithEngines(1, engineer.WithTokenInterval(10*time.Millisecond)))
	home, relay := s.Nodes[1], s.Nodes[0]
	body := `{"model":"oak","stream":true,"max_tokens":1000,"messages":[{"role":"user","content":"long"}]}`
	req, err := http.NewRequest(http.MethodPost, "http://"+relay.Address+"/v1/chat/completions", strings.NewReader(body))
	require.NoError(t, err)
	req.Header.Set("Authorization", "Bearer "+assembler.Credential("wil"))
	req.Header.Set("X-Request-Key", s.issueKey(home.Address))
	resp, err := http.DefaultClient.Do(req)
	require.NoError(t, err)
	defer resp.Body.Close()
	require.Equal(t, http.StatusOK, resp.StatusCode)
	reader := bufio.NewReader(resp.Body)
	_, err = reader.ReadString('\n')
	require.NoError(t, err)
	home.Kill()
	_, err = io.Copy(io.Discard, reader)
	assert.Error(t, err, "the body must not seem whole")
}

func TestARequestWhoseCallerLeftIsCancelledAtTheEngine(t *testing.T) {
	t.Parallel()
	s := newSystem(t, assembler.WithNodes(1), assembler.WithEngines(1, engineer.WithTokenInterval(10*time.Millisecond)))
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		assert.Eventually(t, func() bool { return len(s.Engines[0].Executions()) > 0 }, within, pollGap)
		cancel()
	}()
	s.caller.Chat(ctx, s.Nodes[0].Address, historian.Chat{Model: model, Prompt: "gone", Tokens: 3000, Stream: true})
	const soon = time.Second // the whole answer would take 30 s
	assert.Eventually(t, func() bool { return s.status(s.Nodes[0].Address).Targets[0].Running == 0 }, soon, pollGap)
}

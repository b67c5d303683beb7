package commander

import (
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// TestOddReportIsNoReport guards against an engine whose numbers spoil the plan and the routing.
func TestOddReportIsNoReport(t *testing.T) {
	for name, x := range map[string]struct {
		body string
		err  error
	}{
		"negative":            {`{"Incarnation":"a","Running":-1}`, ErrNoReport},
		"negative memory":     {`{"Incarnation":"a","MemoryBytes":-1}`, ErrNoReport},
		"past the range":      {`{"Incarnation":"a","Queued":9223372036854775807}`, ErrNoReport},
		"past every range":    {`{"Incarnation":"a","UsedBytes":1e99}`, ErrNoReport},
		"a negative holding":  {`{"Incarnation":"a","Holdings":[{"Model":"m","Bytes":-4}]}`, ErrNoReport},
		"a fence of its own":  {`{"Incarnation":"a","HighestFence":9223372036854775807}`, ErrNoReport},
		"nested without end":  {strings.Repeat(`[`, 100_000), ErrNoReport},
		"at the ends of them": {`{"Incarnation":"a","Running":0,"MemoryBytes":9007199254740992}`, nil},
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, x.body) }))
			t.Cleanup(server.Close)
			_, err := New(poster.New()).Report(strings.TrimPrefix(server.URL, "http://"), time.Now())
			assert.ErrorIs(t, err, x.err)
		})
	}
}

// TestResultOfAnotherOrderIsUnknown guards against an earlier result, once more on a kept
// connection, that is taken for that of the order.
func TestResultOfAnotherOrderIsUnknown(t *testing.T) {
	for body, want := range map[string]error{
		`{"ID":"o1","Applied":true}`:           nil,
		`{"ID":"o1","Refusal":"OldFence"}`:     ErrStaleFence,
		`{"ID":"o0","Applied":true}`:           ErrUnknownOutcome,
		`{"ID":"o0","Refusal":"OldFence"}`:     ErrUnknownOutcome,
		`{"Refusal":"Full","HighestFence":12}`: ErrUnknownOutcome,
	} {
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { _, _ = io.WriteString(w, body) }))
		t.Cleanup(server.Close)
		err := New(poster.New()).Send(strings.TrimPrefix(server.URL, "http://"), messenger.EngineOrder{ID: "o1"})
		assert.ErrorIs(t, err, want, body)
	}
}

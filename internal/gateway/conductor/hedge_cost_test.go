package conductor

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/hedger"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// TestHedgingOffCostsNoAllocation guards against costs of second runs where there are none.
func TestHedgingOffCostsNoAllocation(t *testing.T) {
	c := New(Headers{}, registrar.New(), balancer.New(), budgeter.New(0.2, 1, time.Second), WithHedger(hedger.New(0), func(HedgeEvent) {}))
	ctx, cancel := context.WithCancel(t.Context())
	cancel() // the request ends before it is sent
	q := &request{
		httpRequest: httptest.NewRequest(http.MethodGet, "/", nil), excluded: map[string]bool{},
		route: &registrar.Route{Kind: registrar.Safe, MaxAttempts: 2},
	}
	r := &reply{conductor: c, request: q, writer: httptest.NewRecorder()}
	b := balancer.New()
	view := registrar.New()
	view.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}})
	view.Update(func(table map[string]*registrar.Target) {
		table["t"] = &registrar.Target{ID: "t", Service: "s", Slots: 4}
	})
	ticket, err := b.Pick(view.View(), balancer.Request{Service: "s"})
	assert.NoError(t, err)
	plain := leastAllocs(func() {
		result := c.send(ctx, r, ticket)
		c.observeRunEnd(ctx, q, result)
	})
	hooked := leastAllocs(func() {
		c.sendHedged(ctx, r, ticket)
		c.noteShort(q, balancer.ErrFull)
		r.claim()
		r.isBeaten()
	})
	assert.Equal(t, plain, hooked)
}

// leastAllocs returns the least of several measurements: connections of earlier tests that end
// meanwhile count in some.
func leastAllocs(f func()) float64 {
	least := testing.AllocsPerRun(200, f)
	for range 10 {
		least = min(least, testing.AllocsPerRun(200, f))
	}
	return least
}

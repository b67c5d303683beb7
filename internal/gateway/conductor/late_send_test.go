package conductor_test

import (
	"context"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// TestTargetThatLeavesDuringAWaitGetsNothing guards against a request that reaches a target which has
// become known as leaving after it was chosen, while the request waited for a permit or a connection.
func TestTargetThatLeavesDuringAWaitGetsNothing(t *testing.T) {
	for name, leave := range map[string]func(r *registrar.Registrar, b *balancer.Balancer, chosen *registrar.Target){
		"by its entry": func(r *registrar.Registrar, _ *balancer.Balancer, chosen *registrar.Target) {
			r.Update(func(table map[string]*registrar.Target) {
				leaving := *chosen
				leaving.Leaving = true
				table[chosen.ID] = &leaving
			})
		},
		"without an entry": func(r *registrar.Registrar, _ *balancer.Balancer, chosen *registrar.Target) {
			r.Update(func(table map[string]*registrar.Target) { delete(table, chosen.ID) })
		},
		"replaced under its ID": func(r *registrar.Registrar, _ *balancer.Balancer, chosen *registrar.Target) {
			r.Update(func(table map[string]*registrar.Target) {
				next := *chosen
				next.StartMilliseconds++
				next.Leaving = true
				table[chosen.ID] = &next
			})
		},
		"announced, and its time is over": func(_ *registrar.Registrar, b *balancer.Balancer, chosen *registrar.Target) {
			b.AnnounceLeave(chosen, time.Now())
		},
	} {
		t.Run(name, func(t *testing.T) {
			targets := map[string]*target{"t0": newTarget(t, ok), "t1": newTarget(t, ok)}
			r, b, budget := registrar.New(), balancer.New(), budgeter.New(0, 0, time.Second)
			budget.SetInstances(1)
			r.SetManifest(&registrar.Manifest{Version: 1, Services: map[string]*registrar.Service{"s": {Name: "s"}}, Routes: []*registrar.Route{{
				Host: "h.example", Prefix: "/", Kind: registrar.Unsafe, MaxAttempts: 1, TimeoutMilliseconds: 2000, LatencyGoalMilliseconds: 400,
				Backends: []registrar.Backend{{Service: "s", Weight: 1}},
			}}})
			r.Update(func(table map[string]*registrar.Target) {
				for id, x := range targets {
					table[id] = &registrar.Target{ID: id, Service: "s", Address: x.address, Slots: 4, StartMilliseconds: 1}
				}
			})
			left := ""
			acquire := func(_ context.Context, chosen *registrar.Target) error {
				if left == "" {
					left = chosen.ID
					leave(r, b, chosen)
				}
				return nil
			}
			server := httptest.NewServer(conductor.New(headers, r, b, budget, conductor.WithLimiter(limiter.New(limiter.Member{}, 1), acquire)))
			t.Cleanup(server.Close)
			got, _, err := send(t, server, http.MethodPost, "/x", "b")
			require.NoError(t, err)
			assert.Equal(t, http.StatusOK, got.StatusCode, "another target serves it, without the retry budget")
			assert.Zero(t, targets[left].requests())
		})
	}
}

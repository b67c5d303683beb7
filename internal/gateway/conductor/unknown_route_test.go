package conductor_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// TestRouteOfNewerManifestIsNotCalledUnknown guards against a final refusal of requests on a route that a newer
// manifest has, which this instance has not seen yet.
func TestRouteOfNewerManifestIsNotCalledUnknown(t *testing.T) {
	for name, test := range map[string]struct {
		isRecent   bool
		want       int
		retryAfter string
	}{
		"a recent manifest":       {true, http.StatusNotFound, ""},
		"one that may be too old": {false, http.StatusServiceUnavailable, "1."},
	} {
		t.Run(name, func(t *testing.T) {
			refused := 0
			a := setupAccounts(t, nil, conductor.WithRouteCheck(func() bool { return test.isRecent }, func() { refused++ }))
			response, _, err := send(t, a.server, "GET", "/added/x", "", "Test-Credential", "key k")
			require.NoError(t, err)
			assert.Equal(t, test.want, response.StatusCode)
			assert.Contains(t, response.Header.Get("Retry-After"), test.retryAfter)
			assert.Equal(t, !test.isRecent, refused == 1)
		})
	}
	t.Run("a manifest that arrives during the check", func(t *testing.T) {
		var a *accounts
		a = setupAccounts(t, []*target{newTarget(t, ok)}, conductor.WithRouteCheck(func() bool {
			added := &registrar.Route{Host: "h.example", Prefix: "/added/", Kind: registrar.Safe, MaxAttempts: 1, Backends: []registrar.Backend{{Service: "s", Weight: 1}}}
			a.registry.SetManifest(&registrar.Manifest{Version: 2, Services: map[string]*registrar.Service{"s": {Name: "s"}}, Routes: []*registrar.Route{added}})
			return true
		}, func() {}))
		response, _, err := send(t, a.server, "GET", "/added/x", "")
		require.NoError(t, err)
		assert.Equal(t, http.StatusOK, response.StatusCode)
	})
}

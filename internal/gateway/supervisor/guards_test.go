package supervisor

import (
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestCallerLimits guards against limits of the manifest that are not applied, and against
// connections that are closed before callers stop reusing them.
func TestCallerLimits(t *testing.T) {
	s := New(messenger.GatewaySettings{CallerAddress: "127.0.0.1:1"}, Platform{}, logr.Discard())
	assert.Equal(t, guarder.DefaultLimits(), s.callerLimits(), "without a manifest")
	s.registry.SetManifest(&registrar.Manifest{Version: 1})
	assert.Equal(t, guarder.DefaultLimits(), s.callerLimits(), "without limits")
	s.registry.SetManifest(&registrar.Manifest{Version: 2, Limits: registrar.Limits{
		HeaderBytes: 16384, HeaderTimeoutMilliseconds: 3000, IdleTimeoutMilliseconds: 15000,
	}})
	limits := s.callerLimits()
	assert.Equal(t, 16384, limits.HeadBytes)
	assert.Equal(t, 3*time.Second, limits.HeadTimeout)
	assert.GreaterOrEqual(t, limits.IdleTimeout, 15*time.Second)
	s.registry.SetManifest(&registrar.Manifest{Version: 3, Limits: registrar.Limits{HeaderBytes: 1 << 30}})
	assert.Equal(t, guarder.DefaultHeadBytes, s.callerLimits().HeadBytes, "the server reads no more")
}

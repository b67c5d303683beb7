package supervisor

import (
	"context"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/go-logr/logr"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// startQuotaInstances starts the peer interfaces of instances that keep the quota of an account
// and exchange statuses until the test ends.
func startQuotaInstances(t *testing.T, count int, account *registrar.Account) []*Supervisor {
	t.Helper()
	ctx, cancel := context.WithCancel(t.Context())
	t.Cleanup(cancel)
	out := []*Supervisor{}
	for i := range count {
		listener, err := net.Listen("tcp4", "127.0.0.1:0")
		require.NoError(t, err)
		s := New(messenger.GatewaySettings{
			Instance: fmt.Sprintf("i%d", i), DataCentre: "a", PeerAddress: listener.Addr().String(),
			Bounds: messenger.GatewayBounds{QuotaWindowSeconds: 8, QuotaOverage: 0.1, QuotaSlack: 11_000},
		}, Platform{}, logr.Discard())
		s.registry.SetManifest(&registrar.Manifest{Version: 1, Accounts: map[string]*registrar.Account{account.Name: account}})
		s.applyQuotas()
		server := &fasthttp.Server{Handler: s.servePeer}
		go func() { _ = server.Serve(listener) }()
		t.Cleanup(func() { _ = server.Shutdown() })
		out = append(out, s)
	}
	for _, s := range out {
		for _, other := range out {
			s.informer.AddAddress(other.settings.PeerAddress)
		}
		go s.sendStatuses(ctx)
		go s.askForQuotas(ctx)
	}
	return out
}

// TestQuotaOverInstances guards against messages between instances that do not carry what the
// quotas need: requests at any instance are served, and not beyond the quota.
func TestQuotaOverInstances(t *testing.T) {
	const amount = 2_000.0
	account := &registrar.Account{Name: "x", Unit: registrar.CountTokens, RatePerSecond: 14_000}
	instances := startQuotaInstances(t, 3, account)
	charge := func(s *Supervisor, caller int64) (func(bool), error) {
		return s.chargeQuota(t.Context(), account, amount, func() int64 { return caller })
	}
	_, err := charge(instances[0], 1)
	require.ErrorIs(t, err, limiter.ErrNoGranter, "shares may have been delegated by an earlier incarnation")
	require.Eventually(t, func() bool {
		end, err := charge(instances[0], 2)
		if err == nil {
			end(false)
		}
		return err == nil
	}, 10*time.Second, 100*time.Millisecond)
	time.Sleep(3 * time.Second)
	used, overQuota := 0.0, 0
	for i := range 150 {
		_, err := charge(instances[i%len(instances)], int64(100+i))
		if err == nil {
			used += amount
			continue
		}
		assert.ErrorIs(t, err, limiter.ErrOverQuota)
		overQuota++
		if overQuota > 10 {
			break
		}
	}
	t.Logf("used %.0f at once", used)
	assert.Greater(t, used, 20_000.0)
	assert.Less(t, used, (account.RatePerSecond*8)*1.1+11_000)
}

// TestNoQuotasByDefault guards against settings without quotas that limit an account.
func TestNoQuotasByDefault(t *testing.T) {
	s := New(messenger.GatewaySettings{Instance: "i0", DataCentre: "a"}, Platform{}, logr.Discard())
	end, err := s.chargeQuota(t.Context(), &registrar.Account{Name: "x", RatePerSecond: 1}, 100, func() int64 { return 1 })
	require.NoError(t, err)
	end(true)
	assert.Nil(t, s.delegation("i1"))
	s.updateQuotaMembers(nil)
	s.registerQuotaMembers(nil)
	s.applyQuotas()
	s.receiveDelegation(messenger.GatewayNews{Quota: &messenger.QuotaDelegation{}})
}

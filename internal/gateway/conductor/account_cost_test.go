package conductor

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/budgeter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// newWithoutAccounts returns a conductor whose manifest declares no accounts, and a request with a
// credential.
func newWithoutAccounts() (*Conductor, *http.Request, *registrar.Route) {
	registry := registrar.New()
	registry.SetManifest(&registrar.Manifest{Version: 1})
	c := New(Headers{Credential: "Test-Credential", AccountName: "Test-Account"}, registry, balancer.New(), budgeter.New(0.2, 1, 1))
	r := httptest.NewRequest(http.MethodGet, "http://h.example/", nil)
	r.Header.Set("Test-Credential", "key k")
	return c, r, &registrar.Route{}
}

// TestNoAllocationWithoutAccounts guards against a cost of accounts where there are none.
func TestNoAllocationWithoutAccounts(t *testing.T) {
	c, r, route := newWithoutAccounts()
	q := &request{httpRequest: r, route: route}
	out := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(out)
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		if _, refusal := c.identify(r, route); refusal != nil {
			t.Error(refusal)
		}
		if err := c.checkAccount(q); err != nil {
			t.Error(err)
		}
		if c.senderOf(q) != "key k" {
			t.Error("the credential tells the sender apart")
		}
	}))
	assert.Zero(t, testing.AllocsPerRun(100, func() {
		c.headers.copyRequestHeaders(&out.Header, r.Header, false)
		out.Header.Reset()
	}))
}

// BenchmarkAccountsOff measures what accounts cost a request where there are none.
func BenchmarkAccountsOff(b *testing.B) {
	c, r, route := newWithoutAccounts()
	q := &request{httpRequest: r, route: route}
	b.ReportAllocs()
	for b.Loop() {
		_, _ = c.identify(r, route)
		_ = c.checkAccount(q)
	}
}

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

// TestRankOfAccountGoesFirst guards against a route that puts the requests of an account before those
// of a more urgent one.
func TestRankOfAccountGoesFirst(t *testing.T) {
	ranks := []int{}
	for priority := range 4 {
		for route := range 3 {
			ranks = append(ranks, rankOf(&registrar.Account{Priority: priority}, &registrar.Route{Priority: route}))
		}
	}
	assert.IsNonDecreasing(t, ranks)
	assert.Equal(t, 0, ranks[0])
	assert.LessOrEqual(t, ranks[len(ranks)-1], registrar.MaxRank)
	assert.Less(t, rankOf(&registrar.Account{Priority: 0}, &registrar.Route{Priority: 7}), rankOf(&registrar.Account{Priority: 1}, &registrar.Route{}))
	assert.Equal(t, 4, rankOf(nil, &registrar.Route{Priority: 4}), "without accounts the route alone counts")
}

package conductor

import (
	"net/http"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// defaultTimeout sets the deadline of a request that has no valid deadline header.
const defaultTimeout = 15 * time.Second

// accept matches a request to its route, reads its body and sets its deadline. It returns
// a refusal if the request cannot be served.
func (c *Conductor) accept(w http.ResponseWriter, r *http.Request) (*request, *Refusal) {
	now := c.now()
	view := c.registry.View()
	switch {
	case view.Manifest == nil:
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no manifest yet", RetryAfter: startRetryDelay}
	case c.isRefusing():
		return nil, stoppingRefusal()
	}
	route, refusal := c.match(r)
	if refusal != nil {
		return nil, refusal
	}
	sender, refusal := c.identify(r, route)
	if refusal != nil {
		return nil, refusal
	}
	body, refusal := c.readBody(w, r, view.Manifest.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	if c.isRefusing() { // a body can be long in coming
		return nil, stoppingRefusal()
	}
	q := &request{
		id: r.Header.Get(c.headers.RequestID), httpRequest: r, body: body, route: route, arrived: now,
		account: sender.account, credential: sender.credential, hasAccounts: sender.hasAccounts,
		excluded: map[string]bool{}, outcome: measurer.Unknown,
	}
	q.rank = rankOf(q.account, route)
	q.deadline = now.Add(defaultTimeout)
	if deadline, ok := c.headers.callerDeadline(r, now); ok {
		q.deadline = deadline
	}
	if route.TimeoutMilliseconds > 0 {
		q.deadline = q.capAtDeadline(now.Add(time.Duration(route.TimeoutMilliseconds) * time.Millisecond))
	}
	q.service = pickBackend(route, q.id)
	q.parts = c.partsOf(r)
	c.quarantine.Arrived(q.service, q.parts)
	if refusal := c.checkTraits(q); refusal != nil {
		return nil, refusal
	}
	c.budget.CountRequest(q.service)
	c.parseDemand(q)
	if refusal := c.checkQuota(q); refusal != nil {
		return nil, refusal
	}
	return q, nil
}

// match returns the route of a request. A route that the manifest does not have is called unknown only if no newer
// manifest can have it by now.
func (c *Conductor) match(r *http.Request) (*registrar.Route, *Refusal) {
	host, path := r.Host, r.URL.EscapedPath()
	if route := c.registry.View().Match(host, path); route != nil {
		return route, nil
	}
	isRecent := c.isRecent()
	// The view is read again after that, so that it is at least as new as the proof says.
	route := c.registry.View().Match(host, path)
	switch {
	case route != nil:
		return route, nil
	case isRecent:
		return nil, &Refusal{Status: http.StatusNotFound, Reason: "no route"}
	default:
		c.routeUnconfirmed()
		return nil, unconfirmedRefusal(r.Header.Get(c.headers.RequestID), "route cannot be checked now")
	}
}

const (
	// ranksPerAccount is the number of ranks of one account priority: the routes of an account
	// are told apart within them.
	ranksPerAccount = 3
)

// rankOf returns the rank of the requests of an account, which may be nil, on a route. The
// priority of the account goes before that of the route.
func rankOf(account *registrar.Account, route *registrar.Route) int {
	rank := max(route.Priority, 0)
	if account != nil {
		rank = ranksPerAccount*max(account.Priority, 0) + min(rank, ranksPerAccount-1)
	}
	return min(rank, registrar.MaxRank)
}

// pickBackend distributes requests over the services of a route by their weights. The
// choice depends on the hash of the request ID alone, so that it needs no state.
func pickBackend(route *registrar.Route, id string) string {
	total := 0
	for _, b := range route.Backends {
		total += b.Weight
	}
	if total == 0 {
		return route.Backends[0].Service
	}
	point := int(xxhash.Sum64String(id) % uint64(total))
	for _, b := range route.Backends {
		point -= b.Weight
		if point < 0 {
			return b.Service
		}
	}
	return route.Backends[len(route.Backends)-1].Service
}

// maxPartBytes bounds the length of the name of a part. Of a longer one the hash is used.
const maxPartBytes = 64

// partsOf returns the parts of the prompt that other requests may bear as well, each once.
func (c *Conductor) partsOf(r *http.Request) []string {
	values := r.Header.Values(c.headers.Prefix)
	if len(values) == 0 {
		return nil
	}
	all := c.headers.ParsePrefix(strings.Join(values, ","))
	parts := all[:0]
	for _, part := range all {
		if len(part) > maxPartBytes {
			part = quarantiner.FingerprintOf([]byte(part)).String()
		}
		if part != "" && !slices.Contains(parts, part) {
			parts = append(parts, part)
		}
	}
	return parts
}

// parseDemand reads the headers that describe what the request asks of an engine. A
// request without a model header has no demand.
func (c *Conductor) parseDemand(q *request) {
	value := q.httpRequest.Header.Get(c.headers.Model)
	if value == "" {
		return
	}
	model, adapter := c.headers.ParseModel(value)
	prompt, output := c.headers.ParseTokens(q.httpRequest.Header.Get(c.headers.Tokens))
	q.demand = Demand{Service: q.service, Model: model, Adapter: adapter, PromptTokens: prompt, Tokens: prompt + output}
	digest := xxhash.New()
	_, _ = digest.WriteString(value)
	for _, part := range q.parts {
		_, _ = digest.WriteString(part)
	}
	q.affinity = digest.Sum64() | 1 // 0 means no affinity
	c.demand(q.demand)
}

package conductor

import (
	"io"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

const (
	// defaultDeadline is that of a request which names none.
	defaultDeadline = 15 * time.Second
	// defaultBody bounds a body where the manifest does not.
	defaultBody = 8 << 20
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
)

// accept reads a request and finds its route.
func (c *Conductor) accept(w http.ResponseWriter, r *http.Request) (*request, *Refusal) {
	now := c.now()
	view := c.registry.View()
	switch {
	case view.Manifest == nil:
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: "no manifest yet", After: startPause}
	case c.refusing.Load():
		return nil, &Refusal{Status: http.StatusServiceUnavailable, Reason: errStops.Error(), After: shortPause}
	}
	route := view.Match(r.Host, r.URL.EscapedPath())
	if route == nil {
		return nil, &Refusal{Status: http.StatusNotFound, Reason: "no route"}
	}
	body, refusal := c.readBody(w, r, view.Manifest.Limits.BodyBytes)
	if refusal != nil {
		return nil, refusal
	}
	q := &request{
		id: r.Header.Get(c.headers.RequestID), http: r, body: body, route: route, arrived: now,
		excluded: map[string]bool{}, outcome: measurer.Unknown,
	}
	q.deadline = now.Add(defaultDeadline)
	if deadline, ok := c.headers.callerDeadline(r, now); ok {
		q.deadline = deadline
	}
	if route.TimeoutMilliseconds > 0 {
		q.deadline = q.within(now.Add(time.Duration(route.TimeoutMilliseconds) * time.Millisecond))
	}
	q.service = pickBackend(route, q.id)
	c.budget.Request(q.service)
	c.readDemand(q)
	return q, nil
}

// pickBackend shares requests over the services of a route by their weights. The
// choice follows from the ID, so that it needs no state.
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

func (c *Conductor) readBody(w http.ResponseWriter, r *http.Request, most int) ([]byte, *Refusal) {
	if r.ContentLength == 0 {
		return nil, nil
	}
	if most <= 0 {
		most = defaultBody
	}
	control := http.NewResponseController(w)
	if err := control.SetReadDeadline(c.now().Add(bodyTimeout)); err != nil {
		c.log.V(1).Info("cannot bound the read of a body", "error", err.Error())
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, int64(most)))
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		return nil, &Refusal{Status: http.StatusRequestEntityTooLarge, Reason: "body too large"}
	case err != nil:
		return nil, &Refusal{Status: http.StatusBadRequest, Reason: "body cannot be read: " + err.Error()}
	}
	// The watch for a caller that leaves reads on and must not meet that deadline.
	if err := control.SetReadDeadline(time.Time{}); err != nil {
		c.log.V(1).Info("cannot lift the bound of a body", "error", err.Error())
	}
	return body, nil
}

// readDemand reads what the request asks of an engine.
func (c *Conductor) readDemand(q *request) {
	value := q.http.Header.Get(c.headers.Model)
	if value == "" {
		return
	}
	model, adapter := c.headers.ParseModel(value)
	prompt, output := c.headers.ParseTokens(q.http.Header.Get(c.headers.Tokens))
	q.demand = Demand{Service: q.service, Model: model, Adapter: adapter, Prompt: prompt, Tokens: prompt + output}
	digest := xxhash.New()
	_, _ = digest.WriteString(value)
	for _, part := range c.headers.ParsePrefix(q.http.Header.Get(c.headers.Prefix)) {
		_, _ = digest.WriteString(part)
	}
	q.affinity = digest.Sum64() | 1 // 0 stands for nothing shared
	c.demand(q.demand)
}

// Package forwarder is the client of plain services. It sends the path, query and body
// of a request unmodified and returns only complete answers. An answer with neither a
// length nor chunks is complete when the service closes the connection, but not when it
// resets it.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/observer"
)

var (
	// ErrTooLarge means that an answer exceeds maxAnswerBytes.
	ErrTooLarge = errors.New("answer of service too large")
	// ErrCrossed means that an answer names another request.
	ErrCrossed = errors.New("answer of service belongs to another request")
)

const (
	headerRequestID  = "X-Request-Id"
	headerRequestKey = "X-Request-Key"
	maxAnswerBytes   = 32 << 20
)

// Call describes one request to a service.
type Call struct {
	ID          string
	Key         string
	Method      string
	PathQuery   string
	ContentType string
	Body        []byte
	// Fresh requires a new connection, as in connector.Call.
	Fresh bool
	// AnswerDeadline is the deadline for the whole answer.
	AnswerDeadline time.Time
	// Context cancels the call when it is done; it may be nil.
	Context context.Context
}

// Answer is a complete answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
	// Notice is what the service announces in the head of the answer.
	Notice observer.Notice
}

// Client sends requests to services, with a connection pool for each target.
type Client struct {
	pools *connector.Pools
}

// New returns a client.
func New() *Client {
	return &Client{pools: connector.NewPools()}
}

// Prune closes idle connections that have expired at now.
func (c *Client) Prune(now time.Time) { c.pools.Prune(now) }

// HasEnded reports whether the process at address has ended: it refuses connections, or they are
// closed as soon as they are made.
func (c *Client) HasEnded(address string, until time.Time) bool {
	return c.pools.For(address).Probe(until, func() {}) == connector.Absent
}

// presence probes an address until a deadline, or for probeTimeout if that is sooner.
func (c *Client) presence(address string, deadline time.Time) connector.Presence {
	if latest := time.Now().Add(probeTimeout); latest.Before(deadline) {
		deadline = latest
	}
	return c.pools.For(address).Probe(deadline, func() {})
}

// probeTimeout bounds the time that the end of an answer waits for the probe of its service.
const probeTimeout = 300 * time.Millisecond

// Do sends a request to the service at address. Path and query are sent verbatim.
// The error is ErrTooLarge, ErrCrossed or one of the connector's.
func (c *Client) Do(address string, call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	// Set on the header, since fasthttp normalizes a URI that is set on the request.
	req.Header.SetHost(address)
	req.Header.SetRequestURI(call.PathQuery)
	if call.ContentType != "" {
		req.Header.SetContentType(call.ContentType)
	}
	req.Header.Set(headerRequestID, call.ID)
	if call.Key != "" {
		req.Header.Set(headerRequestKey, call.Key)
	}
	req.SetBodyRaw(call.Body)
	answer, err := c.pools.For(address).Do(connector.Call{
		Request: req, Fresh: call.Fresh, FirstByte: call.AnswerDeadline, AnswerDeadline: call.AnswerDeadline, Context: call.Context,
	})
	if err != nil {
		return Answer{}, err
	}
	defer answer.Close()
	// A plain service need not return the request ID, but must not return another one.
	if id := answer.Header.Peek(headerRequestID); len(id) > 0 && string(id) != call.ID {
		answer.Discard()
		return Answer{}, errors.Wrapf(ErrCrossed, "want %q, got %q", call.ID, id)
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, ErrTooLarge
	}
	if answer.Framing() == connector.FramedByClose && c.presence(address, call.AnswerDeadline) != connector.Present {
		return Answer{}, errors.Wrap(connector.ErrCut, "closed by a service that may have ended")
	}
	return Answer{
		Status:      answer.Header.StatusCode(),
		ContentType: string(answer.Header.ContentType()),
		Body:        body,
		Notice:      observer.Read(time.Now(), &answer.Header),
	}, nil
}

// Package forwarder is the client of plain services. It sends a request as the
// caller made it and returns the answer only when it is whole.
package forwarder

import (
	"context"
	"io"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

var (
	// ErrTooLarge tells that an answer is larger than the system relays.
	ErrTooLarge = errors.New("answer of service too large")
	// ErrCrossed tells that an answer names another request.
	ErrCrossed = errors.New("answer of service belongs to another request")
	// ErrUnframed tells that an answer does not say where it ends, so that it
	// cannot be told from a part of it.
	ErrUnframed = errors.New("answer of service has no length")
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
	Fresh       bool
	Until       time.Time
	// Context ends the call when it is done; it may be nil.
	Context context.Context
}

// Answer is a whole answer.
type Answer struct {
	Status      int
	ContentType string
	Body        []byte
}

// Client talks to services over one connection pool for each target.
type Client struct {
	pools *connector.Pools
}

// New returns a client.
func New() *Client {
	return &Client{pools: connector.NewPools()}
}

// Prune closes connections that have not been used for a while.
func (c *Client) Prune(now time.Time) { c.pools.Prune(now) }

// Do sends a request to the service at address. Path and query go out byte by
// byte as they are. The error is ErrTooLarge, ErrCrossed, ErrUnframed or one of
// the connector's.
func (c *Client) Do(address string, call Call) (Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(call.Method)
	// The URI of the request itself would be normalized, that of its header is not.
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
		Request: req, Fresh: call.Fresh, FirstByte: call.Until, Until: call.Until, Context: call.Context,
	})
	if err != nil {
		return Answer{}, err
	}
	defer answer.Close()
	// A plain service need not echo the ID, but must not answer with another.
	if id := answer.Header.Peek(headerRequestID); len(id) > 0 && string(id) != call.ID {
		answer.Discard()
		return Answer{}, errors.Wrapf(ErrCrossed, "want %q, got %q", call.ID, id)
	}
	if !answer.IsFramed() {
		answer.Discard()
		return Answer{}, ErrUnframed
	}
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return Answer{}, err
	}
	if len(body) > maxAnswerBytes {
		return Answer{}, ErrTooLarge
	}
	return Answer{
		Status:      answer.Header.StatusCode(),
		ContentType: string(answer.Header.ContentType()),
		Body:        body,
	}, nil
}

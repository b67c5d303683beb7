// Package relayer relays a caller's request to its home, the instance that may run it,
// and returns the answer of that instance.
package relayer

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

var (
	// ErrCrossed means that an answer belongs to another request.
	ErrCrossed = errors.New("relayed answer belongs to another request")
	// ErrUnframed means that an answer has neither a length nor chunks. Instances send one
	// of them, and without them a broken-off answer would look complete.
	ErrUnframed = errors.New("relayed answer has neither a length nor chunks")
)

const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline"
)

// HeaderRelayed marks a request that an instance relayed; it is not relayed again.
const HeaderRelayed = "X-Relayed-By"

// Client sends requests to peers, with a connection pool for each peer.
type Client struct {
	instance string
	pools    *connector.Pools
}

// New returns a client that names instance in HeaderRelayed.
func New(instance string) *Client {
	return &Client{instance: instance, pools: connector.NewPools()}
}

// Prune closes idle connections that have expired at now.
func (c *Client) Prune(now time.Time) { c.pools.Prune(now) }

// Copy describes the copy of a caller's request that is sent to its home.
type Copy struct {
	Request *fasthttp.Request
	// ID is the request ID; the answer must have the same one.
	ID string
	// AnswerDeadline is the deadline for the whole answer.
	AnswerDeadline time.Time
	// Context cancels the relaying when it is done; it may be nil.
	Context context.Context
}

// hopHeaders are the hop-by-hop headers, which apply to one connection and are not
// relayed.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	"Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade,
	fasthttp.HeaderExpect,
}

// Do sends a copy of a request to the instance at address and returns its answer,
// which must be closed. The target of the request line is sent verbatim. The error is
// ErrCrossed, ErrUnframed or one of the connector's.
func (c *Client) Do(address string, copied Copy) (*connector.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	// Only the header is copied, since a whole request includes its parsed URI, which
	// is normalized.
	copied.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(copied.Request.Body())
	removeHopHeaders(&req.Header)
	req.Header.Set(HeaderRelayed, c.instance)
	req.Header.Set(headerRequestID, copied.ID)
	req.Header.Set(headerDeadline, copied.AnswerDeadline.UTC().Format(time.RFC3339Nano))
	answer, err := c.pools.For(address).Do(connector.Call{
		Request: req, Fresh: true, FirstByte: copied.AnswerDeadline, AnswerDeadline: copied.AnswerDeadline, Context: copied.Context,
	})
	if err != nil {
		return nil, err
	}
	if id := answer.Header.Peek(headerRequestID); string(id) != copied.ID {
		answer.Discard()
		return nil, errors.Wrapf(ErrCrossed, "want %q, got %q", copied.ID, id)
	}
	if answer.Framing() == connector.FramedByClose {
		answer.Discard()
		return nil, ErrUnframed
	}
	return answer, nil
}

// removeHopHeaders removes hopHeaders and the headers that Connection names.
func removeHopHeaders(header *fasthttp.RequestHeader) {
	for name := range strings.SplitSeq(string(header.Peek(fasthttp.HeaderConnection)), ",") {
		if name = strings.TrimSpace(name); name != "" {
			header.Del(name)
		}
	}
	for _, name := range hopHeaders {
		header.Del(name)
	}
}

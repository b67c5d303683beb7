// Package relayer sends a caller's request on to the instance that is its home
// and hands back that instance's answer.
package relayer

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

// ErrCrossed tells that an answer belongs to another request.
var ErrCrossed = errors.New("relayed answer belongs to another request")

const (
	headerRequestID = "X-Request-Id"
	headerDeadline  = "X-Deadline"
)

// HeaderRelayed marks a request that an instance sent on; it is not sent on again.
const HeaderRelayed = "X-Relayed-By"

// Client sends requests to peers over one connection pool for each.
type Client struct {
	instance string
	pools    *connector.Pools
}

// New returns a client of instance.
func New(instance string) *Client {
	return &Client{instance: instance, pools: connector.NewPools()}
}

// Prune closes connections that have not been used for a while.
func (c *Client) Prune(now time.Time) { c.pools.Prune(now) }

// Copy describes the copy of a caller's request that goes to its home.
type Copy struct {
	Request *fasthttp.Request
	// ID is the ID of the request, which the answer must name.
	ID      string
	Until   time.Time
	Context context.Context
}

// hopHeaders concern one connection and are not sent on.
var hopHeaders = []string{
	fasthttp.HeaderConnection, fasthttp.HeaderKeepAlive, fasthttp.HeaderProxyAuthenticate, fasthttp.HeaderProxyAuthorization,
	"Proxy-Connection", fasthttp.HeaderTE, fasthttp.HeaderTrailer, fasthttp.HeaderTransferEncoding, fasthttp.HeaderUpgrade,
	fasthttp.HeaderExpect,
}

// Do sends a copy of a request to the instance at address and returns its
// answer, which the caller must close. The target of the request line goes out
// byte by byte as the caller wrote it. The error is ErrCrossed or one of the
// connector's.
func (c *Client) Do(address string, copied Copy) (*connector.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	// Copying the whole request would copy its parsed URI too, which is normalized.
	copied.Request.Header.CopyTo(&req.Header)
	req.SetBodyRaw(copied.Request.Body())
	removeHopHeaders(&req.Header)
	req.Header.Set(HeaderRelayed, c.instance)
	req.Header.Set(headerRequestID, copied.ID)
	req.Header.Set(headerDeadline, copied.Until.UTC().Format(time.RFC3339Nano))
	answer, err := c.pools.For(address).Do(connector.Call{
		Request: req, Fresh: true, FirstByte: copied.Until, Until: copied.Until, Context: copied.Context,
	})
	if err != nil {
		return nil, err
	}
	if id := answer.Header.Peek(headerRequestID); string(id) != copied.ID {
		answer.Discard()
		return nil, errors.Wrapf(ErrCrossed, "want %q, got %q", copied.ID, id)
	}
	return answer, nil
}

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

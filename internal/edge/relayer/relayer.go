// Package relayer sends a caller's request on to the instance that is its home
// and hands back that instance's answer.
package relayer

import (
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
)

// HeaderRelayed marks a request that an instance sent on; it is not sent on again.
const HeaderRelayed = "X-Relayed-By"

// Client sends requests to peers over one connection pool for each.
type Client struct {
	instance string
	mu       sync.Mutex
	pools    map[string]*connector.Pool
}

// New returns a client of instance.
func New(instance string) *Client {
	return &Client{instance: instance, pools: map[string]*connector.Pool{}}
}

// Do sends a copy of req to the instance at address and returns its answer,
// which the caller must close. The error is one of the connector's.
func (c *Client) Do(address string, req *fasthttp.Request, until time.Time) (*connector.Answer, error) {
	copied := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(copied)
	req.CopyTo(copied)
	copied.Header.Set(HeaderRelayed, c.instance)
	copied.Header.Del(fasthttp.HeaderConnection)
	return c.pool(address).Do(connector.Call{Request: copied, Fresh: true, FirstByte: until, Until: until})
}

func (c *Client) pool(address string) *connector.Pool {
	c.mu.Lock()
	defer c.mu.Unlock()
	pool := c.pools[address]
	if pool == nil {
		pool = connector.New(address)
		c.pools[address] = pool
	}
	return pool
}

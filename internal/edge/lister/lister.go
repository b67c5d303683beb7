// Package lister is the client of the platform's instance list.
package lister

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// ErrUnavailable tells that the instance list cannot be read.
var ErrUnavailable = errors.New("instance list unavailable")

// Kinds and states of listed instances.
const (
	KindEntry    = "Entry"
	KindEngine   = "Engine"
	KindService  = "Service"
	StateLeaving = "Leaving"
)

const callTimeout = time.Second

// Client reads the list of one platform.
type Client struct {
	base   string
	poster *poster.Client

	mu   sync.Mutex
	tag  string
	last []messenger.ListedInstance
}

// New returns a client for the platform at base, an HTTP URL without path.
func New(base string, p *poster.Client) *Client {
	return &Client{base: base, poster: p}
}

// List returns the present list, which must not be changed. A list that is still
// the one read before is not sent again by a platform that tags its answers. The
// error is ErrUnavailable.
func (c *Client) List() ([]messenger.ListedInstance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list messenger.InstanceList
	tag, err := c.poster.DoTagged(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      c.base + "/v1/instances",
		Out:      &list,
		Deadline: time.Now().Add(callTimeout),
		Tag:      c.tag,
	})
	if errors.Is(err, poster.ErrNotModified) {
		return c.last, nil
	}
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.tag = tag
	c.last = list.Instances
	return list.Instances, nil
}

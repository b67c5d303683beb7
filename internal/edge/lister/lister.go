// Package lister is the client of the platform's instance list.
package lister

import (
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
}

// New returns a client for the platform at base, an HTTP URL without path.
func New(base string, p *poster.Client) *Client {
	return &Client{base: base, poster: p}
}

// List returns the present list. The error is ErrUnavailable.
func (c *Client) List() ([]messenger.ListedInstance, error) {
	var list messenger.InstanceList
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      c.base + "/v1/instances",
		Out:      &list,
		Deadline: time.Now().Add(callTimeout),
	})
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return list.Instances, nil
}

// Package lister is the client of the platform's instance list. It caches the last
// list, so that a platform that tags its answers sends a list only if it has changed.
package lister

import (
	"encoding/json"
	"sync"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// ErrUnavailable means that the instance list cannot be read.
var ErrUnavailable = errors.New("instance list unavailable")

// Kinds and states of listed instances.
const (
	KindEntry    = "Entry"
	KindEngine   = "Engine"
	KindService  = "Service"
	StateLeaving = "Leaving"
)

const callTimeout = time.Second

// Client reads the instance list of one platform.
type Client struct {
	base   string
	poster *poster.Client

	mu sync.Mutex
	// tag is the ETag of lastList; empty if the platform sent none.
	tag      string
	lastList []messenger.ListedInstance
}

// New returns a client for the platform at base, an HTTP URL without path.
func New(base string, p *poster.Client) *Client {
	return &Client{base: base, poster: p}
}

// List returns the current list, which must not be modified. A platform that tags its
// answers does not send an unchanged list again. The error is ErrUnavailable.
func (c *Client) List() ([]messenger.ListedInstance, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list struct{ Instances []json.RawMessage }
	tag, err := c.poster.DoWithETag(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      c.base + "/v1/instances",
		Out:      &list,
		Deadline: time.Now().Add(callTimeout),
		ETag:     c.tag,
	})
	if errors.Is(err, poster.ErrNotModified) {
		return c.lastList, nil
	}
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	c.tag = tag
	c.lastList = decodeEntries(list.Instances)
	return c.lastList, nil
}

// decodeEntries decodes the entries of a list and leaves out those that cannot be read: another
// writer may have left them.
func decodeEntries(entries []json.RawMessage) []messenger.ListedInstance {
	out := make([]messenger.ListedInstance, 0, len(entries))
	for _, entry := range entries {
		var in messenger.ListedInstance
		if json.Unmarshal(entry, &in) == nil && in.ID != "" {
			out = append(out, in)
		}
	}
	return out
}

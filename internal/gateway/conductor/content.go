package conductor

import (
	"context"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/splitter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// Loss describes a request whose connection to a target was cut before its whole answer
// arrived.
type Loss struct {
	Request string
	Service string
	Target  *registrar.Target
	Content quarantiner.Fingerprint
}

// WithLossObserver sets the function that is called for each request whose connection to a
// target was cut. The request goes on once it returns.
func WithLossObserver(lost func(ctx context.Context, loss Loss)) Option {
	return func(c *Conductor) { c.lost = lost }
}

// Probe reports whether a target accepts connections; see connector.Pool.Probe.
func (c *Conductor) Probe(address string, until time.Time, onConnect func()) connector.Presence {
	return c.pools.For(address).Probe(until, onConnect)
}

// contentOf returns the fingerprint of what a request asks to run. It is the same each time a
// caller sends the request; its ID, its deadline and the event that a stream goes on from are
// no part of it.
func (c *Conductor) contentOf(q *request) quarantiner.Fingerprint {
	if q.content != (quarantiner.Fingerprint{}) {
		return q.content
	}
	r := q.httpRequest
	parts := [][]byte{
		[]byte(r.Method), []byte(strings.ToLower(r.Host)), []byte(r.RequestURI), []byte(r.Header.Get(c.headers.Account)), q.body,
	}
	for _, name := range c.headers.Content {
		parts = append(parts, []byte(r.Header.Get(name)))
	}
	q.content = quarantiner.FingerprintOf(parts...)
	return q.content
}

// noteCut records that the connection to a target was cut, if that is what err says.
func (q *request) noteCut(target *registrar.Target, err error) {
	if errors.Is(err, connector.ErrCut) || errors.Is(err, splitter.ErrTruncated) {
		q.cutAt = target
	}
}

// observeLoss reports that the connection of the last send was cut.
func (c *Conductor) observeLoss(ctx context.Context, q *request) {
	target := q.cutAt
	if target == nil {
		return
	}
	q.cutAt = nil
	c.lost(ctx, Loss{Request: q.id, Service: q.service, Target: target, Content: c.contentOf(q)})
}

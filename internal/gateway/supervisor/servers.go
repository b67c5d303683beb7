package supervisor

import (
	"context"
	"encoding/json"
	"net"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// headTimeout bounds how long a caller may take to send the head of a request.
	headTimeout = 10 * time.Second
	// idleTimeout is longer than callers keep an idle connection for use.
	idleTimeout = 60 * time.Second
	// maxHead bounds the head of a request.
	maxHead = 64 << 10
	// locateSeconds is how long callers may keep the addresses: short, so that an
	// instance that stops or starts is noticed soon.
	locateSeconds = 1.0
)

// servers are the open listeners of an instance.
type servers struct {
	callers *http.Server
	// others serve peers, the platform and callers that look for an address.
	others []*fasthttp.Server
	failed chan error
	// loads takes the datagrams of peers.
	loads *net.UDPConn
}

// listen opens all listeners.
func (s *Supervisor) listen() (*servers, error) {
	out := &servers{failed: make(chan error, 6)}
	handlers := map[string]fasthttp.RequestHandler{
		s.settings.PeerAddress:      s.servePeer,
		s.settings.ReadinessAddress: s.serveReadiness,
		s.settings.LocatorAddress:   s.serveLocator,
	}
	if s.settings.MetricsAddress != "" {
		handlers[s.settings.MetricsAddress] = s.serveMetrics
	}
	for address, handler := range handlers {
		listener, err := net.Listen("tcp4", address)
		if err != nil {
			return nil, errors.Wrap(err, "listen")
		}
		server := &fasthttp.Server{
			Handler: handler, IdleTimeout: idleTimeout, ReadTimeout: headTimeout, NoDefaultServerHeader: true,
			NoDefaultDate: true, MaxRequestBodySize: 16 << 20,
		}
		out.others = append(out.others, server)
		go func() { out.failed <- server.Serve(listener) }()
	}
	if err := s.listenLoads(out); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.settings.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	out.callers = &http.Server{
		Handler: s.conductor, ReadHeaderTimeout: headTimeout, IdleTimeout: idleTimeout, MaxHeaderBytes: maxHead,
	}
	go func() {
		if err := out.callers.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
			out.failed <- err
		}
	}()
	return out, nil
}

// isReady reports whether callers should use this instance.
func (s *Supervisor) isReady() bool {
	view := s.registry.View()
	return view.Manifest != nil && s.targets.Version() > 0 && !s.leaving.Load()
}

func (s *Supervisor) serveReadiness(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != s.platform.ReadinessPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	if !s.isReady() {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
	}
}

func (s *Supervisor) serveMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("text/plain; version=0.0.4")
	if err := s.measurer.WriteText(ctx); err != nil {
		s.log.Error(err, "metrics not served")
	}
}

// serveLocator tells a caller which addresses to use.
func (s *Supervisor) serveLocator(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) != s.platform.LocatorPath {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	addresses := s.locations()
	if len(addresses) == 0 {
		ctx.SetStatusCode(fasthttp.StatusServiceUnavailable)
		return
	}
	body, err := s.platform.EncodeLocations(addresses, min(locateSeconds, s.settings.Bounds.LocateSeconds))
	if err != nil {
		s.log.Error(err, "locations not encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// maxLocations is the greatest number of addresses that callers take.
const maxLocations = 64

// locations returns the addresses of instances that are ready. Where there are more than
// callers take, each instance names those that follow it by name, so that all are named
// as often.
func (s *Supervisor) locations() []string {
	out := []string{}
	if s.isReady() {
		out = append(out, s.settings.CallerAddress)
	}
	for _, peer := range following(s.settings.Instance, s.informer.Peers()) {
		if peer.News.Ready && !peer.News.Leaving && len(out) < maxLocations {
			out = append(out, peer.News.CallerAddress)
		}
	}
	return out
}

// following returns peers, which are ordered by name, from the first after a name round
// to the last before it.
func following(name string, peers []informer.Peer) []informer.Peer {
	first := sort.Search(len(peers), func(i int) bool { return peers[i].News.Instance > name })
	return slices.Concat(peers[first:], peers[:first])
}

func (s *Supervisor) servePeer(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathNews:
		var news messenger.GatewayNews
		if s.decode(ctx, &news) {
			s.informer.Take(news)
			s.encode(ctx, s.news(informer.Audience{IsHolder: news.Holder, DataCentre: news.DataCentre}))
		}
	case pathChanges:
		s.serveChanges(ctx)
	case pathTable:
		s.serveTable(ctx)
	case pathAdapter:
		s.serveAdapter(ctx)
	case pathModel:
		s.serveModel(ctx)
	default:
		ctx.SetStatusCode(fasthttp.StatusNotFound)
	}
}

func (s *Supervisor) serveTable(ctx *fasthttp.RequestCtx) {
	table := s.follower(string(ctx.QueryArgs().Peek("name")))
	if table == nil {
		ctx.SetStatusCode(fasthttp.StatusNotFound)
		return
	}
	s.encode(ctx, table.Snapshot())
}

// adapterWait bounds how long a peer waits for an adapter.
const adapterWait = 1400 * time.Millisecond

func (s *Supervisor) serveAdapter(ctx *fasthttp.RequestCtx) {
	var request messenger.AdapterRequest
	if !s.decode(ctx, &request) {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), adapterWait)
	defer cancel()
	target, err := s.foreman.EnsureAdapter(wait, request.Service, request.Model, request.Adapter)
	if err != nil {
		s.log.V(1).Info("adapter not served", "model", request.Model, "adapter", request.Adapter, "error", err.Error())
	}
	s.encode(ctx, messenger.AdapterResponse{Target: target})
}

// modelWait bounds how long a peer waits for word of a model.
const modelWait = 500 * time.Millisecond

func (s *Supervisor) serveModel(ctx *fasthttp.RequestCtx) {
	var request messenger.ModelRequest
	if !s.decode(ctx, &request) {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), modelWait)
	defer cancel()
	expected, err := s.foreman.ExpectModel(wait, request.Service, request.Model)
	if err != nil {
		s.log.V(1).Info("model not expected", "model", request.Model, "error", err.Error())
		expected = -time.Millisecond
	}
	s.encode(ctx, messenger.ModelResponse{ServesInMilliseconds: expected.Milliseconds()})
}

func (s *Supervisor) decode(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		s.log.Error(err, "message of a peer cannot be read", "path", string(ctx.Path()))
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return false
	}
	return true
}

func (s *Supervisor) encode(ctx *fasthttp.RequestCtx, value any) {
	body, err := json.Marshal(value)
	if err != nil {
		s.log.Error(err, "message to a peer not encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

package supervisor

import (
	"context"
	"encoding/json"
	"io"
	"log"
	"net"
	"net/http"
	"slices"
	"sort"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/informer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// maxLocationSeconds is how long callers may use the addresses from a locator. It is
// short, so that callers soon notice an instance that stops or starts.
const maxLocationSeconds = 1.0

// servers holds the open listeners of an instance.
type servers struct {
	callers *http.Server
	// others serve peers, readiness checks, the locator and the metrics.
	others []*fasthttp.Server
	failed chan error
	// loadConn receives the datagrams of peers.
	loadConn *net.UDPConn
}

// listen opens all listeners and starts to serve them.
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
		server := s.guardedServer(address, handler)
		out.others = append(out.others, server)
		go func() { out.failed <- server.Serve(s.guards.of(address).Wrap(listener)) }()
	}
	if err := s.listenLoads(out); err != nil {
		return nil, err
	}
	listener, err := net.Listen("tcp4", s.settings.CallerAddress)
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	// The guard bounds the time of heads and of idle connections, and the size of heads.
	out.callers = &http.Server{
		Handler: s.conductor, ConnContext: conductor.ConnContext, ConnState: guarder.HTTPState,
		MaxHeaderBytes: guarder.DefaultHeadBytes, ErrorLog: log.New(io.Discard, "", 0),
	}
	go func() {
		err := out.callers.Serve(s.guards.of(s.settings.CallerAddress).Wrap(listener))
		if !errors.Is(err, http.ErrServerClosed) {
			out.failed <- err
		}
	}()
	return out, nil
}

// isReady reports whether callers should use this instance.
func (s *Supervisor) isReady() bool {
	view := s.registry.View()
	return view.Manifest != nil && !s.targets.Version().IsZero() && !s.verdictRows.isWaiting.Load() && !s.leaving.Load()
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
		s.log.Error(err, "metrics not written")
	}
}

// serveLocator serves the addresses that a caller should use.
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
	body, err := s.platform.EncodeLocations(addresses, min(maxLocationSeconds, s.settings.Bounds.LocateSeconds))
	if err != nil {
		s.log.Error(err, "locations not encoded")
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

// maxLocations is the largest number of addresses that callers accept.
const maxLocations = 64

// locations returns the caller addresses of the instances that are ready. Where there are
// more than maxLocations, each instance returns those that follow it by name, so that all
// are returned equally often.
func (s *Supervisor) locations() []string {
	ready := []informer.Peer{}
	for _, peer := range peersAfter(s.settings.Instance, s.informer.Peers()) {
		if peer.LastStatus.Ready && !peer.LastStatus.Leaving {
			ready = append(ready, peer)
		}
	}
	isListed, peers := omitUnconfirmed(s.isReady(), s.isUnconfirmed(), ready)
	out := []string{}
	if isListed {
		out = append(out, s.settings.CallerAddress)
	}
	for _, peer := range peers[:min(len(peers), maxLocations-len(out))] {
		out = append(out, peer.LastStatus.CallerAddress)
	}
	return out
}

// peersAfter returns peers, which are ordered by name, rotated to start with the first
// one after name.
func peersAfter(name string, peers []informer.Peer) []informer.Peer {
	first := sort.Search(len(peers), func(i int) bool { return peers[i].LastStatus.Instance > name })
	return slices.Concat(peers[first:], peers[:first])
}

func (s *Supervisor) servePeer(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case pathStatus:
		var status messenger.GatewayNews
		if s.decode(ctx, &status) {
			s.informer.ReceiveStatus(status)
			answer := s.status(informer.Recipient{IsHolder: status.Holder, DataCentre: status.DataCentre})
			answer.Quota = s.delegation(status.Instance)
			s.encode(ctx, answer)
		}
	case pathChanges:
		s.serveChanges(ctx)
	case pathTable:
		s.serveTable(ctx)
	case pathAdapter:
		s.serveAdapter(ctx)
	case pathModel:
		s.serveModel(ctx)
	case pathPermit:
		s.servePermit(ctx)
	case pathCrash:
		s.serveCrash(ctx)
	case pathTrial:
		s.serveTrial(ctx)
	case pathQuota:
		s.serveQuota(ctx)
	case pathVerdicts:
		s.serveVerdicts(ctx)
	case pathSlot:
		s.slots.serveAsk(ctx)
	case pathSlotEnds:
		s.slots.serveReleases(ctx)
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

// adapterTimeout bounds how long a peer waits for an adapter to be loaded.
const adapterTimeout = 1400 * time.Millisecond

func (s *Supervisor) serveAdapter(ctx *fasthttp.RequestCtx) {
	var request messenger.AdapterRequest
	if !s.decode(ctx, &request) {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), adapterTimeout)
	defer cancel()
	target, err := s.foreman.EnsureAdapter(wait, request.Service, request.Model, request.Adapter)
	if err != nil {
		s.log.V(1).Info("adapter not served", "model", request.Model, "adapter", request.Adapter, "error", err.Error())
	}
	s.encode(ctx, messenger.AdapterResponse{Target: target})
}

// modelTimeout bounds how long a peer waits for the answer when a model will be served.
const modelTimeout = 500 * time.Millisecond

func (s *Supervisor) serveModel(ctx *fasthttp.RequestCtx) {
	var request messenger.ModelRequest
	if !s.decode(ctx, &request) {
		return
	}
	wait, cancel := context.WithTimeout(context.Background(), modelTimeout)
	defer cancel()
	expected, err := s.foreman.TimeUntilServed(wait, request.Service, request.Model)
	if err != nil {
		s.log.V(1).Info("model not expected", "model", request.Model, "error", err.Error())
		expected = -time.Millisecond
	}
	s.encode(ctx, messenger.ModelResponse{ServesInMilliseconds: expected.Milliseconds()})
}

func (s *Supervisor) decode(ctx *fasthttp.RequestCtx, out any) bool {
	if err := json.Unmarshal(ctx.PostBody(), out); err != nil {
		s.log.Error(err, "message of a peer cannot be decoded", "path", string(ctx.Path()))
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

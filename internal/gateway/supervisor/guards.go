package supervisor

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

const (
	// requestTimeout bounds how long a request to another address than that of callers may
	// take to arrive, and otherIdleTimeout how long such a connection may be idle.
	requestTimeout   = 10 * time.Second
	otherIdleTimeout = time.Minute
	// quietTimeout is how long a connection to these addresses may send nothing within a
	// request before it is closed for a new one. The longest wait there is adapterTimeout.
	quietTimeout = 3 * time.Second
	// maxMessageBytes bounds a message of a peer, and maxQueryBytes the body of a request to
	// the other addresses, which have no use for one.
	maxMessageBytes = 16 << 20
	maxQueryBytes   = 4 << 10
	// maxIdleMargin is added to the idle timeout of the manifest, so that the caller closes a
	// connection first.
	maxIdleMargin = time.Second
)

// Shares of the descriptors of the connections at each address. The rest is for connections
// to targets, peers and the store: each request of a caller may need one.
const (
	callerConnShare    = 0.45
	peerConnShare      = 0.1
	locatorConnShare   = 0.06
	readinessConnShare = 0.02
	metricsConnShare   = 0.02
)

// guards bound what clients take from this instance.
type guards struct {
	budget    *guarder.Budget
	byAddress map[string]*guarder.Guard
	sizes     guarder.Sizes
}

func (g *guards) of(address string) *guarder.Guard { return g.byAddress[address] }

// newGuards returns the guards of all addresses.
func (s *Supervisor) newGuards() *guards {
	sizes := guarder.SizesOf(s.settings.MemoryMegabytes, s.settings.MaxDescriptors)
	out := &guards{sizes: sizes, budget: guarder.NewBudget(sizes.BudgetBytes), byAddress: map[string]*guarder.Guard{}}
	add := func(address string, conns int, options ...guarder.Option) {
		options = append(options, guarder.WithRefusals(s.countRefusedClient))
		out.byAddress[address] = guarder.New(out.budget, conns, options...)
	}
	metered := []guarder.Option{guarder.WithMetering(guarder.Control), guarder.WithCloseAfter(quietTimeout)}
	add(s.settings.PeerAddress, sizes.Conns(peerConnShare), metered...)
	add(s.settings.ReadinessAddress, sizes.Conns(readinessConnShare), metered...)
	add(s.settings.LocatorAddress, sizes.Conns(locatorConnShare), metered...)
	add(s.settings.MetricsAddress, sizes.Conns(metricsConnShare), metered...)
	add(s.settings.CallerAddress, sizes.CallerConns(callerConnShare), guarder.WithLimits(s.callerLimits))
	return out
}

// boundMemory gives Go's runtime the memory limit of the machine.
func (s *Supervisor) boundMemory() {
	sizes := s.guards.sizes
	sizes.Apply()
	s.log.Info("limits on what clients may use", "budgetBytes", sizes.BudgetBytes, "heapBytes", sizes.HeapBytes,
		"descriptors", sizes.Descriptors, "callerConnections", sizes.CallerConns(callerConnShare))
}

// callerLimits returns the limits of the manifest in force, with defaults for those it does
// not set.
func (s *Supervisor) callerLimits() guarder.Limits {
	out := guarder.DefaultLimits()
	manifest := s.registry.View().Manifest
	if manifest == nil {
		return out
	}
	limits := manifest.Limits
	if limits.HeaderBytes > 0 {
		out.HeadBytes = min(limits.HeaderBytes, guarder.DefaultHeadBytes)
	}
	if limits.HeaderTimeoutMilliseconds > 0 {
		out.HeadTimeout = time.Duration(limits.HeaderTimeoutMilliseconds) * time.Millisecond
	}
	if limits.IdleTimeoutMilliseconds > 0 {
		out.IdleTimeout = time.Duration(limits.IdleTimeoutMilliseconds)*time.Millisecond + maxIdleMargin
	}
	return out
}

func (s *Supervisor) countRefusedClient(cause guarder.Cause) {
	s.measurer.CountEvent(measurer.ClientEvent(string(cause)), 1)
}

// guardedServer returns the server of an address other than that of callers.
func (s *Supervisor) guardedServer(address string, handler fasthttp.RequestHandler) *fasthttp.Server {
	maxBytes := maxQueryBytes
	if address == s.settings.PeerAddress {
		maxBytes = maxMessageBytes
	}
	return &fasthttp.Server{
		Handler: guarder.ReadWhole(handler, maxBytes, refuseMessage), IdleTimeout: otherIdleTimeout, ReadTimeout: requestTimeout, NoDefaultServerHeader: true,
		NoDefaultDate: true, MaxRequestBodySize: maxBytes, ConnState: guarder.FastState,
		// The memory of a body is taken as it arrives, not as it is announced.
		StreamRequestBody: true,
	}
}

// refuseMessage refuses a request whose body was not read.
func refuseMessage(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, guarder.ErrBodyTooLarge) {
		ctx.SetStatusCode(fasthttp.StatusRequestEntityTooLarge)
		return
	}
	ctx.SetStatusCode(fasthttp.StatusRequestTimeout)
}

// registerGauges adds the use of the budget and the open connections to the metrics.
func (s *Supervisor) registerGauges() {
	s.measurer.RegisterGauge("Memory.Limit", s.guards.budget.Limit)
	for _, share := range guarder.Shares() {
		s.measurer.RegisterGauge("Memory."+share.String(), func() int64 { return s.guards.budget.Used(share) })
	}
	callers := s.guards.of(s.settings.CallerAddress)
	s.measurer.RegisterGauge("Connections.Callers", func() int64 { return int64(callers.Open()) })
}

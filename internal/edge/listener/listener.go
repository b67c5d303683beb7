// Package listener is the HTTP server of an instance for callers, operators and
// peers. It answers every request that it does not run with a typed refusal that
// says whether the request may have run.
package listener

import (
	"context"
	"crypto/rand"
	"encoding/json"
	"io"
	"log"
	"net"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/edge/guarder"
	"github.com/crocusring/crocusring/internal/edge/relayer"
	"github.com/crocusring/crocusring/internal/peer/exchanger"
	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	maxBodyBytes      = 8 << 20
	maxHeaderBytes    = 16 << 10
	defaultDeadline   = time.Minute
	maxDeadline       = 10 * time.Minute
	headerRequestID   = "X-Request-Id"
	headerKey         = "X-Request-Key"
	headerPriority    = "X-Priority"
	headerDeadline    = "X-Deadline"
	headerRepeatable  = "X-Repeatable"
	lowestPriority    = 0
	highestPriority   = 9
	defaultPriority   = 5
	maxRequestIDBytes = 100
)

// Config holds the settings and dependencies of a listener. All fields must be set.
type Config struct {
	// Home identifies this instance and its incarnation.
	Home deduper.Home
	// Address is where callers reach this instance.
	Address    string
	DataCentre string
	// OperatorDigest is the SHA-256 digest of the operators' credential.
	OperatorDigest [32]byte
	// PeerCredential is the credential that all instances share.
	PeerCredential string
	Tree           *configurer.Tree
	Configurer     *configurer.Configurer
	Fleet          *keeper.Fleet
	Admitter       *admitter.Admitter
	Dispatcher     *dispatcher.Dispatcher
	Keys           *deduper.Table
	Claimer        *deduper.Claimer
	Exchanger      *exchanger.Exchanger
	Measurer       *measurer.Measurer
	Log            logr.Logger
	// Ready returns nil, or why this instance does not accept requests.
	Ready func() error
	// Leaving reports whether a planned stop has begun.
	Leaving func() bool
	// Drained reports whether, in a planned stop, the last locate answer that names
	// this instance has expired, so that new requests are refused.
	Drained func() bool
	// StopsAt returns when a planned stop cuts the requests that are not answered; zero while none
	// has begun.
	StopsAt func() time.Time
	// ConfirmChange is called after a change of settings was committed. It returns the
	// instances that are not known to have applied it, and whether most instances have.
	ConfirmChange func(revision int64) (pending []string, confirmed bool)
	// Status returns the state of the system as this instance sees it.
	Status func() messenger.StatusAnswer
}

// Listener serves HTTP.
type Listener struct {
	Config

	relay    *relayer.Client
	server   *fasthttp.Server
	guard    *guarder.Guard
	inFlight atomic.Int64
	now      func() time.Time

	locatedMu sync.Mutex
	// locatedUntil maps the ID of an instance to the time at which the last locate
	// answer that names the instance expires.
	locatedUntil map[string]time.Time

	busyMu sync.Mutex
	// busyConns are the connections with a request whose answer is not yet written.
	busyConns map[net.Conn]struct{}
	// keyedUntil is the time until which callers may request the answers to keyed
	// requests again.
	keyedUntil time.Time
}

// New returns a listener.
func New(parts Config) *Listener {
	l := &Listener{
		Config: parts, relay: relayer.New(parts.Home.Instance), now: time.Now,
		locatedUntil: map[string]time.Time{}, busyConns: map[net.Conn]struct{}{},
	}
	l.guard = newGuard(parts)
	l.server = &fasthttp.Server{
		Handler:               guarder.ReadWhole(l.handle, maxBodyBytes, handleReadError),
		StreamRequestBody:     true,
		ReadTimeout:           requestTimeout,
		ErrorHandler:          handleReadError,
		MaxRequestBodySize:    maxBodyBytes,
		ReadBufferSize:        maxHeaderBytes,
		NoDefaultServerHeader: true,
		CloseOnShutdown:       true,
		ConnState:             l.trackConn,
		IdleTimeout:           time.Minute,
		// Errors of connections are logged where they are handled.
		Logger: log.New(io.Discard, "", 0),
	}
	return l
}

// Serve accepts connections on ln and answers their requests until Shutdown.
func (l *Listener) Serve(ln net.Listener) error {
	return l.server.Serve(l.guard.Wrap(ln))
}

// Prune closes connections to peers that have not been used for a while.
func (l *Listener) Prune(now time.Time) { l.relay.Prune(now) }

// Shutdown stops accepting connections and waits for requests in flight until ctx is
// done.
func (l *Listener) Shutdown(ctx context.Context) error {
	return l.server.ShutdownWithContext(ctx)
}

// InFlight returns the number of callers' requests in flight.
func (l *Listener) InFlight() int {
	return int(l.inFlight.Load())
}

// Busy returns the number of connections with a request whose answer is not yet
// written, including relayed and repeated answers.
func (l *Listener) Busy() int {
	l.busyMu.Lock()
	defer l.busyMu.Unlock()
	return len(l.busyConns)
}

func (l *Listener) trackConn(conn net.Conn, state fasthttp.ConnState) {
	guarder.FastState(conn, state)
	l.busyMu.Lock()
	defer l.busyMu.Unlock()
	if state == fasthttp.StateActive {
		l.busyConns[conn] = struct{}{}
		return
	}
	delete(l.busyConns, conn)
}

// KeyedAnswersUntil returns the time until which callers may request the answers to
// keyed requests again.
func (l *Listener) KeyedAnswersUntil() time.Time {
	l.busyMu.Lock()
	defer l.busyMu.Unlock()
	return l.keyedUntil
}

// extendKeyedUntil records that a keyed request ended at now.
func (l *Listener) extendKeyedUntil(now time.Time) {
	l.busyMu.Lock()
	defer l.busyMu.Unlock()
	l.keyedUntil = now.Add(locateTTL)
}

func handleReadError(ctx *fasthttp.RequestCtx, err error) {
	if errors.Is(err, fasthttp.ErrBodyTooLarge) || errors.Is(err, guarder.ErrBodyTooLarge) {
		drain(guarder.Unmetered(ctx.Conn()))
		writeRefusal(ctx, fasthttp.StatusRequestEntityTooLarge, messenger.Refusal{
			Code: CodeTooLarge, Message: err.Error(), NotRun: true,
		})
		return
	}
	var timeout net.Error
	if errors.Is(err, fasthttp.ErrTimeout) || (errors.As(err, &timeout) && timeout.Timeout()) {
		writeRefusal(ctx, fasthttp.StatusRequestTimeout, messenger.Refusal{
			Code: CodeTooSlow, Message: "the request did not arrive in time", NotRun: true,
		})
		return
	}
	refuse(ctx, "", errors.Wrap(errBadRequest, err.Error()))
}

const (
	maxDrainedBytes  = 64 << 20
	drainReadTimeout = 200 * time.Millisecond
)

// drain discards what a caller still sends, so that the caller can read the refusal
// before its connection is closed.
func drain(conn net.Conn) {
	const partBytes = 32 << 10
	part := make([]byte, partBytes)
	for read := 0; read < maxDrainedBytes; {
		if conn.SetReadDeadline(time.Now().Add(drainReadTimeout)) != nil {
			return
		}
		n, err := conn.Read(part)
		if err != nil {
			return
		}
		read += n
	}
}

const (
	pathChat     = "/v1/chat/completions"
	pathServices = "/v1/services/"
	pathSettings = "/v1/settings"
)

func (l *Listener) handle(ctx *fasthttp.RequestCtx) {
	l.route(ctx)
	if l.Leaving() {
		ctx.Response.SetConnectionClose()
	}
}

func (l *Listener) route(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == pathChat && ctx.IsPost():
		l.handleChat(ctx)
	case strings.HasPrefix(path, pathServices):
		l.handleService(ctx)
	case path == "/v1/locate":
		l.handleLocate(ctx)
	case path == pathSettings && ctx.IsGet():
		l.handleReadSettings(ctx)
	case path == pathSettings && ctx.IsPost():
		l.handleChangeSettings(ctx)
	case path == "/v1/status":
		l.handleStatus(ctx)
	case path == "/healthz":
		ctx.SetBodyString("ok\n")
	case path == "/readyz":
		l.handleReady(ctx)
	case path == "/metrics":
		l.handleMetrics(ctx)
	case path == exchanger.PathHeartbeat:
		l.handleHeartbeat(ctx)
	case path == exchanger.PathSettings:
		l.handlePeerSettings(ctx)
	default:
		refuse(ctx, "", errors.Wrap(errNoPath, path))
	}
}

// requestID returns the request ID that the caller sent if it is well formed, and a
// random one otherwise.
func requestID(ctx *fasthttp.RequestCtx) string {
	given := ctx.Request.Header.Peek(headerRequestID)
	if len(given) == 0 || len(given) > maxRequestIDBytes {
		return rand.Text()
	}
	for _, c := range given {
		isWord := c >= 'a' && c <= 'z' || c >= 'A' && c <= 'Z' || c >= '0' && c <= '9' || c == '-' || c == '_' || c == '.'
		if !isWord {
			return rand.Text()
		}
	}
	return string(given)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		refuse(ctx, "", errors.Wrap(err, "encode answer"))
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

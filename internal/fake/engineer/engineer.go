// Package engineer is a fake model engine that is served over HTTP. It runs
// requests in a limited number of slots by priority, keeps a bounded prefix cache,
// executes orders with or without a check of their fencing tokens, reports its
// load with a lag, and injects faults on demand.
package engineer

import (
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/fake/breaker"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// States of a holding.
const (
	stateLoading = "Loading"
	stateLoaded  = "Loaded"
)

const (
	defaultSlots         = 16
	defaultTokenInterval = time.Millisecond
	defaultReportLag     = 100 * time.Millisecond
	defaultLoadTime      = 50 * time.Millisecond
	defaultRestartTime   = 300 * time.Millisecond
	maxAppliedOrders     = 64 // order IDs kept for the report
)

// Fault describes how the engine misbehaves. Its counters count down as requests and
// orders arrive.
type Fault struct {
	// LoseOrders is the number of next orders that are dropped without effect.
	LoseOrders int
	// LoseOrderAnswers is the number of next orders that take effect and whose
	// answer is lost.
	LoseOrderAnswers int
	// DelayOrders is the delay before each order is executed.
	DelayOrders time.Duration
	// LateOrders is the number of next orders whose connection is closed without an
	// answer and that take effect after LateBy, unless the engine restarts before.
	LateOrders int
	// DuplicateOrders is the number of next orders that take effect a second time
	// after LateBy, unless the engine restarts before.
	DuplicateOrders int
	// LateBy is the delay of late and duplicate orders.
	LateBy time.Duration
	// CrossAnswers is the number of next chat answers that carry the ID of another
	// request.
	CrossAnswers int
	// CutStreams is the number of next streams that are cut after half of their tokens.
	CutStreams int
	// ReadAndClose is the number of next chat requests that are read and whose
	// connection is then closed without an answer.
	ReadAndClose int
	// SilentConnections makes the connections that are open when the fault is set
	// permanently silent; new connections work.
	SilentConnections bool
}

// Execution is one start of a chat request on the engine.
type Execution struct {
	RequestID string
	Key       string
	Model     string
	// From is the index of the first token to send; it is not 0 for a resumed stream.
	From        int
	Incarnation string
	StartedAt   time.Time
}

// Engine is the fake engine. Its methods are safe for concurrent use, also while it serves.
type Engine struct {
	mu sync.Mutex

	id            string
	generation    int
	memoryBytes   int64
	slots         int
	tokenInterval time.Duration
	reportLag     time.Duration
	loadTime      time.Duration
	restartTime   time.Duration
	checksFencing bool
	onCrash       func()

	role            string
	holdings        []messenger.EngineHolding
	appliedOrders   []string
	highestFence    int64
	running         int
	requestsByModel map[string]int // requests that run or wait, by the requested MODEL[:ADAPTER]@VERSION
	cutsByUnload    int            // streams cut because their model was unloaded
	waiting         []*waiter
	leaving         bool
	announcesDrain  bool
	quietUntil      time.Time
	arrivals        []Arrival
	crashed         bool
	maxOvercommit   int64
	fault           Fault
	cache           prefixCache
	reports         []timedReport
	executions      []Execution

	listener *breaker.Listener
	server   *fasthttp.Server
	quit     chan struct{}
	quitOnce sync.Once
}

// Option configures an Engine.
type Option func(*Engine)

// WithMemory sets the accelerator memory in bytes.
func WithMemory(bytes int64) Option { return func(e *Engine) { e.memoryBytes = bytes } }

// WithFencing makes the engine refuse orders with a fencing token lower than the
// highest that it has received.
func WithFencing(on bool) Option { return func(e *Engine) { e.checksFencing = on } }

// WithTokenInterval sets the time per token of an answer; 0 generates tokens without delay.
func WithTokenInterval(d time.Duration) Option { return func(e *Engine) { e.tokenInterval = d } }

// WithSlots sets the maximum number of concurrent requests.
func WithSlots(n int) Option { return func(e *Engine) { e.slots = n } }

// WithLoadTime sets how long a model takes to load.
func WithLoadTime(d time.Duration) Option { return func(e *Engine) { e.loadTime = d } }

// WithCrash replaces the default effect of a crash, a restart within this process, by f.
func WithCrash(f func()) Option { return func(e *Engine) { e.onCrash = f } }

// New returns an engine that holds no model.
func New(id string, opts ...Option) *Engine {
	const gibibyte = 1 << 30
	e := &Engine{
		id:              id,
		generation:      int(time.Now().UnixNano() % 1_000_000),
		memoryBytes:     80 * gibibyte,
		slots:           defaultSlots,
		tokenInterval:   defaultTokenInterval,
		reportLag:       defaultReportLag,
		loadTime:        defaultLoadTime,
		restartTime:     defaultRestartTime,
		role:            "Serve",
		cache:           prefixCache{maxBytes: gibibyte},
		requestsByModel: map[string]int{},
		quit:            make(chan struct{}),
	}
	for _, opt := range opts {
		opt(e)
	}
	e.server = &fasthttp.Server{Handler: e.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
	return e
}

// Serve serves requests on ln until Close.
func (e *Engine) Serve(ln net.Listener) error {
	tracked := breaker.New(ln)
	e.mu.Lock()
	e.listener = tracked
	e.mu.Unlock()
	return e.server.Serve(tracked)
}

// Close stops the engine and resets its connections.
func (e *Engine) Close() error {
	e.quitOnce.Do(func() { close(e.quit) })
	e.mu.Lock()
	ln := e.listener
	e.mu.Unlock()
	if ln == nil {
		return nil
	}
	err := ln.Close()
	ln.CloseAll()
	return err
}

// SetFault replaces the current fault.
func (e *Engine) SetFault(f Fault) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.fault = f
	if f.SilentConnections && e.listener != nil {
		e.listener.SilenceAll()
	}
}

// SetLeaving sets whether the engine reports that it is leaving.
func (e *Engine) SetLeaving(on bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.leaving = on
}

// Executions returns the chat requests started so far, in order.
func (e *Engine) Executions() []Execution {
	e.mu.Lock()
	defer e.mu.Unlock()
	return slices.Clone(e.executions)
}

// MaxOvercommit returns the largest number of bytes by which holdings have exceeded
// the memory so far.
func (e *Engine) MaxOvercommit() int64 {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.maxOvercommit
}

// CutsByUnload returns the number of streams that were cut because their model was unloaded.
func (e *Engine) CutsByUnload() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.cutsByUnload
}

// Crash resets all connections and discards the holdings, the accepted orders, the
// reports and the cache, as a restart of the process does. Role and leaving stay. The
// engine refuses connections until its restart time has passed.
func (e *Engine) Crash() {
	if e.onCrash != nil {
		e.onCrash()
		return
	}
	e.mu.Lock()
	if e.crashed {
		e.mu.Unlock()
		return
	}
	e.crashed = true
	e.generation++
	e.holdings = nil
	e.appliedOrders = nil
	e.highestFence = 0
	e.reports = nil
	e.cache.clear()
	ln := e.listener
	e.mu.Unlock()
	ln.Refuse(true)
	ln.CloseAll()
	time.AfterFunc(e.restartTime, func() {
		e.mu.Lock()
		e.crashed = false
		e.mu.Unlock()
		ln.Refuse(false)
	})
}

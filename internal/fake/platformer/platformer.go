// Package platformer is a fake platform for the demo and for tests. Over HTTP it
// serves a transactional table service, an object store and an instance list whose
// changes become visible with a lag. All data is in memory.
package platformer

import (
	"encoding/json"
	"fmt"
	"io"
	"log"
	"net"
	"slices"
	"sort"
	"strings"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
	"golang.org/x/time/rate"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	writesPerSecond = 400
	readsPerSecond  = 2000
	rateBurst       = 200
)

// Fault describes how the table service and the object store misbehave.
type Fault struct {
	// Down refuses every request with status 503.
	Down bool
	// Silent accepts requests and never answers.
	Silent bool
	// LoseAnswers is the number of next transactions that are executed and whose
	// connection is then closed without an answer.
	LoseAnswers int
	// Delay is added before each request is executed.
	Delay time.Duration
}

type rowKey struct {
	table string
	key   string
}

// Platform is the fake platform. Its methods are safe for concurrent use, also while it
// serves.
type Platform struct {
	mu               sync.Mutex
	rows             map[rowKey]messenger.Row
	objects          map[string][]byte
	scanCounts       map[string]int // executed scans by table
	instances        []messenger.ListedInstance
	visibleInstances []messenger.ListedInstance // instances as of listLag ago
	fault            Fault
	listLag          time.Duration
	writes           *rate.Limiter
	reads            *rate.Limiter
	counts           requestCounters
	server           *fasthttp.Server
	quit             chan struct{}
	quitOnce         sync.Once
}

// Option configures a Platform.
type Option func(*Platform)

// WithListLag delays the visibility of changes of the instance list by lag.
func WithListLag(lag time.Duration) Option {
	return func(p *Platform) { p.listLag = lag }
}

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		rows:       map[rowKey]messenger.Row{},
		objects:    map[string][]byte{},
		scanCounts: map[string]int{},
		writes:     rate.NewLimiter(writesPerSecond, rateBurst),
		reads:      rate.NewLimiter(readsPerSecond, rateBurst),
		quit:       make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.server = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
	return p
}

// Serve serves requests on ln until Close.
func (p *Platform) Serve(ln net.Listener) error {
	return p.server.Serve(ln)
}

// Close stops the platform.
func (p *Platform) Close() error {
	p.quitOnce.Do(func() { close(p.quit) })
	return p.server.Shutdown()
}

// SetFault replaces the current fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetInstance adds or replaces an entry of the instance list.
func (p *Platform) SetInstance(in messenger.ListedInstance) {
	p.updateInstances(func(list []messenger.ListedInstance) []messenger.ListedInstance {
		return append(withoutInstance(list, in.ID), in)
	})
}

// RemoveInstance removes an entry of the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.updateInstances(func(list []messenger.ListedInstance) []messenger.ListedInstance {
		return withoutInstance(list, id)
	})
}

func withoutInstance(list []messenger.ListedInstance, id string) []messenger.ListedInstance {
	return slices.DeleteFunc(slices.Clone(list), func(in messenger.ListedInstance) bool { return in.ID == id })
}

// updateInstances changes the instance list; the change becomes visible after listLag.
func (p *Platform) updateInstances(change func([]messenger.ListedInstance) []messenger.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.instances = change(p.instances)
	list := slices.Clone(p.instances)
	if p.listLag == 0 {
		p.visibleInstances = list
		return
	}
	time.AfterFunc(p.listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.visibleInstances = list
	})
}

// Rows returns the rows of a table in key order.
func (p *Platform) Rows(table string) []messenger.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scan(table, "")
}

// Scans returns the number of executed reads of a table.
func (p *Platform) Scans(table string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scanCounts[table]
}

// scan returns the rows of a table whose key has a prefix, in key order.
func (p *Platform) scan(table, prefix string) []messenger.Row {
	rows := []messenger.Row{}
	for k, row := range p.rows {
		if k.table == table && strings.HasPrefix(k.key, prefix) {
			rows = append(rows, row)
		}
	}
	sort.Slice(rows, func(i, j int) bool { return rows[i].Key < rows[j].Key })
	return rows
}

// Transact executes a transaction directly, without faults and rate limits.
func (p *Platform) Transact(req messenger.TransactRequest) messenger.TransactResponse {
	p.mu.Lock()
	defer p.mu.Unlock()
	failed := []messenger.Row{}
	for _, c := range req.Conditions {
		row := p.rows[rowKey{c.Table, c.Key}]
		if row.Version != c.Version {
			failed = append(failed, messenger.Row{Table: c.Table, Key: c.Key, Version: row.Version, Value: row.Value})
		}
	}
	if len(failed) > 0 {
		return messenger.TransactResponse{Failed: failed}
	}
	for _, w := range req.Writes {
		k := rowKey{w.Table, w.Key}
		if w.Delete {
			delete(p.rows, k)
			continue
		}
		version := p.rows[k].Version + 1
		p.rows[k] = messenger.Row{Table: w.Table, Key: w.Key, Version: version, Value: w.Value}
	}
	return messenger.TransactResponse{Committed: true, Failed: failed}
}

func (p *Platform) handle(ctx *fasthttp.RequestCtx) {
	path := string(ctx.Path())
	switch {
	case path == "/v1/instances":
		p.handleInstances(ctx)
	case path == "/fake/instance":
		p.handleSetInstance(ctx)
	case path == "/fake/fault":
		p.handleFault(ctx)
	case path == "/fake/counts":
		writeJSON(ctx, p.Counts())
	case p.applyFault(ctx):
	case path == "/v1/tables/transact":
		p.handleTransact(ctx)
	case path == "/v1/tables/scan":
		p.handleScan(ctx)
	case strings.HasPrefix(path, "/v1/objects/"):
		p.handleObject(ctx, strings.TrimPrefix(path, "/v1/objects/"))
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

// applyFault applies the current fault and reports whether that has ended the request.
func (p *Platform) applyFault(ctx *fasthttp.RequestCtx) bool {
	p.mu.Lock()
	fault := p.fault
	p.mu.Unlock()
	if fault.Delay > 0 {
		time.Sleep(fault.Delay)
	}
	if fault.Silent {
		<-p.quit
		return true
	}
	if fault.Down {
		ctx.Error("table service is down", fasthttp.StatusServiceUnavailable)
		return true
	}
	return false
}

func (p *Platform) handleInstances(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	list := slices.Clone(p.visibleInstances)
	p.mu.Unlock()
	writeJSON(ctx, messenger.InstanceList{Instances: list})
	tag := fmt.Sprintf("%q", fmt.Sprintf("%x", xxhash.Sum64(ctx.Response.Body())))
	ctx.Response.Header.Set(fasthttp.HeaderETag, tag)
	if string(ctx.Request.Header.Peek(fasthttp.HeaderIfNoneMatch)) == tag {
		ctx.NotModified()
	}
}

func (p *Platform) handleSetInstance(ctx *fasthttp.RequestCtx) {
	var in messenger.ListedInstance
	if err := json.Unmarshal(ctx.PostBody(), &in); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if in.State == "" {
		p.RemoveInstance(in.ID)
	} else {
		p.SetInstance(in)
	}
	writeJSON(ctx, in)
}

func (p *Platform) handleFault(ctx *fasthttp.RequestCtx) {
	var f Fault
	if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.SetFault(f)
	writeJSON(ctx, f)
}

func (p *Platform) handleTransact(ctx *fasthttp.RequestCtx) {
	var req messenger.TransactRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	p.counts.Writes.Add(1)
	if !p.writes.Allow() {
		ctx.Error("write rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	answer := p.Transact(req)
	if p.consumeLostAnswer() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	writeJSON(ctx, answer)
}

// consumeLostAnswer counts down LoseAnswers and reports whether the answer is to be lost.
func (p *Platform) consumeLostAnswer() bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.fault.LoseAnswers == 0 {
		return false
	}
	p.fault.LoseAnswers--
	return true
}

func (p *Platform) handleScan(ctx *fasthttp.RequestCtx) {
	p.counts.Reads.Add(1)
	if !p.reads.Allow() {
		ctx.Error("read rate exceeded", fasthttp.StatusTooManyRequests)
		return
	}
	args := ctx.QueryArgs()
	p.mu.Lock()
	p.scanCounts[string(args.Peek("table"))]++
	rows := p.scan(string(args.Peek("table")), string(args.Peek("prefix")))
	p.mu.Unlock()
	writeJSON(ctx, messenger.ScanResponse{Rows: rows})
}

func (p *Platform) handleObject(ctx *fasthttp.RequestCtx, name string) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if ctx.IsPut() {
		p.objects[name] = slices.Clone(ctx.PostBody())
		return
	}
	body, ok := p.objects[name]
	if !ok {
		ctx.Error("no such object", fasthttp.StatusNotFound)
		return
	}
	ctx.SetBody(body)
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(errors.Wrap(err, "encode").Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

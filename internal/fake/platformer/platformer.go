// Package platformer is a small stand-in for the platform: a transactional
// table service, an object store and a lagging instance list, over HTTP. It
// serves the demo and the tests; it keeps everything in memory.
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

// Fault says how the table service misbehaves at the moment.
type Fault struct {
	// Down refuses every request with status 503.
	Down bool
	// Silent accepts requests and never answers.
	Silent bool
	// LoseAnswers is the number of following transactions that take effect and
	// whose connection is then closed without an answer.
	LoseAnswers int
	// Delay is added before each request is carried out.
	Delay time.Duration
}

type rowKey struct {
	table string
	key   string
}

// Platform is the stand-in. Its methods may be called while it serves.
type Platform struct {
	mu       sync.Mutex
	rows     map[rowKey]messenger.Row
	objects  map[string][]byte
	scans    map[string]int // by table
	now      []messenger.ListedInstance
	listed   []messenger.ListedInstance
	fault    Fault
	listLag  time.Duration
	writes   *rate.Limiter
	reads    *rate.Limiter
	counts   counters
	server   *fasthttp.Server
	quit     chan struct{}
	quitOnce sync.Once
}

// Option configures a Platform.
type Option func(*Platform)

// WithListLag makes changes of the instance list visible only after lag.
func WithListLag(lag time.Duration) Option {
	return func(p *Platform) { p.listLag = lag }
}

// New returns an empty platform.
func New(opts ...Option) *Platform {
	p := &Platform{
		rows:    map[rowKey]messenger.Row{},
		objects: map[string][]byte{},
		scans:   map[string]int{},
		writes:  rate.NewLimiter(writesPerSecond, rateBurst),
		reads:   rate.NewLimiter(readsPerSecond, rateBurst),
		quit:    make(chan struct{}),
	}
	for _, opt := range opts {
		opt(p)
	}
	p.server = &fasthttp.Server{Handler: p.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
	return p
}

// Serve answers requests on ln until Close.
func (p *Platform) Serve(ln net.Listener) error {
	return p.server.Serve(ln)
}

// Close stops the stand-in.
func (p *Platform) Close() error {
	p.quitOnce.Do(func() { close(p.quit) })
	return p.server.Shutdown()
}

// SetFault replaces the present fault.
func (p *Platform) SetFault(f Fault) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.fault = f
}

// SetInstance adds or replaces an entry of the instance list.
func (p *Platform) SetInstance(in messenger.ListedInstance) {
	p.changeList(func(list []messenger.ListedInstance) []messenger.ListedInstance {
		return append(without(list, in.ID), in)
	})
}

// RemoveInstance removes an entry of the instance list.
func (p *Platform) RemoveInstance(id string) {
	p.changeList(func(list []messenger.ListedInstance) []messenger.ListedInstance {
		return without(list, id)
	})
}

func without(list []messenger.ListedInstance, id string) []messenger.ListedInstance {
	return slices.DeleteFunc(slices.Clone(list), func(in messenger.ListedInstance) bool { return in.ID == id })
}

func (p *Platform) changeList(change func([]messenger.ListedInstance) []messenger.ListedInstance) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.now = change(p.now)
	list := slices.Clone(p.now)
	if p.listLag == 0 {
		p.listed = list
		return
	}
	time.AfterFunc(p.listLag, func() {
		p.mu.Lock()
		defer p.mu.Unlock()
		p.listed = list
	})
}

// Rows returns the rows of a table in key order.
func (p *Platform) Rows(table string) []messenger.Row {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scan(table, "")
}

// Scans returns the number of reads of a table that were carried out.
func (p *Platform) Scans(table string) int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.scans[table]
}

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

// Transact applies a transaction directly, past faults and rate limits.
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
		p.handleList(ctx)
	case path == "/fake/instance":
		p.handleSetInstance(ctx)
	case path == "/fake/fault":
		p.handleFault(ctx)
	case path == "/fake/counts":
		writeJSON(ctx, p.Counts())
	case p.isFailing(ctx):
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

// isFailing carries out the present fault and reports whether the request ends
// with it.
func (p *Platform) isFailing(ctx *fasthttp.RequestCtx) bool {
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

func (p *Platform) handleList(ctx *fasthttp.RequestCtx) {
	p.mu.Lock()
	list := slices.Clone(p.listed)
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
	if p.takeLostAnswer() {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	writeJSON(ctx, answer)
}

func (p *Platform) takeLostAnswer() bool {
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
	p.scans[string(args.Peek("table"))]++
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

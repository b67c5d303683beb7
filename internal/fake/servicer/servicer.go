// Package servicer is a fake plain service: it echoes the body of each request and
// records every execution.
package servicer

import (
	"encoding/json"
	"io"
	"log"
	"net"
	"slices"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

// Execution is one request that the service has executed.
type Execution struct {
	RequestID string
	Key       string
	Path      string
	// Target is the request target of the request line, as received.
	Target string
}

// Service is the fake service. Its methods are safe for concurrent use, also while it
// serves.
type Service struct {
	mu         sync.Mutex
	executions []Execution
	drop       int // number of next answers to drop
	server     *fasthttp.Server
}

// New returns a service.
func New() *Service {
	s := &Service{}
	s.server = &fasthttp.Server{Handler: s.handle, NoDefaultServerHeader: true, CloseOnShutdown: true, Logger: log.New(io.Discard, "", 0)}
	return s
}

// Serve serves requests on ln until Close.
func (s *Service) Serve(ln net.Listener) error { return s.server.Serve(ln) }

// Close stops the service.
func (s *Service) Close() error { return s.server.Shutdown() }

// DropAnswers makes the service execute the next n requests and close their connections
// without an answer.
func (s *Service) DropAnswers(n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.drop = n
}

// Executions returns the executions so far, in order.
func (s *Service) Executions() []Execution {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.executions)
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	if string(ctx.Path()) == "/fake/executions" {
		body, _ := json.Marshal(s.Executions())
		ctx.SetBody(body)
		return
	}
	s.mu.Lock()
	s.executions = append(s.executions, Execution{
		RequestID: string(ctx.Request.Header.Peek("X-Request-Id")),
		Key:       string(ctx.Request.Header.Peek("X-Request-Key")),
		Path:      string(ctx.Path()),
		Target:    string(ctx.Request.Header.RequestURI()),
	})
	drop := s.drop > 0
	if drop {
		s.drop--
	}
	s.mu.Unlock()
	if delay, err := time.ParseDuration(string(ctx.QueryArgs().Peek("delay"))); err == nil {
		time.Sleep(min(delay, time.Minute))
	}
	if drop {
		ctx.HijackSetNoResponse(true)
		ctx.Hijack(func(net.Conn) {})
		return
	}
	ctx.Response.Header.Set("X-Request-Id", string(ctx.Request.Header.Peek("X-Request-Id")))
	ctx.SetContentType("text/plain")
	ctx.WriteString("ran " + string(ctx.Path()) + "\n")
	ctx.Write(ctx.PostBody())
}

package engineer

import (
	"bufio"
	"encoding/json"
	"fmt"
	"hash/fnv"
	"net"
	"strconv"
	"strings"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Headers of the engine's chat interface.
const (
	headerRequestID   = "X-Request-Id"
	headerRequestKey  = "X-Request-Key"
	headerPriority    = "X-Priority"
	headerNotRun      = "X-Not-Run"
	headerLastEventID = "Last-Event-ID"
)

// CrashMarker crashes each engine that runs a prompt containing it.
const CrashMarker = "crash-this-engine"

const defaultMaxTokens = 16

type chatRequest struct {
	Model     string        `json:"model"`
	Messages  []chatMessage `json:"messages"`
	MaxTokens int           `json:"max_tokens"`
	Stream    bool          `json:"stream"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

func (e *Engine) handle(ctx *fasthttp.RequestCtx) {
	if e.isTurnedAway(ctx) {
		return
	}
	switch string(ctx.Path()) {
	case "/v1/chat/completions":
		e.handleChat(ctx)
	case "/v1/orders":
		e.handleOrder(ctx)
	case "/v1/report":
		e.mu.Lock()
		report := e.report(time.Now())
		e.mu.Unlock()
		writeJSON(ctx, report)
	case "/v1/events":
		since, _ := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
		e.mu.Lock()
		events := e.cache.since(since)
		e.mu.Unlock()
		writeJSON(ctx, events)
	case "/fake/executions":
		writeJSON(ctx, e.Executions())
	case "/fake/leaving":
		e.SetLeaving(true)
	case "/fake/fault":
		var f Fault
		if err := json.Unmarshal(ctx.PostBody(), &f); err != nil {
			ctx.Error(err.Error(), fasthttp.StatusBadRequest)
			return
		}
		e.SetFault(f)
	default:
		ctx.Error("no such path", fasthttp.StatusNotFound)
	}
}

func (e *Engine) handleOrder(ctx *fasthttp.RequestCtx) {
	var order messenger.EngineOrder
	if err := json.Unmarshal(ctx.PostBody(), &order); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	e.mu.Lock()
	delay := e.fault.DelayOrders
	lose := consumeOne(&e.fault.LoseOrders)
	late := !lose && consumeOne(&e.fault.LateOrders)
	duplicate := !lose && !late && consumeOne(&e.fault.DuplicateOrders)
	loseAnswer := !lose && !late && consumeOne(&e.fault.LoseOrderAnswers)
	lateBy := e.fault.LateBy
	e.mu.Unlock()
	time.Sleep(delay)
	if late || duplicate {
		e.applyLater(order, lateBy)
	}
	if lose || late {
		dropConnection(ctx)
		return
	}
	result := e.apply(order)
	if loseAnswer {
		dropConnection(ctx)
		return
	}
	writeJSON(ctx, result)
}

// consumeOne decrements a counter of a Fault. It returns false if the counter is 0.
func consumeOne(n *int) bool {
	if *n == 0 {
		return false
	}
	*n--
	return true
}

func dropConnection(ctx *fasthttp.RequestCtx) {
	ctx.HijackSetNoResponse(true)
	ctx.Hijack(func(net.Conn) {})
}

func (e *Engine) handleChat(ctx *fasthttp.RequestCtx) {
	var req chatRequest
	if err := json.Unmarshal(ctx.PostBody(), &req); err != nil {
		ctx.Response.Header.Set(headerNotRun, "true")
		ctx.Error(err.Error(), fasthttp.StatusBadRequest)
		return
	}
	if req.MaxTokens == 0 {
		req.MaxTokens = defaultMaxTokens
	}
	id := string(ctx.Request.Header.Peek(headerRequestID))
	if reason := e.admit(req.Model); reason != "" {
		ctx.Error(reason, fasthttp.StatusServiceUnavailable)
		ctx.Response.Header.Set(headerNotRun, "true")
		ctx.Response.Header.Set(headerRequestID, id)
		return
	}
	prompt := joinPrompt(req)
	from := resumeIndex(string(ctx.Request.Header.Peek(headerLastEventID)))
	stream, ok := e.startStream(ctx, req, id, prompt, from)
	if !ok {
		return
	}
	if strings.Contains(prompt, CrashMarker) {
		e.release(req.Model)
		e.Crash()
		dropConnection(ctx)
		return
	}
	if stream.dropWithoutAnswer {
		e.release(req.Model)
		dropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(headerRequestID, stream.answerID)
	e.announceDrain(ctx)
	if req.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(stream.write)
		return
	}
	stream.writeWhole(ctx)
}

// startStream waits for a slot, records the execution and applies the current fault
// to the answer.
func (e *Engine) startStream(ctx *fasthttp.RequestCtx, req chatRequest, id, prompt string, from int) (*stream, bool) {
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerPriority)))
	e.acquire(priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.use(req.Model, prompt)
	e.executions = append(e.executions, Execution{
		RequestID: id, Key: string(ctx.Request.Header.Peek(headerRequestKey)),
		Model: req.Model, From: from, Incarnation: e.incarnation(), StartedAt: time.Now(),
	})
	s := &stream{engine: e, id: id, answerID: id, model: req.Model, prompt: prompt, from: from, end: req.MaxTokens}
	if consumeOne(&e.fault.CrossAnswers) {
		s.answerID = "crossed-" + id
	}
	if consumeOne(&e.fault.CutStreams) {
		s.cutAt = from + (req.MaxTokens-from)/2
	}
	s.dropWithoutAnswer = consumeOne(&e.fault.ReadAndClose)
	s.generation = e.generation
	return s, true
}

// admit counts a request for model as running or waiting. If the engine can't run it,
// admit returns the reason instead.
func (e *Engine) admit(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason := e.refusalReason(model)
	if reason == "" {
		e.requestsByModel[model]++
	}
	return reason
}

// refusalReason returns why the engine can't run a request for model, or "" if it can.
func (e *Engine) refusalReason(model string) string {
	if e.crashed {
		return "restarting"
	}
	base, adapter, version := splitModel(model)
	i := e.findHolding(base, "", version)
	if i < 0 || e.holdings[i].State != stateLoaded {
		return "model not loaded"
	}
	if adapter == "" {
		return ""
	}
	for _, h := range e.holdings {
		if h.Model == base && h.Adapter == adapter && h.State == stateLoaded {
			return ""
		}
	}
	return "adapter not loaded"
}

// splitModel splits MODEL[:ADAPTER]@VERSION.
func splitModel(s string) (base, adapter, version string) {
	name, version, _ := strings.Cut(s, "@")
	base, adapter, _ = strings.Cut(name, ":")
	return base, adapter, version
}

func joinPrompt(req chatRequest) string {
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// resumeIndex returns the index of the first token to send, given the ID of the last
// event that the caller has received.
func resumeIndex(lastEvent string) int {
	if lastEvent == "" {
		return 0
	}
	n, err := strconv.Atoi(lastEvent[strings.LastIndexByte(lastEvent, ':')+1:])
	if err != nil {
		return 0
	}
	return n + 1
}

// Token returns the text of one token of the answer to a prompt.
func Token(prompt string, index int) string {
	h := fnv.New32a()
	_, _ = h.Write([]byte(prompt))
	return fmt.Sprintf(" w%d.%x", index, (h.Sum32()+uint32(index))&0xfff)
}

// stream is the answer to a request that runs.
type stream struct {
	engine            *Engine
	generation        int
	id                string
	answerID          string
	model             string
	prompt            string
	from              int
	end               int
	cutAt             int
	dropWithoutAnswer bool
}

func (s *stream) write(w *bufio.Writer) {
	defer s.engine.release(s.model)
	for i := s.from; i < s.end; i++ {
		if s.cutAt > 0 && i >= s.cutAt {
			// The HTTP body ends without the end marker of the event stream.
			_ = w.Flush()
			return
		}
		s.waitTokenInterval()
		if s.checkUnloaded() {
			_ = w.Flush()
			return
		}
		fmt.Fprintf(w, "id: %s:%d\ndata: {\"id\":%q,\"object\":\"chat.completion.chunk\",\"model\":%q,"+
			"\"choices\":[{\"index\":0,\"delta\":{\"content\":%q}}]}\n\n",
			s.answerID, i, s.answerID, s.model, Token(s.prompt, i))
		if w.Flush() != nil {
			return
		}
	}
	fmt.Fprint(w, "data: [DONE]\n\n")
	_ = w.Flush()
}

// checkUnloaded reports whether the model was unloaded while the stream runs, and
// counts the stream as cut if so.
func (s *stream) checkUnloaded() bool {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != s.generation || e.refusalReason(s.model) == "" {
		return false
	}
	e.cutsByUnload++
	return true
}

func (s *stream) waitTokenInterval() {
	if s.engine.tokenInterval > 0 {
		time.Sleep(s.engine.tokenInterval)
	}
}

func (s *stream) writeWhole(ctx *fasthttp.RequestCtx) {
	defer s.engine.release(s.model)
	var text strings.Builder
	for i := s.from; i < s.end; i++ {
		s.waitTokenInterval()
		text.WriteString(Token(s.prompt, i))
	}
	ctx.SetContentType("application/json")
	fmt.Fprintf(ctx, "{\"id\":%q,\"object\":\"chat.completion\",\"model\":%q,\"choices\":[{\"index\":0,"+
		"\"message\":{\"role\":\"assistant\",\"content\":%q},\"finish_reason\":\"stop\"}]}", s.answerID, s.model, text.String())
}

func writeJSON(ctx *fasthttp.RequestCtx, v any) {
	body, err := json.Marshal(v)
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(body)
}

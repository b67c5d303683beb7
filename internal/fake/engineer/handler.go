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
	headerRequestID  = "X-Request-Id"
	headerRequestKey = "X-Request-Key"
	headerPriority   = "X-Priority"
	headerNotRun     = "X-Not-Run"
	headerResume     = "Last-Event-ID"
)

// CrashMarker is the text in a prompt that crashes the engine that runs it.
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
	lose := takeOne(&e.fault.LoseOrders)
	late := !lose && takeOne(&e.fault.LateOrders)
	duplicate := !lose && !late && takeOne(&e.fault.DuplicateOrders)
	loseAnswer := !lose && !late && takeOne(&e.fault.LoseOrderAnswers)
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

func takeOne(n *int) bool {
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
	prompt := promptOf(req)
	from := resumeIndex(string(ctx.Request.Header.Peek(headerResume)))
	stream, ok := e.start(ctx, req, id, prompt, from)
	if !ok {
		return
	}
	if strings.Contains(prompt, CrashMarker) {
		e.release(req.Model)
		e.Crash()
		dropConnection(ctx)
		return
	}
	if stream.dropAtOnce {
		e.release(req.Model)
		dropConnection(ctx)
		return
	}
	ctx.Response.Header.Set(headerRequestID, stream.answerID)
	if req.Stream {
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyStreamWriter(stream.write)
		return
	}
	stream.writeWhole(ctx)
}

// start records the execution and waits for a slot.
func (e *Engine) start(ctx *fasthttp.RequestCtx, req chatRequest, id, prompt string, from int) (*stream, bool) {
	priority, _ := strconv.Atoi(string(ctx.Request.Header.Peek(headerPriority)))
	e.acquire(priority)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.cache.touch(req.Model, prompt)
	e.executions = append(e.executions, Execution{
		RequestID: id, Key: string(ctx.Request.Header.Peek(headerRequestKey)),
		Model: req.Model, From: from, Incarnation: e.incarnation(), StartedAt: time.Now(),
	})
	s := &stream{engine: e, id: id, answerID: id, model: req.Model, prompt: prompt, from: from, until: req.MaxTokens}
	if takeOne(&e.fault.CrossAnswers) {
		s.answerID = "crossed-" + id
	}
	if takeOne(&e.fault.CutStreams) {
		s.cutAt = from + (req.MaxTokens-from)/2
	}
	s.dropAtOnce = takeOne(&e.fault.ReadAndClose)
	s.generation = e.generation
	return s, true
}

// admit counts a request for model, or returns why the engine does not run it.
func (e *Engine) admit(model string) string {
	e.mu.Lock()
	defer e.mu.Unlock()
	reason := e.refusal(model)
	if reason == "" {
		e.work[model]++
	}
	return reason
}

// refusal returns why the engine does not run a request for model, or nothing.
func (e *Engine) refusal(model string) string {
	if e.crashed {
		return "restarting"
	}
	base, adapter, version := splitModel(model)
	i := e.find(base, "", version)
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

// splitModel takes apart MODEL[:ADAPTER]@VERSION.
func splitModel(s string) (base, adapter, version string) {
	name, version, _ := strings.Cut(s, "@")
	base, adapter, _ = strings.Cut(name, ":")
	return base, adapter, version
}

func promptOf(req chatRequest) string {
	var b strings.Builder
	for _, m := range req.Messages {
		b.WriteString(m.Content)
		b.WriteByte('\n')
	}
	return b.String()
}

// resumeIndex returns the first token to send, from the ID of the last event
// that the caller has.
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

// stream is one running answer.
type stream struct {
	engine     *Engine
	generation int
	id         string
	answerID   string
	model      string
	prompt     string
	from       int
	until      int
	cutAt      int
	dropAtOnce bool
}

func (s *stream) write(w *bufio.Writer) {
	defer s.engine.release(s.model)
	for i := s.from; i < s.until; i++ {
		if s.cutAt > 0 && i >= s.cutAt {
			// The HTTP body ends here and the end marker of the events is missing.
			_ = w.Flush()
			return
		}
		s.pause()
		if s.isUnloaded() {
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

// isUnloaded reports whether the model was unloaded under the stream, which
// counts as a cut.
func (s *stream) isUnloaded() bool {
	e := s.engine
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.generation != s.generation || e.refusal(s.model) == "" {
		return false
	}
	e.cuts++
	return true
}

func (s *stream) pause() {
	if s.engine.tokenInterval > 0 {
		time.Sleep(s.engine.tokenInterval)
	}
}

func (s *stream) writeWhole(ctx *fasthttp.RequestCtx) {
	defer s.engine.release(s.model)
	var text strings.Builder
	for i := s.from; i < s.until; i++ {
		s.pause()
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

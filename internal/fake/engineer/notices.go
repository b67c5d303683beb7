package engineer

import (
	"strconv"
	"time"

	"github.com/valyala/fasthttp"
)

// Arrival is one request of any kind that reached the engine.
type Arrival struct {
	At   time.Time
	Path string
	// IsTurnedAway is set if the engine turned it away because it had asked for quiet.
	IsTurnedAway bool
}

// AnnounceDrain makes the engine announce in its answers that it drains. It does not report
// so otherwise.
func (e *Engine) AnnounceDrain() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.announcesDrain = true
}

// AskQuiet makes the engine turn every request away for a time, with the time left.
func (e *Engine) AskQuiet(d time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.quietUntil = time.Now().Add(d)
}

// Arrivals returns the requests of any kind that have reached the engine since the last call.
func (e *Engine) Arrivals() []Arrival {
	e.mu.Lock()
	defer e.mu.Unlock()
	arrivals := e.arrivals
	e.arrivals = nil
	return arrivals
}

// isTurnedAway records the arrival of a request, and answers it if the engine has asked for
// quiet.
func (e *Engine) isTurnedAway(ctx *fasthttp.RequestCtx) bool {
	now := time.Now()
	e.mu.Lock()
	left := e.quietUntil.Sub(now)
	e.arrivals = append(e.arrivals, Arrival{At: now, Path: string(ctx.Path()), IsTurnedAway: left > 0})
	e.mu.Unlock()
	if left <= 0 {
		return false
	}
	ctx.Error("come back later", fasthttp.StatusServiceUnavailable)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatFloat(left.Seconds(), 'f', 3, 64))
	ctx.Response.Header.Set(headerNotRun, "true")
	ctx.Response.Header.Set(headerRequestID, string(ctx.Request.Header.Peek(headerRequestID)))
	return true
}

// announceDrain adds to the head of an answer that the engine drains.
func (e *Engine) announceDrain(ctx *fasthttp.RequestCtx) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.announcesDrain {
		ctx.SetConnectionClose()
		ctx.Response.Header.Set("X-Draining", "true")
	}
}

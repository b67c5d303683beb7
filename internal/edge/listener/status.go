package listener

import "github.com/valyala/fasthttp"

func (l *Listener) handleStatus(ctx *fasthttp.RequestCtx) {
	if _, err := l.operator(ctx); err != nil {
		refuse(ctx, "", err)
		return
	}
	writeJSON(ctx, l.Status())
}

func (l *Listener) handleReady(ctx *fasthttp.RequestCtx) {
	if err := l.Ready(); err != nil {
		refuse(ctx, "", &notReadyError{cause: err, addresses: l.addresses(), notRun: true})
		return
	}
	ctx.SetBodyString("ready\n")
}

func (l *Listener) handleMetrics(ctx *fasthttp.RequestCtx) {
	ctx.SetContentType("application/json")
	if err := l.Measurer.WriteJSON(ctx.Response.BodyWriter()); err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
	}
}

package guarder

import (
	"bytes"
	"io"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

// ErrBodyTooLarge means that the body of a request is longer than allowed.
var ErrBodyTooLarge = errors.New("body too large")

// ReadWhole returns a handler that reads the body of a request, of at most maxBytes, before
// handler is called. Otherwise refuse is called, and the connection closed. The server must
// stream bodies, so that it takes the memory of a body as it arrives, not as it is announced.
func ReadWhole(handler fasthttp.RequestHandler, maxBytes int, refuse func(*fasthttp.RequestCtx, error)) fasthttp.RequestHandler {
	return func(ctx *fasthttp.RequestCtx) {
		body, err := readWhole(ctx.RequestBodyStream(), maxBytes)
		HoldOf(ctx.Conn()).SetEvictable(false, time.Now())
		if err != nil {
			refuse(ctx, err)
			ctx.SetConnectionClose()
			return
		}
		if body != nil {
			ctx.Request.SetBodyRaw(body)
		}
		handler(ctx)
	}
}

// readWhole reads a body of at most maxBytes; nil has none.
func readWhole(body io.Reader, maxBytes int) ([]byte, error) {
	if body == nil {
		return nil, nil
	}
	var out bytes.Buffer
	n, err := io.Copy(&out, io.LimitReader(body, int64(maxBytes)+1))
	switch {
	case err != nil:
		return nil, errors.Wrap(err, "read body")
	case n > int64(maxBytes):
		return nil, ErrBodyTooLarge
	}
	return out.Bytes(), nil
}

// Unmetered returns the connection below a guarded one, for what is read and discarded.
func Unmetered(conn net.Conn) net.Conn {
	if c, isGuarded := conn.(*Conn); isGuarded {
		return c.Conn
	}
	return conn
}

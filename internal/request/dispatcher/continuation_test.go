package dispatcher_test

import (
	"io"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// events answers with a body of events, with the ID of the request for ID.
func events(body string) behaviour {
	return func(ctx *fasthttp.RequestCtx, id string) {
		ctx.Response.Header.Set("X-Request-Id", id)
		ctx.SetContentType("text/event-stream")
		ctx.SetBodyString(strings.ReplaceAll(body, "ID", id))
	}
}

func withStatus(status int, next behaviour) behaviour {
	return func(ctx *fasthttp.RequestCtx, id string) {
		next(ctx, id)
		ctx.SetStatusCode(status)
	}
}

// TestBrokenOffStreamGoesOnOnlyWithItsContinuation guards against the text of an error, or the
// end of another answer, in a stream that has begun and goes on at another engine.
func TestBrokenOffStreamGoesOnOnlyWithItsContinuation(t *testing.T) {
	const first = "id: ID:0\ndata: a\n\nid: ID:1\ndata: b\n\n"
	read := func(t *testing.T, next behaviour) (got string, err error) {
		t.Helper()
		stream, err := newDispatcher(t, shortSilence, events(first+"id: ID:2\nda"), next).Start(job(true))
		require.NoError(t, err)
		defer stream.Close()
		for {
			data, err := stream.Next()
			if err != nil {
				return got, err
			}
			got += string(data)
		}
	}
	for name, next := range map[string]behaviour{
		"an error":                         withStatus(500, events("error: no such model\n\n")),
		"an error in the form of events":   withStatus(500, events("id: ID:2\ndata: x\n\ndata: [DONE]\n\n")),
		"a rejection":                      rejected,
		"a refusal":                        refused,
		"a redirection":                    withStatus(302, events("id: ID:2\ndata: x\n\n")),
		"an error event":                   events("event: error\ndata: no such model\n\ndata: [DONE]\n\n"),
		"an event without an ID":           events("data: x\n\ndata: [DONE]\n\n"),
		"an event of another request":      events("id: other:2\ndata: x\n\ndata: [DONE]\n\n"),
		"an event after a gap":             events("id: ID:3\ndata: x\n\ndata: [DONE]\n\n"),
		"no events":                        events(""),
		"a text":                           events("no such model\n\n"),
		"nothing":                          dropped,
		"an answer without the request ID": func(ctx *fasthttp.RequestCtx, _ string) { ctx.SetBodyString("id: id:2\ndata: x\n\ndata: [DONE]\n\n") },
	} {
		t.Run(name, func(t *testing.T) {
			got, err := read(t, next)
			assert.Equal(t, "ab", got)
			assert.Error(t, err)
			assert.NotErrorIs(t, err, io.EOF, "it does not look complete")
		})
	}
	t.Run("its continuation", func(t *testing.T) {
		got, err := read(t, events(first+"id: ID:2\ndata: c\n\ndata: [DONE]\n\n"))
		assert.ErrorIs(t, err, io.EOF)
		assert.Equal(t, "abc", got)
	})
}

package listener

import (
	"encoding/json"
	"net/http"
	"os"
	"testing"

	"github.com/go-faster/errors"
	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// TestReadErrors guards against a request that came too slowly and is refused as malformed, so
// that its caller does not send it again.
func TestReadErrors(t *testing.T) {
	for _, c := range []struct {
		err    error
		status int
		code   string
	}{
		{err: errors.Wrap(os.ErrDeadlineExceeded, "read body"), status: http.StatusRequestTimeout, code: CodeTooSlow},
		{err: errors.Wrap(fasthttp.ErrTimeout, "read head"), status: http.StatusRequestTimeout, code: CodeTooSlow},
		{err: errors.New("no head"), status: http.StatusBadRequest, code: CodeBadRequest},
	} {
		ctx := &fasthttp.RequestCtx{}
		handleReadError(ctx, c.err)
		var refusal messenger.Refusal
		require.NoError(t, json.Unmarshal(ctx.Response.Body(), &refusal))
		assert.Equal(t, c.status, ctx.Response.StatusCode(), c.err)
		assert.Equal(t, c.code, refusal.Code)
		assert.True(t, refusal.NotRun)
	}
}

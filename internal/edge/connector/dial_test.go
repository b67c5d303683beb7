package connector

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"github.com/valyala/fasthttp"
)

// newCall returns a call that is canceled by ctx.
func newCall(ctx context.Context) Call {
	req := &fasthttp.Request{}
	req.Header.SetHost("target")
	req.SetRequestURI("/")
	until := time.Now().Add(time.Minute)
	return Call{Request: req, Context: ctx, FirstByte: until, AnswerDeadline: until}
}

// TestCancelDuringDial guards against a request that is sent although it was canceled
// while the target took long to accept the connection.
func TestCancelDuringDial(t *testing.T) {
	t.Run("nothing is sent on a connection that is made too late", func(t *testing.T) {
		for range 200 { // a fault would show only in some orders of two goroutines
			local, remote := net.Pipe()
			ctx, cancel := context.WithCancel(t.Context())
			pool := New("target")
			pool.dial = func(context.Context, string) (net.Conn, error) {
				cancel()
				return local, nil
			}
			sent := make(chan []byte, 1)
			go func() {
				bytes, _ := io.ReadAll(remote)
				sent <- bytes
			}()
			_, err := pool.Do(newCall(ctx))
			require.ErrorIs(t, err, ErrNotSent)
			assert.Empty(t, <-sent)
		}
	})
	t.Run("the dial ends at once", func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		pool := New("target")
		pool.dial = func(ctx context.Context, _ string) (net.Conn, error) {
			<-ctx.Done()
			return nil, ctx.Err()
		}
		began := time.Now()
		time.AfterFunc(20*time.Millisecond, cancel)
		_, err := pool.Do(newCall(ctx))
		require.ErrorIs(t, err, ErrNotSent)
		assert.Less(t, time.Since(began), dialTimeout)
	})
}

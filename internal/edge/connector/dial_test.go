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

// callOf returns a call that ends with a context.
func callOf(ctx context.Context) Call {
	req := &fasthttp.Request{}
	req.Header.SetHost("target")
	req.SetRequestURI("/")
	until := time.Now().Add(time.Minute)
	return Call{Request: req, Context: ctx, FirstByte: until, Until: until}
}

// TestCallerThatLeavesDuringTheDial replays a target that takes long to accept a
// connection, and a caller that has left meanwhile.
func TestCallerThatLeavesDuringTheDial(t *testing.T) {
	t.Run("nothing is sent on a connection that is there too late", func(t *testing.T) {
		for range 200 { // what is sent depends on which of two goroutines is first
			ours, theirs := net.Pipe()
			ctx, cancel := context.WithCancel(t.Context())
			pool := New("target")
			pool.dial = func(context.Context, string) (net.Conn, error) {
				cancel()
				return ours, nil
			}
			sent := make(chan []byte, 1)
			go func() {
				bytes, _ := io.ReadAll(theirs)
				sent <- bytes
			}()
			_, err := pool.Do(callOf(ctx))
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
		_, err := pool.Do(callOf(ctx))
		require.ErrorIs(t, err, ErrNotSent)
		assert.Less(t, time.Since(began), dialTimeout)
	})
}

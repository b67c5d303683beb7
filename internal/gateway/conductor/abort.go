package conductor

import (
	"context"
	"net"
	"net/http"
)

// connKey is the key of the caller's connection in the context of a request.
type connKey struct{}

// ConnContext returns a context that holds the connection of a caller. Servers of callers
// set it as http.Server.ConnContext.
func ConnContext(ctx context.Context, conn net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, conn)
}

// abort ends an answer that is incomplete by ending its connection, and does not return.
// Before HTTP/1.1 an answer has no chunks and a close ends it, so that the connection must
// be reset for the caller to tell the difference.
func abort(r *http.Request) {
	conn, canReset := r.Context().Value(connKey{}).(interface{ SetLinger(seconds int) error })
	if canReset && !r.ProtoAtLeast(1, 1) {
		_ = conn.SetLinger(0) // makes the close a reset; it fails only if the connection is closed
	}
	panic(http.ErrAbortHandler)
}

package connector_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/fake/breaker"
)

// cutHead is a server that answers with a part of a head and ends the connection.
type cutHead struct {
	// earlier is a whole answer on the same connection before it; empty for none.
	earlier string
	part    string
	isSlow  bool // sends single bytes
	isReset bool
}

func (s cutHead) serve(conn net.Conn) {
	defer conn.Close()
	reader := bufio.NewReader(conn)
	if s.earlier != "" {
		if _, err := http.ReadRequest(reader); err != nil {
			return
		}
		_, _ = io.WriteString(conn, s.earlier)
	}
	if _, err := http.ReadRequest(reader); err != nil {
		return
	}
	size := max(len(s.part), 1)
	if s.isSlow {
		size = 1
	}
	for rest := s.part; rest != ""; rest = rest[min(size, len(rest)):] {
		_, _ = io.WriteString(conn, rest[:min(size, len(rest))])
	}
	if s.isReset {
		breaker.ResetOnClose(conn)
	}
}

// assertNoAnswer checks that the part of a head is no answer.
func (s cutHead) assertNoAnswer(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer ln.Close()
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go s.serve(conn)
		}
	}()
	pool := connector.New(ln.Addr().String())
	if s.earlier != "" {
		body, err := do(context.Background(), pool, "GET", "/", time.Second, time.Second)
		require.NoError(t, err)
		require.Equal(t, "earlier", body)
	}
	body, err := do(context.Background(), pool, "POST", "/", 2*time.Second, 2*time.Second)
	assert.ErrorIs(t, err, connector.ErrCut, "%+v gives %q", s, body)
}

// TestCutHeadIsNoAnswer guards against a target that stops within the head of its answer and closes,
// and whose caller gets an empty answer that looks whole.
func TestCutHeadIsNoAnswer(t *testing.T) {
	const earlier = "HTTP/1.1 200 OK\r\nContent-Length: 7\r\n\r\nearlier"
	interim := "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\nHTTP/1.1 100 Continue\r\n\r\n"
	for name, head := range map[string]string{
		"length":      "HTTP/1.1 200 OK\r\nX-Stamp: s\r\nContent-Length: 5\r\nX-More: m\r\n\r\n",
		"empty":       "HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Stamp: s\r\n\r\n",
		"no content":  "HTTP/1.1 204 No Content\r\nX-Stamp: s\r\n\r\n",
		"chunks":      "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nX-Stamp: s\r\n\r\n",
		"close":       "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Type: text/event-stream\r\nX-Stamp: s\r\n\r\n",
		"no framing":  "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n",
		"interim":     interim + "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n\r\n",
		"bare feeds":  "HTTP/1.1 200 OK\nX-Stamp: s\nContent-Length: 0\n\n",
		"folded line": "HTTP/1.1 200 OK\r\nX-Stamp: s\r\n  more\r\nContent-Length: 0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			var group errgroup.Group
			group.SetLimit(16)
			for end := range len(head) {
				for variant := range 8 {
					s := cutHead{part: head[:end], isSlow: variant&1 > 0, isReset: variant&2 > 0}
					if variant&4 > 0 {
						s.earlier = earlier
					}
					group.Go(func() error {
						s.assertNoAnswer(t)
						return nil
					})
				}
			}
			require.NoError(t, group.Wait())
		})
	}
	t.Run("a long head", func(t *testing.T) {
		cutHead{part: "HTTP/1.1 200 OK\r\nX-Long: " + strings.Repeat("x", 3000) + "\r\n"}.assertNoAnswer(t)
	})
}

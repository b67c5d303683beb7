package poster_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/crocusring/crocusring/internal/wire/poster"
)

// serveOnce accepts connections and calls serve for each, with their number.
func serveOnce(t *testing.T, serve func(c net.Conn, number int)) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for n := 1; ; n++ {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				serve(c, n)
			}()
		}
	}()
	return "http://" + ln.Addr().String()
}

func writeNumber(c net.Conn, n int) {
	body := fmt.Sprintf(`{"N":%d}`, n)
	_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

// TestAnswerSentAgainIsNotTheNext guards against an earlier answer, once more on a kept
// connection, that is taken for the answer to the next call.
func TestAnswerSentAgainIsNotTheNext(t *testing.T) {
	for name, delay := range map[string]time.Duration{"at once": 0, "later": 20 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			calls := 0
			url := serveOnce(t, func(c net.Conn, _ int) {
				reader := bufio.NewReader(c)
				for {
					if _, err := http.ReadRequest(reader); err != nil {
						return
					}
					calls++
					writeNumber(c, calls)
					time.Sleep(delay)
					writeNumber(c, calls)
				}
			})
			client := poster.New()
			for want := 1; want <= 5; want++ {
				var got struct{ N int }
				require.NoError(t, client.Do(poster.Call{Method: "GET", URL: url, Out: &got, Deadline: time.Now().Add(time.Second)}))
				assert.Equal(t, want, got.N)
				time.Sleep(3 * 20 * time.Millisecond)
			}
		})
	}
}

// TestKeptConnectionThatWasClosedIsNoFailure guards against a call that fails, with an unknown
// outcome, since the other end has closed a connection that was kept.
func TestKeptConnectionThatWasClosedIsNoFailure(t *testing.T) {
	url := serveOnce(t, func(c net.Conn, number int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			writeNumber(c, number)
		}
	})
	client := poster.New()
	for want := 1; want <= 3; want++ {
		var got struct{ N int }
		require.NoError(t, client.Do(poster.Call{Method: "POST", URL: url, In: 1, Out: &got, Deadline: time.Now().Add(time.Second)}))
		assert.Equal(t, want, got.N)
		time.Sleep(20 * time.Millisecond)
	}
}

// TestCallThatIsAloneSharesNoConnection guards against an answer without an ID that may belong
// to an earlier call on the same connection.
func TestCallThatIsAloneSharesNoConnection(t *testing.T) {
	url := serveOnce(t, func(c net.Conn, number int) {
		reader := bufio.NewReader(c)
		for {
			if _, err := http.ReadRequest(reader); err != nil {
				return
			}
			writeNumber(c, number)
		}
	})
	client := poster.New()
	for want := 1; want <= 3; want++ {
		var got struct{ N int }
		require.NoError(t, client.Do(poster.Call{Method: "GET", URL: url, Out: &got, IsAlone: true, Deadline: time.Now().Add(time.Second)}))
		assert.Equal(t, want, got.N)
	}
}

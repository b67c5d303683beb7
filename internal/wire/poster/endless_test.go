package poster_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// answerLimit is the limit of the client under test, and socketBytes more than the buffers of both
	// sockets hold.
	answerLimit = 64 << 10
	socketBytes = 12 << 20
	// endlessBytes ends a server that is not cut off.
	endlessBytes = 96 << 20
)

// endlessServer answers each request with a head and then the same piece until it is cut off, and sends the
// number of bytes that it has written.
func endlessServer(t *testing.T, head, piece string) (url string, written chan int) {
	t.Helper()
	written = make(chan int, 1)
	url = serveOnce(t, func(c net.Conn, _ int) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		n, err := fmt.Fprint(c, head)
		for total := n; ; total += n {
			if err != nil || total > endlessBytes {
				written <- total
				return
			}
			n, err = fmt.Fprint(c, piece)
		}
	})
	return url, written
}

// TestEndlessAnswerIsCutOff guards against bytes without end, in a head or in a body, that a client keeps
// until its memory is used up.
func TestEndlessAnswerIsCutOff(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	page := strings.Repeat("x", 8<<10)
	for name, c := range map[string]struct{ head, piece string }{
		"status line":     {head: ok[:len(ok)-2], piece: page},
		"header line":     {head: ok + "X-Long: ", piece: page},
		"header lines":    {head: ok, piece: strings.Repeat("X-More: m\r\n", 800)},
		"interim heads":   {piece: strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 300)},
		"no answer":       {piece: page},
		"empty lines":     {piece: strings.Repeat("\r\n", 4<<10)},
		"body by length":  {head: ok + "Content-Length: 900000000\r\n\r\n", piece: page},
		"body by chunks":  {head: ok + "Transfer-Encoding: chunked\r\n\r\n", piece: "2000\r\n" + page + "\r\n"},
		"one chunk":       {head: ok + "Transfer-Encoding: chunked\r\n\r\n7fffffff\r\n", piece: page},
		"chunk extension": {head: ok + "Transfer-Encoding: chunked\r\n\r\n1;", piece: page},
		"trailer":         {head: ok + "Transfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\n", piece: strings.Repeat("X-More: m\r\n", 800)},
		"body by close":   {head: ok + "Connection: close\r\n\r\n", piece: page},
		"body of a 503":   {head: "HTTP/1.1 503 X\r\nConnection: close\r\n\r\n", piece: page},
	} {
		t.Run(name, func(t *testing.T) {
			url, written := endlessServer(t, c.head, c.piece)
			var out struct{ Value bool }
			client := poster.New(poster.WithMaxAnswer(answerLimit))
			err := client.Do(poster.Call{Method: http.MethodGet, URL: url, Out: &out, Deadline: time.Now().Add(10 * time.Second)})
			assert.ErrorIs(t, err, poster.ErrNoAnswer)
			if strings.HasPrefix(name, "body") {
				assert.ErrorIs(t, err, poster.ErrTooLong)
			}
			select {
			case n := <-written:
				assert.Less(t, n, answerLimit+socketBytes)
			case <-time.After(15 * time.Second):
				assert.Fail(t, "not cut off")
			}
		})
	}
}

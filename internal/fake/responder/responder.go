// Package responder answers HTTP requests with raw bytes, for tests of clients that must tell
// complete answers from broken ones. It ends the connection after each answer.
package responder

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync/atomic"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/breaker"
)

// Ending is how the connection ends after an answer.
type Ending int

const (
	// Close closes the connection, which is also how a complete answer may end.
	Close Ending = iota
	// Reset resets the connection, as the crash of a process does.
	Reset
	// End stops the server and closes the connection without a reset, as the operating system does
	// for a killed process.
	End
)

func (e Ending) String() string { return [...]string{"close", "reset", "end"}[e] }

// Endings lists the endings of a connection to a server that goes on.
var Endings = []Ending{Close, Reset}

// Responder is a server. The zero value is not usable; see New.
type Responder struct {
	Address string

	ln     net.Listener
	ending Ending
	text   atomic.Value // string
}

// New returns a server on a free loopback port that answers each request with a text.
func New(text string, ending Ending) (*Responder, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listen")
	}
	r := &Responder{Address: ln.Addr().String(), ln: ln, ending: ending}
	r.SetText(text)
	go r.acceptLoop()
	return r, nil
}

// SetText sets the answer to the requests from now on.
func (r *Responder) SetText(text string) { r.text.Store(text) }

// Close stops the server.
func (r *Responder) Close() { _ = r.ln.Close() } // the listener is closed even if this fails

func (r *Responder) acceptLoop() {
	for {
		conn, err := r.ln.Accept()
		if err != nil {
			return
		}
		go r.answer(conn)
	}
}

func (r *Responder) answer(conn net.Conn) {
	defer conn.Close()
	if _, err := http.ReadRequest(bufio.NewReader(conn)); err != nil {
		return
	}
	if r.ending == End {
		r.Close()
	}
	_, _ = io.WriteString(conn, r.text.Load().(string)) // a client that has left reads nothing
	if r.ending == Reset {
		breaker.ResetOnClose(conn)
	}
}

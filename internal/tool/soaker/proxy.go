package soaker

import (
	"io"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/fake/breaker"
)

// Link is how a proxy forwards bytes. The zero value forwards them without delay.
type Link struct {
	// StallForward and StallBackward stop forwarding bytes to the upstream address and from
	// it, while set. Bytes that arrive meanwhile are forwarded afterwards.
	StallForward  bool
	StallBackward bool
	// Delay is added to each chunk that is forwarded.
	Delay time.Duration
	// Refuse closes new connections at once.
	Refuse bool
}

// Proxy forwards TCP connections to an upstream address and injects network faults.
type Proxy struct {
	Address  string
	upstream string
	ln       net.Listener

	mu      sync.Mutex
	changed *sync.Cond
	link    Link
	conns   map[net.Conn]bool
	closed  bool
}

// NewProxy listens on a free loopback port and forwards connections to an address.
func NewProxy(upstream string) (*Proxy, error) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	p := &Proxy{Address: ln.Addr().String(), upstream: upstream, ln: ln, conns: map[net.Conn]bool{}}
	p.changed = sync.NewCond(&p.mu)
	go p.acceptLoop()
	return p, nil
}

// Close stops the proxy and closes its connections.
func (p *Proxy) Close() {
	p.mu.Lock()
	p.closed = true
	p.changed.Broadcast()
	p.mu.Unlock()
	_ = p.ln.Close() // connections are closed in any case
	p.Reset()
}

// SetLink sets how bytes are forwarded from now on, on open connections too.
func (p *Proxy) SetLink(l Link) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.link = l
	p.changed.Broadcast()
}

// Reset closes all connections with a TCP reset.
func (p *Proxy) Reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	for c := range p.conns {
		breaker.ResetOnClose(c)
		_ = c.Close()
	}
}

func (p *Proxy) acceptLoop() {
	for {
		from, err := p.ln.Accept()
		if err != nil {
			return
		}
		go p.relay(from)
	}
}

// relay forwards one connection in both directions until either side closes or resets it,
// and ends the other side in the same way.
func (p *Proxy) relay(from net.Conn) {
	defer p.closeConn(from)
	p.mu.Lock()
	refuse := p.link.Refuse || p.closed
	p.conns[from] = true
	p.mu.Unlock()
	if refuse {
		return
	}
	upstream, err := net.DialTimeout("tcp4", p.upstream, time.Second)
	if errors.Is(err, syscall.ECONNRESET) {
		breaker.ResetOnClose(from)
	}
	if err != nil {
		return
	}
	defer p.closeConn(upstream)
	p.mu.Lock()
	p.conns[upstream] = true
	p.mu.Unlock()
	done := make(chan error, 2)
	go p.copyDirection(upstream, from, func(l Link) bool { return l.StallForward }, done)
	go p.copyDirection(from, upstream, func(l Link) bool { return l.StallBackward }, done)
	if err := <-done; errors.Is(err, syscall.ECONNRESET) {
		breaker.ResetOnClose(from)
		breaker.ResetOnClose(upstream)
	}
}

func (p *Proxy) closeConn(c net.Conn) {
	_ = c.Close()
	p.mu.Lock()
	defer p.mu.Unlock()
	delete(p.conns, c)
}

// copyDirection copies one direction of a connection and sends what ended it to done, on
// which relay closes both sides.
func (p *Proxy) copyDirection(to io.Writer, from io.Reader, isStalled func(Link) bool, done chan<- error) {
	buffer := make([]byte, 16<<10)
	for {
		n, err := from.Read(buffer)
		if n > 0 {
			time.Sleep(p.awaitOpen(isStalled))
			if _, err := to.Write(buffer[:n]); err != nil {
				done <- err
				return
			}
		}
		if err != nil {
			done <- err
			return
		}
	}
}

// awaitOpen waits until the direction is not stalled and returns the delay of the link.
func (p *Proxy) awaitOpen(isStalled func(Link) bool) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	for isStalled(p.link) && !p.closed {
		p.changed.Wait()
	}
	return p.link.Delay
}

package main

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"time"
)

const host = "ficu95.example"

// call is one attempt of a client, on a channel of its own.
type call struct {
	method string
	path   string
	model  string
	// prefix is the value of X-Prompt-Prefix, and usage that of X-Token-Usage.
	prefix string
	usage  string
	body   string
	budget time.Duration
	// patience is how long the client waits for the next bytes of an answer; 0 for the budget.
	patience time.Duration
	// bodyTime is the time over which the body is sent, in pieces.
	bodyTime time.Duration
}

// answer is what the client has got. Status is 0 if no head came.
type answer struct {
	id      string
	status  int
	stamp   string
	body    string
	isWhole bool
	err     error
	took    time.Duration
}

func (a answer) String() string {
	end := "whole"
	if !a.isWhole {
		end = fmt.Sprintf("not whole: %v", a.err)
	}
	owner := "replica's"
	if a.stamp == "" {
		owner = "system's own"
	}
	return fmt.Sprintf("%d (%s, %s) after %d ms", a.status, owner, end, a.took.Milliseconds())
}

var callCount atomic.Int64

// send sends a call to the address of an instance and reads its answer.
func send(address string, c call) (a answer) {
	began := time.Now()
	a.id = fmt.Sprintf("%08x%08x", began.UnixNano()&0xffffffff, callCount.Add(1))
	defer func() { a.took = time.Since(began) }()
	conn, err := net.DialTimeout("tcp4", address, time.Second)
	if err != nil {
		a.err = err
		return a
	}
	defer conn.Close()
	end := began.Add(c.budget)
	_ = conn.SetDeadline(end)
	var head strings.Builder
	fmt.Fprintf(&head, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", c.method, c.path, host, a.id, c.budget.Milliseconds())
	if c.model != "" {
		fmt.Fprintf(&head, "X-Model: %s\r\nX-Token-Usage: %s\r\nX-Prompt-Prefix: %s\r\n", c.model, c.usage, c.prefix)
	}
	if c.method != http.MethodGet {
		fmt.Fprintf(&head, "Content-Length: %d\r\n", len(c.body))
	}
	head.WriteString("\r\n")
	sent := make(chan error, 1)
	go func() {
		_, err := io.WriteString(conn, head.String())
		if err == nil {
			err = writeBody(conn, c)
		}
		sent <- err
	}()
	reader := bufio.NewReader(&patient{conn: conn, patience: c.patience, end: end})
	response, err := http.ReadResponse(reader, &http.Request{Method: c.method})
	if err != nil {
		a.err = err
		return a
	}
	defer response.Body.Close()
	a.status, a.stamp = response.StatusCode, response.Header.Get("X-Response-Stamp")
	body, err := io.ReadAll(response.Body)
	a.body, a.err, a.isWhole = string(body), err, err == nil
	return a
}

// writeBody sends a body at once, or in ten pieces over a time.
func writeBody(conn net.Conn, c call) error {
	if c.bodyTime == 0 {
		_, err := io.WriteString(conn, c.body)
		return err
	}
	const pieces = 10
	for i := range pieces {
		time.Sleep(c.bodyTime / pieces)
		from, to := len(c.body)*i/pieces, len(c.body)*(i+1)/pieces
		if _, err := io.WriteString(conn, c.body[from:to]); err != nil {
			return err
		}
	}
	return nil
}

// patient gives up a channel after a pause that is longer than the client's patience.
type patient struct {
	conn     net.Conn
	patience time.Duration
	end      time.Time
}

func (p *patient) Read(b []byte) (int, error) {
	if p.patience > 0 {
		limit := time.Now().Add(p.patience)
		if limit.After(p.end) {
			limit = p.end
		}
		_ = p.conn.SetReadDeadline(limit)
	}
	return p.conn.Read(b)
}

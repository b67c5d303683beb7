package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// host is the host of all routes.
const host = "ficu95.example"

// attempt is one client attempt with its answer.
type attempt struct {
	id, path, parts, instance string
	sent, answered            time.Time
	// status is 0 if there was no answer.
	status int
	stamp  string
	body   string
}

// clients send requests to the instances and keep what they saw.
type clients struct {
	world  *world
	number atomic.Int64
	http   *http.Client

	mu       sync.Mutex
	attempts []attempt
}

func (w *world) newClients() *clients {
	return &clients{world: w, http: &http.Client{
		Transport:     &http.Transport{MaxIdleConnsPerHost: 16},
		CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse },
	}}
}

// send sends one request to an instance and records its answer.
func (c *clients) send(method string, i *instance, path, model string, wait time.Duration) {
	c.sendBody(method, i, path, model, "", wait)
}

// sendPrompt sends a request for the model with a prompt of some parts before its own.
func (c *clients) sendPrompt(i *instance, path, parts string, wait time.Duration) {
	c.sendWith(http.MethodPost, i, path, baseModel, parts, "", wait)
}

// sendBody does the same with a body; without one, that of a POST names the request.
func (c *clients) sendBody(method string, i *instance, path, model, text string, wait time.Duration) {
	c.sendWith(method, i, path, model, "5c1e07a2:100", text, wait)
}

func (c *clients) sendWith(method string, i *instance, path, model, parts, text string, wait time.Duration) {
	a := attempt{id: fmt.Sprintf("%016x", c.number.Add(1)), path: path, parts: parts, instance: i.name, sent: time.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	var body io.Reader
	if method == http.MethodPost {
		if text == "" {
			text = "order " + a.id
		}
		body = strings.NewReader(text)
	}
	q, err := http.NewRequestWithContext(ctx, method, "http://"+i.caller+path, body)
	if err != nil {
		return
	}
	q.Host = host
	q.Header.Set("X-Request-Id", a.id)
	q.Header.Set("X-Deadline-Ms", fmt.Sprint(wait.Milliseconds()))
	if model != "" {
		q.Header.Set("X-Model", model)
		q.Header.Set("X-Token-Usage", "200,20")
		q.Header.Set(prefixHeader, parts+","+a.id+":100")
	}
	answer, err := c.http.Do(q)
	if err == nil {
		var content []byte
		content, err = io.ReadAll(answer.Body)
		_ = answer.Body.Close()
		if err == nil {
			a.status, a.stamp, a.body = answer.StatusCode, answer.Header.Get("X-Response-Stamp"), string(content)
		}
	}
	a.answered = time.Now()
	c.world.record.addf("client sent %s %s to %s at %.3f: status %d, stamp %q", a.id, path, i.name, c.world.record.seconds(a.sent), a.status, a.stamp)
	c.mu.Lock()
	defer c.mu.Unlock()
	c.attempts = append(c.attempts, a)
}

// every calls do at an interval, each time in a goroutine of its own, until ctx is done.
func every(ctx context.Context, interval time.Duration, do func()) {
	ticker := time.NewTicker(interval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-ticker.C:
			go do()
		}
	}
}

func (c *clients) all() []attempt {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]attempt(nil), c.attempts...)
}

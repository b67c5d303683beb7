package demonstrator

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

var (
	// errNotWhole tells that an answer ended without its end marker.
	errNotWhole = errors.New("answer is not whole")
	// errRefused tells that an instance refused a request.
	errRefused = errors.New("request refused")
)

const (
	requestTimeout = 20 * time.Second
	retryPause     = 50 * time.Millisecond
	endMarker      = "data: [DONE]\n\n"
)

// caller is a client of the system: it asks any instance for addresses, keeps
// the answer until its deadline, and sends a request that may be repeated again
// if it gets no whole answer.
type caller struct {
	team   string
	token  string
	http   *http.Client
	known  []string // addresses to ask where to go
	mu     sync.Mutex
	answer messenger.LocateAnswer
}

func newCaller(team, token string, known []string) *caller {
	return &caller{
		team: team, token: token, known: known,
		http: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 4}},
	}
}

// locate returns the addresses to use, in order.
func (c *caller) locate(now time.Time) ([]string, error) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if now.Before(c.answer.Deadline) {
		return c.answer.Addresses, nil
	}
	for _, address := range append(c.answer.Addresses, c.known...) {
		answer, err := c.ask(address)
		if err == nil && len(answer.Addresses) > 0 {
			c.answer = answer
			return answer.Addresses, nil
		}
	}
	return nil, errors.New("no instance tells where to go")
}

func (c *caller) ask(address string) (messenger.LocateAnswer, error) {
	var answer messenger.LocateAnswer
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/locate", http.NoBody)
	if err != nil {
		return answer, errors.Wrap(err, "locate")
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return answer, errors.Wrap(err, "locate")
	}
	defer func() { _ = resp.Body.Close() }()
	if err := json.NewDecoder(resp.Body).Decode(&answer); err != nil {
		return answer, errors.Wrap(err, "locate")
	}
	return answer, nil
}

// forget drops the kept addresses, so that the next request asks again.
func (c *caller) forget() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Deadline = time.Time{}
}

// chat sends a request to a model until it is answered whole and returns the
// number of sends that it took.
func (c *caller) chat(model, prompt string, tokens int) (sends int, err error) {
	body := fmt.Sprintf(`{"model":%q,"stream":true,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`, model, tokens, prompt)
	deadline := time.Now().Add(requestTimeout)
	for sends = 1; sends == 1 || time.Now().Before(deadline); sends++ {
		var addresses []string
		addresses, err = c.locate(time.Now())
		if err == nil {
			var text string
			text, err = c.send(addresses[(sends-1)%len(addresses)], "/v1/chat/completions", body, "")
			if err == nil && strings.HasSuffix(text, endMarker) && strings.Count(text, "data: ") == tokens+1 {
				return sends, nil
			}
			if err == nil {
				err = errNotWhole
			}
		}
		c.forget()
		time.Sleep(retryPause)
	}
	return sends, err
}

// order sends a request that may not be repeated under a key, twice, to two
// instances, as a caller does that lost the first answer.
func (c *caller) order(text string) error {
	c.forget()
	addresses, err := c.locate(time.Now())
	if err != nil {
		return err
	}
	key := c.answer.Key
	var first string
	for i := range 2 {
		answer, err := c.send(addresses[i%len(addresses)], "/v1/services/orders/trim", text, key)
		if err != nil {
			return err
		}
		if i > 0 && answer != first {
			return errNotWhole
		}
		first = answer
	}
	return nil
}

func (c *caller) send(address, path, body, key string) (string, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+address+path, strings.NewReader(body))
	if err != nil {
		return "", errors.Wrap(err, "send")
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	if key != "" {
		req.Header.Set("X-Request-Key", key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return "", errors.Wrap(err, "send")
	}
	defer func() { _ = resp.Body.Close() }()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return "", errors.Wrap(err, "read answer")
	}
	if resp.StatusCode != http.StatusOK {
		return "", errors.Wrapf(errRefused, "status %d: %s", resp.StatusCode, text)
	}
	return string(text), nil
}

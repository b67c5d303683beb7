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
	// errIncompleteAnswer reports that an answer is incomplete or not the expected one.
	errIncompleteAnswer = errors.New("answer is incomplete or not the expected one")
	// errRefused reports that an instance refused a request.
	errRefused = errors.New("request refused")
)

const (
	requestTimeout = 20 * time.Second
	retryInterval  = 50 * time.Millisecond
	endMarker      = "data: [DONE]\n\n"
)

// caller is a client of the system. It requests addresses from any instance, caches
// them until their deadline, and resends a repeatable request if it gets no complete
// answer.
type caller struct {
	team      string
	token     string
	http      *http.Client
	instances []string // instances to send locate requests to
	mu        sync.Mutex
	answer    messenger.LocateAnswer // of the latest locate request that succeeded
}

func newCaller(team, token string, instances []string) *caller {
	return &caller{
		team: team, token: token, instances: instances,
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
	for _, address := range append(c.answer.Addresses, c.instances...) {
		answer, err := c.requestLocate(address)
		if err == nil && len(answer.Addresses) > 0 {
			c.answer = answer
			return answer.Addresses, nil
		}
	}
	return nil, errors.New("no instance answered a locate request")
}

// requestLocate sends a locate request to the instance at an address.
func (c *caller) requestLocate(address string) (messenger.LocateAnswer, error) {
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

// expireAddresses marks the cached addresses as expired, so that the next request locates anew.
func (c *caller) expireAddresses() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answer.Deadline = time.Time{}
}

// chat sends a chat request to a model until it gets a complete answer, and returns the
// number of times that it sent the request.
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
				err = errIncompleteAnswer
			}
		}
		c.expireAddresses()
		time.Sleep(retryInterval)
	}
	return sends, err
}

// sendOrderTwice sends a request that must not run twice, with a request key, to two instances
// in turn, as a caller does that did not receive the first answer. Both answers must be
// equal.
func (c *caller) sendOrderTwice(text string) error {
	c.expireAddresses()
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
			return errIncompleteAnswer
		}
		first = answer
	}
	return nil
}

// send sends a request to an instance, with a request key unless that is empty, and
// returns the body of the answer.
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

package historian

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync/atomic"
	"time"

	"github.com/crocusring/crocusring/internal/fake/engineer"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Caller sends requests as a client of the system does and records each send.
// Its methods may be called concurrently.
type Caller struct {
	recorder *Recorder
	token    string
	idPrefix string
	sent     atomic.Int64
	http     *http.Client
}

// NewCaller returns a caller that authenticates with a team's token. idPrefix makes
// the IDs of its sends distinct from those of other callers.
func NewCaller(recorder *Recorder, token, idPrefix string) *Caller {
	return &Caller{
		recorder: recorder, token: token, idPrefix: idPrefix,
		http: &http.Client{Transport: &http.Transport{DisableKeepAlives: true}},
	}
}

// Chat is a request to a model.
type Chat struct {
	Model  string
	Prompt string
	Tokens int
	Stream bool
	Key    string
}

// Chat sends a request to the instance at address and returns its record.
func (c *Caller) Chat(ctx context.Context, address string, chat Chat) Send {
	s := c.newSend(chat.Key, chat.Prompt)
	s.Crashing = strings.Contains(chat.Prompt, engineer.CrashMarker)
	s.Repeatable = true
	for i := range chat.Tokens {
		s.Want = append(s.Want, engineer.Token(chat.Prompt+"\n", i))
	}
	if !chat.Stream {
		s.Want = []string{strings.Join(s.Want, "")}
	}
	body := fmt.Sprintf(`{"model":%q,"stream":%t,"max_tokens":%d,"messages":[{"role":"user","content":%q}]}`,
		chat.Model, chat.Stream, chat.Tokens, chat.Prompt)
	c.send(ctx, "http://"+address+"/v1/chat/completions", body, &s, func(answer io.Reader) {
		if chat.Stream {
			s.readEvents(answer)
		} else {
			s.readWhole(answer)
		}
	})
	c.recorder.Sent(s)
	return s
}

// ServiceRequest is a request to a plain service.
type ServiceRequest struct {
	Service string
	Path    string // includes the query
	Text    string
	Key     string
	// Repeatable reports that the service may run the request more than once.
	Repeatable bool
}

// ServiceRequest sends a request to the instance at address and returns its record.
func (c *Caller) ServiceRequest(ctx context.Context, address string, request ServiceRequest) Send {
	s := c.newSend(request.Key, request.Text)
	s.Repeatable = request.Repeatable
	path, _, _ := strings.Cut(request.Path, "?")
	s.Want = []string{"ran " + path + "\n" + request.Text}
	c.send(ctx, "http://"+address+"/v1/services/"+request.Service+request.Path, request.Text, &s, func(answer io.Reader) {
		text, err := io.ReadAll(answer)
		s.Got = []string{string(text)}
		s.Ended = err == nil
		if err != nil {
			s.Got = nil
		}
	})
	c.recorder.Sent(s)
	return s
}

// newSend returns a send with a new ID.
func (c *Caller) newSend(key, prompt string) Send {
	return Send{ID: fmt.Sprintf("%s-%d", c.idPrefix, c.sent.Add(1)), Key: key, Prompt: prompt}
}

// send sends a request and records its answer in s. It passes the body of an answer
// that is not a refusal to read.
func (c *Caller) send(ctx context.Context, url, body string, s *Send, read func(io.Reader)) {
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Authorization", "Bearer "+c.token)
	req.Header.Set("X-Request-Id", s.ID)
	if deadline, ok := ctx.Deadline(); ok {
		req.Header.Set("X-Deadline", deadline.Format(time.RFC3339Nano))
	}
	if s.Key != "" {
		req.Header.Set("X-Request-Key", s.Key)
	}
	resp, err := c.http.Do(req)
	if err != nil {
		return
	}
	defer func() { _ = resp.Body.Close() }()
	s.Status = resp.StatusCode
	s.AnswerID = resp.Header.Get("X-Request-Id")
	if resp.StatusCode == http.StatusOK {
		read(resp.Body)
		return
	}
	var refusal messenger.Refusal
	if json.NewDecoder(resp.Body).Decode(&refusal) == nil {
		s.Code = refusal.Code
		s.NotRun = refusal.NotRun
		s.RetryAfter = refusal.RetryAfterMilliseconds > 0
	}
}

// completion is an answer of a model, or one event of a streamed answer.
type completion struct {
	Choices []struct {
		Delta   struct{ Content string }
		Message struct{ Content string }
	}
	Code string
}

func (s *Send) readEvents(answer io.Reader) {
	lines := bufio.NewScanner(answer)
	for lines.Scan() {
		data, isData := strings.CutPrefix(lines.Text(), "data: ")
		var event completion
		switch {
		case !isData:
		case data == "[DONE]":
			s.Ended = true
		case json.Unmarshal([]byte(data), &event) != nil:
			s.Got = append(s.Got, data)
		case len(event.Choices) == 0:
			s.Code = event.Code
		default:
			s.Got = append(s.Got, event.Choices[0].Delta.Content)
		}
	}
}

func (s *Send) readWhole(answer io.Reader) {
	text, err := io.ReadAll(answer)
	if err != nil {
		return
	}
	s.Ended = true
	var whole completion
	if json.Unmarshal(text, &whole) == nil && len(whole.Choices) == 1 {
		s.Got = []string{whole.Choices[0].Message.Content}
	}
}

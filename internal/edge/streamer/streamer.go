// Package streamer is the client of an engine's chat interface. It checks that an
// answer belongs to its request before it returns any byte of it, and distinguishes
// complete answers from truncated ones.
package streamer

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/observer"
)

var (
	// ErrRefused means that the engine reported that it ran no part of the request.
	ErrRefused = errors.New("engine refused request")
	// ErrFailed means that the engine answered with an error of its own; the
	// request may have run.
	ErrFailed = errors.New("engine failed")
	// ErrCrossed means that an answer belongs to another request.
	ErrCrossed = errors.New("answer belongs to another request")
	// ErrTruncated means that an answer is incomplete: it lacks an event or the end
	// marker, or its connection was closed inside its JSON.
	ErrTruncated = errors.New("answer has no end marker")
	// ErrMalformed means that an answer violates the chat interface.
	ErrMalformed = errors.New("malformed answer")
)

// RejectedError is an engine's final answer to a request that it considers faulty.
type RejectedError struct {
	Status int
	Body   []byte
}

func (e *RejectedError) Error() string {
	return "engine rejected request with status " + strconv.Itoa(e.Status)
}

const (
	headerRequestID   = "X-Request-Id"
	headerRequestKey  = "X-Request-Key"
	headerPriority    = "X-Priority"
	headerNotRun      = "X-Not-Run"
	headerLastEventID = "Last-Event-ID"
	pathChat          = "/v1/chat/completions"
	maxAnswerBytes    = 32 << 20
	eventBufferBytes  = 4 << 10
	maxEventBytes     = 1 << 20
)

// Call describes one request to an engine.
type Call struct {
	ID       string
	Key      string
	Body     []byte
	Priority int
	// Next is the index of the first token to return; the tokens before it were
	// received from an earlier stream.
	Next int
	// Fresh requires a new connection, as in connector.Call.
	Fresh bool
	// FirstByte, AnswerDeadline and Gap are as in connector.Call.
	FirstByte      time.Time
	AnswerDeadline time.Time
	Gap            time.Duration
	// Context cancels the call when it is done; it may be nil.
	Context context.Context
	// Notice receives what the engine announces in the head of its answer to this request; it
	// may be nil.
	Notice *observer.Notice
}

// Client sends requests to engines, with a connection pool for each engine.
type Client struct {
	pools *connector.Pools
}

// New returns a client.
func New() *Client {
	return &Client{pools: connector.NewPools()}
}

// Prune closes idle connections that have expired at now.
func (c *Client) Prune(now time.Time) { c.pools.Prune(now) }

// Unary sends a request whose answer is not streamed and returns the whole body.
func (c *Client) Unary(address string, call Call) ([]byte, error) {
	answer, err := c.send(address, call)
	if err != nil {
		return nil, err
	}
	defer answer.Close()
	body, err := readBody(answer)
	if err != nil {
		return nil, err
	}
	// The close of a connection does not show whether the body is complete; its JSON does.
	if answer.Framing() == connector.FramedByClose && !json.Valid(body) {
		return nil, errors.Wrap(ErrTruncated, "connection closed inside the body")
	}
	return body, nil
}

// readBody reads the body of an answer to its end.
func readBody(answer *connector.Answer) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(answer, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errors.Wrap(ErrFailed, "answer too large")
	}
	return body, nil
}

// Start sends a request whose answer is a stream of events. The caller must close
// the stream.
func (c *Client) Start(address string, call Call) (*Stream, error) {
	answer, err := c.send(address, call)
	if err != nil {
		return nil, err
	}
	return &Stream{
		nextIndex: call.Next,
		answer:    answer,
		events:    eventReader{id: []byte(call.ID), lines: bufio.NewReaderSize(answer, eventBufferBytes)},
	}, nil
}

func (c *Client) send(address string, call Call) (*connector.Answer, error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + pathChat)
	req.Header.SetContentType("application/json")
	req.Header.Set(headerRequestID, call.ID)
	req.Header.Set(headerPriority, strconv.Itoa(call.Priority))
	if call.Key != "" {
		req.Header.Set(headerRequestKey, call.Key)
	}
	if call.Next > 0 {
		req.Header.Set(headerLastEventID, call.ID+":"+strconv.Itoa(call.Next-1))
	}
	req.SetBodyRaw(call.Body)
	answer, err := c.pools.For(address).Do(connector.Call{
		Request: req, Fresh: call.Fresh, FirstByte: call.FirstByte, AnswerDeadline: call.AnswerDeadline, Gap: call.Gap, Context: call.Context,
	})
	if err != nil {
		return nil, err
	}
	if call.Notice != nil && string(answer.Header.Peek(headerRequestID)) == call.ID {
		*call.Notice = observer.Read(time.Now(), &answer.Header)
	}
	if err := checkHead(answer, call.ID); err != nil {
		answer.Discard()
		return nil, err
	}
	return answer, nil
}

// checkHead returns nil if the head of an answer shows that the engine runs the request
// with this ID, and otherwise the error that the head indicates.
func checkHead(answer *connector.Answer, id string) error {
	if string(answer.Header.Peek(headerRequestID)) != id {
		return errors.Wrapf(ErrCrossed, "want %q, got %q", id, answer.Header.Peek(headerRequestID))
	}
	status := answer.Header.StatusCode()
	switch {
	case status == fasthttp.StatusOK:
		return nil
	case string(answer.Header.Peek(headerNotRun)) == "true":
		return errors.Wrapf(ErrRefused, "status %d", status)
	case status >= fasthttp.StatusBadRequest && status < fasthttp.StatusInternalServerError:
		body, err := readBody(answer)
		if err != nil {
			return err
		}
		return &RejectedError{Status: status, Body: body}
	default:
		return errors.Wrapf(ErrFailed, "status %d", status)
	}
}

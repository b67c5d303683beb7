// Package poster exchanges JSON messages over HTTP with the platform, targets and
// instances. It never retries a request: only the caller knows whether a request may
// be repeated.
package poster

import (
	"encoding/json"
	"net"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"
)

var (
	// ErrNotSent reports that the request was not sent, for example because no
	// connection was made, so it cannot have taken effect.
	ErrNotSent = errors.New("request not sent")
	// ErrNoAnswer reports that the request may have been sent and no complete and
	// decodable answer was received, so it may or may not have taken effect.
	ErrNoAnswer = errors.New("no answer")
	// ErrTooLong is an ErrNoAnswer for an answer with more bytes than WithMaxAnswer allows.
	ErrTooLong = errors.Wrap(ErrNoAnswer, "answer is too long")
)

// StatusError is an answer whose status is not 200.
type StatusError struct {
	URL    string
	Status int
	Body   []byte
	// RetryAfter is the Retry-After header; empty if there is none.
	RetryAfter string
}

func (e *StatusError) Error() string {
	const maxBodyBytes = 200 // of the body in the text of the error
	body := e.Body
	if len(body) > maxBodyBytes {
		body = body[:maxBodyBytes]
	}
	return errors.Errorf("%s: status %d: %s", e.URL, e.Status, body).Error()
}

// Client sends JSON requests. The zero value is not usable; see New.
type Client struct {
	http *fasthttp.Client
	// maxAnswerBytes bounds an answer with its heads.
	maxAnswerBytes int
}

const (
	dialTimeout = 500 * time.Millisecond
	maxIdleTime = 5 * time.Second
	// defaultMaxAnswerBytes is more than the largest table in the largest system.
	defaultMaxAnswerBytes = 32 << 20
	maxConnections        = 64
	userAgent             = "crocusring"

	keepAliveInterval = time.Second
	keepAliveProbes   = 2
)

// dialer enables TCP keep-alive probes, so that a call that waits long for its answer
// fails when the other end no longer responds.
var dialer = net.Dialer{
	Timeout: dialTimeout,
	KeepAliveConfig: net.KeepAliveConfig{
		Enable: true, Idle: keepAliveInterval, Interval: keepAliveInterval, Count: keepAliveProbes,
	},
}

// Option configures a client in New.
type Option func(*Client)

// WithMaxConnections sets how many connections a client opens to one address, by default 64.
func WithMaxConnections(count int) Option {
	return func(c *Client) { c.http.MaxConnsPerHost = count }
}

// WithMaxAnswer sets how many bytes of an answer are read, with its heads, by default 32 MB. A longer one
// is no answer; see ErrTooLong.
func WithMaxAnswer(bytes int) Option {
	return func(c *Client) { c.maxAnswerBytes, c.http.MaxResponseBodySize = bytes, bytes }
}

// New returns a client that does not retry requests.
func New(options ...Option) *Client {
	c := &Client{maxAnswerBytes: defaultMaxAnswerBytes}
	c.http = &fasthttp.Client{
		Name: userAgent,
		Dial: func(addr string) (net.Conn, error) {
			conn, err := dialer.Dial("tcp", addr)
			if err != nil {
				return nil, errors.Wrap(ErrNotSent, err.Error())
			}
			return &checkedConn{Conn: conn, maxBytes: c.maxAnswerBytes}, nil
		},
		MaxConnsPerHost:           maxConnections,
		MaxIdleConnDuration:       maxIdleTime,
		MaxIdemponentCallAttempts: 1,
		RetryIfErr: func(*fasthttp.Request, int, error) (bool, bool) {
			return false, false
		},
		MaxResponseBodySize: defaultMaxAnswerBytes,
	}
	for _, option := range options {
		option(c)
	}
	return c
}

// Call describes one request and its answer. If In is not nil, it is encoded as the
// body of the request; if Out is not nil, the answer is decoded into it. Token, if
// set, is sent as bearer token. The call fails if it is not done by Deadline.
type Call struct {
	Method   string
	URL      string
	Token    string
	In       any
	Out      any
	Deadline time.Time
	// ETag is the entity tag (ETag) of an earlier answer that the caller has, if any.
	ETag string
	// IsAlone asks for a connection that no other call uses before or after this one, for an
	// answer that nothing else pairs with its request. All calls of a client that needs this must
	// ask for it.
	IsAlone bool
	// Header is an additional header of the request; none if its name is empty.
	Header Header
	// AnswerHeader, if not nil, names a header whose value in the answer, whatever its status, is
	// stored there; empty if the answer has none.
	AnswerHeader *Header
}

// Header is a header of a request or of an answer.
type Header struct {
	Name  string
	Value string
}

// ErrNotModified reports that the answer that the caller already has is current.
var ErrNotModified = errors.New("not modified")

// Do performs the call. The error is a *StatusError or wraps ErrNotSent or ErrNoAnswer;
// if call.ETag is set, it may also be ErrNotModified.
func (c *Client) Do(call Call) error {
	_, err := c.DoWithETag(call)
	return err
}

// DoWithETag performs the call and returns the entity tag of the answer, empty if it
// has none. The error is one of those of Do; it is ErrNotModified if call.ETag is
// that of the current answer.
func (c *Client) DoWithETag(call Call) (etag string, err error) {
	req := fasthttp.AcquireRequest()
	defer fasthttp.ReleaseRequest(req)
	resp := fasthttp.AcquireResponse()
	defer fasthttp.ReleaseResponse(resp)
	req.Header.SetMethod(call.Method)
	req.SetRequestURI(call.URL)
	if call.Token != "" {
		req.Header.Set(fasthttp.HeaderAuthorization, "Bearer "+call.Token)
	}
	if call.ETag != "" {
		req.Header.Set(fasthttp.HeaderIfNoneMatch, call.ETag)
	}
	if call.Header.Name != "" {
		req.Header.Set(call.Header.Name, call.Header.Value)
	}
	if call.In != nil {
		body, err := json.Marshal(call.In)
		if err != nil {
			return "", errors.Wrapf(ErrNotSent, "encode request to %s: %v", call.URL, err)
		}
		req.Header.SetContentType("application/json")
		req.SetBodyRaw(body)
	}
	if !time.Now().Before(call.Deadline) {
		return "", errors.Wrapf(ErrNotSent, "%s: deadline passed", call.URL)
	}
	if call.IsAlone {
		req.SetConnectionClose()
	}
	if err := c.do(req, resp, call.Deadline); err != nil {
		return "", classify(call.URL, err)
	}
	if call.AnswerHeader != nil {
		call.AnswerHeader.Value = string(resp.Header.Peek(call.AnswerHeader.Name))
	}
	etag = string(resp.Header.Peek(fasthttp.HeaderETag))
	if call.ETag != "" && resp.StatusCode() == fasthttp.StatusNotModified {
		return etag, ErrNotModified
	}
	if resp.StatusCode() != fasthttp.StatusOK {
		body := append([]byte(nil), resp.Body()...)
		retryAfter := string(resp.Header.Peek(fasthttp.HeaderRetryAfter))
		return "", &StatusError{URL: call.URL, Status: resp.StatusCode(), Body: body, RetryAfter: retryAfter}
	}
	if call.Out == nil {
		return etag, nil
	}
	if err := json.Unmarshal(resp.Body(), call.Out); err != nil {
		return "", errors.Wrapf(ErrNoAnswer, "decode answer of %s: %v", call.URL, err)
	}
	return etag, nil
}

// do sends a request and reads its answer. Kept connections that turn out not to be idle are
// passed over: nothing was written to them.
func (c *Client) do(req *fasthttp.Request, resp *fasthttp.Response, deadline time.Time) error {
	for {
		err := c.http.DoDeadline(req, resp, deadline)
		if !errors.Is(err, errNotIdle) {
			return err
		}
	}
}

func classify(url string, err error) error {
	if errors.Is(err, ErrNotSent) || errors.Is(err, fasthttp.ErrNoFreeConns) {
		return errors.Wrapf(ErrNotSent, "%s: %v", url, err)
	}
	if errors.Is(err, ErrTooLong) || errors.Is(err, fasthttp.ErrBodyTooLarge) {
		return errors.Wrap(ErrTooLong, url)
	}
	return errors.Wrapf(ErrNoAnswer, "%s: %v", url, err)
}

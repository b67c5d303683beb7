// Package requester is the operators' and callers' client of entry instances for
// the command line.
package requester

import (
	"crypto/rand"
	"encoding/json"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

var (
	// ErrRefused tells that an instance refused a request; nothing was changed.
	ErrRefused = errors.New("refused")
	// ErrUnreachable tells that no instance answered; nothing was changed.
	ErrUnreachable = errors.New("no instance answers")
	// ErrUnknownOutcome tells that a change may have been accepted.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

// RefusedError is ErrRefused with the refusal.
type RefusedError struct {
	Refusal messenger.Refusal
}

func (e *RefusedError) Error() string { return e.Refusal.Code + ": " + e.Refusal.Message }

// Is reports whether target is ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

const (
	callTimeout  = 12 * time.Second // more than an instance tries a change
	changeTime   = 30 * time.Second
	changePause  = 500 * time.Millisecond
	codeUnknown  = "OutcomeUnknown"
	pathSettings = "/v1/settings"
)

// Client asks instances in turn until one answers.
type Client struct {
	addresses  []string
	credential string
	do         func(poster.Call) error
	now        func() time.Time
	sleep      func(time.Duration)
}

// New returns a client of the instances at addresses.
func New(addresses []string, credential string) *Client {
	return &Client{addresses: addresses, credential: credential, do: poster.New().Do, now: time.Now, sleep: time.Sleep}
}

// Settings returns the settings below prefix that the operator may read.
func (c *Client) Settings(prefix string) (messenger.SettingsAnswer, error) {
	var answer messenger.SettingsAnswer
	err := c.call(fasthttp.MethodGet, pathSettings+"?prefix="+url.QueryEscape(prefix), nil, &answer)
	return answer, err
}

// Status returns the state of the system as one instance sees it.
func (c *Client) Status() (messenger.StatusAnswer, error) {
	var answer messenger.StatusAnswer
	err := c.call(fasthttp.MethodGet, "/v1/status", nil, &answer)
	return answer, err
}

// Locate returns which addresses a caller is to use.
func (c *Client) Locate() (messenger.LocateAnswer, error) {
	var answer messenger.LocateAnswer
	err := c.call(fasthttp.MethodGet, "/v1/locate", nil, &answer)
	return answer, err
}

// Change sends changes under one operation ID until their outcome is known or
// the time for it is over.
func (c *Client) Change(changes []messenger.SettingChange) (messenger.ChangeAnswer, error) {
	req := messenger.ChangeRequest{OperationID: rand.Text(), Changes: changes}
	deadline := c.now().Add(changeTime)
	unknown := false
	for {
		var answer messenger.ChangeAnswer
		err := c.call(fasthttp.MethodPost, pathSettings, req, &answer)
		unknown = unknown || errors.Is(err, ErrUnknownOutcome)
		isOpen := unknown && (errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrUnreachable))
		switch {
		case !isOpen:
			return answer, err
		case !c.now().Before(deadline):
			return answer, errors.Wrap(ErrUnknownOutcome, err.Error())
		}
		c.sleep(changePause)
	}
}

// call asks each instance until one answers. A request that may have been carried
// out is not sent on to another one.
func (c *Client) call(method, path string, in, out any) error {
	last := ErrUnreachable
	for _, address := range c.addresses {
		err := c.do(poster.Call{
			Method: method, URL: "http://" + address + path, Token: c.credential, In: in, Out: out, Deadline: c.now().Add(callTimeout),
		})
		if err == nil {
			return nil
		}
		err = classify(err, method)
		if !errors.Is(err, ErrUnreachable) {
			return err
		}
		last = err
	}
	return last
}

func classify(err error, method string) error {
	var status *poster.StatusError
	var refusal messenger.Refusal
	isRefusal := errors.As(err, &status) && json.Unmarshal(status.Body, &refusal) == nil && refusal.Code != ""
	switch {
	case isRefusal && refusal.Code == codeUnknown:
		return errors.Wrap(ErrUnknownOutcome, refusal.Message)
	case isRefusal && status.Status == fasthttp.StatusServiceUnavailable:
		return errors.Wrap(ErrUnreachable, refusal.Code+": "+refusal.Message)
	case isRefusal:
		return &RefusedError{Refusal: refusal}
	case errors.Is(err, poster.ErrNotSent), method == fasthttp.MethodGet:
		return errors.Wrap(ErrUnreachable, err.Error())
	default:
		return errors.Wrap(ErrUnknownOutcome, err.Error())
	}
}

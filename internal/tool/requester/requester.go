// Package requester is the client with which the command line tool accesses the entry
// instances. It tries several instances and reports whether a change took effect.
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
	// ErrRefused reports that an instance refused a request; nothing was changed.
	ErrRefused = errors.New("refused")
	// ErrUnreachable reports that no instance answered or was ready; nothing was changed.
	ErrUnreachable = errors.New("no instance answers")
	// ErrUnknownOutcome reports that a change may or may not have been accepted.
	ErrUnknownOutcome = errors.New("outcome unknown")
)

// RefusedError is an ErrRefused that holds the refusal of the instance.
type RefusedError struct {
	Refusal messenger.Refusal
}

func (e *RefusedError) Error() string { return e.Refusal.Code + ": " + e.Refusal.Message }

// Is reports whether target is ErrRefused.
func (e *RefusedError) Is(target error) bool { return target == ErrRefused }

const (
	callTimeout         = 12 * time.Second // longer than an instance tries to apply a change
	changeTimeout       = 30 * time.Second
	changeRetryInterval = 500 * time.Millisecond
	codeOutcomeUnknown  = "OutcomeUnknown"
	settingsPath        = "/v1/settings"
)

// Client sends requests to the instances in turn until one that is ready answers.
type Client struct {
	addresses  []string
	credential string
	do         func(poster.Call) error
	now        func() time.Time
	sleep      func(time.Duration)
}

// New returns a client for the instances at addresses.
func New(addresses []string, credential string) *Client {
	return &Client{addresses: addresses, credential: credential, do: poster.New().Do, now: time.Now, sleep: time.Sleep}
}

// Settings returns the settings below prefix that the operator may read.
func (c *Client) Settings(prefix string) (messenger.SettingsAnswer, error) {
	var answer messenger.SettingsAnswer
	err := c.call(fasthttp.MethodGet, settingsPath+"?prefix="+url.QueryEscape(prefix), nil, &answer)
	return answer, err
}

// Status returns the state of the system as known to the instance that answers.
func (c *Client) Status() (messenger.StatusAnswer, error) {
	var answer messenger.StatusAnswer
	err := c.call(fasthttp.MethodGet, "/v1/status", nil, &answer)
	return answer, err
}

// Locate returns the addresses that a caller should use.
func (c *Client) Locate() (messenger.LocateAnswer, error) {
	var answer messenger.LocateAnswer
	err := c.call(fasthttp.MethodGet, "/v1/locate", nil, &answer)
	return answer, err
}

// Change sends changes and, if their outcome is unknown, sends them again until it is
// known or changeTimeout has passed. All attempts have the same operation ID.
func (c *Client) Change(changes []messenger.SettingChange) (messenger.ChangeAnswer, error) {
	req := messenger.ChangeRequest{OperationID: rand.Text(), Changes: changes}
	deadline := c.now().Add(changeTimeout)
	unknown := false
	for {
		var answer messenger.ChangeAnswer
		err := c.call(fasthttp.MethodPost, settingsPath, req, &answer)
		unknown = unknown || errors.Is(err, ErrUnknownOutcome)
		isUnresolved := unknown && (errors.Is(err, ErrUnknownOutcome) || errors.Is(err, ErrUnreachable))
		switch {
		case !isUnresolved:
			return answer, err
		case !c.now().Before(deadline):
			return answer, errors.Wrap(ErrUnknownOutcome, err.Error())
		}
		c.sleep(changeRetryInterval)
	}
}

// call sends a request to one instance after the other until one that is ready answers.
// A change that may have been executed is not sent to the next one.
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

// classify converts an error of poster to one of the sentinel errors of this package.
// A read that got no answer changed nothing, so it counts as ErrUnreachable.
func classify(err error, method string) error {
	var status *poster.StatusError
	var refusal messenger.Refusal
	isRefusal := errors.As(err, &status) && json.Unmarshal(status.Body, &refusal) == nil && refusal.Code != ""
	switch {
	case isRefusal && refusal.Code == codeOutcomeUnknown:
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

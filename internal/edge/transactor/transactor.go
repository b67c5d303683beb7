// Package transactor is the client of the platform's table service. It distinguishes
// a transaction that did not take effect from one whose outcome is unknown, and never
// retries a transaction.
package transactor

import (
	"encoding/json"
	"net/url"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

var (
	// ErrConflict means that a condition did not hold; nothing was written.
	ErrConflict = errors.New("table row changed")
	// ErrUnavailable means that the service cannot be reached or refused the request;
	// nothing was written.
	ErrUnavailable = errors.New("table service unavailable")
	// ErrUnknownOutcome means that a transaction may have taken effect.
	ErrUnknownOutcome = errors.New("outcome of transaction unknown")
)

// ConflictError is an ErrConflict with the rows whose condition did not hold.
type ConflictError struct {
	Rows []messenger.Row
}

func (e *ConflictError) Error() string { return ErrConflict.Error() }

// Is reports whether target is ErrConflict.
func (e *ConflictError) Is(target error) bool { return target == ErrConflict }

// Client accesses the tables of one platform.
type Client struct {
	base   string
	poster *poster.Client
	now    func() time.Time
}

const callTimeout = 2 * time.Second

// New returns a client for the platform at base, an HTTP URL without path.
func New(base string, p *poster.Client) *Client {
	return &Client{base: base, poster: p, now: time.Now}
}

// Transact applies all writes atomically if all conditions hold. The error is
// ErrConflict, ErrUnavailable or ErrUnknownOutcome.
func (c *Client) Transact(req messenger.TransactRequest) error {
	var answer messenger.TransactResponse
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodPost,
		URL:      c.base + "/v1/tables/transact",
		In:       withoutNil(req),
		Out:      &answer,
		Deadline: c.now().Add(callTimeout),
	})
	if err != nil {
		return classifyWriteError(err)
	}
	if !answer.Committed {
		return &ConflictError{Rows: answer.Failed}
	}
	return nil
}

// withoutNil returns req with nil conditions as an empty list and nil values as null.
// It changes the writes of req in place.
func withoutNil(req messenger.TransactRequest) messenger.TransactRequest {
	if req.Conditions == nil {
		req.Conditions = []messenger.Condition{}
	}
	for i, w := range req.Writes {
		if w.Value == nil {
			req.Writes[i].Value = json.RawMessage("null")
		}
	}
	return req
}

// classifyWriteError returns ErrUnavailable for a request that was not sent or was
// refused, and ErrUnknownOutcome otherwise: a server error other than 503 may be sent
// after the transaction took effect.
func classifyWriteError(err error) error {
	var status *poster.StatusError
	isRefused := errors.As(err, &status) &&
		(status.Status < fasthttp.StatusInternalServerError || status.Status == fasthttp.StatusServiceUnavailable)
	if errors.Is(err, poster.ErrNotSent) || isRefused {
		return errors.Wrap(ErrUnavailable, err.Error())
	}
	return errors.Wrap(ErrUnknownOutcome, err.Error())
}

// Scan returns the rows of a table whose key has the prefix, in key order, as a
// consistent snapshot. The error is ErrUnavailable.
func (c *Client) Scan(table, prefix string) ([]messenger.Row, error) {
	var answer messenger.ScanResponse
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      c.base + "/v1/tables/scan?table=" + url.QueryEscape(table) + "&prefix=" + url.QueryEscape(prefix),
		Out:      &answer,
		Deadline: c.now().Add(callTimeout),
	})
	if err != nil {
		return nil, errors.Wrap(ErrUnavailable, err.Error())
	}
	return answer.Rows, nil
}

// Get returns one row; its Version is 0 if it does not exist. The error is
// ErrUnavailable.
func (c *Client) Get(table, key string) (messenger.Row, error) {
	rows, err := c.Scan(table, key)
	if err != nil {
		return messenger.Row{}, err
	}
	for _, row := range rows {
		if row.Key == key {
			return row, nil
		}
	}
	return messenger.Row{Table: table, Key: key}, nil
}

// Package commander is the client of an engine's control interface. It sends orders
// and reads reports and cache events; it never retries a call.
package commander

import (
	"math/rand/v2"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/observer"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

var (
	// ErrNotApplied means that an order did not take effect and never will.
	ErrNotApplied = errors.New("order not applied")
	// ErrStaleFence means that the engine refused an order because its fencing token is
	// out of date.
	ErrStaleFence = errors.New("order refused: old fencing token")
	// ErrUnknownOutcome means that an order may have taken effect or may still do so.
	ErrUnknownOutcome = errors.New("outcome of order unknown")
	// ErrNoReport means that no report or no cache events could be read from an engine.
	ErrNoReport = errors.New("no report from engine")
)

// Kinds of orders.
const (
	Load   = "Load"
	Unload = "Unload"
	Role   = "Role"
)

const callTimeout = time.Second

// QuietError is the error of a call that an engine has turned away because it wants no
// requests of this instance for a while.
type QuietError struct {
	Until time.Time
	Cause error
}

func (e *QuietError) Error() string { return e.Cause.Error() }

// Unwrap returns the error that the call has without regard to the quiet.
func (e *QuietError) Unwrap() error { return e.Cause }

// NoteQuiet records in the fleet if a call to a target has failed with a *QuietError.
func NoteQuiet(fleet *keeper.Fleet, target *keeper.Target, now time.Time, err error) {
	var quiet *QuietError
	if errors.As(err, &quiet) {
		fleet.AskQuiet(target, now, quiet.Until, rand.Uint64())
	}
}

// wrapQuiet returns cause as a *QuietError if err, the error of a call, says that the engine
// wants no requests for a while, and cause otherwise.
func wrapQuiet(cause, err error) error {
	var status *poster.StatusError
	if !errors.As(err, &status) {
		return cause
	}
	until, ok := observer.QuietUntil(time.Now(), status.Status, status.RetryAfter)
	if !ok || until.IsZero() {
		return cause
	}
	return &QuietError{Until: until, Cause: cause}
}

// Client sends orders to engines and reads their state.
type Client struct {
	poster *poster.Client
}

// New returns a client.
func New(p *poster.Client) *Client {
	return &Client{poster: p}
}

// Send sends an order to the engine at address. The error is ErrNotApplied,
// ErrStaleFence or ErrUnknownOutcome; it may be a *QuietError too.
func (c *Client) Send(address string, order messenger.EngineOrder) error {
	var result messenger.EngineOrderResult
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodPost,
		URL:      "http://" + address + "/v1/orders",
		In:       order,
		Out:      &result,
		Deadline: time.Now().Add(callTimeout),
	})
	switch {
	case errors.Is(err, poster.ErrNotSent):
		return errors.Wrap(ErrNotApplied, err.Error())
	case err != nil:
		return wrapQuiet(errors.Wrap(ErrUnknownOutcome, err.Error()), err)
	case result.ID != order.ID:
		return errors.Wrapf(ErrUnknownOutcome, "result of order %q", result.ID)
	case result.Refusal == "OldFence":
		return ErrStaleFence
	case !result.Applied:
		return errors.Wrap(ErrNotApplied, result.Refusal)
	}
	return nil
}

// Report reads the state of the engine at address, with now as the time of the report.
// The error is ErrNoReport; it may be a *QuietError too.
func (c *Client) Report(address string, now time.Time) (keeper.Report, error) {
	var report messenger.EngineReport
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      "http://" + address + "/v1/report",
		Out:      &report,
		Deadline: time.Now().Add(callTimeout),
	})
	if err != nil {
		return keeper.Report{}, wrapQuiet(errors.Wrap(ErrNoReport, err.Error()), err)
	}
	if err := checkReport(&report); err != nil {
		return keeper.Report{}, err
	}
	holdings := make([]keeper.Holding, 0, len(report.Holdings))
	for _, h := range report.Holdings {
		holdings = append(holdings, keeper.Holding{
			Name:  keeper.Name{Model: h.Model, Adapter: h.Adapter, Version: h.Version},
			Bytes: h.Bytes,
			State: keeper.State(h.State), Running: h.Running,
		})
	}
	return keeper.Report{
		Incarnation:    report.Incarnation,
		Role:           report.Role,
		MemoryBytes:    report.MemoryBytes,
		UsedBytes:      report.UsedBytes,
		Running:        report.Running,
		Queued:         report.Queued,
		HighestFence:   report.HighestFence,
		Holdings:       holdings,
		AppliedOrders:  report.AppliedOrders,
		ReportsLeaving: report.Leaving,
		ReportedAt:     now,
	}, nil
}

// maxReported bounds the numbers of a report, so that sums of them do not overflow.
const maxReported = 1 << 53

// checkReport returns ErrNoReport if a number of a report is past its range.
func checkReport(r *messenger.EngineReport) error {
	numbers := make([]int64, 0, 5+2*len(r.Holdings))
	numbers = append(numbers, r.MemoryBytes, r.UsedBytes, int64(r.Running), int64(r.Queued), r.HighestFence)
	for _, h := range r.Holdings {
		numbers = append(numbers, h.Bytes, int64(h.Running))
	}
	for _, n := range numbers {
		if n < 0 || n > maxReported {
			return errors.Wrapf(ErrNoReport, "%d is past its range", n)
		}
	}
	return nil
}

// Events reads the cache events after the sequence number since. The error is
// ErrNoReport; it may be a *QuietError too.
func (c *Client) Events(address string, since int64) (messenger.CacheEvents, error) {
	var events messenger.CacheEvents
	err := c.poster.Do(poster.Call{
		Method:   fasthttp.MethodGet,
		URL:      "http://" + address + "/v1/events?since=" + strconv.FormatInt(since, 10),
		Out:      &events,
		Deadline: time.Now().Add(callTimeout),
	})
	if err != nil {
		return events, wrapQuiet(errors.Wrap(ErrNoReport, err.Error()), err)
	}
	return events, nil
}

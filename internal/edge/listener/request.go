package listener

import (
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// arrival is a request from a caller, with the values of its header fields.
type arrival struct {
	id         string
	team       keeper.Team
	key        *deduper.Key
	priority   int
	deadline   time.Time
	repeatable bool
	receivedAt time.Time
}

// newArrival checks that this instance accepts a request, authenticates it and parses
// its header fields. repeatable is the default for a request without an X-Repeatable header.
func (l *Listener) newArrival(ctx *fasthttp.RequestCtx, id string, repeatable bool) (*arrival, error) {
	if err := l.checkAccepting(ctx); err != nil {
		return nil, err
	}
	team, err := l.team(ctx)
	if err != nil {
		return nil, err
	}
	now := l.now()
	a := &arrival{id: id, team: team, receivedAt: now, priority: defaultPriority, deadline: now.Add(defaultDeadline), repeatable: repeatable}
	header := &ctx.Request.Header
	if text := string(header.Peek(headerKey)); text != "" {
		key, err := deduper.ParseKey(text)
		if err != nil {
			return nil, err
		}
		a.key = &key
	}
	if err := a.readPriority(string(header.Peek(headerPriority))); err != nil {
		return nil, err
	}
	if err := a.readDeadline(string(header.Peek(headerDeadline)), now); err != nil {
		return nil, err
	}
	if err := l.checkTimeLeft(a); err != nil {
		return nil, err
	}
	return a, a.readRepeatable(string(header.Peek(headerRepeatable)))
}

// checkAccepting returns nil, or why this instance does not accept a request now. A
// draining instance still accepts keyed requests: they may have run before, and only
// their home has a record of that.
func (l *Listener) checkAccepting(ctx *fasthttp.RequestCtx) error {
	keyed := len(ctx.Request.Header.Peek(headerKey)) > 0
	if err := l.Ready(); err != nil {
		return &notReadyError{cause: err, addresses: l.addresses(), notRun: !keyed}
	}
	if l.Drained() && !keyed {
		return &notReadyError{cause: errLeaving, addresses: l.addresses(), notRun: true}
	}
	return nil
}

// checkTimeLeft returns an error if this instance stops before the deadline of a request, so that it
// could be cut. A keyed one may have run before, and is accepted all the same.
func (l *Listener) checkTimeLeft(a *arrival) error {
	stopsAt := l.StopsAt()
	if stopsAt.IsZero() || !a.deadline.After(stopsAt) || a.key != nil {
		return nil
	}
	return &notReadyError{cause: errLeaving, addresses: l.addresses(), notRun: true}
}

// notReadyError is errNotReady with the addresses of the instances to use instead.
type notReadyError struct {
	cause     error
	addresses []string
	notRun    bool
}

func (e *notReadyError) Error() string { return errNotReady.Error() + ": " + e.cause.Error() }

// Is reports whether target is errNotReady.
func (e *notReadyError) Is(target error) bool { return target == errNotReady }

func (a *arrival) readPriority(text string) error {
	if text == "" {
		return nil
	}
	n, err := strconv.Atoi(text)
	if err != nil || n < lowestPriority || n > highestPriority {
		return errors.Wrapf(errBadRequest, "%s must be from %d to %d", headerPriority, lowestPriority, highestPriority)
	}
	a.priority = n
	return nil
}

func (a *arrival) readDeadline(text string, now time.Time) error {
	if text == "" {
		return nil
	}
	deadline, err := time.Parse(time.RFC3339Nano, text)
	if err != nil {
		return errors.Wrapf(errBadRequest, "%s must be an RFC 3339 time", headerDeadline)
	}
	if !now.Before(deadline) {
		return errors.Wrap(dispatcher.ErrDeadlinePassed, text)
	}
	if latest := now.Add(maxDeadline); deadline.After(latest) {
		deadline = latest
	}
	a.deadline = deadline
	return nil
}

func (a *arrival) readRepeatable(text string) error {
	if text == "" {
		return nil
	}
	repeatable, err := strconv.ParseBool(text)
	if err != nil {
		return errors.Wrapf(errBadRequest, "%s must be true or false", headerRepeatable)
	}
	a.repeatable = repeatable
	return nil
}

// observe records a request that has ended in the metrics and the log. class is the
// name of its model or service; first is when the first part of its answer was
// available, or zero if there was none.
func (l *Listener) observe(a *arrival, class string, first time.Time, err error) {
	now := l.now()
	r := measurer.Request{Team: a.team.Name, Class: class, Outcome: measurer.Answered, Elapsed: now.Sub(a.receivedAt)}
	if !first.IsZero() {
		r.UntilFirstByte = first.Sub(a.receivedAt)
	}
	switch {
	case errors.Is(err, dispatcher.ErrMayHaveRun):
		r.Outcome = measurer.Unknown
	case err != nil:
		r.Outcome = measurer.Refused
	}
	l.Measurer.Observe(r)
	if err != nil {
		l.Log.Info("request failed", "request", a.id, "team", a.team.Name, "class", class, "reason", err.Error())
		return
	}
	l.Log.V(1).Info("request answered", "request", a.id, "team", a.team.Name, "class", class, "microseconds", r.Elapsed.Microseconds())
}

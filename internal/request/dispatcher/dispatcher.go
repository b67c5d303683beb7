// Package dispatcher carries one admitted request from its first target to its
// whole answer: it sends, watches, resumes, and ends with the answer or with a
// failure that says what is known about the request.
package dispatcher

import (
	"context"
	"io"
	"sync/atomic"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/forwarder"
	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

var (
	// ErrNotRun tells that no target ran any part of the request.
	ErrNotRun = errors.New("request was not run")
	// ErrUnknown tells that a target may have run the request or a part of it.
	ErrUnknown = errors.New("outcome of request unknown")
	// ErrDeadline tells that the deadline of the request has passed.
	ErrDeadline = errors.New("deadline of request passed")
	// ErrCanceled tells that the caller gave its request up.
	ErrCanceled = errors.New("request canceled by its caller")
)

// FailureError is the final word on a request that has no whole answer. It matches
// ErrNotRun or ErrUnknown, and its cause.
type FailureError struct {
	Ran bool
	// Repeatable tells that the request may be sent again although it may have run.
	Repeatable bool
	Cause      error
}

func (e *FailureError) Error() string { return e.outcome().Error() + ": " + e.Cause.Error() }

func (e *FailureError) outcome() error {
	if e.Ran {
		return ErrUnknown
	}
	return ErrNotRun
}

// Is reports whether target is the outcome that the failure tells.
func (e *FailureError) Is(target error) bool { return target == e.outcome() }

// Unwrap returns the cause.
func (e *FailureError) Unwrap() error { return e.Cause }

const (
	mostAttempts   = 4
	firstByteLimit = 5 * time.Second
	gapLimit       = 2 * time.Second
)

// Job is one request to a model.
type Job struct {
	ID          string
	Key         string
	Name        keeper.Name
	Body        []byte
	Priority    int
	Deadline    time.Time
	Repeatable  bool
	Fingerprint quarantiner.Fingerprint
	// Prefix is that of the beginning of the prompt.
	Prefix prefixer.Key
	// Context ends the request when it is done, by cancelling it at the engine;
	// nil for a request that goes on without its caller.
	Context context.Context
}

// Dispatcher sends requests to targets.
type Dispatcher struct {
	fleet       *keeper.Fleet
	engines     *streamer.Client
	services    *forwarder.Client
	quarantiner *quarantiner.Quarantiner
	prefixes    *prefixer.Table
	dataCentre  string
	now         func() time.Time
	firstByte   time.Duration
	gap         time.Duration
	announce    func()
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSilenceLimits bounds the wait for the head of an answer and the gap
// between two tokens.
func WithSilenceLimits(firstByte, gap time.Duration) Option {
	return func(d *Dispatcher) {
		d.firstByte = firstByte
		d.gap = gap
	}
}

// WithAnnounce sets the function that tells the peers of suspects. It returns
// once they have answered, or after a short time.
func WithAnnounce(announce func()) Option {
	return func(d *Dispatcher) { d.announce = announce }
}

// WithPrefixes sets the table of cached prefixes that the choice of targets uses.
func WithPrefixes(t *prefixer.Table) Option { return func(d *Dispatcher) { d.prefixes = t } }

// New returns a dispatcher of an instance in dataCentre.
func New(fleet *keeper.Fleet, q *quarantiner.Quarantiner, dataCentre string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		fleet:       fleet,
		engines:     streamer.New(),
		services:    forwarder.New(),
		quarantiner: q,
		prefixes:    prefixer.New(),
		dataCentre:  dataCentre,
		now:         time.Now,
		firstByte:   firstByteLimit,
		gap:         gapLimit,
		announce:    func() {},
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// attempts is what a request has behind it.
type attempts struct {
	repeatable bool

	count int
	tried []string
	// cut are those of tried that run on though the connection failed. They may
	// be tried once more each time if there is no other target.
	cut []string
	// current is the target that runs the request now.
	current atomic.Pointer[keeper.Target]
	// turnUntil is when a suspect no longer waits for its turn, and moveUntil when
	// a request no longer waits for a copy of a model whose holders leave.
	turnUntil time.Time
	moveUntil time.Time
	// ran is set once a target may have run any part of the request.
	ran  bool
	last error
}

func (a *attempts) failure() error {
	cause := a.last
	if cause == nil {
		cause = router.ErrNoTarget
	}
	return &FailureError{Ran: a.ran, Repeatable: a.repeatable, Cause: cause}
}

// note records the end of an attempt on a target and reports whether another
// may follow.
func (a *attempts) note(target string, err error) bool {
	a.count++
	a.last = err
	a.tried = append(a.tried, target)
	if !isNotRun(err) {
		a.ran = true
	}
	if a.ran && !a.repeatable {
		return false
	}
	if errors.Is(err, connector.ErrCanceled) {
		a.last = ErrCanceled
		return false
	}
	return a.count < mostAttempts
}

func isNotRun(err error) bool {
	return errors.Is(err, connector.ErrNotSent) || errors.Is(err, streamer.ErrRefused)
}

// checkTime returns why a request is out of time, or nil.
func checkTime(ctx context.Context, now, deadline time.Time) error {
	if ctx != nil && ctx.Err() != nil {
		return ErrCanceled
	}
	if !now.Before(deadline) {
		return ErrDeadline
	}
	return nil
}

func (d *Dispatcher) call(job *Job, next int) streamer.Call {
	firstByte := d.now().Add(d.firstByte)
	if job.Deadline.Before(firstByte) {
		firstByte = job.Deadline
	}
	return streamer.Call{
		ID: job.ID, Key: job.Key, Body: job.Body, Priority: job.Priority, Next: next,
		Fresh: !job.Repeatable, FirstByte: firstByte, Until: job.Deadline, Gap: d.gap, Context: job.Context,
	}
}

// giveUp returns the failure of a request for which no further target was found.
func (a *attempts) giveUp(err error) error {
	if a.last == nil || !errors.Is(err, router.ErrNoTarget) {
		a.last = err
	}
	return a.failure()
}

func isRejected(err error) bool {
	var rejected *streamer.RejectedError
	return errors.As(err, &rejected)
}

// Stream is a running answer to a request, over as many targets as it takes.
type Stream struct {
	dispatcher *Dispatcher
	job        *Job
	attempts   attempts
	target     *keeper.Target
	stream     *streamer.Stream
	next       int
	// clearAt is the number of tokens after which the request is no suspect.
	clearAt int
}

// Start runs a request that is answered by a stream. The caller must close it.
// The error is a *FailureError or a *streamer.RejectedError.
func (d *Dispatcher) Start(job *Job) (*Stream, error) {
	s := &Stream{dispatcher: d, job: job, attempts: attempts{repeatable: job.Repeatable}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// connect starts or resumes the request on a target.
func (s *Stream) connect() error {
	d := s.dispatcher
	for {
		target, err := d.pick(s.job, &s.attempts)
		if err != nil {
			return s.attempts.giveUp(err)
		}
		stream, err := d.engines.Start(target.Address, d.call(s.job, s.next))
		if err == nil {
			s.target = target
			s.stream = stream
			s.clearAt = s.next + clearingTokens
			return nil
		}
		d.leave(target, s.job, &s.attempts, err)
		if isRejected(err) {
			return err
		}
		if !s.attempts.note(target.ID, err) {
			return s.attempts.failure()
		}
	}
}

// Next returns the text of the next event, valid until the next call. The error
// is io.EOF after a whole answer and a *FailureError otherwise. A stream that was cut
// goes on at the next token on another target if the request may be repeated.
func (s *Stream) Next() ([]byte, error) {
	for {
		event, err := s.stream.Next()
		if err == nil {
			s.next++
			if s.next == s.clearAt {
				d := s.dispatcher
				d.quarantiner.Clear(d.now(), s.job.Fingerprint)
			}
			return event.Data, nil
		}
		if errors.Is(err, io.EOF) {
			s.dispatcher.quarantiner.Clear(s.dispatcher.now(), s.job.Fingerprint)
			return nil, io.EOF
		}
		s.disconnect(err)
		if !s.attempts.note(s.target.ID, err) {
			return nil, s.attempts.failure()
		}
		if err := s.connect(); err != nil {
			return nil, s.unfinished(err)
		}
	}
}

// unfinished returns the failure of a stream that has begun and cannot go on.
func (s *Stream) unfinished(err error) error {
	var failure *FailureError
	if errors.As(err, &failure) {
		return err
	}
	return &FailureError{Ran: true, Repeatable: s.job.Repeatable, Cause: err}
}

// Buffered reports whether a further event has begun to arrive already.
func (s *Stream) Buffered() bool { return s.stream != nil && s.stream.Buffered() }

func (s *Stream) disconnect(err error) {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream = nil
	s.dispatcher.leave(s.target, s.job, &s.attempts, err)
}

// Close ends the request. One that is not answered in full is cancelled.
func (s *Stream) Close() {
	s.disconnect(nil)
}

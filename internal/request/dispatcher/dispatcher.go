// Package dispatcher runs an admitted request. It sends the request to a target,
// detects failures and silence, and retries or resumes the request on other
// targets. The result is either the complete answer or a *FailureError, which
// states whether any part of the request may have run.
package dispatcher

import (
	"context"
	"time"

	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/edge/forwarder"
	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

const (
	// maxAttempts bounds the attempts of one request, and of each of the two runs of a
	// hedged one.
	maxAttempts             = 4
	defaultFirstByteTimeout = 5 * time.Second
	defaultGapTimeout       = 2 * time.Second
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
	// Prefix is the key of the beginning of the prompt.
	Prefix prefixer.Key
	// Context cancels the request, also at the engine, when it is done. It is nil for
	// a request that continues without its caller.
	Context context.Context
}

// Dispatcher runs requests on targets.
type Dispatcher struct {
	fleet            *keeper.Fleet
	engines          *streamer.Client
	services         *forwarder.Client
	quarantiner      *quarantiner.Quarantiner
	prefixes         *prefixer.Table
	dataCentre       string
	now              func() time.Time
	firstByteTimeout time.Duration
	gapTimeout       time.Duration
	announce         func()
	log              logr.Logger
}

// Option configures a Dispatcher.
type Option func(*Dispatcher)

// WithSilenceLimits sets the timeouts for the head of an answer and for the gap
// between two tokens.
func WithSilenceLimits(firstByteTimeout, gapTimeout time.Duration) Option {
	return func(d *Dispatcher) {
		d.firstByteTimeout = firstByteTimeout
		d.gapTimeout = gapTimeout
	}
}

// WithAnnounce sets the function that announces the suspects of this instance to
// its peers. It returns once the peers have answered, or after a short timeout.
func WithAnnounce(announce func()) Option {
	return func(d *Dispatcher) { d.announce = announce }
}

// WithPrefixes sets the table of cached prompt prefixes for the choice of targets.
func WithPrefixes(t *prefixer.Table) Option { return func(d *Dispatcher) { d.prefixes = t } }

// New returns a dispatcher for an instance in dataCentre.
func New(fleet *keeper.Fleet, q *quarantiner.Quarantiner, dataCentre string, opts ...Option) *Dispatcher {
	d := &Dispatcher{
		fleet:            fleet,
		engines:          streamer.New(),
		services:         forwarder.New(),
		quarantiner:      q,
		prefixes:         prefixer.New(),
		dataCentre:       dataCentre,
		now:              time.Now,
		firstByteTimeout: defaultFirstByteTimeout,
		gapTimeout:       defaultGapTimeout,
		announce:         func() {},
		log:              logr.Discard(),
	}
	for _, opt := range opts {
		opt(d)
	}
	return d
}

// Prune closes connections that have not been used for a while.
func (d *Dispatcher) Prune(now time.Time) {
	d.engines.Prune(now)
	d.services.Prune(now)
}

// call returns the call that sends a request to a target, beginning with the event
// at index next.
func (d *Dispatcher) call(job *Job, target *keeper.Target, a *attempts, next int) streamer.Call {
	return streamer.Call{
		ID: job.ID, Key: job.Key, Body: job.Body, Priority: job.Priority, Next: next,
		Fresh: !job.Repeatable, FirstByte: d.firstByteDeadline(job, target), AnswerDeadline: job.Deadline, Gap: d.gapTimeout, Context: job.Context,
		Notice: &a.notice,
	}
}

// firstByteDeadline returns the deadline for the head of a streamed answer. A
// silent connection cannot be distinguished from a request that waits in a queue,
// so the deadline is later for a target with a queue: another copy of the request
// would lengthen the queues further. A request that may not be repeated has until
// its own deadline, since it uses a connection of its own and cannot be retried.
func (d *Dispatcher) firstByteDeadline(job *Job, target *keeper.Target) time.Time {
	if !job.Repeatable {
		return job.Deadline
	}
	now := d.now()
	wait := d.firstByteTimeout
	if target.Queued > 0 {
		wait = max(wait, job.Deadline.Sub(now)/hedgeDivisor)
	}
	if deadline := now.Add(wait); deadline.Before(job.Deadline) {
		return deadline
	}
	return job.Deadline
}

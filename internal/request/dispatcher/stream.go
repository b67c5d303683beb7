package dispatcher

import (
	"io"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// Stream is the streamed answer to a request. It may continue on another target
// when a connection fails.
type Stream struct {
	dispatcher *Dispatcher
	job        *Job
	attempts   attempts
	target     *keeper.Target
	stream     *streamer.Stream
	// next is the index of the next event, from which another target resumes.
	next int
	// clearAt is the number of events after which the request is no longer a suspect.
	clearAt int
}

// Start runs a request that is answered by a stream. The caller must close the
// stream. The error is a *FailureError or a *streamer.RejectedError.
func (d *Dispatcher) Start(job *Job) (*Stream, error) {
	s := &Stream{dispatcher: d, job: job, attempts: attempts{repeatable: job.Repeatable}}
	if err := s.connect(); err != nil {
		return nil, err
	}
	return s, nil
}

// connect starts or resumes the request on a target, with retries.
func (s *Stream) connect() error {
	d := s.dispatcher
	for {
		target, err := d.pick(s.job, &s.attempts)
		if err != nil {
			return s.attempts.pickFailure(err)
		}
		stream, err := d.engines.Start(target.Address, d.call(s.job, target, &s.attempts, s.next))
		if err == nil {
			d.takeNotice(target, &s.attempts)
			s.attempts.allowMoreReturns(target)
			s.target = target
			s.stream = stream
			s.clearAt = s.next + clearingTokens
			return nil
		}
		d.endAttempt(target, s.job, &s.attempts, err)
		if isRejected(err) {
			return err
		}
		if !s.attempts.recordFailure(target.ID, err) {
			return s.attempts.failure()
		}
	}
}

// Next returns the data of the next event, valid until the next call. The error is
// io.EOF after a complete answer and a *FailureError otherwise. If the connection
// fails and the request may be repeated, the stream resumes at the next event on
// another target.
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
		if !s.attempts.recordFailure(s.target.ID, err) {
			return nil, s.attempts.failure()
		}
		if err := s.connect(); err != nil {
			return nil, s.resumeFailure(err)
		}
	}
}

// resumeFailure returns the failure of a stream that has begun and could not be
// resumed because of err.
func (s *Stream) resumeFailure(err error) error {
	var failure *FailureError
	if errors.As(err, &failure) {
		return err
	}
	return &FailureError{Ran: true, Repeatable: s.job.Repeatable, Cause: err}
}

// Buffered reports whether a part of the next event has already been received.
func (s *Stream) Buffered() bool { return s.stream != nil && s.stream.Buffered() }

func (s *Stream) disconnect(err error) {
	if s.stream == nil {
		return
	}
	s.stream.Close()
	s.stream = nil
	s.dispatcher.endAttempt(s.target, s.job, &s.attempts, err)
}

// Close ends the request. A request without a complete answer is canceled.
func (s *Stream) Close() {
	s.disconnect(nil)
}

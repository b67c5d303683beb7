package limiter

import (
	"fmt"
	"time"

	"github.com/go-faster/errors"
)

// ErrDenied means that the limit of a target leaves no request to send there now.
var ErrDenied = errors.New("limit of the target is used up")

const (
	// maxAsks is how many requests for permits of one target an instance has in flight.
	maxAsks = 4
	// askInFlightDelay is after how long to try again while that many are.
	askInFlightDelay = 5 * time.Millisecond
	// failedAskDelay is after how long to ask again when the granter gave no answer.
	failedAskDelay = 300 * time.Millisecond
	// permitTTL is how long after it was asked for a permit can be used.
	permitTTL = 500 * time.Millisecond
)

// DeniedError is an ErrDenied with the time after which to try again.
type DeniedError struct {
	RetryIn time.Duration
}

func (e *DeniedError) Error() string {
	return fmt.Sprintf("%v for %d ms", ErrDenied, e.RetryIn.Milliseconds())
}

// Is reports whether target is ErrDenied.
func (e *DeniedError) Is(target error) bool { return target == ErrDenied }

// Ask is a request for a permit that is in flight.
type Ask struct {
	Target Target
	// Granter is the instance to ask. It is empty if no permit is needed.
	Granter string
	Limit   Limit
	sentAt  time.Time
}

// askState is what an instance that asks for permits of a target remembers.
type askState struct {
	inFlight     int
	blockedUntil time.Time
}

// BlockedFor returns for how long no request can be sent to a target; 0 if one may be, with
// a permit if the target names a limit.
func (l *Limiter) BlockedFor(target string) time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	s := l.asking[target]
	if s == nil {
		return 0
	}
	return s.blockedFor(l.now())
}

func (s *askState) blockedFor(now time.Time) time.Duration {
	switch {
	case now.Before(s.blockedUntil):
		return s.blockedUntil.Sub(now)
	case s.inFlight >= maxAsks:
		return askInFlightDelay
	default:
		return 0
	}
}

// Begin returns the request for a permit that must be granted before a request is sent to a
// target; its Granter is empty if none is needed. The caller must pass the answer to Finish.
// The error is a DeniedError.
func (l *Limiter) Begin(target Target) (Ask, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[target.ID]
	if !limit.IsNamed {
		return Ask{Target: target}, nil
	}
	now := l.now()
	s := l.askState(target.ID)
	if wait := s.blockedFor(now); wait > 0 {
		return Ask{}, &DeniedError{RetryIn: wait}
	}
	granter := l.granter(target)
	if granter == "" {
		return Ask{}, &DeniedError{RetryIn: disagreementDelay}
	}
	s.inFlight++
	return Ask{Target: target, Granter: granter, Limit: limit, sentAt: now}, nil
}

func (l *Limiter) askState(target string) *askState {
	s := l.asking[target]
	if s == nil {
		s = &askState{}
		l.asking[target] = s
	}
	return s
}

// Finish records the answer to a request for a permit, or the error of a call that got none.
// It returns nil if a request may be sent to the target now, and otherwise a DeniedError.
func (l *Limiter) Finish(ask Ask, answer Answer, askErr error) error {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	s := l.askState(ask.Target.ID)
	s.inFlight = max(s.inFlight-1, 0)
	if askErr != nil {
		return s.deny(now, failedAskDelay)
	}
	l.observe(ask.Target.ID, answer.Limit)
	switch {
	case !l.limits[ask.Target.ID].IsNamed:
		return nil
	case !answer.IsGranted:
		return l.askState(ask.Target.ID).deny(now, max(answer.RetryIn, askInFlightDelay))
	case now.Sub(ask.sentAt) > permitTTL:
		return &DeniedError{RetryIn: askInFlightDelay} // others have been granted that time since
	default:
		return nil
	}
}

func (s *askState) deny(now time.Time, retryIn time.Duration) error {
	s.blockedUntil = now.Add(retryIn)
	return &DeniedError{RetryIn: retryIn}
}

package conductor

import (
	"context"
	"net/http"
	"strings"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/splitter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// maxTrialWait is how long a request with a trait under which targets have ended waits for another
// run of that trait to end.
const maxTrialWait = 500 * time.Millisecond

// Run is one send of a request to a target.
type Run struct {
	Request string
	Service string
	Target  *registrar.Target
	Content quarantiner.Fingerprint
	// Parts holds the parts of the prompt that other requests may bear as well.
	Parts  []string
	SentAt time.Time
	// HasBegun reports that some of the body of the answer has arrived.
	HasBegun bool
	// Deadline is when the final answer to the request is due.
	Deadline time.Time
	// IsTrial reports that Quarantine.BeginTrial has permitted the run of a suspect.
	IsTrial bool
	// IsHeldAgainst reports that targets may have ended under the request before.
	IsHeldAgainst bool
}

// Traits returns the traits of the request, without the content if that is not set.
func (r Run) Traits() []quarantiner.Trait {
	traits := make([]quarantiner.Trait, 0, 1+len(r.Parts))
	if r.Content != (quarantiner.Fingerprint{}) {
		traits = append(traits, quarantiner.ContentTrait(r.Content))
	}
	for _, part := range r.Parts {
		traits = append(traits, quarantiner.PartTrait(r.Service, part))
	}
	return traits
}

// Quarantine holds the functions that keep back requests with traits that end targets.
type Quarantine struct {
	// IsEmpty reports that nothing is held against any trait.
	IsEmpty func() bool
	// Arrived is called for each request to a service, with the parts of its prompt that other
	// requests may bear.
	Arrived func(service string, parts []string)
	// Check reports whether a request with some traits needs a permit. The error is
	// quarantiner.ErrConvicted or quarantiner.ErrWait.
	Check func(traits []quarantiner.Trait) (isSuspect bool, err error)
	// BeginTrial returns nil if the run of a suspect may begin. The error is
	// quarantiner.ErrConvicted or quarantiner.ErrWait.
	BeginTrial func(ctx context.Context, run Run) error
	// EndRun is called when a run has ended that was a trial, or whose answer was complete and no
	// failure of the target, which isAnswered reports. It is not called for a run that Lost or
	// Silent is called for.
	EndRun func(run Run, isAnswered bool)
	// Lost is called for each run whose connection was cut before the whole answer arrived. The
	// request goes on once it returns. It reports whether the end of the target is held against
	// the request.
	Lost func(ctx context.Context, run Run) (isHeldAgainst bool)
	// Silent is called in place of EndRun for a run that ended without a whole answer although its
	// connection was open, as its caller left or its deadline passed, after its target had been
	// silent for minSilence or longer.
	Silent func(run Run, since time.Time)
	// Refused is called for each request that is refused since it is convicted, with what the
	// verdict rests on.
	Refused func(verdict error)
}

func noQuarantine() Quarantine {
	return Quarantine{
		IsEmpty: func() bool { return true }, Arrived: func(string, []string) {},
		Lost: func(context.Context, Run) bool { return false }, EndRun: func(Run, bool) {}, Silent: func(Run, time.Time) {},
	}
}

// WithQuarantine sets the functions that keep back requests with traits that end targets. By
// default nothing is held against any.
func WithQuarantine(q Quarantine) Option { return func(c *Conductor) { c.quarantine = q } }

// Probe reports whether a target accepts connections; see connector.Pool.Probe.
func (c *Conductor) Probe(address string, until time.Time, onOpen func()) connector.Presence {
	return c.pools.For(address).Probe(until, onOpen)
}

// contentOf returns the fingerprint of what a request asks to run. It is the same each time a
// caller sends the request; its ID, its deadline and the event that a stream goes on from are
// no part of it.
func (c *Conductor) contentOf(q *request) quarantiner.Fingerprint {
	if q.content != (quarantiner.Fingerprint{}) {
		return q.content
	}
	r := q.httpRequest
	parts := [][]byte{
		[]byte(r.Method), []byte(strings.ToLower(r.Host)), []byte(r.RequestURI), []byte(c.senderOf(q)), q.body,
	}
	for _, name := range c.headers.Content {
		parts = append(parts, []byte(r.Header.Get(name)))
	}
	q.content = quarantiner.FingerprintOf(parts...)
	return q.content
}

// checkTraits returns the refusal of a request that is convicted for one of its traits, or nil.
func (c *Conductor) checkTraits(q *request) *Refusal {
	if c.quarantine.IsEmpty() {
		return nil
	}
	run := Run{Service: q.service, Content: c.contentOf(q), Parts: q.parts}
	_, err := c.quarantine.Check(run.Traits())
	if errors.Is(err, quarantiner.ErrConvicted) {
		return c.convictedRefusal(err)
	}
	return nil
}

// convictedRefusal returns the refusal of a convicted request. It tells its caller not to come
// back.
func (c *Conductor) convictedRefusal(verdict error) *Refusal {
	c.quarantine.Refused(verdict)
	return &Refusal{Status: c.headers.ConvictedStatus, Reason: verdict.Error()}
}

// beginRun returns nil if a request may be sent to a target now, as far as its traits go.
// The error is quarantiner.ErrConvicted or quarantiner.ErrWait.
func (c *Conductor) beginRun(ctx context.Context, q *request, target *registrar.Target) error {
	q.run = Run{
		Request: q.id, Service: q.service, Target: target, Parts: q.parts, SentAt: c.now(), Deadline: q.deadline,
		IsHeldAgainst: q.run.IsHeldAgainst,
	}
	if c.quarantine.IsEmpty() {
		return nil
	}
	q.run.Content = c.contentOf(q)
	isSuspect, err := c.quarantine.Check(q.run.Traits())
	if err != nil || !isSuspect {
		return err
	}
	q.run.IsHeldAgainst = true
	if err := c.quarantine.BeginTrial(ctx, q.run); err != nil {
		return err
	}
	q.run.IsTrial = true
	c.log.Info("suspect sent", "request", q.id, "target", target.ID, "content", q.run.Content.String(), "parts", q.parts)
	return nil
}

// cancelRun records that a request that might have been sent was not.
func (c *Conductor) cancelRun(q *request) {
	if q.run.IsTrial {
		c.quarantine.EndRun(q.run, false)
	}
}

// waitForTrial waits until a suspect may be tried again. It returns reason, or why the request
// has ended, if it may wait no longer.
func (c *Conductor) waitForTrial(ctx context.Context, q *request, reason error) error {
	if c.isRefusing() {
		return errStopping
	}
	if !c.now().Before(q.capWait(q.arrived.Add(maxTrialWait))) {
		return reason
	}
	timer := time.NewTimer(maxPickInterval)
	defer timer.Stop()
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-timer.C:
		return nil
	}
}

// minSilence is how long a target must have been silent for the end of a run to be suspicious:
// longer than the pause between two events of a sound stream.
const minSilence = 500 * time.Millisecond

// noteLoss records that the run ended without a whole answer: by a cut connection, or, if that is not
// what err says, with a target that was last heard of at a time.
func (q *request) noteLoss(err error, lastHeard time.Time) {
	q.isCut = errors.Is(err, connector.ErrCut) || errors.Is(err, splitter.ErrTruncated)
	isOpen := errors.Is(err, connector.ErrCanceled) || errors.Is(err, connector.ErrDeadline) || errors.Is(err, connector.ErrSilent)
	if isOpen {
		q.silentSince = lastHeard
	}
}

// observeRunEnd reports how a run has ended, as far as that says something of its traits.
func (c *Conductor) observeRunEnd(ctx context.Context, q *request, result result) {
	// A target that fails may not have run the request.
	isAnswered := result == finished && q.status < http.StatusInternalServerError
	silentSince := q.silentSince
	q.silentSince = time.Time{}
	switch {
	case q.isCut:
		q.isCut = false
		q.run.Content = c.contentOf(q)
		q.run.IsHeldAgainst = c.quarantine.Lost(ctx, q.run) || q.run.IsHeldAgainst
	case !silentSince.IsZero() && c.now().Sub(silentSince) >= minSilence:
		q.run.Content = c.contentOf(q)
		c.quarantine.Silent(q.run, silentSince)
	case isAnswered || q.run.IsTrial:
		if q.run.IsHeldAgainst {
			q.run.Content = c.contentOf(q)
		}
		c.quarantine.EndRun(q.run, isAnswered)
	}
}

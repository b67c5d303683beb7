package dispatcher

import (
	"math/rand/v2"
	"time"

	"github.com/go-faster/errors"
	"github.com/go-logr/logr"

	"github.com/crocusring/crocusring/internal/edge/observer"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// WithLog sets the log of what targets announce. By default it is not logged.
func WithLog(log logr.Logger) Option { return func(d *Dispatcher) { d.log = log } }

// observeNotice records what a target has announced in an answer: that it drains, which peers
// learn with the next heartbeat, or that it wants no requests for a while. An answer of an
// earlier incarnation than the one that is known says nothing.
func (d *Dispatcher) observeNotice(target *keeper.Target, notice observer.Notice) {
	known := d.fleet.View().Targets[target.ID]
	if known == nil || known.OwnMark() != target.OwnMark() {
		return
	}
	if notice.Draining && !known.Leaving {
		d.fleet.MarkLeaving(target.ID, target.OwnMark())
		d.log.Info("target announces that it drains", "target", target.ID, "incarnation", target.Incarnation)
	}
	if notice.UnreadableTime != "" {
		d.log.Info("retry time of target cannot be read", "target", target.ID, "value", notice.UnreadableTime)
	}
	if notice.QuietUntil.IsZero() {
		return
	}
	if quiet, ok := d.fleet.AskQuiet(target, d.now(), notice.QuietUntil, rand.Uint64()); ok {
		d.log.Info("target asks for quiet", "target", target.ID, "milliseconds", quiet.Milliseconds())
	}
}

// takeNotice records what the target of the present attempt has announced. It reports whether
// the target has asked for quiet.
func (d *Dispatcher) takeNotice(target *keeper.Target, a *attempts) (asksQuiet bool) {
	notice := a.notice
	a.notice = observer.Notice{}
	if notice == (observer.Notice{}) {
		return false
	}
	d.observeNotice(target, notice)
	return !notice.QuietUntil.IsZero()
}

// allowMoreReturns records that a target that has just begun to take requests again has
// answered the present attempt.
func (a *attempts) allowMoreReturns(target *keeper.Target) {
	if a.isReturn {
		target.AllowMoreReturns()
	}
}

// endReturn ends the count of the present attempt at such a target.
func (a *attempts) endReturn(target *keeper.Target) {
	if a.isReturn {
		target.EndReturn()
	}
	a.isReturn = false
}

// waitsForQuiet reports whether a request for which only targets remain that have asked for
// quiet waits for them: whether one takes it before its deadline.
func waitsForQuiet(err error, deadline time.Time) bool {
	var quiet *router.QuietError
	return errors.As(err, &quiet) && quiet.Until.Before(deadline)
}

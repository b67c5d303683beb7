package conductor

import (
	"net/http"
	"time"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// leaveMargin is subtracted from the time for which a leaving target takes requests, for those
// that are on their way.
const leaveMargin = 100 * time.Millisecond

// WithDrainTime sets how long a target takes requests after it has announced in an answer
// that it leaves. By default it takes none.
func WithDrainTime(d time.Duration) Option { return func(c *Conductor) { c.drainTime = d } }

// observeNotices records what a target announces in an answer: that it leaves, or that it
// wants no requests for a while.
func (c *Conductor) observeNotices(target *registrar.Target, answer *connector.Answer) {
	if value := answer.Header.Peek(c.headers.Leaving); len(value) > 0 && c.headers.ParseLeaving(string(value)) {
		c.observeLeave(target)
	}
	if answer.Header.StatusCode() != http.StatusServiceUnavailable {
		return
	}
	if value := answer.Header.Peek(c.headers.RetryAfter); len(value) > 0 {
		c.observeQuiet(target, string(value))
	}
}

func (c *Conductor) observeLeave(target *registrar.Target) {
	takesRequestsFor := max(c.drainTime-leaveMargin, 0)
	if c.balancer.AnnounceLeave(target, c.now().Add(takesRequestsFor)) {
		c.balancer.ReportChange(target.ID)
		c.log.Info("target announces that it leaves", "target", target.ID, "born", target.StartMilliseconds,
			"takesRequestsMilliseconds", takesRequestsFor.Milliseconds())
	}
}

func (c *Conductor) observeQuiet(target *registrar.Target, value string) {
	delay, ok := c.headers.ParseRetryAfter(value)
	if !ok {
		c.log.Info("retry time of target cannot be read", "target", target.ID, "value", value)
		return
	}
	if delay > 0 {
		c.log.Info("target asks for quiet", "target", target.ID, "value", value, "milliseconds", c.balancer.AskQuiet(target, delay).Milliseconds())
	}
}

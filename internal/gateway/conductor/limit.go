package conductor

import (
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/balancer"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// observeLimit records the limit in an answer of a target. An answer without a limit shows
// that the target names none any more, but only one to a request that was sent after the
// limit was seen, and only if the target ran the request: a refusal may lack the header.
func (c *Conductor) observeLimit(target *registrar.Target, answer *connector.Answer, sentAt time.Time) {
	limit := limiter.Limit{SeenAt: sentAt}
	value := answer.Header.Peek(c.headers.RateLimit)
	switch {
	case len(value) > 0:
		perSecond, ok := c.headers.ParseRateLimit(string(value))
		if !ok {
			c.log.Info("limit of target cannot be read", "target", target.ID, "value", string(value))
			return
		}
		limit = limiter.Limit{IsNamed: true, PerSecond: perSecond, SeenAt: c.limiter.Now()}
	case len(answer.Header.Peek(c.headers.Stamp)) == 0:
		return
	}
	if c.limiter.Observe(target.ID, limit) {
		c.balancer.ReportChange(target.ID)
		c.log.Info("limit of target changed", "target", target.ID, "isNamed", limit.IsNamed, "perSecond", limit.PerSecond)
	}
}

// noteSend logs a request that is sent to a target with a limit, and returns the time of the
// limiter's clock. The time is zero for other targets: an answer cannot lift a limit that was
// not known when its request was sent.
func (c *Conductor) noteSend(q *request, target *registrar.Target) (sentAt time.Time) {
	limit, _ := c.limiter.Limit(target.ID)
	if !limit.IsNamed {
		return time.Time{}
	}
	c.log.Info("request sent to limited target", "request", q.id, "target", target.ID, "perSecond", limit.PerSecond)
	return c.limiter.Now()
}

// limitWait returns the time until a target takes a request again, if only the limits of
// targets are the reason why there is no target, and otherwise 0.
func limitWait(reason error) time.Duration {
	var full *balancer.FullError
	if errors.As(reason, &full) && full.IsBlocked() {
		return full.BlockedFor
	}
	return 0
}

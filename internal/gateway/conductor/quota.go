package conductor

import (
	"context"
	"encoding/binary"
	"net/http"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const (
	// noGranterRetryDelay is long enough for most replacements of a granter.
	noGranterRetryDelay = time.Second
	// retryAfterResolution is that of the Retry-After header.
	retryAfterResolution = 10 * time.Millisecond
)

// ChargeQuota charges a request to the quota of its account. It returns the function to call when
// the request has ended, with whether it may have run. The function caller identifies the content
// of the request. The error is a limiter.ErrOverQuota or a limiter.ErrNoGranter.
type ChargeQuota func(ctx context.Context, account *registrar.Account, amount float64, caller func() int64) (end func(hasRun bool), err error)

// WithQuota sets the function that charges requests to the quotas of their accounts. By default
// there are no quotas.
func WithQuota(charge ChargeQuota) Option {
	return func(c *Conductor) { c.chargeQuota = charge }
}

// checkQuota charges a request to the quota of its account, once for all its attempts, or returns
// the refusal of a request that the quota leaves no room for.
func (c *Conductor) checkQuota(q *request) *Refusal {
	if err := c.renewCharge(q); err != nil {
		return quotaRefusal(err)
	}
	return nil
}

// renewCharge charges a request that was not sent yet, unless it has a charge that is at most
// limiter.MaxChargeAge old. An older charge is returned first, since the quota counts a request in
// the window in which it runs.
func (c *Conductor) renewCharge(q *request) error {
	if c.chargeQuota == nil || q.account == nil || q.account.RatePerSecond <= 0 || q.sent > 0 {
		return nil
	}
	if q.quotaEnd != nil {
		if c.now().Sub(q.chargedAt) <= limiter.MaxChargeAge {
			return nil
		}
		q.quotaEnd(false)
	}
	var err error
	q.quotaEnd, err = c.chargeQuota(q.httpRequest.Context(), q.account, c.quotaAmount(q), func() int64 {
		content := c.contentOf(q)
		return int64(binary.LittleEndian.Uint64(content[:]) >> 1)
	})
	q.chargedAt = c.now()
	if err != nil {
		q.quotaEnd = nil
	}
	return err
}

// isQuotaError reports whether err is one of a charge.
func isQuotaError(err error) bool {
	return errors.Is(err, limiter.ErrOverQuota) || errors.Is(err, limiter.ErrNoGranter)
}

// quotaRefusal returns the refusal of a request for an error of a charge.
func quotaRefusal(err error) *Refusal {
	var over *limiter.QuotaError
	if errors.As(err, &over) {
		return &Refusal{Status: http.StatusTooManyRequests, Reason: limiter.ErrOverQuota.Error(), RetryAfter: over.RetryIn + retryAfterResolution}
	}
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: err.Error(), RetryAfter: noGranterRetryDelay}
}

// quotaAmount returns what a request counts in the unit of its account's quota.
func (c *Conductor) quotaAmount(q *request) float64 {
	if q.account.Unit == registrar.CountRequests {
		return 1
	}
	value := q.httpRequest.Header.Get(c.headers.Tokens)
	if value == "" {
		return float64(q.account.PlainTokens)
	}
	prompt, output := c.headers.ParseTokens(value)
	return float64(max(prompt, 0)) + float64(max(output, 0))
}

// endQuota returns what was charged for a request that no target can have run.
func (q *request) endQuota() {
	if q.quotaEnd != nil {
		q.quotaEnd(q.mayHaveRun)
	}
}

package listener

import (
	"encoding/json"
	"strconv"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/edge/transactor"
	"github.com/crocusring/crocusring/internal/request/admitter"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/request/router"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// Codes of refusals.
const (
	CodeBadRequest     = "BadRequest"
	CodeUnauthorized   = "Unauthorized"
	CodeForbidden      = "Forbidden"
	CodeUnknownModel   = "UnknownModel"
	CodeUnknownService = "UnknownService"
	CodeNotFound       = "NotFound"
	CodeTooLarge       = "TooLarge"
	CodeTooSlow        = "TooSlow"
	CodeOverLimit      = "OverLimit"
	CodeQuarantined    = "Quarantined"
	CodeDeadlinePassed = "DeadlinePassed"
	CodeNotRun         = "NotRun"
	CodeOutcomeUnknown = "OutcomeUnknown"
	CodeKeyExpired     = "KeyExpired"
	CodeKeyReused      = "KeyReused"
	CodeNotKept        = "AnswerNotKept"
	CodeStillRunning   = "StillRunning"
	CodeConflict       = "Conflict"
	CodeUnavailable    = "Unavailable"
	CodeNotReady       = "NotReady"
)

var (
	errBadRequest     = errors.New("bad request")
	errUnauthorized   = errors.New("credential missing or not valid")
	errUnknownModel   = errors.New("model is not configured")
	errUnknownService = errors.New("service is not configured")
	errNoPath         = errors.New("no such path")
	errNotReady       = errors.New("instance does not take requests")
	errLeaving        = errors.New("instance has left")
	errHomeLost       = errors.New("the instance that may run this request is gone")
	// errHomeUnreachable means that the home of a request did not answer; it may
	// answer later.
	errHomeUnreachable = errors.New("the instance that may run this request does not answer")
)

const (
	headerNotRun      = "X-Not-Run"
	defaultRetryAfter = time.Second
)

// refuse answers with the refusal for an error. Unless the key is malformed, the
// refusal of a keyed request never says that the request was not run, since another
// copy of it may have run at its home.
func refuse(ctx *fasthttp.RequestCtx, requestID string, err error) {
	status, refusal := refusalFor(err, time.Now())
	isKeyed := len(ctx.Request.Header.Peek(headerKey)) > 0
	if isKeyed && !errors.Is(err, deduper.ErrBadKey) {
		refusal.NotRun = false
	}
	refusal.RequestID = requestID
	writeRefusal(ctx, status, refusal)
}

// refuseRecorded refuses a keyed request for a reason that its home recorded, which
// applies to all copies of the request.
func refuseRecorded(ctx *fasthttp.RequestCtx, requestID string, err error) {
	status, refusal := refusalFor(err, time.Now())
	refusal.RequestID = requestID
	writeRefusal(ctx, status, refusal)
}

func writeRefusal(ctx *fasthttp.RequestCtx, status int, refusal messenger.Refusal) {
	if refusal.Addresses == nil {
		refusal.Addresses = []string{}
	}
	ctx.Response.Reset()
	ctx.SetStatusCode(status)
	ctx.Response.Header.Set(headerNotRun, strconv.FormatBool(refusal.NotRun))
	if refusal.RequestID != "" {
		ctx.Response.Header.Set(headerRequestID, refusal.RequestID)
	}
	if refusal.RetryAfterMilliseconds > 0 {
		setRetryAfter(ctx, time.Duration(refusal.RetryAfterMilliseconds)*time.Millisecond)
	}
	ctx.SetContentType("application/json")
	body, err := json.Marshal(refusal)
	if err != nil {
		ctx.SetStatusCode(fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetBody(body)
}

// setRetryAfter tells the caller when to come back, rounded up to whole seconds.
func setRetryAfter(ctx *fasthttp.RequestCtx, delay time.Duration) {
	seconds := int64((delay + time.Second - 1) / time.Second)
	ctx.Response.Header.Set(fasthttp.HeaderRetryAfter, strconv.FormatInt(max(seconds, 1), 10))
}

// refusalCase maps an error to its refusal.
type refusalCase struct {
	err    error
	status int
	code   string
	notRun bool
	retry  time.Duration
}

// refusalCases is searched in order; the first match applies. If the error is also
// dispatcher.ErrMayHaveRun, the refusal does not say that the request was not run.
var refusalCases = []refusalCase{
	{errBadRequest, fasthttp.StatusBadRequest, CodeBadRequest, true, 0},
	{deduper.ErrBadKey, fasthttp.StatusBadRequest, CodeBadRequest, true, 0},
	{errUnauthorized, fasthttp.StatusUnauthorized, CodeUnauthorized, true, 0},
	{configurer.ErrForbidden, fasthttp.StatusForbidden, CodeForbidden, true, 0},
	{configurer.ErrBadPath, fasthttp.StatusBadRequest, CodeBadRequest, true, 0},
	{configurer.ErrBadValue, fasthttp.StatusBadRequest, CodeBadRequest, true, 0},
	{configurer.ErrConflict, fasthttp.StatusConflict, CodeConflict, true, 0},
	{configurer.ErrUnknownOutcome, fasthttp.StatusBadGateway, CodeOutcomeUnknown, false, 0},
	{errUnknownModel, fasthttp.StatusNotFound, CodeUnknownModel, true, 0},
	{errUnknownService, fasthttp.StatusNotFound, CodeUnknownService, true, 0},
	{errNoPath, fasthttp.StatusNotFound, CodeNotFound, true, 0},
	{errHomeLost, fasthttp.StatusBadGateway, CodeOutcomeUnknown, false, 0},
	{errHomeUnreachable, fasthttp.StatusBadGateway, CodeOutcomeUnknown, false, defaultRetryAfter},
	{deduper.ErrExpired, fasthttp.StatusConflict, CodeKeyExpired, false, 0},
	{deduper.ErrReused, fasthttp.StatusUnprocessableEntity, CodeKeyReused, false, 0},
	{deduper.ErrNotKept, fasthttp.StatusConflict, CodeNotKept, false, 0},
	{deduper.ErrWaitedTooLong, fasthttp.StatusConflict, CodeStillRunning, false, defaultRetryAfter},
	{deduper.ErrFull, fasthttp.StatusServiceUnavailable, CodeUnavailable, true, defaultRetryAfter},
	// Another instance may hold the claim and be running the request.
	{deduper.ErrClaimUnavailable, fasthttp.StatusServiceUnavailable, CodeUnavailable, false, defaultRetryAfter},
	{quarantiner.ErrConvicted, fasthttp.StatusUnprocessableEntity, CodeQuarantined, true, 0},
	{dispatcher.ErrMayHaveRun, fasthttp.StatusBadGateway, CodeOutcomeUnknown, false, 0},
	{quarantiner.ErrElsewhere, fasthttp.StatusServiceUnavailable, CodeNotRun, true, defaultRetryAfter},
	{dispatcher.ErrDeadlinePassed, fasthttp.StatusGatewayTimeout, CodeDeadlinePassed, true, defaultRetryAfter},
	{dispatcher.ErrNotRun, fasthttp.StatusServiceUnavailable, CodeNotRun, true, defaultRetryAfter},
	{errNotReady, fasthttp.StatusServiceUnavailable, CodeNotReady, true, defaultRetryAfter},
	{transactor.ErrUnavailable, fasthttp.StatusServiceUnavailable, CodeUnavailable, true, defaultRetryAfter},
}

func refusalFor(err error, now time.Time) (int, messenger.Refusal) {
	var over *admitter.OverLimitError
	if errors.As(err, &over) {
		wait := max(1, over.RetryAfter.Sub(now).Milliseconds())
		return fasthttp.StatusTooManyRequests, messenger.Refusal{
			Code: CodeOverLimit, Message: err.Error(), NotRun: true, RetryAfterMilliseconds: wait,
		}
	}
	var notReady *notReadyError
	if errors.As(err, &notReady) {
		return fasthttp.StatusServiceUnavailable, messenger.Refusal{
			Code: CodeNotReady, Message: err.Error(), NotRun: notReady.notRun, Addresses: notReady.addresses,
			RetryAfterMilliseconds: defaultRetryAfter.Milliseconds(),
		}
	}
	for _, c := range refusalCases {
		if errors.Is(err, c.err) {
			refusal := messenger.Refusal{
				Code: c.code, Message: err.Error(), RetryAfterMilliseconds: c.retry.Milliseconds(),
				NotRun: c.notRun && !errors.Is(err, dispatcher.ErrMayHaveRun),
			}
			if mayRepeat(err) {
				refusal.RetryAfterMilliseconds = defaultRetryAfter.Milliseconds()
			}
			var quiet *router.QuietError
			if errors.As(err, &quiet) {
				refusal.RetryAfterMilliseconds = max(1, quiet.Until.Sub(now).Milliseconds())
			}
			return c.status, refusal
		}
	}
	return fasthttp.StatusInternalServerError, messenger.Refusal{Code: CodeOutcomeUnknown, Message: err.Error()}
}

// mayRepeat reports whether a request that may have run may be sent again, and may
// then have another outcome.
func mayRepeat(err error) bool {
	var failure *dispatcher.FailureError
	return errors.As(err, &failure) && failure.Ran && failure.Repeatable && !errors.Is(err, quarantiner.ErrConvicted)
}

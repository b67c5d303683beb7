package listener

import (
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/edge/relayer"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
)

// resolveHome determines the home of a keyed request, the one instance that may run it.
// It returns the entry from which to read the answer and whether this call must run
// the request; a nil entry means that the answer has already been written to ctx.
func (l *Listener) resolveHome(ctx *fasthttp.RequestCtx, a *arrival, content deduper.Digest) (*deduper.Entry, bool) {
	if a.key.IsIssued() && a.key.Home != l.Home {
		l.relayToHome(ctx, a, a.key.Home)
		return nil, false
	}
	entry, mustRun, err := l.Keys.Begin(a.team.Name, *a.key, content, a.receivedAt)
	if err != nil {
		refuse(ctx, a.id, err)
		return nil, false
	}
	if !mustRun || a.key.IsIssued() || entry.IsClaimed() {
		return entry, mustRun
	}
	return l.claim(ctx, a, entry)
}

// claim claims a key that the caller chose itself, before its request starts: the
// instance that gets the claim becomes the home of the request.
func (l *Listener) claim(ctx *fasthttp.RequestCtx, a *arrival, entry *deduper.Entry) (*deduper.Entry, bool) {
	claimed, err := l.Claimer.Claim(a.team.Name, *a.key, entry.OperationID())
	switch {
	case err != nil:
		entry.Refuse(err)
		refuse(ctx, a.id, err)
	case claimed.Home == l.Home && claimed.Fresh:
		entry.SetClaimed()
		return entry, true
	case claimed.Home == l.Home:
		// The claim belongs to an earlier entry that no longer exists; the outcome of
		// its request is unknown.
		entry.Refuse(deduper.ErrExpired)
		l.Keys.Forget(a.team.Name, *a.key)
		refuse(ctx, a.id, deduper.ErrExpired)
	default:
		entry.Refuse(errHomeLost)
		l.Keys.Forget(a.team.Name, *a.key)
		l.relayToHome(ctx, a, claimed.Home)
	}
	return nil, false
}

// relayToHome relays a request to its home. No other instance may run the request,
// since it may have run there. The home itself checks that it is the right incarnation.
func (l *Listener) relayToHome(ctx *fasthttp.RequestCtx, a *arrival, home deduper.Home) {
	if len(ctx.Request.Header.Peek(relayer.HeaderRelayed)) > 0 || home.Instance == l.Home.Instance {
		refuse(ctx, a.id, errHomeLost)
		return
	}
	in := l.Fleet.View().Instances[home.Instance]
	if in == nil {
		refuse(ctx, a.id, errHomeUnreachable)
		return
	}
	answer, err := l.relay.Do(in.Address, relayer.Copy{Request: &ctx.Request, ID: a.id, AnswerDeadline: a.deadline})
	if err != nil {
		refuse(ctx, a.id, errors.Wrap(errHomeUnreachable, err.Error()))
		return
	}
	ctx.SetStatusCode(answer.Header.StatusCode())
	ctx.SetContentTypeBytes(answer.Header.ContentType())
	for _, name := range []string{headerRequestID, headerNotRun, fasthttp.HeaderRetryAfter} {
		if value := answer.Header.Peek(name); len(value) > 0 {
			ctx.Response.Header.SetBytesV(name, value)
		}
	}
	l.inFlight.Add(1)
	ctx.SetBodyStream(&relayedBody{answer: answer, onClose: func() { l.inFlight.Add(-1) }}, max(unknownSize, answer.Header.ContentLength()))
}

// relayedBody is the body of a home's answer. If that body is cut, the caller's copy is
// cut too.
type relayedBody struct {
	answer  *connector.Answer
	onClose func()
}

func (b *relayedBody) Read(p []byte) (int, error) { return b.answer.Read(p) }

// Close releases the answer.
func (b *relayedBody) Close() error {
	b.answer.Close()
	b.onClose()
	return nil
}

// recordFailure records in an entry that its request failed before its answer began.
func recordFailure(entry *deduper.Entry, err error) {
	if !errors.Is(err, dispatcher.ErrMayHaveRun) || mayRepeat(err) {
		entry.Refuse(err)
		return
	}
	status, refusal := refusalFor(err, time.Now())
	// Sending the key again would only return this same answer.
	refusal.RetryAfterMilliseconds = 0
	entry.Answer(deduper.Head{Status: status, ContentType: typeJSON, IsRefusal: true}, encodeRefusal(refusal))
}

// writeFromEntry answers from the record of an entry, waiting for it as needed.
func (l *Listener) writeFromEntry(ctx *fasthttp.RequestCtx, a *arrival, entry *deduper.Entry) {
	l.inFlight.Add(1)
	release := func() { l.inFlight.Add(-1) }
	reader := entry.Reader()
	head, err := reader.Head(a.deadline)
	if err != nil {
		release()
		refuseRecorded(ctx, a.id, err)
		return
	}
	ctx.SetStatusCode(head.Status)
	ctx.SetContentType(head.ContentType)
	ctx.Response.Header.Set(headerRequestID, a.id)
	if head.IsRefusal {
		ctx.Response.Header.Set(headerNotRun, "false")
	}
	ctx.SetBodyStream(&entryBody{reader: reader, deadline: a.deadline, onClose: release}, unknownSize)
}

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

// settleHome finds the home of a keyed request. It returns the entry to read
// the answer from and whether this call has to run the request; a nil entry
// means that the request was answered here already.
func (l *Listener) settleHome(ctx *fasthttp.RequestCtx, a *arrival, content deduper.Print) (*deduper.Entry, bool) {
	if a.key.IsIssued() && a.key.Home != l.Home {
		l.relayTo(ctx, a, a.key.Home)
		return nil, false
	}
	entry, mine, err := l.Keys.Begin(a.team.Name, *a.key, content, a.at)
	if err != nil {
		refuse(ctx, a.id, err)
		return nil, false
	}
	if !mine || a.key.IsIssued() || entry.IsClaimed() {
		return entry, mine
	}
	return l.claim(ctx, a, entry)
}

// claim binds a caller's own key to a home before its request starts.
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
		// The claim is that of an earlier entry, which is gone: what became of its
		// request is not known.
		entry.Refuse(deduper.ErrExpired)
		l.Keys.Forget(a.team.Name, *a.key)
		refuse(ctx, a.id, deduper.ErrExpired)
	default:
		entry.Refuse(errHomeLost)
		l.Keys.Forget(a.team.Name, *a.key)
		l.relayTo(ctx, a, claimed.Home)
	}
	return nil, false
}

// relayTo sends a request on to its home. Nothing else may run the request,
// since it may have run there. The home tells by itself whether it is the right
// incarnation.
func (l *Listener) relayTo(ctx *fasthttp.RequestCtx, a *arrival, home deduper.Home) {
	if len(ctx.Request.Header.Peek(relayer.HeaderRelayed)) > 0 || home.Instance == l.Home.Instance {
		refuse(ctx, a.id, errHomeLost)
		return
	}
	in := l.Fleet.View().Instances[home.Instance]
	if in == nil {
		refuse(ctx, a.id, errHomeUnreachable)
		return
	}
	answer, err := l.relay.Do(in.Address, relayer.Copy{Request: &ctx.Request, ID: a.id, Until: a.deadline})
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
	ctx.SetBodyStream(&relayedBody{answer: answer, closed: func() { l.inFlight.Add(-1) }}, max(unknownSize, answer.Header.ContentLength()))
}

// relayedBody is the body of a home's answer. If that is cut, so is the copy.
type relayedBody struct {
	answer *connector.Answer
	closed func()
}

func (b *relayedBody) Read(p []byte) (int, error) { return b.answer.Read(p) }

// Close ends the use of the answer.
func (b *relayedBody) Close() error {
	b.answer.Close()
	b.closed()
	return nil
}

// record notes in an entry how its request ended before its answer began.
func record(entry *deduper.Entry, err error) {
	if !errors.Is(err, dispatcher.ErrUnknown) || mayRepeat(err) {
		entry.Refuse(err)
		return
	}
	status, refusal := refusalOf(err, time.Now())
	// A further send of the key would get this same answer.
	refusal.RetryAfterMilliseconds = 0
	entry.Answer(deduper.Head{Status: status, ContentType: typeJSON, IsRefusal: true}, encodeRefusal(refusal))
}

// replay answers from the record of an entry.
func (l *Listener) replay(ctx *fasthttp.RequestCtx, a *arrival, entry *deduper.Entry) {
	l.inFlight.Add(1)
	leave := func() { l.inFlight.Add(-1) }
	reader := entry.Reader()
	head, err := reader.Head(a.deadline)
	if err != nil {
		leave()
		refuseSettled(ctx, a.id, err)
		return
	}
	ctx.SetStatusCode(head.Status)
	ctx.SetContentType(head.ContentType)
	ctx.Response.Header.Set(headerRequestID, a.id)
	if head.IsRefusal {
		ctx.Response.Header.Set(headerNotRun, "false")
	}
	ctx.SetBodyStream(&recordBody{reader: reader, deadline: a.deadline, closed: leave}, unknownSize)
}

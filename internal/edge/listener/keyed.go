package listener

import (
	"bufio"
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
func (l *Listener) settleHome(ctx *fasthttp.RequestCtx, a *arrival) (*deduper.Entry, bool) {
	if a.key.IsIssued() && a.key.Home != l.Home {
		l.relayTo(ctx, a, a.key.Home)
		return nil, false
	}
	entry, mine, err := l.Keys.Begin(a.team.Name, *a.key, a.at)
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
	claimed, err := l.Claimer.Claim(a.team.Name, *a.key, a.id+l.Home.Incarnation)
	switch {
	case err != nil:
		entry.Refuse(err)
		refuse(ctx, a.id, err)
	case claimed.Home == l.Home && claimed.Fresh:
		entry.SetClaimed()
		return entry, true
	case claimed.Home == l.Home:
		// The key was used and its entry has been pruned since.
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

// relayTo sends a request on to its home. If the home is gone, nothing else may
// run the request, since it may have run there.
func (l *Listener) relayTo(ctx *fasthttp.RequestCtx, a *arrival, home deduper.Home) {
	in := l.Fleet.View().Instances[home.Instance]
	isRelayed := len(ctx.Request.Header.Peek(relayer.HeaderRelayed)) > 0
	if in == nil || in.Incarnation != home.Incarnation || isRelayed {
		refuse(ctx, a.id, errHomeLost)
		return
	}
	answer, err := l.relay.Do(in.Address, &ctx.Request, a.deadline)
	if err != nil {
		refuse(ctx, a.id, errors.Wrap(errHomeLost, err.Error()))
		return
	}
	ctx.SetStatusCode(answer.Header.StatusCode())
	ctx.SetContentTypeBytes(answer.Header.ContentType())
	for _, name := range []string{headerRequestID, headerNotRun, fasthttp.HeaderRetryAfter} {
		if value := answer.Header.Peek(name); len(value) > 0 {
			ctx.Response.Header.SetBytesV(name, value)
		}
	}
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) { copyAnswer(w, answer) })
}

// copyAnswer copies a relayed body as it comes. If the home's answer is cut, the
// end marker is missing in the copy too.
func copyAnswer(w *bufio.Writer, answer *connector.Answer) {
	defer answer.Close()
	const partBytes = 4 << 10
	part := make([]byte, partBytes)
	for {
		n, err := answer.Read(part)
		if _, writeErr := w.Write(part[:n]); writeErr != nil || w.Flush() != nil {
			return
		}
		if err != nil {
			return
		}
	}
}

// record notes in an entry how its request ended before its answer began.
func record(entry *deduper.Entry, err error) {
	if !errors.Is(err, dispatcher.ErrUnknown) {
		entry.Refuse(err)
		return
	}
	status, refusal := refusalOf(err, time.Now())
	entry.Begin(deduper.Head{Status: status, ContentType: "application/json"})
	entry.Append(encodeRefusal(refusal))
	entry.End()
}

// replay answers from the record of an entry.
func (l *Listener) replay(ctx *fasthttp.RequestCtx, a *arrival, entry *deduper.Entry) {
	reader := entry.Reader()
	head, err := reader.Head(a.deadline)
	if err != nil {
		refuse(ctx, a.id, err)
		return
	}
	ctx.SetStatusCode(head.Status)
	ctx.SetContentType(head.ContentType)
	ctx.Response.Header.Set(headerRequestID, a.id)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		for {
			part, err := reader.Next(a.deadline)
			if err != nil || part == nil {
				return
			}
			if _, err := w.Write(part); err != nil || w.Flush() != nil {
				return
			}
		}
	})
}

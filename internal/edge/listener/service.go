package listener

import (
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/forwarder"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
)

// handleService routes a request to a plain service. The part of the path after
// the name of the service is that of the request to the service.
func (l *Listener) handleService(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	name, rest, _ := strings.Cut(strings.TrimPrefix(string(ctx.Path()), pathServices), "/")
	service, known := l.Tree.Catalog().Services[name]
	a, err := l.arrive(ctx, id, service.Repeatable)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	if !known {
		refuse(ctx, id, errors.Wrapf(errUnknownService, "%.80q", name))
		return
	}
	pathQuery := "/" + rest
	if query := ctx.URI().QueryString(); len(query) > 0 {
		pathQuery += "?" + string(query)
	}
	job := &dispatcher.ServiceJob{
		ID: id, Service: service, Method: string(ctx.Method()), PathQuery: pathQuery,
		ContentType: string(ctx.Request.Header.ContentType()), Body: append([]byte(nil), ctx.PostBody()...),
		Deadline: a.deadline,
		// A caller may forbid repeats of a repeatable service, not the reverse.
		Repeatable: a.repeatable && service.Repeatable,
	}
	if a.key == nil {
		answer, err := l.runService(a, job)
		if err != nil {
			refuse(ctx, id, err)
			return
		}
		ctx.SetStatusCode(answer.Status)
		ctx.SetContentType(answer.ContentType)
		ctx.Response.Header.Set(headerRequestID, id)
		ctx.SetBody(answer.Body)
		return
	}
	job.Key = a.key.Text
	entry, mine := l.settleHome(ctx, a)
	if entry == nil {
		return
	}
	if mine {
		go l.recordService(a, job, entry)
	}
	l.replay(ctx, a, entry)
}

func (l *Listener) runService(a *arrival, job *dispatcher.ServiceJob) (forwarder.Answer, error) {
	if err := l.enter(a, job.Service.Name); err != nil {
		return forwarder.Answer{}, err
	}
	defer l.leave(a)
	answer, err := l.Dispatcher.Forward(job)
	l.observe(a, job.Service.Name, l.now(), err)
	return answer, err
}

func (l *Listener) recordService(a *arrival, job *dispatcher.ServiceJob, entry *deduper.Entry) {
	answer, err := l.runService(a, job)
	if err != nil {
		record(entry, err)
		return
	}
	entry.Begin(deduper.Head{Status: answer.Status, ContentType: answer.ContentType})
	entry.Append(answer.Body)
	entry.End()
}

package listener

import (
	"net/url"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/forwarder"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
)

// splitServicePath splits the URI of a request line, exactly as the caller sent it,
// into the name of a service and the path and query of the request to the service,
// which stay unmodified. It refuses paths that a service might resolve to a path
// outside its own, such as those with dot segments, and names of services that are
// percent-encoded or dot segments.
func splitServicePath(uri string) (name, pathQuery string, err error) {
	rest, isBelow := strings.CutPrefix(uri, pathServices)
	if !isBelow {
		return "", "", errors.Wrap(errBadRequest, "path must begin with "+pathServices)
	}
	for _, c := range []byte(uri) {
		if c <= ' ' || c >= 0x7f || c == '#' || c == '\\' {
			return "", "", errors.Wrap(errBadRequest, "path has a character that must be encoded")
		}
	}
	end := strings.IndexAny(rest, "/?")
	if end < 0 {
		end = len(rest)
	}
	name, pathQuery = rest[:end], rest[end:]
	if strings.Contains(name, "%") || isDotSegment(name) {
		return "", "", errors.Wrap(errBadRequest, "name of service must not be encoded")
	}
	if !strings.HasPrefix(pathQuery, "/") {
		pathQuery = "/" + pathQuery
	}
	path, _, _ := strings.Cut(pathQuery, "?")
	decoded, err := url.PathUnescape(path)
	if err != nil {
		return "", "", errors.Wrap(errBadRequest, err.Error())
	}
	for _, segment := range strings.FieldsFunc(decoded, func(c rune) bool { return c == '/' || c == '\\' }) {
		if isDotSegment(segment) {
			return "", "", errors.Wrap(errBadRequest, "path must not have dot segments")
		}
	}
	return name, pathQuery, nil
}

// isDotSegment reports whether a segment is "." or "..", with or without
// parameters, which some servers strip before they resolve the path.
func isDotSegment(segment string) bool {
	segment, _, _ = strings.Cut(segment, ";")
	return segment == "." || segment == ".."
}

// handleService forwards a request to a plain service, with the part of the path that
// follows the name of the service.
func (l *Listener) handleService(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	name, pathQuery, err := splitServicePath(string(ctx.Request.Header.RequestURI()))
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	service, known := l.Tree.Catalog().Services[name]
	a, err := l.newArrival(ctx, id, service.Repeatable)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	if !known {
		refuse(ctx, id, errors.Wrapf(errUnknownService, "%.80q", name))
		return
	}
	job := &dispatcher.ServiceJob{
		ID: id, Service: service, Method: string(ctx.Method()), PathQuery: pathQuery,
		ContentType: string(ctx.Request.Header.ContentType()), Body: append([]byte(nil), ctx.PostBody()...),
		Deadline: a.deadline,
		// A caller may forbid repeats of a repeatable service, not the reverse.
		Repeatable: a.repeatable && service.Repeatable,
	}
	job.Fingerprint = quarantiner.FingerprintOf([]byte(a.team.Name), []byte(name), []byte(job.Method), []byte(pathQuery), []byte(job.ContentType), job.Body)
	if a.key == nil {
		// A call that must not be repeated is not canceled midway.
		if job.Repeatable {
			caller := watchCaller(ctx.Conn())
			defer caller.stop()
			job.Context = caller.context
		}
		answer, err := l.runService(a, job)
		if err != nil {
			refuse(ctx, id, err)
			return
		}
		ctx.SetStatusCode(answer.Status)
		ctx.SetContentType(answer.ContentType)
		ctx.Response.Header.Set(headerRequestID, id)
		if until := answer.Notice.QuietUntil; !until.IsZero() {
			setRetryAfter(ctx, until.Sub(l.now()))
		}
		ctx.SetBody(answer.Body)
		return
	}
	job.Key = a.key.Text
	content := deduper.DigestOf([]byte(job.Method), []byte(name+pathQuery), job.Body)
	entry, mustRun := l.resolveHome(ctx, a, content)
	if entry == nil {
		return
	}
	if mustRun {
		go l.runKeyedService(a, job, entry)
	}
	l.writeFromEntry(ctx, a, entry)
}

func (l *Listener) runService(a *arrival, job *dispatcher.ServiceJob) (forwarder.Answer, error) {
	if err := l.admit(a, job.Service.Name); err != nil {
		return forwarder.Answer{}, err
	}
	defer l.release(a)
	answer, err := l.Dispatcher.Forward(job)
	l.observe(a, job.Service.Name, l.now(), err)
	return answer, err
}

func (l *Listener) runKeyedService(a *arrival, job *dispatcher.ServiceJob, entry *deduper.Entry) {
	answer, err := l.runService(a, job)
	if err != nil {
		recordFailure(entry, err)
		return
	}
	entry.Answer(deduper.Head{Status: answer.Status, ContentType: answer.ContentType}, answer.Body)
}

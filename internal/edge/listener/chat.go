package listener

import (
	"encoding/json"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/prefixer"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/keeper"
)

// chat is a chat-completion request whose model has been resolved.
type chat struct {
	name   keeper.Name
	stream bool
	// body is the request body for engines; it names the resolved model.
	body []byte
	// fingerprint identifies the content; it is the same each time the request is sent.
	fingerprint quarantiner.Fingerprint
	// prefix is the key of the beginning of the prompt.
	prefix prefixer.Key
}

// parseChat validates the body of a chat-completion request and replaces the name
// of the model by its resolved name. Members whose name differs from "model" only in
// case are removed, since an engine might use them instead.
func (l *Listener) parseChat(team string, body []byte) (*chat, error) {
	var members map[string]json.RawMessage
	if err := json.Unmarshal(body, &members); err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	var model string
	if err := json.Unmarshal(members["model"], &model); err != nil || model == "" {
		return nil, errors.Wrap(errBadRequest, "model must be a string")
	}
	var messages []json.RawMessage
	if err := json.Unmarshal(members["messages"], &messages); err != nil || len(messages) == 0 {
		return nil, errors.Wrap(errBadRequest, "messages must be a list that is not empty")
	}
	c := &chat{}
	if raw, ok := members["stream"]; ok {
		if err := json.Unmarshal(raw, &c.stream); err != nil {
			return nil, errors.Wrap(errBadRequest, "stream must be true or false")
		}
	}
	asked := keeper.ParseName(model)
	name, ok := l.Tree.Catalog().Resolve(team, asked)
	if !ok {
		return nil, errors.Wrapf(errUnknownModel, "%.80q", model)
	}
	if asked.Version == "" {
		name = l.Fleet.View().Substitute(name)
	}
	c.name = name
	for member := range members {
		if strings.EqualFold(member, "model") {
			delete(members, member)
		}
	}
	full, err := json.Marshal(name.String())
	if err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	members["model"] = full
	c.body, err = json.Marshal(members)
	if err != nil {
		return nil, errors.Wrap(errBadRequest, err.Error())
	}
	c.fingerprint = quarantiner.FingerprintOf([]byte(team), []byte(name.String()), c.body)
	c.prefix = prefixKey(name.String(), messages)
	return c, nil
}

func (l *Listener) handleChat(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	a, err := l.newArrival(ctx, id, true)
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	c, err := l.parseChat(a.team.Name, ctx.PostBody())
	if err != nil {
		refuse(ctx, id, err)
		return
	}
	job := &dispatcher.Job{
		ID: id, Name: c.name, Body: c.body, Priority: a.priority,
		Deadline: a.deadline, Repeatable: a.repeatable, Fingerprint: c.fingerprint, Prefix: c.prefix,
	}
	if a.key == nil {
		l.runUnkeyedChat(ctx, a, c, job)
		return
	}
	job.Key = a.key.Text
	entry, mustRun := l.resolveHome(ctx, a, deduper.DigestOf([]byte(pathChat), ctx.PostBody()))
	if entry == nil {
		return
	}
	if mustRun {
		go l.runKeyedChat(a, c, job, entry)
	}
	l.writeFromEntry(ctx, a, entry)
}

// admit admits a request to class, the name of a model or a service, and counts it as
// in flight. release must be called when the request has ended.
func (l *Listener) admit(a *arrival, class string) error {
	if err := l.Admitter.Admit(l.now(), a.team); err != nil {
		return err
	}
	l.Measurer.CountRequest(class)
	l.inFlight.Add(1)
	return nil
}

// admitChat admits a request to a model and also counts it in the demand for its
// adapter.
func (l *Listener) admitChat(a *arrival, c *chat) error {
	if err := l.admit(a, c.name.Model); err != nil {
		return err
	}
	if c.name.Adapter != "" {
		l.Measurer.CountRequest(c.name.Model + ":" + c.name.Adapter)
	}
	return nil
}

func (l *Listener) release(a *arrival) {
	l.Admitter.Release(a.team.Name)
	l.inFlight.Add(-1)
	if a.key != nil {
		l.extendKeyedUntil(l.now())
	}
}

// runUnkeyedChat runs a request without a key and relays its answer as it arrives. The
// request is cancelled at the engine if its caller disconnects.
func (l *Listener) runUnkeyedChat(ctx *fasthttp.RequestCtx, a *arrival, c *chat, job *dispatcher.Job) {
	if err := l.admitChat(a, c); err != nil {
		refuse(ctx, a.id, err)
		return
	}
	caller := watchCaller(ctx.Conn())
	job.Context = caller.context
	if !c.stream {
		defer l.release(a)
		defer caller.stop()
		body, err := l.Dispatcher.Unary(job)
		l.observe(a, c.name.Model, l.now(), err)
		writeAnswer(ctx, a, body, err)
		return
	}
	stream, err := l.Dispatcher.Start(job)
	if err != nil {
		caller.stop()
		l.release(a)
		l.observe(a, c.name.Model, time.Time{}, err)
		writeAnswer(ctx, a, nil, err)
		return
	}
	ctx.SetContentType(typeEvents)
	ctx.Response.Header.Set(headerRequestID, a.id)
	body := &eventBody{stream: stream}
	body.onClose = func(err error) {
		caller.stop()
		l.release(a)
		l.observe(a, c.name.Model, body.firstEventAt, err)
	}
	ctx.SetBodyStream(body, unknownSize)
}

// writeAnswer writes a complete body, an engine's rejection of the request, or a refusal.
func writeAnswer(ctx *fasthttp.RequestCtx, a *arrival, body []byte, err error) {
	var rejected *streamer.RejectedError
	switch {
	case errors.As(err, &rejected):
		ctx.SetStatusCode(rejected.Status)
		body = rejected.Body
	case err != nil:
		refuse(ctx, a.id, err)
		return
	}
	ctx.SetContentType(typeJSON)
	ctx.Response.Header.Set(headerRequestID, a.id)
	ctx.SetBody(body)
}

// runKeyedChat runs a keyed request to its end even if its caller disconnects, so that
// sending the request again returns the same answer.
func (l *Listener) runKeyedChat(a *arrival, c *chat, job *dispatcher.Job, entry *deduper.Entry) {
	if err := l.admitChat(a, c); err != nil {
		recordFailure(entry, err)
		return
	}
	defer l.release(a)
	if !c.stream {
		body, err := l.Dispatcher.Unary(job)
		l.observe(a, c.name.Model, l.now(), err)
		recordAnswer(entry, body, err)
		return
	}
	stream, err := l.Dispatcher.Start(job)
	if err != nil {
		l.observe(a, c.name.Model, time.Time{}, err)
		recordAnswer(entry, nil, err)
		return
	}
	defer stream.Close()
	entry.Begin(deduper.Head{Status: fasthttp.StatusOK, ContentType: typeEvents})
	body := &eventBody{stream: stream}
	for {
		part, err := body.next()
		if err != nil {
			break
		}
		entry.Append(part)
	}
	entry.Fail(mayRepeat(body.failure))
	l.observe(a, c.name.Model, body.firstEventAt, body.failure)
}

func recordAnswer(entry *deduper.Entry, body []byte, err error) {
	var rejected *streamer.RejectedError
	status := fasthttp.StatusOK
	switch {
	case errors.As(err, &rejected):
		status = rejected.Status
		body = rejected.Body
	case err != nil:
		recordFailure(entry, err)
		return
	}
	entry.Answer(deduper.Head{Status: status, ContentType: typeJSON}, body)
}

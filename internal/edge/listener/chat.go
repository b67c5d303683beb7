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
	// body names the resolved model and is what engines get.
	body []byte
	// fingerprint is that of the content, so that it is the same for each send.
	fingerprint quarantiner.Fingerprint
	// prefix is that of the beginning of the prompt.
	prefix prefixer.Key
}

// parseChat checks the body of a chat-completion request and puts the full name
// of the model in. Members that differ from "model" by case alone are dropped,
// since an engine might take them for it.
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
	c.fingerprint = quarantiner.Of(name.String(), c.body)
	c.prefix = prefixKey(name.String(), messages)
	return c, nil
}

func (l *Listener) handleChat(ctx *fasthttp.RequestCtx) {
	id := requestID(ctx)
	a, err := l.arrive(ctx, id, true)
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
		l.runChat(ctx, a, c, job)
		return
	}
	job.Key = a.key.Text
	entry, mine := l.settleHome(ctx, a, deduper.PrintOf([]byte(pathChat), ctx.PostBody()))
	if entry == nil {
		return
	}
	if mine {
		go l.recordChat(a, c, job, entry)
	}
	l.replay(ctx, a, entry)
}

// enter admits a request. leave must be called once it has ended.
func (l *Listener) enter(a *arrival, class string) error {
	if err := l.Admitter.Admit(l.now(), a.team); err != nil {
		return err
	}
	l.Measurer.Arrived(class)
	l.inFlight.Add(1)
	return nil
}

// enterChat admits a request to a model and counts it towards the demand for its
// adapter too.
func (l *Listener) enterChat(a *arrival, c *chat) error {
	if err := l.enter(a, c.name.Model); err != nil {
		return err
	}
	if c.name.Adapter != "" {
		l.Measurer.Arrived(c.name.Model + ":" + c.name.Adapter)
	}
	return nil
}

func (l *Listener) leave(a *arrival) {
	l.Admitter.Release(a.team.Name)
	l.inFlight.Add(-1)
	if a.key != nil {
		l.noteKeyed(l.now())
	}
}

// runChat runs a request without a key and relays the answer as it comes. It is
// cancelled at the engine when its caller leaves.
func (l *Listener) runChat(ctx *fasthttp.RequestCtx, a *arrival, c *chat, job *dispatcher.Job) {
	if err := l.enterChat(a, c); err != nil {
		refuse(ctx, a.id, err)
		return
	}
	caller := watchCaller(ctx.Conn())
	job.Context = caller.context
	if !c.stream {
		defer l.leave(a)
		defer caller.stop()
		body, err := l.Dispatcher.Whole(job)
		l.observe(a, c.name.Model, l.now(), err)
		answerWhole(ctx, a, body, err)
		return
	}
	stream, err := l.Dispatcher.Start(job)
	if err != nil {
		caller.stop()
		l.leave(a)
		l.observe(a, c.name.Model, time.Time{}, err)
		answerWhole(ctx, a, nil, err)
		return
	}
	ctx.SetContentType(typeEvents)
	ctx.Response.Header.Set(headerRequestID, a.id)
	body := &eventBody{stream: stream}
	body.closed = func(err error) {
		caller.stop()
		l.leave(a)
		l.observe(a, c.name.Model, body.first, err)
	}
	ctx.SetBodyStream(body, unknownSize)
}

// answerWhole answers with a body, with what an engine rejected a request with,
// or with a refusal.
func answerWhole(ctx *fasthttp.RequestCtx, a *arrival, body []byte, err error) {
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

// recordChat runs a keyed request to its end, whether or not its caller stays,
// so that a repeated send gets the same answer.
func (l *Listener) recordChat(a *arrival, c *chat, job *dispatcher.Job, entry *deduper.Entry) {
	if err := l.enterChat(a, c); err != nil {
		record(entry, err)
		return
	}
	defer l.leave(a)
	if !c.stream {
		body, err := l.Dispatcher.Whole(job)
		l.observe(a, c.name.Model, l.now(), err)
		recordWhole(entry, body, err)
		return
	}
	stream, err := l.Dispatcher.Start(job)
	if err != nil {
		l.observe(a, c.name.Model, time.Time{}, err)
		recordWhole(entry, nil, err)
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
	l.observe(a, c.name.Model, body.first, body.failure)
}

func recordWhole(entry *deduper.Entry, body []byte, err error) {
	var rejected *streamer.RejectedError
	status := fasthttp.StatusOK
	switch {
	case errors.As(err, &rejected):
		status = rejected.Status
		body = rejected.Body
	case err != nil:
		record(entry, err)
		return
	}
	entry.Answer(deduper.Head{Status: status, ContentType: typeJSON}, body)
}

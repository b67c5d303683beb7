package listener

import (
	"bufio"
	"encoding/json"
	"io"
	"strings"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/edge/streamer"
	"github.com/crocusring/crocusring/internal/request/deduper"
	"github.com/crocusring/crocusring/internal/request/dispatcher"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// chat is a chat-completion request whose model has been resolved.
type chat struct {
	name   keeper.Name
	stream bool
	// body names the resolved model and is what engines get.
	body []byte
	// fingerprint is that of the content, so that it is the same for each send.
	fingerprint quarantiner.Fingerprint
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
	name, ok := l.Tree.Catalog().Resolve(team, keeper.ParseName(model))
	if !ok {
		return nil, errors.Wrapf(errUnknownModel, "%.80q", model)
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
		Deadline: a.deadline, Repeatable: a.repeatable, Fingerprint: c.fingerprint,
	}
	if a.key == nil {
		l.runChat(ctx, a, c, job)
		return
	}
	job.Key = a.key.Text
	entry, mine := l.settleHome(ctx, a)
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

func (l *Listener) leave(a *arrival) {
	l.Admitter.Release(a.team.Name)
	l.inFlight.Add(-1)
	if a.key != nil {
		l.noteKeyed(l.now())
	}
}

// runChat runs a request without a key and relays the answer as it comes.
func (l *Listener) runChat(ctx *fasthttp.RequestCtx, a *arrival, c *chat, job *dispatcher.Job) {
	if err := l.enter(a, c.name.Model); err != nil {
		refuse(ctx, a.id, err)
		return
	}
	if !c.stream {
		defer l.leave(a)
		body, err := l.Dispatcher.Whole(job)
		l.observe(a, c.name.Model, l.now(), err)
		answerWhole(ctx, a, body, err)
		return
	}
	stream, err := l.Dispatcher.Start(job)
	if err != nil {
		l.leave(a)
		l.observe(a, c.name.Model, time.Time{}, err)
		answerWhole(ctx, a, nil, err)
		return
	}
	ctx.SetContentType(typeEvents)
	ctx.Response.Header.Set(headerRequestID, a.id)
	ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
		defer l.leave(a)
		defer stream.Close()
		var first time.Time
		err := copyEvents(stream, func(part []byte, more bool) error {
			if first.IsZero() {
				first = l.now()
			}
			return writePart(w, part, more)
		})
		l.observe(a, c.name.Model, first, err)
	})
}

const typeEvents = "text/event-stream"

func writePart(w *bufio.Writer, part []byte, more bool) error {
	if _, err := w.Write(part); err != nil {
		return err
	}
	if more {
		return nil
	}
	return w.Flush()
}

// errCallerGone tells that the caller no longer reads its answer.
var errCallerGone = errors.New("caller is gone")

// copyEvents writes the events of a stream to its end marker, or to an error
// event if it cannot be completed. more tells that a further part follows at once.
func copyEvents(stream *dispatcher.Stream, write func(part []byte, more bool) error) error {
	var part []byte
	for {
		data, err := stream.Next()
		if err != nil {
			return endEvents(err, write)
		}
		part = append(part[:0], "data: "...)
		part = append(part, data...)
		part = append(part, "\n\n"...)
		if err := write(part, stream.Buffered()); err != nil {
			return errCallerGone
		}
	}
}

func endEvents(err error, write func(part []byte, more bool) error) error {
	if errors.Is(err, io.EOF) {
		if write([]byte("data: [DONE]\n\n"), false) != nil {
			return errCallerGone
		}
		return nil
	}
	_, refusal := refusalOf(err, time.Now())
	refusal.NotRun = false
	event := append([]byte("event: error\ndata: "), encodeRefusal(refusal)...)
	_ = write(append(event, "\n\n"...), false)
	return err
}

func encodeRefusal(refusal messenger.Refusal) []byte {
	if refusal.Addresses == nil {
		refusal.Addresses = []string{}
	}
	body, err := json.Marshal(refusal)
	if err != nil {
		return []byte("{}")
	}
	return body
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
	ctx.SetContentType("application/json")
	ctx.Response.Header.Set(headerRequestID, a.id)
	ctx.SetBody(body)
}

// recordChat runs a keyed request to its end, whether or not its caller stays,
// so that a repeated send gets the same answer.
func (l *Listener) recordChat(a *arrival, c *chat, job *dispatcher.Job, entry *deduper.Entry) {
	if err := l.enter(a, c.name.Model); err != nil {
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
	err = copyEvents(stream, func(part []byte, _ bool) error {
		entry.Append(part)
		return nil
	})
	entry.End()
	l.observe(a, c.name.Model, time.Time{}, err)
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
	entry.Begin(deduper.Head{Status: status, ContentType: "application/json"})
	entry.Append(body)
	entry.End()
}

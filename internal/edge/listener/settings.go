package listener

import (
	"crypto/rand"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/control/configurer"
	"github.com/crocusring/crocusring/internal/wire/inspector"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// handleReadSettings answers with the settings below a prefix that the sender may read:
// all of them for the platform's operators; for a team its own and the platform's
// models and adapters.
func (l *Listener) handleReadSettings(ctx *fasthttp.RequestCtx) {
	operator, err := l.operator(ctx)
	if err != nil {
		refuse(ctx, "", err)
		return
	}
	answer := l.Tree.Below(string(ctx.QueryArgs().Peek("prefix")))
	visible := make([]messenger.SettingEntry, 0, len(answer.Entries))
	for _, e := range answer.Entries {
		if mayRead(operator, e.Path) {
			visible = append(visible, e)
		}
	}
	answer.Entries = visible
	answer.Subtree = operator.Subtree()
	writeJSON(ctx, answer)
}

func mayRead(operator configurer.Operator, path string) bool {
	if operator.Team == "" {
		return true
	}
	return strings.HasPrefix(path, "/teams/"+operator.Team+"/") ||
		strings.HasPrefix(path, "/platform/models/") || strings.HasPrefix(path, "/platform/adapters/")
}

func (l *Listener) handleChangeSettings(ctx *fasthttp.RequestCtx) {
	if l.Leaving() {
		// Peers rely on a leaving instance not accepting any change.
		refuse(ctx, "", errNotReady)
		return
	}
	operator, err := l.operator(ctx)
	if err != nil {
		refuse(ctx, "", err)
		return
	}
	var req messenger.ChangeRequest
	if err := inspector.Decode(ctx.PostBody(), &req); err != nil {
		refuse(ctx, "", errors.Wrap(errBadRequest, err.Error()))
		return
	}
	if req.OperationID == "" {
		req.OperationID = rand.Text()
	}
	if err := configurer.Check(operator, req); err != nil {
		refuse(ctx, "", err)
		return
	}
	revision, err := l.Configurer.Change(req)
	if err != nil {
		l.refuseChange(ctx, req.OperationID, err)
		return
	}
	pending, confirmed := l.ConfirmChange(revision)
	if !confirmed {
		// Unless most instances have applied it, a network partition whose instances
		// have not received the change may keep running without it.
		l.refuseChange(ctx, req.OperationID, errors.Wrapf(
			configurer.ErrUnknownOutcome, "committed as revision %d, but most instances have not confirmed it: %v", revision, pending))
		return
	}
	l.Log.Info("settings accepted", "revision", revision, "operation", req.OperationID, "team", operator.Team)
	writeJSON(ctx, messenger.ChangeAnswer{Revision: revision, Pending: pending})
}

// refuseChange answers with the operation ID as the request ID, so that the operator
// can send the same change again to find out its outcome.
func (l *Listener) refuseChange(ctx *fasthttp.RequestCtx, operationID string, err error) {
	status, refusal := refusalFor(err, l.now())
	refusal.RequestID = operationID
	var conflict *configurer.ConflictError
	if errors.As(err, &conflict) {
		refusal.Path = conflict.Path
	}
	writeRefusal(ctx, status, refusal)
}

func (l *Listener) handleHeartbeat(ctx *fasthttp.RequestCtx) {
	if !l.isPeer(ctx) {
		refuse(ctx, "", errUnauthorized)
		return
	}
	var hb messenger.Heartbeat
	if err := json.Unmarshal(ctx.PostBody(), &hb); err != nil {
		refuse(ctx, "", errors.Wrap(errBadRequest, err.Error()))
		return
	}
	writeJSON(ctx, l.Exchanger.Answer(hb))
}

func (l *Listener) handlePeerSettings(ctx *fasthttp.RequestCtx) {
	if !l.isPeer(ctx) {
		refuse(ctx, "", errUnauthorized)
		return
	}
	since, err := strconv.ParseInt(string(ctx.QueryArgs().Peek("since")), 10, 64)
	if err != nil {
		refuse(ctx, "", errors.Wrap(errBadRequest, err.Error()))
		return
	}
	writeJSON(ctx, l.Tree.Since(since))
}

package supervisor

import (
	"context"
	"net/http"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/foreman"
	"github.com/crocusring/crocusring/internal/gateway/limiter"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

// permitTimeout bounds a call that asks for a permit.
const permitTimeout = 300 * time.Millisecond

// errNoGranter reports that the granter of a target is not live.
var errNoGranter = errors.New("granter of the target is not live")

// acquirePermit returns nil if a request may be sent to a target now: the target names no
// limit, or its granter, which may be this instance, has given a permit. The error is a
// limiter.DeniedError.
func (s *Supervisor) acquirePermit(ctx context.Context, target *registrar.Target) error {
	ask, err := s.limiter.Begin(limitedTarget(target))
	if err != nil || ask.Granter == "" {
		return err
	}
	answer, err := s.askForPermit(ctx, ask)
	if err != nil {
		s.log.Info("no answer to a request for a permit", "target", target.ID, "granter", ask.Granter, "error", err.Error())
	}
	return s.limiter.Finish(ask, answer, err)
}

func limitedTarget(target *registrar.Target) limiter.Target {
	return limiter.Target{ID: target.ID, DataCentre: target.DataCentre}
}

func (s *Supervisor) askForPermit(ctx context.Context, ask limiter.Ask) (limiter.Answer, error) {
	if ask.Granter == s.settings.Instance {
		return s.limiter.Grant(ask.Target, ask.Limit), nil
	}
	address := s.informer.AddressOf(ask.Granter)
	if address == "" {
		return limiter.Answer{}, errNoGranter
	}
	deadline := time.Now().Add(permitTimeout)
	if end, ok := ctx.Deadline(); ok && end.Before(deadline) {
		deadline = end
	}
	var answer messenger.PermitResponse
	err := s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + pathPermit, Out: &answer, Deadline: deadline,
		In: messenger.PermitRequest{Target: ask.Target.ID, DataCentre: ask.Target.DataCentre, Limit: s.encodeLimit(ask.Limit)},
	})
	if err != nil {
		return limiter.Answer{}, err
	}
	return limiter.Answer{
		IsGranted: answer.IsGranted, RetryIn: milliseconds(answer.RetryMilliseconds), Limit: s.decodeLimit(answer.Limit),
	}, nil
}

// servePermit decides on the request of a peer for a permit.
func (s *Supervisor) servePermit(ctx *fasthttp.RequestCtx) {
	var request messenger.PermitRequest
	if !s.decode(ctx, &request) {
		return
	}
	answer := s.limiter.Grant(limiter.Target{ID: request.Target, DataCentre: request.DataCentre}, s.decodeLimit(request.Limit))
	s.encode(ctx, messenger.PermitResponse{
		IsGranted: answer.IsGranted, RetryMilliseconds: toMilliseconds(answer.RetryIn), Limit: s.encodeLimit(answer.Limit),
	})
}

// maxMilliseconds bounds the times in messages: a century, which a duration can hold.
const maxMilliseconds = 100 * 365 * 24 * 3600 * 1000.0

func milliseconds(ms float64) time.Duration {
	return time.Duration(min(max(ms, -maxMilliseconds), maxMilliseconds) * float64(time.Millisecond))
}

func toMilliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

// encodeLimit encodes a limit with its age: the clocks of instances cannot be compared.
func (s *Supervisor) encodeLimit(limit limiter.Limit) messenger.TargetLimit {
	return messenger.TargetLimit{
		IsNamed: limit.IsNamed, PerSecond: limit.PerSecond, AgeMilliseconds: toMilliseconds(s.limiter.Now().Sub(limit.SeenAt)),
	}
}

func (s *Supervisor) decodeLimit(in messenger.TargetLimit) limiter.Limit {
	return limiter.Limit{
		IsNamed: in.IsNamed, PerSecond: max(in.PerSecond, 0), SeenAt: s.limiter.Now().Add(-milliseconds(max(in.AgeMilliseconds, 0))),
	}
}

// knownLimit returns the limit to send together with the load of a target; nil if none is
// known.
func (s *Supervisor) knownLimit(target string) *messenger.TargetLimit {
	limit, ok := s.limiter.Limit(target)
	if !ok {
		return nil
	}
	out := s.encodeLimit(limit)
	return &out
}

// receiveLimits records the limits that a peer sends with its load.
func (s *Supervisor) receiveLimits(load messenger.GatewayLoad) {
	for id, target := range load.Targets {
		if target.Limit == nil {
			continue
		}
		if limit := s.decodeLimit(*target.Limit); s.limiter.Observe(id, limit) {
			s.log.Info("limit of target changed", "target", id, "isNamed", limit.IsNamed, "perSecond", limit.PerSecond, "seenBy", load.Instance)
		}
	}
}

// updateLimitMembers passes the instances that share the limits of targets to the limiter.
// Instances of a version that does not take part report no digest.
func (s *Supervisor) updateLimitMembers() {
	live, left := []limiter.Member{}, []string{}
	for _, peer := range s.informer.Peers() {
		status := peer.LastStatus
		switch {
		case status.Leaving:
			left = append(left, status.Instance)
		case status.LimitDigest != 0:
			live = append(live, limiter.Member{Name: status.Instance, DataCentre: status.DataCentre})
		}
	}
	if s.leaving.Load() {
		left = append(left, s.settings.Instance)
	}
	s.limiter.SetMembers(live, left, s.informer.StatusTTL())
	s.updateQuotaMembers(left)
}

// registerLimitMembers passes the rows of the table of instances to the limiter.
func (s *Supervisor) registerLimitMembers(rows []messenger.GatewayInstance) {
	members := []limiter.Member{}
	for _, row := range rows {
		if row.DataCentre != "" {
			members = append(members, limiter.Member{Name: row.Instance, DataCentre: row.DataCentre})
		}
	}
	s.limiter.SetRegistered(members)
	s.registerQuotaMembers(members)
}

// acquireControlPermit returns nil if an order or a question may be sent to a target now: it
// has not asked for quiet, and its limit allows it. The error is foreman.ErrNotAccepted.
// Requests of callers do not ask: the balancer picks no target that wants quiet.
func (s *Supervisor) acquireControlPermit(target *registrar.Target) error {
	if wait := s.balancer.QuietFor(target); wait > 0 {
		return &foreman.QuietError{RetryAfter: wait}
	}
	if err := s.acquirePermit(context.Background(), target); err != nil {
		return errors.Wrap(foreman.ErrNotAccepted, err.Error())
	}
	return nil
}

// sendOrder sends an order to a target, within the limit that the target names.
func (s *Supervisor) sendOrder(target *registrar.Target, order foreman.Order) (done bool, err error) {
	if err := s.acquireControlPermit(target); err != nil {
		return false, err
	}
	done, err = s.platform.Order(target, order)
	s.observeQuiet(target, err)
	return done, err
}

// queryState asks a target for its state, within the limit that the target names.
func (s *Supervisor) queryState(target *registrar.Target) (foreman.State, error) {
	if err := s.acquireControlPermit(target); err != nil {
		return foreman.State{}, err
	}
	state, err := s.platform.State(target)
	s.observeQuiet(target, err)
	return state, err
}

// observeQuiet records that a target asked for quiet in its answer to an order or to a
// question for its state.
func (s *Supervisor) observeQuiet(target *registrar.Target, err error) {
	var quiet *foreman.QuietError
	if errors.As(err, &quiet) {
		s.log.Info("target asks for quiet", "target", target.ID, "milliseconds", s.balancer.AskQuiet(target, quiet.RetryAfter).Milliseconds())
	}
}

// minQuietForCopies is the time of quiet from which models get copies at other targets.
const minQuietForCopies = time.Second

// namedLimit returns the requests a second that a target takes, none while it wants quiet, or
// nil if it has named no limit lately.
func (s *Supervisor) namedLimit(target *registrar.Target) *float64 {
	if s.balancer.QuietFor(target) > minQuietForCopies {
		return new(float64)
	}
	limit, ok := s.limiter.RecentLimit(target.ID)
	if !ok {
		return nil
	}
	return &limit.PerSecond
}

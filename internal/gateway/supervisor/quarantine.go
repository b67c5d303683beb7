package supervisor

import (
	"context"
	"maps"
	"net/http"
	"slices"
	"time"

	"github.com/go-faster/errors"
	"github.com/valyala/fasthttp"

	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/prober"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
	"github.com/crocusring/crocusring/internal/state/ranker"
	"github.com/crocusring/crocusring/internal/wire/messenger"
	"github.com/crocusring/crocusring/internal/wire/poster"
)

const (
	// examinerTimeout bounds a call to an examiner.
	examinerTimeout = 300 * time.Millisecond
	// examinerCount is the number of instances that know the crashes of a service: the
	// examiner, and the one that takes its place.
	examinerCount = 2
)

// errNoExaminer reports that no instance decides on the suspects of a service now.
var errNoExaminer = errors.New("no examiner answers")

// quarantine returns the functions by which the conductor keeps back requests with traits that
// end targets.
func (s *Supervisor) quarantine() conductor.Quarantine {
	return conductor.Quarantine{
		IsEmpty:    s.quarantiner.IsEmpty,
		Arrived:    s.countBearers,
		Check:      func(traits []quarantiner.Trait) (bool, error) { return s.quarantiner.CheckAll(time.Now(), traits) },
		BeginTrial: s.beginTrial,
		EndRun:     s.endRun,
		Lost:       s.examineLoss,
		Silent:     s.noteSilence,
		Refused:    s.countRefused,
	}
}

// examiners returns the instances that examine the requests of a service, in the order in which
// to ask them. All instances that know the same peers agree on them.
func (s *Supervisor) examiners(service string) []examiner {
	incarnations := map[string]int64{}
	if !s.leaving.Load() {
		incarnations[s.settings.Instance] = s.incarnation
	}
	for _, peer := range s.informer.Peers() {
		if !peer.LastStatus.Leaving {
			incarnations[peer.LastStatus.Instance] = peer.LastStatus.Incarnation
		}
	}
	order := ranker.Order(service, slices.Collect(maps.Keys(incarnations)))
	order = order[:min(examinerCount, len(order))]
	out := make([]examiner, 0, len(order))
	for _, name := range order {
		out = append(out, examiner{instance: name, incarnation: incarnations[name]})
	}
	return out
}

// consult passes a message to the examiner of a service, or to the one that takes its place if
// it does not answer, and returns which one has taken it. atSelf is called if that is this
// instance. The error is errNoExaminer.
func (s *Supervisor) consult(service string, atSelf func(), path string, in, out any) (examiner, error) {
	for _, e := range s.examiners(service) {
		if e.instance == s.settings.Instance {
			atSelf()
			return e, nil
		}
		err := s.postToPeer(e.instance, path, in, out)
		if err == nil {
			return e, nil
		}
		s.log.Info("examiner does not answer", "examiner", e.instance, "path", path, "error", err.Error())
	}
	return examiner{}, errNoExaminer
}

// postToPeer sends a message to a live peer by name.
func (s *Supervisor) postToPeer(name, path string, in, out any) error {
	address := s.informer.AddressOf(name)
	if address == "" {
		return errNoExaminer
	}
	return s.poster.Do(poster.Call{
		Method: http.MethodPost, URL: "http://" + address + path, In: in, Out: out, Deadline: time.Now().Add(examinerTimeout),
	})
}

// countBearers counts a request by the parts of its prompt.
func (s *Supervisor) countBearers(service string, parts []string) {
	if len(parts) == 0 {
		return
	}
	s.quarantiner.CountRequest()
	for _, part := range parts {
		s.quarantiner.CountBearer(quarantiner.PartTrait(service, part))
	}
}

// countRefused counts a request that is refused for a verdict.
func (s *Supervisor) countRefused(verdict error) {
	s.measurer.CountEvent(measurer.QuarantineRefused, 1)
	var convicted *quarantiner.ConvictedError
	if errors.As(verdict, &convicted) && convicted.Trait.Kind == quarantiner.Part {
		s.measurer.CountEvent(measurer.QuarantineRefusedForPart, 1)
	}
}

// endRun records that a run has ended that was answered whole, or that was a trial.
func (s *Supervisor) endRun(run conductor.Run, isAnswered bool) {
	now := time.Now()
	isHeld := run.IsHeldAgainst
	if isAnswered {
		s.silences.Heard(incarnationOf(run.Target), now)
		for _, part := range run.Parts {
			s.quarantiner.RememberAnswer(now, quarantiner.PartTrait(run.Service, part))
		}
		isHeld = isHeld || (len(run.Parts) > 0 && !s.quarantiner.IsEmpty() && s.quarantiner.IsAnyHeld(now, run.Traits()))
	}
	if run.IsTrial || (isAnswered && isHeld) {
		go s.endTrial(run, isAnswered)
	}
}

// reportCrash tells the examiner that the target of a run has ended, and takes over what it
// says to that.
func (s *Supervisor) reportCrash(run conductor.Run) {
	place := placeOf(run.Target.ID, run.Target.StartMilliseconds)
	losses := s.quarantiner.Losses(time.Now(), run.Traits(), run.HasBegun)
	report := s.crashReports.add(time.Now(), run.Service, place, messenger.CrashReport{
		Target: run.Target.ID, StartMilliseconds: run.Target.StartMilliseconds, Losses: encodeLosses(losses),
	})
	message := report.message
	message.Verdicts = s.knownVerdicts(traitsOf(losses))
	var answer messenger.GatewayVerdicts
	e, err := s.consult(run.Service, func() { s.receiveCrash(place, decodeLosses(message.Losses)) }, pathCrash, message, &answer)
	if err != nil {
		s.log.Info("crash not reported", "request", run.Request, "target", run.Target.ID, "error", err.Error())
		return
	}
	s.crashReports.markInformed(report, e)
	s.mergeVerdicts(answer.Verdicts)
}

// passOnCrashes passes the reports of this instance on to those that have become examiners since,
// and to the second one of each service.
func (s *Supervisor) passOnCrashes() {
	known := map[string][]examiner{}
	examiners := func(service string) []examiner {
		if known[service] == nil {
			known[service] = s.examiners(service)
		}
		return known[service]
	}
	for e, reports := range s.crashReports.due(time.Now(), examiners) {
		for _, report := range reports {
			if err := s.passOnCrash(e, report); err != nil {
				s.log.V(1).Info("crash not passed on", "target", report.message.Target, "peer", e.instance, "error", err.Error())
				break // the others would wait as long in vain
			}
			s.crashReports.markInformed(report, e)
		}
	}
}

func (s *Supervisor) passOnCrash(e examiner, report crashReport) error {
	if e.instance != s.settings.Instance {
		return s.postToPeer(e.instance, pathCrash, report.message, nil)
	}
	s.acceptCrash(report.place, report.message)
	return nil
}

// acceptCrash records a report as the examiner, or for when this instance becomes one.
func (s *Supervisor) acceptCrash(place quarantiner.Place, report messenger.CrashReport) {
	losses := decodeLosses(report.Losses)
	if report.IsCopy {
		s.quarantiner.KeepCrash(time.Now(), place, losses)
		return
	}
	s.receiveCrash(place, losses)
}

// passOnInterval is the time between two looks for new examiners.
const passOnInterval = 250 * time.Millisecond

func (s *Supervisor) passOnCrashesRegularly(ctx context.Context) {
	every(ctx, passOnInterval, s.passOnCrashes)
}

// receiveCrash records a crash as the examiner, and tells all instances what follows.
func (s *Supervisor) receiveCrash(place quarantiner.Place, losses []quarantiner.Loss) {
	s.quarantiner.ReportCrash(time.Now(), place, losses)
	s.spreadVerdicts()
}

func (s *Supervisor) serveCrash(ctx *fasthttp.RequestCtx) {
	var report messenger.CrashReport
	if !s.decode(ctx, &report) {
		return
	}
	s.mergeVerdicts(report.Verdicts)
	s.acceptCrash(placeOf(report.Target, report.StartMilliseconds), report)
	s.encode(ctx, s.encodeVerdicts(s.quarantiner.VerdictsOn(time.Now(), traitsOf(decodeLosses(report.Losses)))))
}

// beginTrial asks the examiner whether the run of a suspect may begin. The error is
// quarantiner.ErrConvicted or quarantiner.ErrWait.
func (s *Supervisor) beginTrial(_ context.Context, run conductor.Run) error {
	place := placeOf(run.Target.ID, run.Target.StartMilliseconds)
	var own error
	answer := messenger.TrialResponse{IsPermitted: true}
	_, err := s.consult(run.Service, func() { own = s.quarantiner.BeginTrial(time.Now(), run.Traits(), place, trialDeadline(run)) },
		pathTrial, s.trialRequest(run), &answer)
	s.mergeVerdicts(answer.Verdicts)
	switch {
	case err != nil:
		return errors.Wrap(quarantiner.ErrWait, err.Error())
	case own != nil:
		return own
	case !answer.IsPermitted:
		_, err := s.quarantiner.CheckAll(time.Now(), run.Traits())
		if err == nil {
			err = quarantiner.ErrWait
		}
		return err
	}
	return nil
}

// knownVerdicts returns what this instance knows of some traits, for an examiner that does not.
func (s *Supervisor) knownVerdicts(traits []quarantiner.Trait) []messenger.GatewayVerdict {
	return s.encodeVerdicts(s.quarantiner.VerdictsOn(time.Now(), traits)).Verdicts
}

// trialDeadline returns when a trial ends by itself: once it can no longer be known whether a target
// that fell silent has ended.
func trialDeadline(run conductor.Run) time.Time { return run.Deadline.Add(prober.SilenceTTL) }

func (s *Supervisor) trialRequest(run conductor.Run) messenger.TrialRequest {
	return messenger.TrialRequest{
		Traits: encodeTraits(run.Traits()), Target: run.Target.ID, StartMilliseconds: run.Target.StartMilliseconds,
		RemainingMilliseconds: toMilliseconds(time.Until(trialDeadline(run))), Verdicts: s.knownVerdicts(run.Traits()),
	}
}

// endTrial tells the examiner that a run has ended and did not end its target: a trial, or one that
// was answered.
func (s *Supervisor) endTrial(run conductor.Run, isAnswered bool) {
	request := s.trialRequest(run)
	request.IsEnded, request.IsAnswered = true, isAnswered
	place := placeOf(run.Target.ID, run.Target.StartMilliseconds)
	if !run.IsTrial {
		request.Target, place = "", quarantiner.Place{}
	}
	var answer messenger.TrialResponse
	_, err := s.consult(run.Service, func() { s.receiveTrialEnd(trialEnd{run.Traits(), place, isAnswered, time.Now()}) }, pathTrial, request, &answer)
	if err != nil {
		s.log.Info("end of trial not reported", "request", run.Request, "error", err.Error())
		return
	}
	s.mergeVerdicts(answer.Verdicts)
}

// object tells the examiners of verdicts the answers of this instance that speak against them.
func (s *Supervisor) object(verdicts []quarantiner.Verdict) {
	now := time.Now()
	for _, a := range s.quarantiner.Objections(now, verdicts) {
		traits := []quarantiner.Trait{a.Trait}
		request := messenger.TrialRequest{
			Traits: encodeTraits(traits), IsEnded: true, IsAnswered: true, AnsweredMilliseconds: toMilliseconds(now.Sub(a.At)),
			Verdicts: []messenger.GatewayVerdict{},
		}
		go func() {
			end := trialEnd{traits: traits, isAnswered: true, answeredAt: a.At}
			if _, err := s.consult(a.Trait.Service, func() { s.receiveTrialEnd(end) }, pathTrial, request, nil); err != nil {
				s.log.Info("answer not reported", "trait", a.Trait.Label(), "error", err.Error())
			}
		}()
	}
}

// trialEnd is the end of a run that did not end its target. Its place is empty if no trial is meant.
type trialEnd struct {
	traits     []quarantiner.Trait
	place      quarantiner.Place
	isAnswered bool
	answeredAt time.Time
}

func (s *Supervisor) receiveTrialEnd(end trialEnd) {
	now := time.Now()
	s.quarantiner.EndTrial(now, end.traits, end.place)
	if end.isAnswered {
		s.quarantiner.NoteAnswer(now, end.traits, end.answeredAt)
	}
	s.spreadVerdicts()
}

func (s *Supervisor) serveTrial(ctx *fasthttp.RequestCtx) {
	var request messenger.TrialRequest
	if !s.decode(ctx, &request) {
		return
	}
	traits := decodeTraits(request.Traits)
	if len(traits) == 0 {
		ctx.SetStatusCode(fasthttp.StatusBadRequest)
		return
	}
	s.mergeVerdicts(request.Verdicts)
	place := placeOf(request.Target, request.StartMilliseconds)
	now := time.Now()
	answer := messenger.TrialResponse{IsPermitted: true}
	if request.IsEnded {
		answeredAt := now.Add(-max(milliseconds(request.AnsweredMilliseconds), 0))
		s.receiveTrialEnd(trialEnd{traits, place, request.IsAnswered, answeredAt})
	} else {
		remaining := min(milliseconds(request.RemainingMilliseconds), maxTrialTime)
		answer.IsPermitted = s.quarantiner.BeginTrial(now, traits, place, now.Add(remaining)) == nil
	}
	answer.Verdicts = s.knownVerdicts(traits)
	s.encode(ctx, answer)
}

// maxTrialTime bounds the time for which a trial keeps others from running.
const maxTrialTime = time.Minute

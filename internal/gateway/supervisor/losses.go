package supervisor

import (
	"context"
	"strconv"
	"time"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/prober"
	"github.com/crocusring/crocusring/internal/gateway/registrar"
	"github.com/crocusring/crocusring/internal/request/quarantiner"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// maxLossWait is how long a request whose connection was cut waits before it is sent again: to
// learn whether its target has ended, and what the examiner says to that. A process that has
// ended refuses connections within a round trip.
const maxLossWait = 60 * time.Millisecond

// examineLoss finds out whether the target of a run whose connection was cut has ended, and
// reports it to the examiner then. It returns once that is known, or after maxLossWait, and
// reports whether the target is known to have ended.
func (s *Supervisor) examineLoss(ctx context.Context, run conductor.Run) (hasEnded bool) {
	if !s.mayHaveCrashed(run.Target) {
		go s.endLoss(run, measurer.CutTargetLeaving)
		return false
	}
	target := prober.Incarnation{Target: run.Target.ID, StartMilliseconds: run.Target.StartMilliseconds}
	examination := s.prober.Examine(target, run.Target.Address)
	settled := make(chan struct{})
	go func() {
		<-examination.Settled
		if examination.Presence() != connector.Absent {
			close(settled) // the target accepts connections, or cannot be reached
			<-examination.Done
			s.endLoss(run, lossEvents[examination.Presence()])
			return
		}
		s.endLoss(run, measurer.CutTargetEnded)
		close(settled)
	}()
	timer := time.NewTimer(maxLossWait)
	defer timer.Stop()
	select {
	case <-settled:
	case <-timer.C:
	case <-ctx.Done():
	}
	return examination.Presence() == connector.Absent
}

// endLoss counts, logs and reports a run whose connection was cut, by what is known of its target.
func (s *Supervisor) endLoss(run conductor.Run, event measurer.Event) {
	s.measurer.CountEvent(event, 1)
	s.log.Info("connection of request cut", "request", run.Request, "target", run.Target.ID, "born", run.Target.StartMilliseconds,
		"content", run.Content.String(), "parts", run.Parts, "partsAnswered", s.recentlyAnswered(run), "hasBegun", run.HasBegun,
		"sinceSendMilliseconds", time.Since(run.SentAt).Milliseconds(), "found", string(event), "isTrial", run.IsTrial)
	if event == measurer.CutTargetEnded && !run.HasBegun {
		s.measurer.CountEvent(measurer.CutUnanswered, 1)
	}
	switch {
	case event == measurer.CutTargetEnded:
		s.reportCrash(run)
	case run.IsTrial:
		s.endTrial(run, false)
	}
}

// recentlyAnswered returns the parts of a run's prompt for which an answer speaks that this instance
// has relayed.
func (s *Supervisor) recentlyAnswered(run conductor.Run) []string {
	answered := []string{}
	now := time.Now()
	for _, part := range run.Parts {
		if s.quarantiner.HasAnswer(now, quarantiner.PartTrait(run.Service, part)) {
			answered = append(answered, part)
		}
	}
	return answered
}

// mayHaveCrashed reports whether the end of a target says something about the requests that ran
// there: it does not if the target was leaving, or known to be gone.
func (s *Supervisor) mayHaveCrashed(target *registrar.Target) bool {
	known := s.registry.View().Targets[target.ID]
	return known != nil && known.StartMilliseconds == target.StartMilliseconds && !known.Leaving && !s.balancer.IsLeaving(known)
}

// placeOf returns the place of an incarnation of a target in the records of the quarantiner.
func placeOf(target string, startMilliseconds int64) quarantiner.Place {
	return quarantiner.Place{Target: target, Incarnation: strconv.FormatInt(startMilliseconds, 10)}
}

// lossEvents holds the event to count by what the probe of the target showed.
var lossEvents = map[connector.Presence]measurer.Event{
	connector.Absent: measurer.CutTargetEnded, connector.Present: measurer.CutTargetPresent, connector.Unknown: measurer.CutTargetUnknown,
}

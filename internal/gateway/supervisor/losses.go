package supervisor

import (
	"context"
	"strconv"
	"sync"
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
	examination := s.prober.Examine(incarnationOf(run.Target), run.Target.Address)
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

// maxTrialSilence is how long the trial of a suspect goes on behind a run that fell silent. Other
// requests with the same trait wait meanwhile.
const maxTrialSilence = time.Second

// noteSilence keeps a run whose target fell silent until it is known whether the target has ended: a
// later start at the same address shows it. The trial of a suspect goes on until then, for
// maxTrialSilence at most.
func (s *Supervisor) noteSilence(run conductor.Run, since time.Time) {
	endTrial := sync.OnceFunc(func() { s.endTrial(run, false) })
	s.silences.Add(time.Now(), prober.Silence{
		Target: incarnationOf(run.Target), Address: run.Target.Address, Since: since,
		Settled: func(hasEnded bool) {
			switch {
			case hasEnded:
				go s.endLoss(run, measurer.CutTargetEnded)
			case run.IsTrial:
				go endTrial()
			}
		},
	})
	if run.IsTrial {
		time.AfterFunc(maxTrialSilence, endTrial)
	}
	s.observeSilences()
}

// observeSilences settles the runs whose targets have started anew.
func (s *Supervisor) observeSilences() {
	if s.silences.IsEmpty() {
		return
	}
	starts := map[string]int64{}
	targets := s.registry.View().Targets
	for _, t := range targets {
		starts[t.Address] = max(starts[t.Address], t.StartMilliseconds)
	}
	isLeaving := func(i prober.Incarnation) bool {
		return s.balancer.IsLeaving(&registrar.Target{ID: i.Target, StartMilliseconds: i.StartMilliseconds})
	}
	s.silences.Observe(time.Now(), func(address string) int64 { return starts[address] }, isLeaving)
}

func incarnationOf(t *registrar.Target) prober.Incarnation {
	return prober.Incarnation{Target: t.ID, StartMilliseconds: t.StartMilliseconds}
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

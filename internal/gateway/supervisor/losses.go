package supervisor

import (
	"context"
	"time"

	"github.com/crocusring/crocusring/internal/edge/connector"
	"github.com/crocusring/crocusring/internal/gateway/conductor"
	"github.com/crocusring/crocusring/internal/gateway/prober"
	"github.com/crocusring/crocusring/internal/state/measurer"
)

// maxProbeWait is how long a request whose connection was cut waits to learn whether its target
// has ended. A process that has ended refuses connections within a round trip.
const maxProbeWait = 20 * time.Millisecond

// examineLoss finds out whether the target of a request whose connection was cut has ended. It
// returns once that is known, or after maxProbeWait.
func (s *Supervisor) examineLoss(ctx context.Context, loss conductor.Loss) {
	target := prober.Incarnation{Target: loss.Target.ID, StartMilliseconds: loss.Target.StartMilliseconds}
	examination := s.prober.Examine(target, loss.Target.Address)
	go func() {
		<-examination.Done
		s.recordLoss(loss, examination.Presence())
	}()
	timer := time.NewTimer(maxProbeWait)
	defer timer.Stop()
	select {
	case <-examination.Settled:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lossEvents holds the event to count by what the probe of the target showed.
var lossEvents = map[connector.Presence]measurer.Event{
	connector.Absent: measurer.CutTargetEnded, connector.Present: measurer.CutTargetPresent, connector.Unknown: measurer.CutTargetUnknown,
}

// recordLoss logs and counts a request whose connection to a target was cut.
func (s *Supervisor) recordLoss(loss conductor.Loss, presence connector.Presence) {
	event := lossEvents[presence]
	s.measurer.CountEvent(event, 1)
	s.log.Info("connection of request cut", "request", loss.Request, "target", loss.Target.ID, "born", loss.Target.StartMilliseconds,
		"content", loss.Content.String(), "found", string(event))
}

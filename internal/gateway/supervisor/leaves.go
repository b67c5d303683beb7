package supervisor

import (
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// knownLeave returns the announcement of a target that it leaves, to send with its load; nil
// if there is none.
func (s *Supervisor) knownLeave(target string) *messenger.TargetLeave {
	start, deadline, ok := s.balancer.LeaveDeadline(target)
	if !ok {
		return nil
	}
	return &messenger.TargetLeave{StartMilliseconds: int(start), RemainingMilliseconds: toMilliseconds(time.Until(deadline))}
}

// receiveLeaves records the announcements that a peer sends with its load, unless they are of
// another incarnation of the target than the one that this instance knows.
func (s *Supervisor) receiveLeaves(load messenger.GatewayLoad) {
	view := s.registry.View()
	for id, in := range load.Targets {
		target := view.Targets[id]
		if in.Leave == nil || target == nil || target.StartMilliseconds != int64(in.Leave.StartMilliseconds) {
			continue
		}
		if s.balancer.AnnounceLeave(target, time.Now().Add(milliseconds(in.Leave.RemainingMilliseconds))) {
			s.log.Info("target announces that it leaves", "target", id, "born", target.StartMilliseconds,
				"takesRequestsMilliseconds", in.Leave.RemainingMilliseconds, "seenBy", load.Instance)
		}
	}
}

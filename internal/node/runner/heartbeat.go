package runner

import (
	"math"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// minReportedRate is the lowest demand, in requests per second, that a heartbeat reports;
// rates are rounded to multiples of it.
const minReportedRate = 0.001

// heartbeat returns the heartbeat that this instance sends to a peer. Demands make
// up most of it, so they go only to the holder of the control lease, which plans
// with them.
func (n *Node) heartbeat(to string) messenger.Heartbeat {
	now := n.now()
	holder := n.leaser.Holder()
	hb := messenger.Heartbeat{
		Instance: n.self.Instance, Incarnation: n.self.Incarnation, Address: n.settings.Listen,
		StartedAtMilliseconds: n.startedAt.UnixMilli(), Sequence: n.sequence.Add(1),
		DataCentre: n.settings.DataCentre, Revision: n.tree.Revision(), Leaving: n.leaving.Load(),
		InFlight: n.listener.InFlight(), Holder: holder.Holder, Fence: holder.Fence, QuietFence: n.quietFence(),
		Demands: []messenger.Demand{}, Wants: shares(n.sharer.lender.Wants(now, to, *n.needs.Load())), Verdicts: n.quarantiner.Verdicts(now),
		LeavingTargets: leavingTargets(n.fleet.View()),
		RosterNumber:   n.sharer.lender.Roster().Number, RosterAcked: n.sharer.lender.AckedRoster(now),
		Drainings: n.drainings(),
	}
	hb.StoreAgeMilliseconds = n.settingsAge(now)
	if to == holder.Holder {
		hb.Demands = demands(*n.rates.Load())
	}
	return hb
}

// demands returns the rates by model that are high enough to be reported.
func demands(rates map[string]float64) []messenger.Demand {
	list := []messenger.Demand{}
	for model, rate := range rates {
		if rate >= minReportedRate {
			list = append(list, messenger.Demand{Model: model, Rate: math.Round(rate/minReportedRate) * minReportedRate})
		}
	}
	return list
}

// completeAnswer adds to the answer to a heartbeat the loans and rosters for its sender
// and the state of the peers of this instance.
func (n *Node) completeAnswer(asked messenger.Heartbeat, answer *messenger.HeartbeatAnswer) {
	answer.Loans, answer.Rosters = n.lend(asked)
	answer.Peers = n.peerStates(n.now())
}

// leavingTargets returns the targets whose current incarnation was reported as leaving.
func leavingTargets(view *keeper.View) []messenger.LeavingTarget {
	list := []messenger.LeavingTarget{}
	for id, t := range view.Targets {
		if t.IsMarked() {
			list = append(list, messenger.LeavingTarget{Target: id, Incarnation: t.Incarnation, Address: t.Address})
		}
	}
	return list
}

// peerStates returns the state of the peers as this instance last received it, and for
// how long its locate answers that name them remain valid. It reads the state of the peers
// first, so that every locate answer given after the reading of the validity
// already respects that state.
func (n *Node) peerStates(now time.Time) []messenger.PeerNews {
	peers := n.exchanger.Peers()
	for i := range peers {
		left := n.listener.LocatedUntil(peers[i].Instance).Sub(now)
		peers[i].NamedMilliseconds = max(0, left.Milliseconds())
	}
	return peers
}

// onHeartbeatAnswer handles the answer of a peer to a heartbeat that was sent at sentAt.
func (n *Node) onHeartbeatAnswer(answer messenger.HeartbeatAnswer, sentAt time.Time) {
	n.confirmSettings(answer.Heartbeat, sentAt)
	n.drainTracker.recordAnswer(n.now(), n.self.Instance, answer)
	n.borrow(answer, sentAt)
}

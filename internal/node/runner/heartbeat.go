package runner

import (
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// heartbeat returns what this instance tells its peers.
func (n *Node) heartbeat() messenger.Heartbeat {
	now := n.now()
	holder := n.leaser.Holder()
	hb := messenger.Heartbeat{
		Instance: n.home.Instance, Incarnation: n.home.Incarnation, Address: n.settings.Listen,
		StartedAtMilliseconds: n.startedAt.UnixMilli(), Sequence: n.sequence.Add(1),
		DataCentre: n.settings.DataCentre, Revision: n.tree.Revision(), Leaving: n.leaving.Load(),
		InFlight: n.listener.InFlight(), Holder: holder.Holder, Fence: holder.Fence, QuietFence: n.quietFence(),
		Demands: []messenger.Demand{}, Wants: n.wants(), Verdicts: n.quarantiner.Verdicts(now),
		LeavingTargets: leavingTargets(n.fleet.View()), Peers: n.peerNews(now),
		RosterNumber: n.sharer.lender.Roster().Number, RosterAcked: n.sharer.lender.Acked(now),
		Drainings: n.drainings(),
	}
	hb.StoreAgeMilliseconds = n.settingsAge(now)
	for model, rate := range *n.rates.Load() {
		hb.Demands = append(hb.Demands, messenger.Demand{Model: model, Rate: rate})
	}
	return hb
}

// leavingTargets returns the targets whose present incarnation was said to leave.
func leavingTargets(view *keeper.View) []messenger.LeavingTarget {
	list := []messenger.LeavingTarget{}
	for id, t := range view.Targets {
		if t.IsMarked() {
			list = append(list, messenger.LeavingTarget{Target: id, Incarnation: t.Incarnation, Address: t.Address})
		}
	}
	return list
}

// peerNews returns what this instance heard of its peers, and until when its
// locate answers name them. The news are read first: a locate answer that is
// given later takes account of them.
func (n *Node) peerNews(now time.Time) []messenger.PeerNews {
	news := n.exchanger.Peers()
	for i := range news {
		left := n.listener.NamedUntil(news[i].Instance).Sub(now)
		news[i].NamedMilliseconds = max(0, left.Milliseconds())
	}
	return news
}

// answered takes the answer of a peer to a heartbeat that was sent at sentAt.
func (n *Node) answered(answer messenger.HeartbeatAnswer, sentAt time.Time) {
	n.confirm(answer.Heartbeat, sentAt)
	n.drain.hear(n.now(), n.home.Instance, answer.Heartbeat)
	n.borrow(answer, sentAt)
}

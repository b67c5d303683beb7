package runner

import (
	"math"
	"time"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// leastRate is the demand in requests per second that is worth telling.
const leastRate = 0.001

// heartbeat returns what this instance tells a peer. Demands make up most of it
// and are told to the lease holder alone, who plans with them.
func (n *Node) heartbeat(to string) messenger.Heartbeat {
	now := n.now()
	holder := n.leaser.Holder()
	hb := messenger.Heartbeat{
		Instance: n.home.Instance, Incarnation: n.home.Incarnation, Address: n.settings.Listen,
		StartedAtMilliseconds: n.startedAt.UnixMilli(), Sequence: n.sequence.Add(1),
		DataCentre: n.settings.DataCentre, Revision: n.tree.Revision(), Leaving: n.leaving.Load(),
		InFlight: n.listener.InFlight(), Holder: holder.Holder, Fence: holder.Fence, QuietFence: n.quietFence(),
		Demands: []messenger.Demand{}, Wants: shares(n.sharer.lender.Wants(now, to, *n.needs.Load())), Verdicts: n.quarantiner.Verdicts(now),
		LeavingTargets: leavingTargets(n.fleet.View()),
		RosterNumber:   n.sharer.lender.Roster().Number, RosterAcked: n.sharer.lender.Acked(now),
		Drainings: n.drainings(),
	}
	hb.StoreAgeMilliseconds = n.settingsAge(now)
	if to == holder.Holder {
		hb.Demands = demands(*n.rates.Load())
	}
	return hb
}

func demands(rates map[string]float64) []messenger.Demand {
	list := []messenger.Demand{}
	for model, rate := range rates {
		if rate >= leastRate {
			list = append(list, messenger.Demand{Model: model, Rate: math.Round(rate/leastRate) * leastRate})
		}
	}
	return list
}

// complete adds to an answer what the sender of a heartbeat asks for.
func (n *Node) complete(asked messenger.Heartbeat, answer *messenger.HeartbeatAnswer) {
	answer.Loans, answer.Rosters = n.lend(asked)
	answer.Peers = n.peerNews(n.now())
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
	n.drain.hear(n.now(), n.home.Instance, answer)
	n.borrow(answer, sentAt)
}

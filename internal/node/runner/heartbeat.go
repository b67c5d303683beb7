package runner

import (
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
		InFlight: n.listener.InFlight(), Holder: holder.Holder, Fence: holder.Fence,
		Demands: []messenger.Demand{}, Shares: []messenger.Share{}, Verdicts: []messenger.Verdict{},
		LeavingTargets: leavingTargets(n.fleet.View()), Peers: n.exchanger.Peers(),
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

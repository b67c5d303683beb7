package runner

import (
	"maps"
	"slices"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// status returns the state of the system as known to this instance.
func (n *Node) status() messenger.StatusAnswer {
	holder := n.leaser.Holder()
	view := n.fleet.View()
	return messenger.StatusAnswer{
		Instance: n.self.Instance, Incarnation: n.self.Incarnation, Revision: n.tree.Revision(),
		Ready: n.checkReady() == nil, Leaving: n.leaving.Load(), Holder: holder.Holder, Fence: holder.Fence,
		Instances: n.instanceStatuses(view), Targets: targetStatuses(view), Models: n.modelStatuses(view),
	}
}

func (n *Node) instanceStatuses(view *keeper.View) []messenger.InstanceStatus {
	now := n.now()
	list := make([]messenger.InstanceStatus, 0, len(view.Instances))
	for _, id := range slices.Sorted(maps.Keys(view.Instances)) {
		in := view.Instances[id]
		s := messenger.InstanceStatus{
			ID: id, Address: in.Address, DataCentre: in.DataCentre, Leaving: in.Leaving, Revision: in.Revision, AgeMilliseconds: -1,
		}
		if id == n.self.Instance {
			s.Revision = n.tree.Revision()
			s.AgeMilliseconds = 0
		} else if !in.HeartbeatAt.IsZero() {
			s.AgeMilliseconds = now.Sub(in.HeartbeatAt).Milliseconds()
		}
		list = append(list, s)
	}
	return list
}

func targetStatuses(view *keeper.View) []messenger.TargetStatus {
	list := make([]messenger.TargetStatus, 0, len(view.Targets))
	for _, id := range slices.Sorted(maps.Keys(view.Targets)) {
		t := view.Targets[id]
		holdings := make([]string, 0, len(t.Holdings))
		for _, h := range t.Holdings {
			holdings = append(holdings, h.Name.String()+" "+string(h.State))
		}
		list = append(list, messenger.TargetStatus{
			ID: id, Address: t.Address, DataCentre: t.DataCentre, Kind: string(t.Kind), Leaving: t.Leaving,
			MemoryBytes: t.MemoryBytes, CountedBytes: t.UsedBytes, Running: t.Running, Holdings: holdings,
		})
	}
	return list
}

func (n *Node) modelStatuses(view *keeper.View) []messenger.ModelStatus {
	catalog := n.tree.Catalog()
	list := make([]messenger.ModelStatus, 0, len(catalog.Models))
	for _, name := range slices.Sorted(maps.Keys(catalog.Models)) {
		m := catalog.Models[name]
		copies := view.Holders(keeper.Name{Model: m.Name, Version: m.Version})
		list = append(list, messenger.ModelStatus{Name: name, Version: m.Version, Copies: len(copies), Wanted: m.Copies})
	}
	return list
}

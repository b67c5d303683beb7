package runner

import (
	"slices"

	"github.com/crocusring/crocusring/internal/peer/exchanger"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// tickOrders acts as holder of the control lease. The mark is set before the
// lease is looked at; see quietFence.
func (n *Node) tickOrders() error {
	n.ordering.Store(true)
	defer n.ordering.Store(false)
	now := n.now()
	grant, held := n.leaser.Held(now)
	if !held {
		return nil
	}
	return n.orderer.Tick(now, grant)
}

// quietFence returns a fence below which this process sends no order any more,
// or 0 if a tick may be sending. A tick that begins after the mark was seen unset
// holds a grant with the fence that was read before, or a later one.
func (n *Node) quietFence() int64 {
	fence := n.leaser.Holder().Fence
	if n.ordering.Load() {
		return 0
	}
	return fence
}

// drainings returns what this instance drains as the holder of the control lease.
func (n *Node) drainings() []messenger.Draining {
	list := []messenger.Draining{}
	if _, held := n.leaser.Held(n.now()); !held {
		return list
	}
	for id, t := range n.fleet.View().Targets {
		for _, name := range t.Draining {
			list = append(list, messenger.Draining{
				Target: id, Model: name.Model, Adapter: name.Adapter, Version: name.Version,
			})
		}
	}
	return list
}

// tickDrainings takes over what the holder of the control lease drains.
func (n *Node) tickDrainings() error {
	now := n.now()
	if _, held := n.leaser.Held(now); held {
		return nil
	}
	hb, ok := latestHolder(n.exchanger.Heard(now.Add(-peerTrust)))
	if !ok {
		return nil
	}
	byTarget := map[string][]keeper.Name{}
	for _, d := range hb.Drainings {
		name := keeper.Name{Model: d.Model, Adapter: d.Adapter, Version: d.Version}
		byTarget[d.Target] = append(byTarget[d.Target], name)
	}
	for id, t := range n.fleet.View().Targets {
		if names := byTarget[id]; !slices.Equal(names, t.Draining) {
			n.fleet.ChangeTarget(id, func(t *keeper.Target) { t.Draining = names })
		}
	}
	return nil
}

// latestHolder returns the heartbeat of the holder with the highest fence.
func latestHolder(heard []exchanger.Heard) (messenger.Heartbeat, bool) {
	var best messenger.Heartbeat
	for _, h := range heard {
		if h.Heartbeat.Holder == h.Heartbeat.Instance && h.Heartbeat.Fence > best.Fence {
			best = h.Heartbeat
		}
	}
	return best, best.Fence > 0
}

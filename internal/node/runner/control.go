package runner

import (
	"slices"

	"github.com/crocusring/crocusring/internal/peer/exchanger"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

// tickOrders plans and sends load and unload orders while this instance holds the
// control lease. It sets orderTickActive before it reads the lease, which
// quietFence relies on.
func (n *Node) tickOrders() error {
	n.orderTickActive.Store(true)
	defer n.orderTickActive.Store(false)
	now := n.now()
	grant, held := n.leaser.Held(now)
	if !held {
		return nil
	}
	return n.orderer.Tick(now, grant)
}

// quietFence returns a fencing token below which this process no longer sends any
// order, or 0 if a tick may be sending. It reads the fence before orderTickActive:
// a tick that starts after the flag was read as unset holds a grant with that fence
// or a higher one.
func (n *Node) quietFence() int64 {
	fence := n.leaser.Holder().Fence
	if n.orderTickActive.Load() {
		return 0
	}
	return fence
}

// drainings returns the models and adapters that accept no new requests on their
// target because they are to be unloaded. Only the holder of the control lease
// reports any.
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

// tickDrainings copies the drainings that the holder of the control lease reports
// into the target table.
func (n *Node) tickDrainings() error {
	now := n.now()
	if _, held := n.leaser.Held(now); held {
		return nil
	}
	hb, ok := latestHolder(n.exchanger.Received(now.Add(-heartbeatMaxAge)))
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

// latestHolder returns the heartbeat of the instance that reports itself as holder
// of the control lease, the one with the highest fencing token if there are several.
func latestHolder(received []exchanger.Received) (messenger.Heartbeat, bool) {
	var best messenger.Heartbeat
	for _, h := range received {
		if h.Heartbeat.Holder == h.Heartbeat.Instance && h.Heartbeat.Fence > best.Fence {
			best = h.Heartbeat
		}
	}
	return best, best.Fence > 0
}

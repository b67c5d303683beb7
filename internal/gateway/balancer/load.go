package balancer

import (
	"maps"
	"time"
)

// Load is the load that one or more instances put on a target.
type Load struct {
	// InFlight is the number of requests in flight.
	InFlight int
	// Pending is the time that the target needs to read the prompts of the requests that
	// have no answer yet, in milliseconds.
	Pending float64
	// Granted is the number of requests in flight that the allocator AllocatorID has granted.
	Granted     int
	AllocatorID int64
}

// peerLoad is the load that a peer reports: its own, or the sum over a data centre if the
// peer is the first instance there. Sequence numbers increase within an incarnation.
type peerLoad struct {
	incarnation int64
	targets     map[string]reportedLoad
	until       time.Time
}

// reportedLoad is the load at one target, with the sequence number of the report that it
// is from.
type reportedLoad struct {
	Load
	sequence int64
}

// SetPeerLoads stores the loads that a peer reports. If until is set, the report is complete:
// the peer has no load at other targets, and all its loads expire at until. Otherwise it
// is an update of the targets in loads. Reports of an older incarnation or with an older
// sequence number are ignored.
func (b *Balancer) SetPeerLoads(instance string, incarnation, sequence int64, loads map[string]Load, until time.Time) {
	b.mu.Lock()
	defer b.mu.Unlock()
	p, ok := b.peers[instance]
	if ok && incarnation < p.incarnation && b.now().Before(p.until) {
		return
	}
	if !ok || incarnation != p.incarnation {
		p = &peerLoad{incarnation: incarnation, targets: map[string]reportedLoad{}}
		b.peers[instance] = p
	}
	if !until.IsZero() {
		p.until = until
		maps.DeleteFunc(p.targets, func(id string, reported reportedLoad) bool {
			_, isReported := loads[id]
			return !isReported && reported.sequence <= sequence
		})
	}
	for id, load := range loads {
		if sequence >= p.targets[id].sequence {
			p.targets[id] = reportedLoad{Load: load, sequence: sequence}
		}
	}
	b.notifyWaiters()
}

// LocalLoads returns the local load at the targets in ids, or if ids is nil at every target with
// requests in flight and every one of whose leave peers are told, and a sequence number that
// increases with each call.
func (b *Balancer) LocalLoads(ids map[string]bool) (sequence int64, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	loads = map[string]Load{}
	now := b.now()
	for id, l := range b.loads {
		if ids[id] || (ids == nil && (l.InFlight > 0 || l.notice.isLeaveShared(now))) {
			loads[id] = l.withGrants()
		}
	}
	return b.sequence, loads
}

// SumLoads returns the combined load of this instance and some peers at each target where they
// have requests in flight or of whose leave peers are told, and a sequence number that
// increases with each call.
func (b *Balancer) SumLoads(peers []string) (sequence int64, loads map[string]Load) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.sequence++
	loads = map[string]Load{}
	for id, l := range b.loads {
		loads[id] = l.withGrants()
	}
	now := b.now()
	for _, name := range peers {
		p := b.peers[name]
		if p == nil || !now.Before(p.until) {
			continue
		}
		for id, reported := range p.targets {
			loads[id] = loads[id].plus(reported.Load)
		}
	}
	maps.DeleteFunc(loads, func(id string, load Load) bool {
		l := b.loads[id]
		return load.InFlight == 0 && (l == nil || !l.notice.isLeaveShared(now))
	})
	return b.sequence, loads
}

// plus returns the sum of two loads. Of the grants of two allocators it keeps the more numerous
// ones: the others then count like requests without a grant.
func (l Load) plus(other Load) Load {
	sum := Load{InFlight: l.InFlight + other.InFlight, Pending: l.Pending + other.Pending, Granted: l.Granted, AllocatorID: l.AllocatorID}
	switch {
	case other.AllocatorID == l.AllocatorID:
		sum.Granted += other.Granted
	case other.Granted > l.Granted:
		sum.Granted, sum.AllocatorID = other.Granted, other.AllocatorID
	}
	return sum
}

// DiffLoads returns the loads in after that differ from those in before, and a zero load for
// each target that is only in before.
func DiffLoads(before, after map[string]Load) map[string]Load {
	out := map[string]Load{}
	for id, l := range after {
		if before[id] != l {
			out[id] = l
		}
	}
	for id := range before {
		if _, ok := after[id]; !ok {
			out[id] = Load{}
		}
	}
	return out
}

// totalLoad returns the load of all instances at a target. The lock must be held.
func (b *Balancer) totalLoad(id string, now time.Time) Load {
	sum := b.localLoad(id).Load
	for _, p := range b.peers {
		if now.Before(p.until) {
			sum = sum.plus(p.targets[id].Load)
		}
	}
	return sum
}

// notifyWaiters wakes the callers that wait on the channel of CapacityFreed. The lock must be
// held.
func (b *Balancer) notifyWaiters() {
	if !b.hasWaiters {
		return
	}
	b.hasWaiters = false
	close(b.freed)
	b.freed = make(chan struct{})
}

package balancer

import (
	"time"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

// Grant is a slot at a target that an allocator has granted to a request. The load of the target
// then does not keep the request from it: the allocator knows it better.
type Grant struct {
	Target string
	// AllocatorID identifies the incarnation of the allocator; it is never 0.
	AllocatorID int64
	// Release is called when the request has ended, with whether the target failed. It runs with
	// the balancer's lock held, so it must not call the balancer.
	Release func(isFault bool)
}

// Unusable returns the IDs of the targets of a service that a request cannot or should not use,
// whatever their load is. The error is like that of Pick, if none remains.
func (b *Balancer) Unusable(view *registrar.View, r Request) ([]string, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	candidates, err := b.candidates(view, r, now)
	if err != nil {
		b.hasWaiters = true
		return nil, err
	}
	full := &FullError{}
	usable := b.usableTargets(candidates, now, full)
	if len(usable) == 0 {
		b.hasWaiters = true
		return nil, full
	}
	out := []string{}
	for _, t := range view.TargetsOf(r.Service) {
		if usable[t.ID] == nil {
			out = append(out, t.ID)
		}
	}
	return out, nil
}

// usableTargets returns the candidates that accept a request whatever their load is, by ID. Those
// that have announced that they leave count only if there is no other. The lock must be held.
func (b *Balancer) usableTargets(candidates []*registrar.Target, now time.Time, full *FullError) map[string]*registrar.Target {
	typical := b.typicalHealth(candidates, now)
	usable, leaving := map[string]*registrar.Target{}, map[string]*registrar.Target{}
	for _, t := range candidates {
		_, surcharge, isAccepting := b.acceptance(t, typical, now, full)
		switch {
		case !isAccepting:
		case surcharge > 0:
			leaving[t.ID] = t
		default:
			usable[t.ID] = t
		}
	}
	if len(usable) == 0 {
		return leaving
	}
	return usable
}

// InFlightBeside returns the number of requests that all instances have in flight at a target
// and that an allocator has not granted.
func (b *Balancer) InFlightBeside(id string, grantor int64) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	count := 0
	if l := b.loads[id]; l != nil {
		count = l.InFlight - l.grants[grantor]
	}
	for _, p := range b.peers {
		if !now.Before(p.until) {
			continue
		}
		load := p.targets[id].Load
		count += load.InFlight
		if load.AllocatorID == grantor {
			count -= min(load.Granted, load.InFlight)
		}
	}
	return count
}

// reportChange reports that the load of a target has changed, unless by a request with a slot:
// the allocator knows of it, and the others do not choose by themselves. The lock must be held.
func (b *Balancer) reportChange(grant *Grant, id string) {
	if grant == nil {
		b.onLoadChanged(id)
	}
}

// ReportChange has peers told at once what is known of a target.
func (b *Balancer) ReportChange(id string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.onLoadChanged(id)
}

// countGrant counts a request by its allocator. The lock must be held.
func (l *localLoad) countGrant(grant *Grant) {
	if grant == nil {
		return
	}
	if l.grants == nil {
		l.grants = map[int64]int{}
	}
	l.grants[grant.AllocatorID]++
}

// endGrant ends the count of a request, and releases its slot. The lock must be held.
func (l *localLoad) endGrant(grant *Grant, outcome Outcome) {
	if grant == nil {
		return
	}
	l.grants[grant.AllocatorID]--
	if l.grants[grant.AllocatorID] == 0 {
		delete(l.grants, grant.AllocatorID)
	}
	grant.Release(outcome == Failed || outcome == Lost || outcome == Unreached || outcome == Shed)
}

// withGrants returns the load with the grants of the allocator that has granted most. The lock
// must be held.
func (l *localLoad) withGrants() Load {
	out := l.Load
	for grantor, count := range l.grants {
		out = out.plus(Load{Granted: count, AllocatorID: grantor})
	}
	return out
}

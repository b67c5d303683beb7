package balancer

import "time"

// Overlay is a change of what a target holds that the target table may not reflect yet.
// Adapter is empty if the change concerns the model itself.
type Overlay struct {
	Target  string
	Model   string
	Adapter string
	Held    bool
	Since   time.Time
}

// Overlay stores a change unless a later change of the same holding is stored.
func (b *Balancer) Overlay(o Overlay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := overlayKey{o.Target, o.Model, o.Adapter}
	if known, ok := b.overlays[key]; ok && known.since.After(o.Since) {
		return
	}
	b.overlays[key] = overlay{held: o.Held, since: o.Since}
}

// Overlays returns the changes that have not expired.
func (b *Balancer) Overlays() []Overlay {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := []Overlay{}
	for key, o := range b.overlays {
		if o.isCurrent(now) {
			out = append(out, Overlay{Target: key.target, Model: key.model, Adapter: key.adapter, Held: o.held, Since: o.since})
		}
	}
	return out
}

// ResetTarget drops the overlays and the health record of a target that has restarted.
func (b *Balancer) ResetTarget(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.overlays {
		if key.target == target {
			delete(b.overlays, key)
		}
	}
	if l := b.loads[target]; l != nil {
		l.health = health{}
	}
}

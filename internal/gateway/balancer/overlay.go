package balancer

import "time"

// Overlay is a change of what a target holds that the target table may not show
// yet. Adapter is empty for the model itself.
type Overlay struct {
	Target  string
	Model   string
	Adapter string
	Held    bool
	Since   time.Time
}

// Overlay takes a change unless a later one of the same holding is known.
func (b *Balancer) Overlay(o Overlay) {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := overlayKey{o.Target, o.Model, o.Adapter}
	if known, ok := b.overlays[key]; ok && known.since.After(o.Since) {
		return
	}
	b.overlays[key] = overlay{held: o.Held, since: o.Since}
}

// Overlays returns the changes that are still believed.
func (b *Balancer) Overlays() []Overlay {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	out := []Overlay{}
	for key, o := range b.overlays {
		if o.isValid(now) {
			out = append(out, Overlay{Target: key.target, Model: key.model, Adapter: key.adapter, Held: o.held, Since: o.since})
		}
	}
	return out
}

// Forget drops what is known of a target beyond the target table, since it has
// started anew.
func (b *Balancer) Forget(target string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for key := range b.overlays {
		if key.target == target {
			delete(b.overlays, key)
		}
	}
	if l := b.loads[target]; l != nil {
		l.record = record{}
	}
}

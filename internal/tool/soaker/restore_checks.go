package soaker

import (
	"net/http"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// inForceTime is how long after its acknowledgement a manifest must be in force.
	inForceTime = 3 * time.Second
	// rollbackSlack is how long an instance that has shown a version may still act by an older one.
	rollbackSlack = 250 * time.Millisecond
	// tokenSlack is how much later than an order with a higher fencing token one may be carried out.
	// It includes scheduling delays of a busy machine.
	tokenSlack = 900 * time.Millisecond
	// lateOrderTime is how long a disturbed target may hold back an order.
	lateOrderTime = 4 * time.Second
)

// carriedOut is an order that a target carried out.
type carriedOut struct {
	order simulator.Order
	at    time.Time
}

// seenStep is a version of the manifest that an instance has shown to be in force.
type seenStep struct {
	step int
	at   time.Time
}

// manifestHistory holds what is known of the versions of the manifest.
type manifestHistory struct {
	acknowledgedAt map[int]time.Time
	// dueAt is from when a version must be in force.
	dueAt map[int]time.Time
	// seen holds the versions that the present incarnation of an instance has shown.
	seen map[string][]seenStep
}

// restoreHistory holds which instances know what was in the store before a restore.
type restoreHistory struct {
	// open is the number of restores after which the writers have not written again yet.
	open int
	// knowing holds the instances that have been active ever since the first of these began.
	knowing map[string]bool
	// unknown holds the spans in which no instance did. The last one may have no end yet.
	unknown []disturbance
}

// isManifestUnknown reports whether, at a time, instances may go on by the copy that the store came
// back from, since none of them knew more. They have inForceTime to act on what is written again.
func (h *restoreHistory) isManifestUnknown(at time.Time) bool {
	for _, span := range h.unknown {
		if !at.Before(span.from) && (span.until.IsZero() || at.Before(span.until.Add(inForceTime))) {
			return true
		}
	}
	return false
}

// RestoreBegan records that the store goes away, and which instances are active then. Those that have just
// begun may not know much.
func (c *Checker) RestoreBegan(active []string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	h := &c.restores
	h.open++
	if h.open > 1 {
		return
	}
	h.knowing = map[string]bool{}
	for _, instance := range active {
		if c.now().After(c.disturbedAt[instance].Add(inForceTime)) {
			h.knowing[instance] = true
		}
	}
	c.checkKnowing()
}

// RestoreEnded records that the operator and the targets have written again what was lost: at most
// what they had written between two times.
func (c *Checker) RestoreEnded(from, until time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for step, at := range c.manifests.acknowledgedAt {
		if at.After(from) && at.Before(until) {
			c.manifests.dueAt[step] = c.now().Add(inForceTime)
		}
	}
	h := &c.restores
	h.open--
	if last := len(h.unknown) - 1; h.open == 0 && last >= 0 && h.unknown[last].until.IsZero() {
		h.unknown[last].until = c.now()
	}
}

// InstanceEnds records that an instance is killed or told to stop.
func (c *Checker) InstanceEnds(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.forgetRestore(instance)
}

// InstanceRestarted records that the next incarnation of an instance begins.
func (c *Checker) InstanceRestarted(instance string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	delete(c.manifests.seen, instance)
}

// forgetRestore records that an instance may not know what was in the store. The lock must be held.
func (c *Checker) forgetRestore(instance string) {
	delete(c.restores.knowing, instance)
	c.checkKnowing()
}

// checkKnowing begins a span in which no instance knows. The lock must be held.
func (c *Checker) checkKnowing() {
	h := &c.restores
	last := len(h.unknown) - 1
	isInSpan := last >= 0 && h.unknown[last].until.IsZero()
	if h.open > 0 && len(h.knowing) == 0 && !isInSpan {
		h.unknown = append(h.unknown, disturbance{from: c.now()})
	}
}

// StoreRestored records that the store goes away or comes back. Instances may detect cancelled requests
// late from then on, and targets that have just left; those that they know to have left stay so.
func (c *Checker) StoreRestored() {
	c.mu.Lock()
	defer c.mu.Unlock()
	for target, at := range c.leftAt {
		if c.now().Before(at.Add(drainTimeout)) {
			delete(c.leftAt, target)
		}
	}
	clear(c.cancelledAt)
}

// ManifestAcknowledged records that the store has acknowledged a version of the manifest.
func (c *Checker) ManifestAcknowledged(version int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.manifests.acknowledgedAt[version] = c.now()
	c.manifests.dueAt[version] = c.now().Add(inForceTime)
}

// checkManifest checks the answer to a request against the versions of the manifest that are or were
// in force at its instance. The lock must be held.
func (c *Checker) checkManifest(s *sentRequest, a simulator.Answer, isUndisturbed bool) {
	if a.Stamp != "" && s.step > 0 {
		c.noteStep(s)
	}
	if a.Err != nil || a.Stamp != "" || a.Status != http.StatusNotFound {
		return
	}
	if s.step == 0 {
		c.add(RouteLost, "%s refused %s %s, whose route all manifests have", s.instance, s.call.ID, s.call.Path)
		return
	}
	for _, seen := range c.manifests.seen[s.instance] {
		if seen.step >= s.step && s.sentAt.After(seen.at.Add(rollbackSlack)) {
			c.add(RouteLost, "%s refused %s %s, sent %v after it had version %d in force", s.instance, s.call.ID, s.call.Path, s.sentAt.Sub(seen.at), seen.step)
			return
		}
	}
	if due := c.manifests.dueAt[s.step]; isUndisturbed && s.sentAt.After(due) {
		c.add(NotInForce, "%s refused %s %s, sent %v after it had to be in force", s.instance, s.call.ID, s.call.Path, s.sentAt.Sub(due))
	}
}

// noteStep records that the instance that a request was sent to has routed it. The request may be of an
// earlier incarnation. The lock must be held.
func (c *Checker) noteStep(s *sentRequest) {
	if !s.sentAt.After(c.disturbedAt[s.instance]) {
		return
	}
	steps := c.manifests.seen[s.instance]
	for _, seen := range steps {
		if seen.step >= s.step {
			return
		}
	}
	c.manifests.seen[s.instance] = append(steps, seenStep{step: s.step, at: c.now()})
}

// checkToken checks an order that a target carries out against the highest fencing token so far. Orders
// from an instance that was paused or started meanwhile, and those that were held back, do not count.
// The lock must be held.
func (c *Checker) checkToken(o simulator.Order) {
	now := c.now()
	if o.Fence >= c.highest.order.Fence {
		c.highest = carriedOut{order: o, at: now}
		return
	}
	wasDisturbed := now.Before(c.disturbedAt[o.Holder].Add(tokenSlack))
	isLate := now.After(c.highest.at.Add(tokenSlack))
	if isLate && !wasDisturbed && c.targets.isCalm(o.Target, now.Add(-lateOrderTime), now) {
		c.add(OldToken, "%s carried out an order of %s with fencing token %d, later than %s one of %s with %d",
			o.Target, o.Holder, o.Fence, c.highest.order.Target, c.highest.order.Holder, c.highest.order.Fence)
	}
}

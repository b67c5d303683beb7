package soaker

import (
	"time"
)

// disturbanceMargin is how long before and after a disturbance of a target or of the way to
// it answers may be lost.
const disturbanceMargin = time.Second

// disturbance is a span in which answers of a target may be lost on their way.
type disturbance struct {
	from  time.Time
	until time.Time // zero while it lasts
}

// targetHistory holds the disturbances of targets and of the ways to them, by target.
type targetHistory map[string][]*disturbance

// isCalm reports whether nothing disturbed a target from shortly before a span to shortly
// after it.
func (h targetHistory) isCalm(target string, from, until time.Time) bool {
	for _, d := range h[target] {
		endsBefore := !d.until.IsZero() && d.until.Add(disturbanceMargin).Before(from)
		if !endsBefore && d.from.Before(until.Add(disturbanceMargin)) {
			return false
		}
	}
	return true
}

// TargetDisturbed records that a disturbance of a target or of the way to it begins. The
// function that it returns records its end.
func (c *Checker) TargetDisturbed(target string) (end func()) {
	return c.recordDisturbance(target, c.targets)
}

// LinkDisturbed is like TargetDisturbed for a disturbance of the way to a target, which may
// hold back requests and cancellations.
func (c *Checker) LinkDisturbed(target string) (end func()) {
	return c.recordDisturbance(target, c.targets, c.links)
}

func (c *Checker) recordDisturbance(target string, histories ...targetHistory) (end func()) {
	c.mu.Lock()
	defer c.mu.Unlock()
	d := &disturbance{from: c.now()}
	for _, h := range histories {
		h[target] = append(h[target], d)
	}
	return func() {
		c.mu.Lock()
		defer c.mu.Unlock()
		d.until = c.now()
	}
}

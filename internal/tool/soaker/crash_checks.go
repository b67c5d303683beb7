package soaker

import (
	"net/http"
	"time"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// maxEnds is how many targets a request may end while instances are in touch: three, one more
	// for each further caller that sends it at the same moment, and two for trials at whose end
	// other targets end too.
	maxEnds = 3 + (maxCrashingCallers - 1) + 2
	// actedOnEnds is the number of targets that requests with a part may end, contactTime how long
	// instances may take to act on the last of these, and maxLateEnds how many more may end later.
	actedOnEnds = 5
	contactTime = 3 * time.Second
	maxLateEnds = 3
	// deniedSlack and deniedShare bound the requests that may be refused for good by mistake.
	deniedSlack = 5
	deniedShare = 1.0 / 500
)

// MarkCrashing records that the content of a request ends the targets that run it. It must be
// called before the request is sent.
func (c *Checker) MarkCrashing(id string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sentRequest[id].endsTargets = true
}

// TargetEnded records and checks that a target ended by a run, under its content or a part of its
// prompt. Instances that are disturbed may forget what they know, or not hear of it.
func (c *Checker) TargetEnded(run simulator.Run, isUndisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isUndisturbed {
		delete(c.ends, run.Cause)
		return
	}
	c.ends[run.Cause] = append(c.ends[run.Cause], run.Ended)
	ends := c.ends[run.Cause]
	switch {
	case run.Bears(run.Cause) && lateEnds(ends) > maxLateEnds:
		c.add(SentOn, "%d targets ended under the part %s later than %s after the fifth", lateEnds(ends), run.Cause, contactTime)
	case !run.Bears(run.Cause) && len(ends) > maxEnds:
		c.add(SentOn, "%d targets ended under %q", len(ends), run.Cause)
	}
}

// lateEnds returns the number of ends later than contactTime after the fifth.
func lateEnds(ends []time.Time) int {
	if len(ends) < actedOnEnds {
		return 0
	}
	late := 0
	for _, at := range ends {
		if at.After(ends[actedOnEnds-1].Add(contactTime)) {
			late++
		}
	}
	return late
}

// noteDenial counts a request that an instance has refused for good although it ends no targets. For
// routes that not all manifests have see checkManifest.
// The lock must be held.
func (c *Checker) noteDenial(s *sentRequest, a simulator.Answer) {
	isFinal := a.Status >= http.StatusMultipleChoices && a.Status < http.StatusInternalServerError && !isRefusal(a.Status)
	if a.Err == nil && a.Stamp == "" && isFinal && !s.endsTargets && s.step == 0 {
		c.denied++
	}
}

// checkDenials checks the number of these at the end of a soak. The lock must be held.
func (c *Checker) checkDenials() {
	if allowed := deniedSlack + deniedShare*float64(len(c.sentRequest)); float64(c.denied) > allowed {
		c.add(Denied, "%d of %d requests were refused for good, allowed %g", c.denied, len(c.sentRequest), allowed)
	}
}

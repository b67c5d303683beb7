package soaker

import (
	"net/http"

	"github.com/crocusring/crocusring/platform/simulator"
)

const (
	// maxEnds is how many targets a request may end while instances are in touch: three, one more
	// for each further caller that sends it at the same moment, and two for trials at whose end
	// other targets end too.
	maxEnds = 3 + (maxCrashingCallers - 1) + 2
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

// TargetEnded records and checks that a target ended under a content. Instances that are
// disturbed may forget what they know, or not hear of it.
func (c *Checker) TargetEnded(content string, isUndisturbed bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !isUndisturbed {
		delete(c.ends, content)
		return
	}
	c.ends[content]++
	if c.ends[content] > maxEnds {
		c.add(SentOn, "%d targets ended under %q", c.ends[content], content)
	}
}

// noteDenial counts a request that an instance has refused for good although it ends no targets.
// The lock must be held.
func (c *Checker) noteDenial(s *sentRequest, a simulator.Answer) {
	isFinal := a.Status >= http.StatusMultipleChoices && a.Status < http.StatusInternalServerError && !isRefusal(a.Status)
	if a.Err == nil && a.Stamp == "" && isFinal && !s.endsTargets {
		c.denied++
	}
}

// checkDenials checks the number of these at the end of a soak. The lock must be held.
func (c *Checker) checkDenials() {
	if allowed := deniedSlack + deniedShare*float64(len(c.sentRequest)); float64(c.denied) > allowed {
		c.add(Denied, "%d of %d requests were refused for good, allowed %g", c.denied, len(c.sentRequest), allowed)
	}
}

package conductor

import (
	"net/http"
	"time"

	"github.com/go-faster/errors"
)

// errStopping is the reason of a refusal when the instance stops and takes no more requests, or
// when there is no time left in which one could be answered.
var errStopping = errors.New("instance stops")

// stopTimes are the times of a planned stop.
type stopTimes struct {
	// refuseFrom is when the instance begins to refuse new requests.
	refuseFrom time.Time
	// end is when it cuts the requests that have no final answer.
	end time.Time
}

// Stop makes the conductor refuse, as not run, every new request from a time on and each one that
// waits for a target. What has been sent may be sent again if its final answer is due before end.
func (c *Conductor) Stop(refuseFrom, end time.Time) {
	c.stop.Store(&stopTimes{refuseFrom: refuseFrom, end: end})
}

// isRefusing reports whether the instance stops and takes no more requests.
func (c *Conductor) isRefusing() bool {
	stop := c.stop.Load()
	return stop != nil && !c.now().Before(stop.refuseFrom)
}

// checkStop returns errStopping if a request must not be sent, or not again, since the instance
// stops.
func (c *Conductor) checkStop(q *request) error {
	if c.isRefusing() && (q.sent == 0 || q.deadline.After(c.stop.Load().end)) {
		return errStopping
	}
	return nil
}

// stoppingRefusal returns the refusal of a request since the instance stops.
func stoppingRefusal() *Refusal {
	return &Refusal{Status: http.StatusServiceUnavailable, Reason: errStopping.Error(), RetryAfter: shortRetryDelay}
}

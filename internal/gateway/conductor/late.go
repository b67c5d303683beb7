package conductor

import (
	"sync"
	"time"
)

// returns tells the requests that come back, after a refusal, too late to be on time: of
// the time that callers of a route give at first, more than its aim is gone. For them
// nothing is lost by waiting, and a second refusal is their last.
type returns struct {
	mu sync.Mutex
	// longest is the most time that a caller of each route has given.
	longest map[string]time.Duration
}

// isLate reports whether a request of a route whose caller gives it a time is late.
func (r *returns) isLate(route string, given, aim time.Duration) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.longest == nil {
		r.longest = map[string]time.Duration{}
	}
	r.longest[route] = max(r.longest[route], given)
	return aim > 0 && r.longest[route]-given > aim
}

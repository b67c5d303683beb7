// Package limiter keeps the requests to a target within the limit that the target names in
// its answers, and what client accounts use within their quotas, over all instances together
// and whatever their number.
//
// For each target one instance is the granter: the one that all instances of a group prefer
// by rendezvous hashing. An instance that knows a limit sends a request to that target only
// with a permit of its granter, which gives out permits at the rate of the limit. Instances
// can disagree on the granter while one of them starts, stops, freezes or is cut off. So
// each status message of an instance contains a digest of the members that it sees, and a
// granter uses only the share of a limit that the members with the same digest are of all
// members. A member counts for a granter once it has reported the same digest for longer
// than an earlier report of it stays valid anywhere. So it counts for one granter at a time,
// and the shares that are in use add up to one at most.
//
// A quota is kept by several granters (see Quotas). Each instance delegates its share of each
// part of a quota to one granter at a time, by its name and for a limited time, so that the loss
// of other instances changes nothing, and a granter counts what was used in the window.
//
// The package does no I/O: a caller carries permits and statuses between instances.
package limiter

import (
	"maps"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
)

// limitTTL is how long the limit of a target that is gone from the target table is kept: an
// entry can be missing for a while although the target goes on.
const limitTTL = time.Minute

// recentTime is how long after it was seen a limit says what a target takes, for those who
// decide what the target holds: one that holds nothing gets no requests, and no answer of it
// lifts its limit.
const recentTime = 20 * time.Second

// Limit is what a target was last seen to name.
type Limit struct {
	// IsNamed is false if the target names no limit.
	IsNamed bool
	// PerSecond is the number of requests a second from all instances together.
	PerSecond float64
	// SeenAt is when the answer that named it was received. If the target named none it is
	// when the request was sent, since the answer may have been made at any time after that.
	SeenAt time.Time
}

// Target identifies a target.
type Target struct {
	ID         string
	DataCentre string
}

// Limiter is one instance's part in keeping the limits of targets. The zero value is not
// usable; see New.
type Limiter struct {
	self     Member
	cellSize int
	now      func() time.Time

	mu     sync.Mutex
	limits map[string]Limit // by the ID of the target
	// starts holds the start time of the known incarnation of each target, in milliseconds of
	// Unix time.
	starts map[string]int64
	// The remaining fields are those of membership, of the granter and of the asker.
	membership membership
	buckets    map[string]*bucket
	asking     map[string]*askState
}

// Option configures a Limiter in New.
type Option func(*Limiter)

// WithClock sets the clock. It must keep running while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(l *Limiter) { l.now = now } }

// New returns a limiter of the instance self that knows no limit and no other instance. From
// cellSize instances on, those of a data centre form a group of their own.
func New(self Member, cellSize int, options ...Option) *Limiter {
	l := &Limiter{
		self: self, cellSize: cellSize, now: timekeeper.BootTime, limits: map[string]Limit{}, starts: map[string]int64{}, buckets: map[string]*bucket{},
		asking: map[string]*askState{},
	}
	for _, option := range options {
		option(l)
	}
	l.membership = newMembership(l.now())
	l.SetMembers(nil, nil, 0)
	return l
}

// Now returns the time of the clock that all times of this package are read from.
func (l *Limiter) Now() time.Time { return l.now() }

// Observe records what a target names and reports whether that has changed. What was seen
// before the recorded limit is ignored.
func (l *Limiter) Observe(target string, limit Limit) (isChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.observe(target, limit)
}

func (l *Limiter) observe(target string, limit Limit) (isChanged bool) {
	known, ok := l.limits[target]
	if limit.SeenAt.Before(known.SeenAt) || (!ok && !limit.IsNamed) {
		return false
	}
	l.limits[target] = limit
	isChanged = known.IsNamed != limit.IsNamed || known.PerSecond != limit.PerSecond
	if isChanged {
		delete(l.asking, target) // a denial under the earlier limit says nothing about this one
	}
	return isChanged
}

// Limit returns what a target was last seen to name; false if nothing is known.
func (l *Limiter) Limit(target string) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit, ok := l.limits[target]
	return limit, ok
}

// RecentLimit returns the limit that a target names, unless it was last seen long ago.
func (l *Limiter) RecentLimit(target string) (Limit, bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	limit := l.limits[target]
	return limit, limit.IsNamed && l.now().Sub(limit.SeenAt) < recentTime
}

// SetIncarnation sets the start time of a target, in milliseconds of Unix time. A limit that
// an earlier incarnation has named ends.
func (l *Limiter) SetIncarnation(target string, startMilliseconds int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.starts[target]
	l.starts[target] = startMilliseconds
	if ok && known != startMilliseconds && l.limits[target].IsNamed {
		l.observe(target, Limit{SeenAt: l.now()})
	}
}

// Prune drops the state of targets that are gone.
func (l *Limiter) Prune(isKnown func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := l.now()
	for id, limit := range l.limits {
		if !isKnown(id) && now.Sub(limit.SeenAt) > limitTTL {
			delete(l.limits, id)
		}
	}
	for id := range l.starts {
		if _, ok := l.limits[id]; !ok && !isKnown(id) {
			delete(l.starts, id)
		}
	}
	isUnlimited := func(id string) bool { return !l.limits[id].IsNamed }
	maps.DeleteFunc(l.buckets, func(id string, _ *bucket) bool { return isUnlimited(id) })
	maps.DeleteFunc(l.asking, func(id string, _ *askState) bool { return isUnlimited(id) })
}

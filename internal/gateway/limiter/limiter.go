// Package limiter keeps the limits that targets name: how many requests a second a target
// takes from all instances together. The package does no I/O.
package limiter

import (
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/node/timekeeper"
)

// Limit is what a target was last seen to name.
type Limit struct {
	// IsNamed is false if the target names no limit.
	IsNamed bool
	// PerSecond is the number of requests a second from all instances together.
	PerSecond float64
	// SeenAt is when the answer that named it, or that named none, was received or, at the
	// earliest, made.
	SeenAt time.Time
}

// Limiter keeps the limits of targets. The zero value is not usable; see New.
type Limiter struct {
	now func() time.Time

	mu     sync.Mutex
	limits map[string]Limit // by the ID of the target
}

// Option configures a Limiter in New.
type Option func(*Limiter)

// WithClock sets the clock. It must keep running while the machine is suspended.
func WithClock(now func() time.Time) Option { return func(l *Limiter) { l.now = now } }

// New returns a limiter that knows no limit.
func New(options ...Option) *Limiter {
	l := &Limiter{now: timekeeper.BootTime, limits: map[string]Limit{}}
	for _, option := range options {
		option(l)
	}
	return l
}

// Now returns the time of the clock that all times of this package are read from.
func (l *Limiter) Now() time.Time { return l.now() }

// Observe records what a target names and reports whether that has changed. What was seen
// before the recorded limit is ignored.
func (l *Limiter) Observe(target string, limit Limit) (isChanged bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	known, ok := l.limits[target]
	if limit.SeenAt.Before(known.SeenAt) || (!ok && !limit.IsNamed) {
		return false
	}
	l.limits[target] = limit
	return known.IsNamed != limit.IsNamed || known.PerSecond != limit.PerSecond
}

// Limit returns what a target was last seen to name.
func (l *Limiter) Limit(target string) Limit {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.limits[target]
}

// Prune drops the limits of targets that are gone.
func (l *Limiter) Prune(isKnown func(target string) bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for id := range l.limits {
		if !isKnown(id) {
			delete(l.limits, id)
		}
	}
}

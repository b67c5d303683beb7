// Package arbiter decides whether an instance may go on with the settings that
// it has, and whether it may accept changes of them.
//
// An instance may go on while its settings were confirmed less than Limit ago: it
// read the table service, or a peer that holds no newer revision did so. Without
// a confirmation it may go on while it hears most of the listed instances, since
// a change counts as accepted only once most of them have it. A total outage of
// the table service therefore stops nobody, and an instance or a minority that is
// cut off from the others and from the table service stops.
package arbiter

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrNoSettings tells that no settings were read yet.
	ErrNoSettings = errors.New("no settings were read yet")
	// ErrBehind tells that a peer has newer settings.
	ErrBehind = errors.New("a peer has newer settings")
	// ErrIsolated tells that neither the table service nor most instances are reached.
	ErrIsolated = errors.New("neither the table service nor most instances are reached")
)

// Limit is the age of a confirmation up to which an instance relies on it. With
// the time that a verdict may be kept it stays below the 3 s within which an
// accepted configuration is in force.
const Limit = 2500 * time.Millisecond

// Evidence is what an instance knows at one moment.
type Evidence struct {
	Now time.Time
	// Revision is that of the settings in force here, and Highest the highest that
	// a peer told lately.
	Revision int64
	Highest  int64
	// Listed is the number of instances that are listed and do not leave, this one
	// included, and Heard the number of those that were heard lately.
	Listed int
	Heard  int
}

// HearsMost reports whether an instance hears more than half of the listed
// instances, itself included.
func (e Evidence) HearsMost() bool {
	return 2*e.Heard > e.Listed
}

// Arbiter judges the settings of one instance over time.
type Arbiter struct {
	mu          sync.Mutex
	confirmedAt time.Time
	// behindSince is when a peer was first known to have revision behindOf, which
	// this instance has not reached since.
	behindSince time.Time
	behindOf    int64
	// admitted is set once the instance has been allowed to go on.
	admitted bool
}

// New returns an arbiter of an instance that has just started.
func New() *Arbiter {
	return &Arbiter{}
}

// Confirm tells that no revision newer than that of this instance was in the
// table service at a moment.
func (a *Arbiter) Confirm(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// ConfirmedAt returns the moment of the latest confirmation, the zero time if
// there was none.
func (a *Arbiter) ConfirmedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmedAt
}

// Judge returns why the instance must not go on, or nil. An instance that has not
// gone on before must not be behind any peer; later it is given time to catch up.
func (a *Arbiter) Judge(e Evidence) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	isBehind := e.Highest > e.Revision
	if e.Revision >= a.behindOf {
		a.behindOf = e.Highest
		a.behindSince = e.Now
	}
	switch {
	case e.Revision == 0:
		return ErrNoSettings
	case isBehind && (!a.admitted || e.Now.Sub(a.behindSince) >= Limit):
		return ErrBehind
	case e.Now.Sub(a.confirmedAt) >= Limit && !e.HearsMost():
		return ErrIsolated
	}
	a.admitted = true
	return nil
}

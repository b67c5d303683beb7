// Package arbiter decides whether an instance may serve requests with its
// current settings, and whether it may accept changes of them.
//
// An instance may serve if its settings were confirmed less than ConfirmationTTL
// ago. A confirmation means that the instance read the table service, or that a peer
// without a newer revision did. Without a confirmation, an instance may serve
// while it receives heartbeats from a majority of the listed instances, because
// a change counts as accepted only once a majority has it. A total outage of
// the table service therefore stops no instance, whereas an instance or a
// minority that is partitioned from both the others and the table service stops
// serving.
package arbiter

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrNoSettings means that the instance has not read any settings yet.
	ErrNoSettings = errors.New("no settings were read yet")
	// ErrBehind means that a peer has newer settings.
	ErrBehind = errors.New("a peer has newer settings")
	// ErrIsolated means that the instance reaches neither the table service nor
	// a majority of the instances.
	ErrIsolated = errors.New("neither the table service nor most instances are reached")
)

// ConfirmationTTL is the age at which a confirmation expires. It is also how long an
// instance may serve while a peer has newer settings. Together with the time
// for which callers cache a result of Judge, it must stay below 3 s, the time
// within which an accepted change is in force on every serving instance.
const ConfirmationTTL = 2500 * time.Millisecond

// Evidence is what an instance knows about its settings and its peers at the
// time Now.
type Evidence struct {
	Now time.Time
	// Revision is the revision of the settings in force here.
	// HighestPeerRevision is the highest revision that a peer recently reported.
	Revision            int64
	HighestPeerRevision int64
	// Listed is the number of listed instances that are not leaving. Received is
	// the number of those from which a heartbeat was recently received. Both
	// include this instance.
	Listed   int
	Received int
}

// ReachesMajority reports whether heartbeats were recently received from more than
// half of the listed instances. The instance itself counts as one of them.
func (e Evidence) ReachesMajority() bool {
	return 2*e.Received > e.Listed
}

// Arbiter evaluates the evidence of one instance over time. Its methods may be
// called concurrently.
type Arbiter struct {
	mu          sync.Mutex
	confirmedAt time.Time
	// behindSince is when a peer first reported a revision newer than that of
	// this instance, and behindOf is that revision. They are valid only
	// while this instance has not reached it.
	behindSince time.Time
	behindOf    int64
	// admitted is set once Judge has allowed the instance to serve.
	admitted bool
}

// New returns an arbiter for an instance that has just started.
func New() *Arbiter {
	return &Arbiter{}
}

// Confirm records that the table service had no newer revision than this
// instance at the given time.
func (a *Arbiter) Confirm(at time.Time) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if at.After(a.confirmedAt) {
		a.confirmedAt = at
	}
}

// ConfirmedAt returns the time of the latest confirmation, or the zero time if
// there was none.
func (a *Arbiter) ConfirmedAt() time.Time {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.confirmedAt
}

// Judge returns nil if the instance may serve, and otherwise the reason why
// not. Until it has first been allowed to serve, an instance must not be behind
// any peer. After that, it may be behind for less than ConfirmationTTL.
func (a *Arbiter) Judge(e Evidence) error {
	a.mu.Lock()
	defer a.mu.Unlock()
	isBehind := e.HighestPeerRevision > e.Revision
	if e.Revision >= a.behindOf {
		a.behindOf = e.HighestPeerRevision
		a.behindSince = e.Now
	}
	switch {
	case e.Revision == 0:
		return ErrNoSettings
	case isBehind && (!a.admitted || e.Now.Sub(a.behindSince) >= ConfirmationTTL):
		return ErrBehind
	case e.Now.Sub(a.confirmedAt) >= ConfirmationTTL && !e.ReachesMajority():
		return ErrIsolated
	}
	a.admitted = true
	return nil
}

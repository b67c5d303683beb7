// Package quarantiner finds requests that crash the targets that run them, over
// all instances. Requests are told apart by a fingerprint of their content, so
// that a caller's resend, with another ID and at another instance, counts as the
// same one.
//
// All requests that were on a crashed target are suspects. A suspect has one
// owner, the instance that saw the crash; all others refuse it for now. The owner
// runs one copy of it at a time, and no two suspects run on one target. Before
// the owner runs a suspect it announces suspect and target to its peers and waits
// for their answers, and it goes on only if none of them claims either. A second
// crash convicts the suspect. One that gets past the point of its first crash is
// cleared.
//
// The bound: a request crashes two targets at most before it is convicted for
// conviction, whatever the number of resends and instances, if a resend follows
// the end of the send before it and peers answer within the wait for an
// announcement. Copies that are sent at the same time before the first crash are
// not yet suspects and may each crash one target. A suspect that shares its
// target with a request of another instance that crashes targets for the first
// time is blamed in its stead, and one that is on two targets that crash for
// other reasons is convicted as well.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

var (
	// ErrConvicted tells that a request is not run because it crashed targets.
	ErrConvicted = errors.New("request crashes targets")
	// ErrWait tells that a request must wait until a suspect has finished.
	ErrWait = errors.New("another suspect runs")
	// ErrElsewhere tells that another instance examines the request now.
	ErrElsewhere = errors.New("request is being examined at another instance")
)

const (
	convictingCrashes = 2
	suspicion         = 10 * time.Minute
	conviction        = time.Hour
	// clearance is how long peers are told that a suspect was cleared.
	clearance   = 5 * time.Second
	mostRecords = 4096
)

// Fingerprint names a request by its content.
type Fingerprint uint64

// Of returns the fingerprint of a body for a model.
func Of(model string, body []byte) Fingerprint {
	d := xxhash.New()
	_, _ = d.WriteString(model)
	_, _ = d.Write([]byte{0})
	_, _ = d.Write(body)
	return Fingerprint(d.Sum64())
}

// Place is one incarnation of a target.
type Place struct {
	Target      string
	Incarnation string
}

func (p Place) String() string { return p.Target + "/" + p.Incarnation }

// record is what is known about one fingerprint.
type record struct {
	crashes  []string // places, sorted
	forgiven []string // places whose crash the request is cleared of, sorted
	owner    string
	// term is raised by an instance that takes over from an owner that is gone.
	term int
	// target is where the owner runs the suspect, or is about to; empty for none.
	target   string
	deadline time.Time
}

func (r *record) isSuspect() bool   { return len(r.crashes) > 0 }
func (r *record) isConvicted() bool { return len(r.crashes) >= convictingCrashes }

// add counts the crash of a place once.
func (r *record) add(place string, now time.Time) {
	if slices.Contains(r.forgiven, place) || slices.Contains(r.crashes, place) {
		return
	}
	r.crashes = insert(r.crashes, place)
	life := suspicion
	if r.isConvicted() {
		life = conviction
	}
	if deadline := now.Add(life); deadline.After(r.deadline) {
		r.deadline = deadline
	}
}

func insert(sorted []string, s string) []string {
	i, found := slices.BinarySearch(sorted, s)
	if found {
		return sorted
	}
	return slices.Insert(slices.Clone(sorted), i, s)
}

// Quarantiner holds the suspects and the convicted as one instance knows them.
type Quarantiner struct {
	instance string
	// alive reports whether a peer can still examine what it owns.
	alive func(instance string) bool

	mu      sync.Mutex
	records map[Fingerprint]*record
	// blamed names the suspect that a crash is put down to, by place.
	blamed map[string]blame
}

type blame struct {
	fingerprint Fingerprint
	deadline    time.Time
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithAlive sets the function that reports whether a peer is heard. Without it
// every peer counts as heard.
func WithAlive(alive func(instance string) bool) Option {
	return func(q *Quarantiner) { q.alive = alive }
}

// New returns the quarantiner of an instance. It suspects nothing.
func New(instance string, opts ...Option) *Quarantiner {
	q := &Quarantiner{
		instance: instance, alive: func(string) bool { return true },
		records: map[Fingerprint]*record{}, blamed: map[string]blame{},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// find returns the record of a fingerprint that is in force, or nil.
func (q *Quarantiner) find(now time.Time, f Fingerprint) *record {
	r := q.records[f]
	if r == nil || !now.Before(r.deadline) {
		return nil
	}
	return r
}

// Check reports whether a request is a suspect. The error is ErrConvicted or
// ErrElsewhere if it must not run here.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) (suspect bool, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(now, f)
	switch {
	case r == nil || !r.isSuspect():
		return false, nil
	case r.isConvicted():
		return true, ErrConvicted
	case r.owner != q.instance && q.alive(r.owner):
		return true, ErrElsewhere
	}
	return true, nil
}

// Begin claims a target for a request. The error is ErrWait if a suspect is on
// the target, or if another copy of this suspect runs; a request that is no
// suspect may share the target with one if shared is set.
func (q *Quarantiner) Begin(now time.Time, target string, f Fingerprint, shared bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(now, f)
	isSuspect := r != nil && r.isSuspect()
	if (isSuspect || !shared) && q.isTaken(now, target, f) {
		return ErrWait
	}
	if !isSuspect {
		return nil
	}
	if r.target != "" && r.owner == q.instance {
		return ErrWait
	}
	if r.owner != q.instance {
		r.owner = q.instance
		r.term++
	}
	r.target = target
	return nil
}

// isTaken reports whether a suspect other than f is on a target.
func (q *Quarantiner) isTaken(now time.Time, target string, f Fingerprint) bool {
	for other, r := range q.records {
		if other != f && r.target == target && q.inForce(now, r) {
			return true
		}
	}
	return false
}

// inForce reports whether a claim of a target counts.
func (q *Quarantiner) inForce(now time.Time, r *record) bool {
	return now.Before(r.deadline) && (r.owner == q.instance || q.alive(r.owner))
}

// Confirm reports whether a suspect that was claimed and announced may run: no
// peer claimed the suspect or its target with precedence. Of two claims made at
// the same time that of the lower instance ID has it. The claim is given up
// otherwise, and the error is ErrConvicted, ErrElsewhere or ErrWait.
func (q *Quarantiner) Confirm(now time.Time, f Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(now, f)
	switch {
	case r == nil || !r.isSuspect():
		return nil
	case r.owner != q.instance:
		return ErrElsewhere
	case r.isConvicted():
		r.target = ""
		return ErrConvicted
	}
	for other, o := range q.records {
		if other != f && o.target == r.target && o.owner < q.instance && q.inForce(now, o) {
			r.target = ""
			return ErrWait
		}
	}
	return nil
}

// Crashed notes that a place crashed while a request ran on it, before End is
// called for the request, and reports whether that convicts the request. If a
// suspect was there, it alone is blamed.
func (q *Quarantiner) Crashed(now time.Time, place Place, f Fingerprint) (convicted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	if _, known := q.blamed[name]; !known {
		if suspect, found := q.suspectOn(now, place.Target); found {
			q.blamed[name] = blame{fingerprint: suspect, deadline: now.Add(suspicion)}
		}
	}
	if b, known := q.blamed[name]; known && b.fingerprint != f {
		return false
	}
	r := q.find(now, f)
	if r == nil {
		q.prune(now)
		r = &record{owner: q.instance}
		q.records[f] = r
	}
	r.add(name, now)
	return r.isConvicted()
}

// suspectOn returns the suspect that runs on a target. Of several claims only
// that of the lowest owner was confirmed.
func (q *Quarantiner) suspectOn(now time.Time, target string) (suspect Fingerprint, found bool) {
	owner := ""
	for f, r := range q.records {
		if r.target != target || !r.isSuspect() || !q.inForce(now, r) {
			continue
		}
		if !found || r.owner < owner {
			suspect, owner, found = f, r.owner, true
		}
	}
	return suspect, found
}

// End notes that a request no longer runs on a target.
func (q *Quarantiner) End(target string, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[f]; r != nil && r.owner == q.instance && r.target == target {
		r.target = ""
	}
}

// Clear notes that a suspect got past the point of its crash.
func (q *Quarantiner) Clear(now time.Time, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.find(now, f)
	if r == nil || r.isConvicted() || r.owner != q.instance {
		return
	}
	if !r.isSuspect() {
		return
	}
	r.forgive(r.crashes)
	r.target = ""
	r.deadline = now.Add(clearance)
}

func (r *record) forgive(places []string) {
	for _, place := range places {
		r.forgiven = insert(r.forgiven, place)
	}
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(place string) bool {
		return slices.Contains(r.forgiven, place)
	})
}

// prune makes room for a further record.
func (q *Quarantiner) prune(now time.Time) {
	for f, r := range q.records {
		if !now.Before(r.deadline) || len(q.records) >= mostRecords && !r.isSuspect() {
			delete(q.records, f)
		}
	}
	for place, b := range q.blamed {
		if !now.Before(b.deadline) {
			delete(q.blamed, place)
		}
	}
}

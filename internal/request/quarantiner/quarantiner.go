// Package quarantiner finds requests that crash the targets on which they run, and
// refuses them on all instances. It identifies a request by a fingerprint of its
// content, so that a resend by the caller, with another ID and to another instance,
// counts as the same request.
//
// All requests that ran on a target when it crashed become suspects. A suspect has
// one owner, the instance that saw the crash; meanwhile all other instances refuse
// it. The owner runs one copy of the suspect at a time, and no two suspects run on
// one target. Before the owner runs a suspect, it claims a target, announces
// suspect and target to its peers and waits for their answers. It continues only if
// no peer claims either of them. A second crash convicts the suspect, and a
// convicted request is refused for convictionTTL. A suspect that gets past the
// point of its first crash is cleared.
//
// This guarantees that a request crashes at most two targets before it is convicted,
// whatever the number of resends and instances, provided that each resend follows
// the end of the previous send and that peers answer within the timeout of an
// announcement. The guarantee has limits. Copies that are sent at the same time
// before the first crash are not yet suspects and may each crash one target. If a
// suspect shares its target with a request of another instance that crashes a target
// for the first time, the crash is attributed to the suspect instead of that request.
// A suspect that runs on two targets that crash for other reasons is convicted as well.
package quarantiner

import (
	"slices"
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrConvicted reports that a request is refused because it crashed targets.
	ErrConvicted = errors.New("request crashes targets")
	// ErrWait reports that a request must wait until a suspect has finished.
	ErrWait = errors.New("another suspect runs")
	// ErrElsewhere reports that the request is a suspect owned by another instance.
	ErrElsewhere = errors.New("request is being examined at another instance")
)

const (
	// convictingCrashes is the number of crashes that convicts a request.
	convictingCrashes = 2
	// suspectTTL is how long a request remains a suspect after its latest crash.
	suspectTTL = 10 * time.Minute
	// convictionTTL is how long a request remains convicted.
	convictionTTL = time.Hour
	// clearedTTL is how long the verdict that a suspect was cleared is sent to peers.
	clearedTTL = 5 * time.Second
	maxRecords = 4096
)

// Place identifies one incarnation of a target. An incarnation crashes at most once,
// so that a place also identifies a crash.
type Place struct {
	Target      string
	Incarnation string
}

func (p Place) String() string { return p.Target + "/" + p.Incarnation }

// record is the state of one fingerprint.
type record struct {
	crashes        []string // places of the crashes that count against the request, sorted
	clearedCrashes []string // places of the crashes it was cleared of, sorted
	owner          string
	// term increases when another instance replaces an owner that is not alive.
	term int
	// target is the target that the owner has claimed for the suspect; empty for none.
	target   string
	deadline time.Time
}

func (r *record) isSuspect() bool   { return len(r.crashes) > 0 }
func (r *record) isConvicted() bool { return len(r.crashes) >= convictingCrashes }

// addCrash counts the crash of a place, at most once.
func (r *record) addCrash(place string, now time.Time) {
	if slices.Contains(r.clearedCrashes, place) || slices.Contains(r.crashes, place) {
		return
	}
	r.crashes = insertSorted(r.crashes, place)
	ttl := suspectTTL
	if r.isConvicted() {
		ttl = convictionTTL
	}
	if deadline := now.Add(ttl); deadline.After(r.deadline) {
		r.deadline = deadline
	}
}

// insertSorted returns a copy of a sorted slice with s inserted, or the
// slice itself if it contains s.
func insertSorted(sorted []string, s string) []string {
	i, found := slices.BinarySearch(sorted, s)
	if found {
		return sorted
	}
	return slices.Insert(slices.Clone(sorted), i, s)
}

// Quarantiner holds the suspects and convicted requests known to one instance.
type Quarantiner struct {
	instance string
	// alive reports whether a peer is alive. The suspects of one that is not can be
	// taken over.
	alive func(instance string) bool

	mu      sync.Mutex
	records map[Fingerprint]*record
	// attributions holds the suspect that a crash is attributed to, by place.
	attributions map[string]attribution
}

// attribution names the suspect that a crash is attributed to, until a deadline.
type attribution struct {
	fingerprint Fingerprint
	deadline    time.Time
}

// Option configures a Quarantiner.
type Option func(*Quarantiner)

// WithAlive sets the function that reports whether a peer is alive. Without it every
// peer counts as alive.
func WithAlive(alive func(instance string) bool) Option {
	return func(q *Quarantiner) { q.alive = alive }
}

// New returns the quarantiner of an instance, without suspects.
func New(instance string, opts ...Option) *Quarantiner {
	q := &Quarantiner{
		instance: instance, alive: func(string) bool { return true },
		records: map[Fingerprint]*record{}, attributions: map[string]attribution{},
	}
	for _, opt := range opts {
		opt(q)
	}
	return q
}

// activeRecord returns the record of a fingerprint if it has not expired, or nil.
func (q *Quarantiner) activeRecord(now time.Time, f Fingerprint) *record {
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
	r := q.activeRecord(now, f)
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

// Begin claims a target for a request. The error is ErrWait if another suspect runs
// on the target or another copy of this suspect runs. If shared is set, a request
// that is no suspect may share the target with one.
func (q *Quarantiner) Begin(now time.Time, target string, f Fingerprint, shared bool) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, f)
	isSuspect := r != nil && r.isSuspect()
	if (isSuspect || !shared) && q.hasOtherSuspect(now, target, f) {
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

// hasOtherSuspect reports whether a suspect other than f has claimed a target.
func (q *Quarantiner) hasOtherSuspect(now time.Time, target string, f Fingerprint) bool {
	for other, r := range q.records {
		if other != f && r.target == target && q.hasValidClaim(now, r) {
			return true
		}
	}
	return false
}

// hasValidClaim reports whether a claim of a target counts: its record has not
// expired and its owner is alive.
func (q *Quarantiner) hasValidClaim(now time.Time, r *record) bool {
	return now.Before(r.deadline) && (r.owner == q.instance || q.alive(r.owner))
}

// Confirm returns nil if a suspect that was claimed and announced may run, that is,
// if no peer has claimed the suspect or its target with precedence. Of two
// concurrent claims, that of the lower instance ID has precedence. Otherwise the
// claim is released and the error is ErrConvicted, ErrElsewhere or ErrWait.
func (q *Quarantiner) Confirm(now time.Time, f Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, f)
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
		if other != f && o.target == r.target && o.owner < q.instance && q.hasValidClaim(now, o) {
			r.target = ""
			return ErrWait
		}
	}
	return nil
}

// Crashed records that a place crashed while a request ran on it, and reports
// whether the request is now convicted. It must be called before End. If a suspect ran
// on the target, the crash is attributed to the suspect alone.
func (q *Quarantiner) Crashed(now time.Time, place Place, f Fingerprint) (convicted bool) {
	q.mu.Lock()
	defer q.mu.Unlock()
	name := place.String()
	if _, known := q.attributions[name]; !known {
		if suspect, found := q.suspectOn(now, place.Target); found {
			q.attributions[name] = attribution{fingerprint: suspect, deadline: now.Add(suspectTTL)}
		}
	}
	if b, known := q.attributions[name]; known && b.fingerprint != f {
		return false
	}
	r := q.activeRecord(now, f)
	if r == nil {
		q.prune(now)
		r = &record{owner: q.instance}
		q.records[f] = r
	}
	r.addCrash(name, now)
	return r.isConvicted()
}

// suspectOn returns the suspect that runs on a target. If several suspects have
// claimed it, only the one whose owner has the lowest ID was confirmed.
func (q *Quarantiner) suspectOn(now time.Time, target string) (suspect Fingerprint, found bool) {
	owner := ""
	for f, r := range q.records {
		if r.target != target || !r.isSuspect() || !q.hasValidClaim(now, r) {
			continue
		}
		if !found || r.owner < owner {
			suspect, owner, found = f, r.owner, true
		}
	}
	return suspect, found
}

// End records that a request no longer runs on a target.
func (q *Quarantiner) End(target string, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if r := q.records[f]; r != nil && r.owner == q.instance && r.target == target {
		r.target = ""
	}
}

// Clear records that a suspect got past the point of its crash.
func (q *Quarantiner) Clear(now time.Time, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.activeRecord(now, f)
	if r == nil || r.isConvicted() || r.owner != q.instance {
		return
	}
	if !r.isSuspect() {
		return
	}
	r.clearCrashes(r.crashes)
	r.target = ""
	r.deadline = now.Add(clearedTTL)
}

// clearCrashes removes the crashes of places from the record. Later reports of
// them no longer count.
func (r *record) clearCrashes(places []string) {
	for _, place := range places {
		r.clearedCrashes = insertSorted(r.clearedCrashes, place)
	}
	r.crashes = slices.DeleteFunc(slices.Clone(r.crashes), func(place string) bool {
		return slices.Contains(r.clearedCrashes, place)
	})
}

// prune deletes what has expired, and cleared records if there are too many records.
func (q *Quarantiner) prune(now time.Time) {
	for f, r := range q.records {
		if !now.Before(r.deadline) || len(q.records) >= maxRecords && !r.isSuspect() {
			delete(q.records, f)
		}
	}
	for place, b := range q.attributions {
		if !now.Before(b.deadline) {
			delete(q.attributions, place)
		}
	}
}

// Package quarantiner finds requests that crash the targets that run them. All
// requests that were on a crashed target are suspects; a suspect runs apart from
// other suspects, so that a second crash convicts one.
package quarantiner

import (
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"
)

// ErrConvicted tells that a request is not run because it crashed targets.
var ErrConvicted = errors.New("request crashes targets")

// ErrWait tells that a suspect must wait until another suspect has finished.
var ErrWait = errors.New("another suspect runs")

const (
	convictingCrashes = 2
	suspicion         = 10 * time.Minute
	conviction        = time.Hour
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

// record is what is known about one fingerprint.
type record struct {
	crashes  int
	deadline time.Time
}

// Quarantiner holds the suspects and the convicted.
type Quarantiner struct {
	mu      sync.Mutex
	records map[Fingerprint]record
	running map[string]map[Fingerprint]int // by target
}

// New returns a quarantiner that suspects nothing.
func New() *Quarantiner {
	return &Quarantiner{records: map[Fingerprint]record{}, running: map[string]map[Fingerprint]int{}}
}

// Check returns ErrConvicted if a request must not run.
func (q *Quarantiner) Check(now time.Time, f Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	r, ok := q.records[f]
	if !ok {
		return nil
	}
	if now.After(r.deadline) {
		delete(q.records, f)
		return nil
	}
	if r.crashes >= convictingCrashes {
		return ErrConvicted
	}
	return nil
}

// Begin notes that a request runs on a target. The error is ErrWait if the
// request is a suspect and another suspect runs there.
func (q *Quarantiner) Begin(target string, f Fingerprint) error {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.records[f].crashes > 0 {
		for other := range q.running[target] {
			if q.records[other].crashes > 0 {
				return ErrWait
			}
		}
	}
	if q.running[target] == nil {
		q.running[target] = map[Fingerprint]int{}
	}
	q.running[target][f]++
	return nil
}

// End notes that a request no longer runs on a target.
func (q *Quarantiner) End(target string, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running[target][f]--
	if q.running[target][f] <= 0 {
		delete(q.running[target], f)
	}
}

// Crashed notes that a target crashed while a request ran on it, before End is
// called for the request. A suspect among innocents is the one that is blamed.
func (q *Quarantiner) Crashed(now time.Time, target string, f Fingerprint) {
	q.mu.Lock()
	defer q.mu.Unlock()
	r := q.records[f]
	if r.crashes == 0 && q.hasSuspect(target, f) {
		return
	}
	r.crashes++
	r.deadline = now.Add(suspicion)
	if r.crashes >= convictingCrashes {
		r.deadline = now.Add(conviction)
	}
	q.records[f] = r
}

func (q *Quarantiner) hasSuspect(target string, except Fingerprint) bool {
	for f := range q.running[target] {
		if f != except && q.records[f].crashes > 0 {
			return true
		}
	}
	return false
}

package deduper

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrNotKept reports that the request of an entry has run but its recorded answer
	// was dropped to limit memory, or replaced by a later run.
	ErrNotKept = errors.New("answer of keyed request is not kept")
	// ErrWaitedTooLong reports that nothing was added to the record before the
	// deadline of the reader.
	ErrWaitedTooLong = errors.New("keyed request still runs")
)

// Head is the head of a recorded answer.
type Head struct {
	Status      int
	ContentType string
	// IsRefusal is set if the answer is a refusal made by this system.
	IsRefusal bool
}

// Entry is one keyed request at its home. The request may be sent several times with
// the same key: the send that runs it records the answer, and all sends read the
// record from its start, so that each of them gets the whole answer, or an error if
// the record was dropped.
type Entry struct {
	budget      *budget
	counted     int64 // bytes counted by budget, guarded by its mutex
	deadline    time.Time
	digest      Digest
	operationID string

	mu      sync.Mutex
	claimed bool
	hasHead bool
	head    Head
	body    []byte
	ended   bool
	dropped bool
	// repeatable is set if the request failed and may run again. generation counts
	// the runs that followed such failures.
	repeatable bool
	generation int
	// notRunErr is why the request was not run, or nil. A later send may start it
	// again.
	notRunErr error
	// changed is closed and replaced at each change of the record.
	changed chan struct{}
}

// OperationID identifies the claim of this entry. It is unique to the entry.
func (e *Entry) OperationID() string { return e.operationID }

// IsClaimed reports whether the table service binds the key to this home.
func (e *Entry) IsClaimed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimed
}

// SetClaimed records that the table service binds the key to this home.
func (e *Entry) SetClaimed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimed = true
}

// Begin records the head of the answer.
func (e *Entry) Begin(head Head) {
	e.change(func() {
		e.head = head
		e.hasHead = true
	})
}

// Append records a part of the body, unless the record was dropped.
func (e *Entry) Append(part []byte) {
	kept := false
	e.change(func() {
		if e.dropped {
			return
		}
		e.body = append(e.body, part...)
		kept = true
	})
	if kept {
		e.budget.grow(e, len(part))
	}
}

// Answer records a whole answer.
func (e *Entry) Answer(head Head, body []byte) {
	e.Begin(head)
	e.Append(body)
	e.End()
}

// End records that the answer is complete.
func (e *Entry) End() {
	e.change(func() { e.ended = true })
	e.budget.end(e)
}

// drop discards the record. The entry stays, so that its request is not run again.
func (e *Entry) drop() {
	e.change(func() {
		e.dropped = true
		e.body = nil
	})
}

// Fail records that the answer ended incomplete, and whether a later send may run
// the request again.
func (e *Entry) Fail(repeatable bool) {
	e.change(func() { e.repeatable = repeatable })
	e.End()
}

// Refuse records that the request was not run, for the reason err.
func (e *Entry) Refuse(err error) {
	e.change(func() {
		e.ended = true
		e.notRunErr = err
	})
}

// change calls f with the entry locked and wakes up the waiting readers.
func (e *Entry) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	close(e.changed)
	e.changed = make(chan struct{})
}

// restart resets an entry whose request was not run or may be repeated, and reports
// whether it did.
func (e *Entry) restart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notRunErr == nil && !e.repeatable {
		return false
	}
	if e.repeatable {
		e.generation++
		e.hasHead = false
		e.body = nil
		e.dropped = false
		e.repeatable = false
	}
	e.notRunErr = nil
	e.ended = false
	return true
}

func (e *Entry) isEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Reader reads the record of one run of an entry from its start.
type Reader struct {
	entry      *Entry
	generation int
	offset     int // bytes read of the body
}

// Reader returns a reader at the start of the record.
func (e *Entry) Reader() *Reader {
	e.mu.Lock()
	defer e.mu.Unlock()
	return &Reader{entry: e, generation: e.generation}
}

// Head waits for the head of the answer until deadline. The error is the refusal
// of a request that was not run, ErrNotKept or ErrWaitedTooLong.
func (r *Reader) Head(deadline time.Time) (Head, error) {
	e := r.entry
	for {
		e.mu.Lock()
		head, hasHead, refusal, changed := e.head, e.hasHead, e.notRunErr, e.changed
		dropped := e.dropped || e.generation != r.generation
		e.mu.Unlock()
		if refusal != nil {
			return Head{}, refusal
		}
		if dropped {
			return Head{}, ErrNotKept
		}
		if hasHead {
			return head, nil
		}
		if !wait(changed, deadline) {
			return Head{}, ErrWaitedTooLong
		}
	}
}

// Next waits for the next part of the body until deadline. It returns nil at the
// end of the answer. The error is ErrNotKept or ErrWaitedTooLong.
func (r *Reader) Next(deadline time.Time) ([]byte, error) {
	e := r.entry
	for {
		e.mu.Lock()
		if e.dropped || e.generation != r.generation {
			e.mu.Unlock()
			return nil, ErrNotKept
		}
		part, ended, changed := e.body[r.offset:], e.ended, e.changed
		e.mu.Unlock()
		if len(part) > 0 {
			r.offset += len(part)
			return part, nil
		}
		if ended {
			return nil, nil
		}
		if !wait(changed, deadline) {
			return nil, ErrWaitedTooLong
		}
	}
}

// wait waits for a change and reports whether it came before the deadline.
func wait(changed <-chan struct{}, deadline time.Time) bool {
	timer := time.NewTimer(time.Until(deadline))
	defer timer.Stop()
	select {
	case <-changed:
		return true
	case <-timer.C:
		return false
	}
}

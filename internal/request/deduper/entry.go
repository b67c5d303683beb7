package deduper

import (
	"sync"
	"time"

	"github.com/go-faster/errors"
)

var (
	// ErrNotKept tells that the request of an entry ran and that its answer was
	// too large to be kept.
	ErrNotKept = errors.New("answer of keyed request is not kept")
	// ErrWaitedTooLong tells that the record did not go on until the deadline of
	// the reader.
	ErrWaitedTooLong = errors.New("keyed request still runs")
)

// Head is the head of a recorded answer.
type Head struct {
	Status      int
	ContentType string
	// IsRefusal tells that the answer is a refusal of this system.
	IsRefusal bool
}

// Entry is one keyed request at its home. The one who runs the request records
// the answer; all who sent it read the record from its start, so that each gets
// the whole answer.
type Entry struct {
	budget      *budget
	counted     int64 // bytes counted by budget, and guarded by it
	deadline    time.Time
	content     Print
	operationID string

	mu      sync.Mutex
	claimed bool
	begun   bool
	head    Head
	body    []byte
	ended   bool
	dropped bool
	// repeatable tells that the request failed and may run again; generation
	// counts its runs.
	repeatable bool
	generation int
	// notRun holds the refusal of a request that was not run; a further send
	// may start it again.
	notRun  error
	changed chan struct{}
}

// OperationID names the claim of this entry; no other entry has it.
func (e *Entry) OperationID() string { return e.operationID }

// IsClaimed reports whether the table service binds the key to this home.
func (e *Entry) IsClaimed() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.claimed
}

// SetClaimed notes that the table service binds the key to this home.
func (e *Entry) SetClaimed() {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.claimed = true
}

// Begin records the head of the answer.
func (e *Entry) Begin(head Head) {
	e.change(func() {
		e.head = head
		e.begun = true
	})
}

// Append records a part of the body.
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

// drop gives the record up. The entry stays, so that its request is not run again.
func (e *Entry) drop() {
	e.change(func() {
		e.dropped = true
		e.body = nil
	})
}

// Fail records that the answer ends unfinished, and whether a further send may
// run the request again.
func (e *Entry) Fail(repeatable bool) {
	e.change(func() { e.repeatable = repeatable })
	e.End()
}

// Refuse records that the request was not run, for the reason err.
func (e *Entry) Refuse(err error) {
	e.change(func() {
		e.ended = true
		e.notRun = err
	})
}

func (e *Entry) change(f func()) {
	e.mu.Lock()
	defer e.mu.Unlock()
	f()
	close(e.changed)
	e.changed = make(chan struct{})
}

// restart makes an entry whose request was not run, or may run again, ready to
// be run again.
func (e *Entry) restart() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	if e.notRun == nil && !e.repeatable {
		return false
	}
	if e.repeatable {
		e.generation++
		e.begun = false
		e.body = nil
		e.dropped = false
		e.repeatable = false
	}
	e.notRun = nil
	e.ended = false
	return true
}

func (e *Entry) isEnded() bool {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.ended
}

// Reader reads the record of an entry from its start.
type Reader struct {
	entry      *Entry
	generation int
	read       int
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
		head, begun, refusal, changed := e.head, e.begun, e.notRun, e.changed
		dropped := e.dropped || e.generation != r.generation
		e.mu.Unlock()
		if refusal != nil {
			return Head{}, refusal
		}
		if dropped {
			return Head{}, ErrNotKept
		}
		if begun {
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
		part, ended, changed := e.body[r.read:], e.ended, e.changed
		e.mu.Unlock()
		if len(part) > 0 {
			r.read += len(part)
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

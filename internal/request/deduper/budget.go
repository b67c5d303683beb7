package deduper

import "sync"

// budget bounds the total size of the recorded answers of a table. When it is
// exceeded, complete answers are dropped, the earliest first, and then the answer
// that grows. A dropped entry stays in the table; its readers get ErrNotKept.
type budget struct {
	mu    sync.Mutex
	limit int64    // bytes
	bytes int64    // counted for all entries
	ended []*Entry // in the order in which they ended
}

// grow counts n more bytes for an entry and drops answers that exceed the limit.
func (b *budget) grow(e *Entry, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.counted += int64(n)
	b.bytes += int64(n)
	for b.bytes > b.limit && len(b.ended) > 0 {
		oldest := b.ended[0]
		b.ended = b.ended[1:]
		if oldest.counted > 0 {
			b.drop(oldest)
		}
	}
	if b.bytes > b.limit {
		b.drop(e)
	}
}

// end records that the answer of an entry is complete, so that it may be dropped.
func (b *budget) end(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.counted > 0 {
		b.ended = append(b.ended, e)
	}
}

// drop drops the recorded answer of an entry.
func (b *budget) drop(e *Entry) {
	b.bytes -= e.counted
	e.counted = 0
	e.drop()
}

// release stops counting an entry that is removed from the table or run again.
// Readers of a removed entry may continue. Its element of ended is skipped later.
func (b *budget) release(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= e.counted
	e.counted = 0
	for len(b.ended) > 0 && b.ended[0].counted == 0 {
		b.ended = b.ended[1:]
	}
}

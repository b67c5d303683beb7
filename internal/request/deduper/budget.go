package deduper

import "sync"

// budget bounds the bytes of the recorded answers of a table. Where it is
// exceeded, the answers that ended first are dropped, and then the one that
// grows. A dropped entry stays and tells that its answer is not kept.
type budget struct {
	mu    sync.Mutex
	most  int64
	bytes int64
	ended []*Entry // oldest first
}

// grow counts n further bytes of an entry.
func (b *budget) grow(e *Entry, n int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	e.counted += int64(n)
	b.bytes += int64(n)
	for b.bytes > b.most && len(b.ended) > 0 {
		oldest := b.ended[0]
		b.ended = b.ended[1:]
		if oldest.counted > 0 {
			b.drop(oldest)
		}
	}
	if b.bytes > b.most {
		b.drop(e)
	}
}

// end notes that the answer of an entry is complete.
func (b *budget) end(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if e.counted > 0 {
		b.ended = append(b.ended, e)
	}
}

func (b *budget) drop(e *Entry) {
	b.bytes -= e.counted
	e.counted = 0
	e.drop()
}

// release ends the count of an entry that leaves the table. Those who read its
// answer may go on. Its place among the ended ones is skipped later.
func (b *budget) release(e *Entry) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bytes -= e.counted
	e.counted = 0
	for len(b.ended) > 0 && b.ended[0].counted == 0 {
		b.ended = b.ended[1:]
	}
}

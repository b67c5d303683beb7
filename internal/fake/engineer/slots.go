package engineer

import (
	"cmp"
	"slices"
)

// waiter is a request that waits for a slot; granted is closed when it gets one.
type waiter struct {
	priority int
	granted  chan struct{}
}

// acquire waits for a slot. Waiting requests get slots by priority, the highest
// first, and in order of arrival within a priority.
func (e *Engine) acquire(priority int) {
	e.mu.Lock()
	if e.running < e.slots {
		e.running++
		e.mu.Unlock()
		return
	}
	w := &waiter{priority: priority, granted: make(chan struct{})}
	e.waiting = append(e.waiting, w)
	slices.SortStableFunc(e.waiting, func(a, b *waiter) int { return cmp.Compare(b.priority, a.priority) })
	e.mu.Unlock()
	select {
	case <-w.granted:
	case <-e.quit:
	}
}

// release ends a request for model and passes its slot to the first waiter.
func (e *Engine) release(model string) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.requestsByModel[model]--
	if e.requestsByModel[model] == 0 {
		delete(e.requestsByModel, model)
	}
	if len(e.waiting) == 0 {
		e.running--
		return
	}
	close(e.waiting[0].granted)
	e.waiting = e.waiting[1:]
}

// Package scheduler runs the actions of a simulation in virtual time: each at its time, and those
// of the same time in the order in which they were scheduled, so that a run repeats itself.
package scheduler

import (
	"container/heap"
	"time"
)

// Scheduler holds a virtual time and the actions to come. See New. It is for one goroutine.
type Scheduler struct {
	now   time.Time
	queue queue
	count int
}

// New returns a scheduler without actions at a time.
func New(now time.Time) *Scheduler { return &Scheduler{now: now} }

// Now returns the virtual time.
func (s *Scheduler) Now() time.Time { return s.now }

// After schedules an action.
func (s *Scheduler) After(d time.Duration, do func()) {
	s.count++
	heap.Push(&s.queue, action{at: s.now.Add(d), number: s.count, do: do})
}

// Every schedules an action again and again.
func (s *Scheduler) Every(d time.Duration, do func()) {
	s.After(d, func() {
		do()
		s.Every(d, do)
	})
}

// Step moves the time to the next action and runs it; it returns false if there is none.
func (s *Scheduler) Step() bool {
	if len(s.queue) == 0 {
		return false
	}
	next := heap.Pop(&s.queue).(action)
	s.now = next.at
	next.do()
	return true
}

// action is something that happens at a virtual time.
type action struct {
	at     time.Time
	number int
	do     func()
}

// queue is a heap of actions by their times.
type queue []action

func (q queue) Len() int { return len(q) }
func (q queue) Less(a, b int) bool {
	return q[a].at.Before(q[b].at) || (q[a].at.Equal(q[b].at) && q[a].number < q[b].number)
}
func (q queue) Swap(a, b int) { q[a], q[b] = q[b], q[a] }
func (q *queue) Push(x any)   { *q = append(*q, x.(action)) }
func (q *queue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

package platformer

import "sync/atomic"

type requestCounters struct {
	Reads  atomic.Int64
	Writes atomic.Int64
}

// Counts contains the numbers of requests that the table service has received, including
// those refused for their rate.
type Counts struct {
	Reads  int64
	Writes int64
}

// Counts returns the numbers of requests received so far.
func (p *Platform) Counts() Counts {
	return Counts{Reads: p.counts.Reads.Load(), Writes: p.counts.Writes.Load()}
}

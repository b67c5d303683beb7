package platformer

import "sync/atomic"

type counters struct {
	Reads  atomic.Int64
	Writes atomic.Int64
}

// Counts are the requests that the table service has got so far, refused ones
// included.
type Counts struct {
	Reads  int64
	Writes int64
}

// Counts returns the present counts.
func (p *Platform) Counts() Counts {
	return Counts{Reads: p.counts.Reads.Load(), Writes: p.counts.Writes.Load()}
}

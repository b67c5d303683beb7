// Package guarder bounds what uncontrolled clients can take from an instance. A Guard wraps
// listeners: it bounds their connections and the heads of requests, and gives reads of a head
// and writes deadlines that depend on progress. A Budget bounds the memory that is held for
// clients; what is read is charged to it before it is kept.
package guarder

import (
	"sync"
	"time"
)

// Share is a part of a Budget. Each share has a reserve that the others cannot use.
type Share int

const (
	// Control is for the messages of peers, the locator and readiness checks.
	Control Share = iota
	// Reading is for connections, heads and bodies of callers.
	Reading
	// Relaying is for answers that wait for a slow reader.
	Relaying

	shareCount
)

var shareNames = [shareCount]string{Control: "Control", Reading: "Reading", Relaying: "Relaying"}

// Shares returns all shares.
func Shares() []Share { return []Share{Control, Reading, Relaying} }

func (s Share) String() string { return shareNames[s] }

// reservePercents are the reserves of the shares, in hundredths of the budget.
var reservePercents = [shareCount]int64{Control: 15, Reading: 40, Relaying: 15}

const (
	// minEvictAge is how long a hold must have made no progress to be evicted: the pauses of
	// an ordinary sender are shorter.
	minEvictAge = 200 * time.Millisecond
	// minSmallEvictAge is the same for a hold of up to smallBytes beside its connection, such as
	// a head: its end frees little, and a busy machine may not have come to read on.
	minSmallEvictAge = time.Second
	// ProgressBytes is what a hold must grow by to count as making progress, so that single
	// bytes keep no hold from being evicted.
	ProgressBytes = 8 << 10
	// smallBytes is the largest charge that may use the last smallPercent hundredths of the
	// budget, so that long bodies leave room for heads and short bodies.
	smallBytes   = 64 << 10
	smallPercent = 10
)

// Budget is the memory that may be held for clients. It is safe for concurrent use.
type Budget struct {
	limit int64

	mu   sync.Mutex
	used [shareCount]int64
	// ending is the memory of evicted holds that is not released yet.
	ending int64
	holds  map[*Hold]struct{} // those that can be evicted
}

// NewBudget returns a budget of limit bytes.
func NewBudget(limit int64) *Budget {
	return &Budget{limit: limit, holds: map[*Hold]struct{}{}}
}

// Limit returns the bytes of the whole budget.
func (b *Budget) Limit() int64 { return b.limit }

// Used returns the bytes that are charged to a share.
func (b *Budget) Used(s Share) int64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used[s]
}

// room returns the bytes that a share may still be charged.
func (b *Budget) room(s Share) int64 {
	left := b.limit - b.used[s]
	for other := range shareCount {
		if other != s {
			left -= max(b.used[other], b.limit*reservePercents[other]/100)
		}
	}
	return left
}

// needed returns the room that there must be for a charge of n bytes.
func (b *Budget) needed(n int64) int64 {
	if n <= smallBytes {
		return n
	}
	return n + b.limit*smallPercent/100
}

// evictFor evicts the holds of a share that have made no progress for longest, until n bytes
// will be free. Their bytes are free only once they are released. It returns the evicted holds.
func (b *Budget) evictFor(s Share, n int64, now time.Time) []*Hold {
	var out []*Hold
	for b.room(s)+b.ending < n {
		oldest := b.oldest(s, now)
		if oldest == nil {
			return out
		}
		oldest.isEvicted = true
		b.ending += oldest.bytes
		delete(b.holds, oldest)
		out = append(out, oldest)
	}
	return out
}

func (b *Budget) oldest(s Share, now time.Time) *Hold {
	var out *Hold
	for h := range b.holds {
		isOld := !h.isWaiting && now.Sub(h.progressAt) >= h.minEvictAge()
		if h.share == s && isOld && (out == nil || h.progressAt.Before(out.progressAt)) {
			out = h
		}
	}
	return out
}

// Hold is what is held for one connection. The methods of a nil Hold do nothing and refuse
// nothing.
type Hold struct {
	budget *Budget
	share  Share
	// evict makes the owner release the hold. It is called without locks.
	evict func()

	// The budget's mutex guards the rest.
	bytes      int64 // in share
	relayed    int64 // in Relaying
	isEvicted  bool
	isWaiting  bool // for room, not for its client
	progressAt time.Time
	// progressFrom is the value of bytes at progressAt.
	progressFrom int64
}

func (h *Hold) minEvictAge() time.Duration {
	if h.bytes <= connBytes+smallBytes {
		return minSmallEvictAge
	}
	return minEvictAge
}

// Open returns an empty hold in a share. evict is called at most once, if the hold must be
// released for others.
func (b *Budget) Open(s Share, evict func()) *Hold {
	return &Hold{budget: b, share: s, evict: evict}
}

// Add charges n bytes; false if there is no room for them. It evicts holds in that case, so
// that a later attempt may succeed.
func (h *Hold) Add(n int64, now time.Time) bool {
	if h == nil {
		return true
	}
	b := h.budget
	b.mu.Lock()
	if h.isEvicted {
		b.mu.Unlock()
		return false
	}
	needed := b.needed(n)
	if needed <= b.room(h.share) {
		h.charge(n, now)
		b.mu.Unlock()
		return true
	}
	evicted := b.evictFor(h.share, needed, now)
	b.mu.Unlock()
	for _, e := range evicted {
		e.evict()
	}
	return false
}

// Force charges n bytes, also if there is no room for them.
func (h *Hold) Force(n int64, now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.charge(n, now)
}

func (h *Hold) charge(n int64, now time.Time) {
	h.bytes += n
	h.budget.used[h.share] += n
	if h.isEvicted {
		h.budget.ending += n
	}
	if h.progressAt.IsZero() || h.bytes-h.progressFrom >= ProgressBytes {
		h.progressAt, h.progressFrom = now, h.bytes
	}
}

// Relay charges n bytes of an answer to the share Relaying. It cannot be refused, since an
// answer that is ready is delivered.
func (h *Hold) Relay(n int64) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.relayed += n
	h.budget.used[Relaying] += n
}

// Progress records that bytes which are charged already have arrived.
func (h *Hold) Progress(now time.Time) {
	if h == nil {
		return
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.progressAt, h.progressFrom = now, h.bytes
}

// SetEvictable determines whether the hold may be evicted: while its owner waits for a client.
func (h *Hold) SetEvictable(isEvictable bool, now time.Time) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if !isEvictable || h.isEvicted {
		delete(b.holds, h)
		return
	}
	if _, isKnown := b.holds[h]; !isKnown {
		h.progressAt, h.progressFrom = now, h.bytes
		b.holds[h] = struct{}{}
	}
}

// IsEvicted reports whether the hold must be released.
func (h *Hold) IsEvicted() bool {
	if h == nil {
		return false
	}
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	return h.isEvicted
}

// Shrink releases all but keep bytes.
func (h *Hold) Shrink(keep int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if h.isEvicted {
		b.ending -= h.bytes
		h.isEvicted = false
	}
	keep = min(keep, h.bytes)
	b.used[h.share] -= h.bytes - keep
	b.used[Relaying] -= h.relayed
	h.bytes, h.relayed, h.progressFrom = keep, 0, keep
	delete(b.holds, h)
}

// Release returns n of the charged bytes.
func (h *Hold) Release(n int64) {
	if h == nil {
		return
	}
	b := h.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	n = min(n, h.bytes)
	h.bytes -= n
	h.progressFrom = min(h.progressFrom, h.bytes)
	b.used[h.share] -= n
	if h.isEvicted {
		b.ending -= n
	}
}

const (
	// reserveWait is how long Reserve waits for the memory of evicted holds.
	reserveWait     = 300 * time.Millisecond
	reserveInterval = 10 * time.Millisecond
)

// Reserve charges n bytes like Add, but waits a short time for evicted holds to be released.
func (h *Hold) Reserve(n int64) bool {
	if h.Add(n, time.Now()) {
		return true
	}
	h.setWaiting(true)
	defer h.setWaiting(false)
	until := time.Now().Add(reserveWait)
	for now := time.Now(); now.Before(until); now = time.Now() {
		if h.Add(n, now) {
			return true
		}
		if h.IsEvicted() {
			return false
		}
		time.Sleep(reserveInterval)
	}
	return false
}

func (h *Hold) setWaiting(isWaiting bool) {
	h.budget.mu.Lock()
	defer h.budget.mu.Unlock()
	h.isWaiting = isWaiting
	h.progressAt = time.Now()
}

package quarantiner

import (
	"hash/maphash"
	"math/bits"
	"sync"
	"time"
)

const (
	// answerAge is how long a whole answer speaks for a shared trait: a target that ends before it, or
	// within this time after it, says nothing against the trait.
	answerAge = 3 * time.Second
	// trafficBuckets is the number of buckets by hash, and bucketSlots the number of traits that each
	// remembers.
	trafficBuckets = 2048
	bucketSlots    = 4
	// epochRequests is the number of requests after which the counts of their traits start anew.
	epochRequests = 128
	// commonShare is the share of the latest requests above which a trait is common.
	commonShare = 0.5
)

// traffic remembers how many of the latest requests of this instance bore a shared trait, and when
// one of them was last answered whole. It has a fixed size: a trait may take the place of a less
// frequent one, which is then forgotten.
type traffic struct {
	// seed keeps callers from naming traits that take one another's place.
	seed maphash.Seed

	mu       sync.Mutex
	requests int
	buckets  [trafficBuckets][bucketSlots]trafficSlot
}

// trafficSlot is what is remembered of one trait.
type trafficSlot struct {
	hash uint64
	// answeredAt is in Unix nanoseconds; 0 for never.
	answeredAt int64
	// epoch numbers the epoch of bearers, and previous counts those of the epoch before.
	epoch             int
	bearers, previous int32
}

func newTraffic() *traffic { return &traffic{seed: maphash.MakeSeed()} }

func (f *traffic) hash(t Trait) uint64 {
	kind, service := maphash.String(f.seed, string(t.Kind)), maphash.String(f.seed, t.Service)
	return maphash.String(f.seed, t.Name) ^ bits.RotateLeft64(service, 21) ^ bits.RotateLeft64(kind, 42)
}

// slot returns the slot of a trait, empty if it was another one's. The lock must be held.
func (f *traffic) slot(t Trait) *trafficSlot {
	hash := f.hash(t)
	bucket := &f.buckets[hash%trafficBuckets]
	least := &bucket[0]
	for n := range bucket {
		s := &bucket[n]
		if s.hash == hash {
			return s
		}
		s.turn(f.epoch())
		if s.isLessUseful(least) {
			least = s
		}
	}
	*least = trafficSlot{hash: hash, epoch: f.epoch()}
	return least
}

// known returns a copy of the slot of a trait, empty if there is none. The lock must be held.
func (f *traffic) known(t Trait) trafficSlot {
	hash := f.hash(t)
	for _, s := range f.buckets[hash%trafficBuckets] {
		if s.hash == hash {
			return s
		}
	}
	return trafficSlot{}
}

// isLessUseful reports whether a slot is to be given up before another one of the same epoch.
func (s *trafficSlot) isLessUseful(other *trafficSlot) bool {
	if count, others := s.bearers+s.previous, other.bearers+other.previous; count != others {
		return count < others
	}
	return s.answeredAt < other.answeredAt
}

func (f *traffic) countRequest() {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.requests++
}

// countBearer counts the latest request as one with a trait.
func (f *traffic) countBearer(t Trait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.slot(t)
	s.turn(f.epoch())
	s.bearers++
}

func (f *traffic) epoch() int { return f.requests / epochRequests }

// turn moves the counts of a slot to an epoch.
func (s *trafficSlot) turn(epoch int) {
	switch s.epoch {
	case epoch:
		return
	case epoch - 1:
		s.previous = s.bearers
	default:
		s.previous = 0
	}
	s.epoch, s.bearers = epoch, 0
}

// isCommon reports whether most of the latest requests bore a trait, or whether there were none.
func (f *traffic) isCommon(t Trait) bool {
	if !t.isShared() {
		return false
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.known(t)
	s.turn(f.epoch())
	total := min(f.requests, f.requests%epochRequests+epochRequests)
	return total == 0 || float64(s.bearers+s.previous) > commonShare*float64(total)
}

// noteAnswer records that a request with a trait was answered whole at a time.
func (f *traffic) noteAnswer(at time.Time, t Trait) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.slot(t)
	s.answeredAt = max(s.answeredAt, at.UnixNano())
}

// lastAnswer returns when a request with a trait was last answered whole; false if that is not
// known.
func (f *traffic) lastAnswer(t Trait) (at time.Time, known bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	s := f.known(t)
	return time.Unix(0, s.answeredAt), s.answeredAt != 0
}

// speaksFor reports whether an answer speaks for a trait when a target ends at a time.
func (f *traffic) speaksFor(t Trait, endedAt time.Time) bool {
	if !t.isShared() {
		return false
	}
	at, known := f.lastAnswer(t)
	return known && endedAt.Before(at.Add(answerAge))
}

// CountRequest counts a request, whose shared traits CountBearer is called for next.
func (q *Quarantiner) CountRequest() { q.traffic.countRequest() }

// CountBearer counts the latest request as one with a shared trait.
func (q *Quarantiner) CountBearer(t Trait) { q.traffic.countBearer(t) }

// RememberAnswer records that this instance has relayed a whole answer to a request with a shared
// trait. Nothing follows from it until a target ends under the trait.
func (q *Quarantiner) RememberAnswer(now time.Time, t Trait) { q.traffic.noteAnswer(now, t) }

// LastAnswer returns when a request with a shared trait was last answered whole; false if that is
// not known.
func (q *Quarantiner) LastAnswer(t Trait) (at time.Time, known bool) { return q.traffic.lastAnswer(t) }

// HasAnswer reports whether an answer speaks for a shared trait now.
func (q *Quarantiner) HasAnswer(now time.Time, t Trait) bool { return q.traffic.speaksFor(t, now) }

// Losses returns what this instance has to report of a request that was lost with its target: those
// of its traits for which no answer speaks.
func (q *Quarantiner) Losses(now time.Time, traits []Trait, hasBegun bool) []Loss {
	out := make([]Loss, 0, len(traits))
	for _, t := range traits {
		if !q.traffic.speaksFor(t, now) {
			out = append(out, Loss{Trait: t, HasBegun: hasBegun})
		}
	}
	return out
}

// Answer is the last whole answer to a request with a trait.
type Answer struct {
	Trait Trait
	At    time.Time
}

// Objections returns the answers of this instance that speak against verdicts of an examiner.
func (q *Quarantiner) Objections(now time.Time, verdicts []Verdict) []Answer {
	out := []Answer{}
	for _, v := range verdicts {
		if !v.Trait.isShared() || v.Name(now) == stateCleared {
			continue
		}
		if at, known := q.traffic.lastAnswer(v.Trait); known && at.After(v.FirstCrash.Add(-answerAge)) {
			out = append(out, Answer{Trait: v.Trait, At: at})
		}
	}
	return out
}

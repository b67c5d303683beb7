package quarantiner

import (
	"hash/maphash"
	"math/bits"
	"sync"
	"time"
)

// answerSlots is the number of traits whose last answers are remembered.
const answerSlots = 8192

// Answers remembers when requests with a trait were last answered whole by this instance. It has
// a fixed size: a trait may take the place of another one, which is then forgotten.
type Answers struct {
	// seed keeps callers from naming traits that take one another's place.
	seed maphash.Seed

	mu    sync.Mutex
	slots [answerSlots]answerSlot
}

type answerSlot struct {
	hash uint64
	// at is in Unix nanoseconds.
	at int64
}

// NewAnswers returns a table without answers.
func NewAnswers() *Answers { return &Answers{seed: maphash.MakeSeed()} }

func (a *Answers) hash(t Trait) uint64 {
	if t.Kind == Content {
		return maphash.Bytes(a.seed, t.Fingerprint[:])
	}
	kind, service := maphash.String(a.seed, string(t.Kind)), maphash.String(a.seed, t.Service)
	return maphash.String(a.seed, t.Name) ^ bits.RotateLeft64(service, 21) ^ bits.RotateLeft64(kind, 42)
}

// Note records that a request with a trait was answered whole.
func (a *Answers) Note(now time.Time, t Trait) {
	hash := a.hash(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	a.slots[hash%answerSlots] = answerSlot{hash: hash, at: now.UnixNano()}
}

// Last returns when a request with a trait was last answered whole; false if that is not known.
func (a *Answers) Last(t Trait) (at time.Time, known bool) {
	hash := a.hash(t)
	a.mu.Lock()
	defer a.mu.Unlock()
	slot := a.slots[hash%answerSlots]
	if slot.at == 0 || slot.hash != hash {
		return time.Time{}, false
	}
	return time.Unix(0, slot.at), true
}

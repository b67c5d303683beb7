package balancer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const (
	// plainQueue is the number of requests for each slot of a target without
	// models, those that wait at it included.
	plainQueue = 3
	// queueShare is the share of the slots of an engine that may wait at it: a slot is
	// free again within a few tens of milliseconds, and its own queue knows when.
	queueShare = 0.15
	// cacheShare is the share of the token memory of a target that requests may
	// be sent for; what is left takes the error of the estimates.
	cacheShare = 0.9
	// affinityBand is the share of the slots by which the load of a target may
	// exceed the least one for the sake of prompts that it has read already.
	affinityBand = 0.08
)

// FullError is ErrFull with how many targets were passed over, by reason.
type FullError struct {
	// Slots, Prompts and Memory count the targets without a place in their batch,
	// with too many prompts to read, and without token memory for the request.
	Slots   int
	Prompts int
	Memory  int
	// Resting counts the targets that are left alone for their faults or silence.
	Resting int
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%v: %d without a slot, %d with prompts to read, %d without memory, %d resting",
		ErrFull, e.Slots, e.Prompts, e.Memory, e.Resting)
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// choose returns the candidate with the least cost, or one near it that shares
// prompts with the request; nil and why if all are full.
func (b *Balancer) choose(candidates []*registrar.Target, service *registrar.Service, r Request, now time.Time) (*registrar.Target, *FullError) {
	costs := make([]float64, len(candidates))
	least := -1.0
	typical := b.typical(candidates, now)
	full := &FullError{}
	for i, t := range candidates {
		costs[i] = b.cost(t, service, r, typical, now, full)
		if costs[i] >= 0 && (least < 0 || costs[i] < least) {
			least = costs[i]
		}
	}
	if least < 0 {
		return nil, full
	}
	band := least
	affinity := r.Affinity
	if affinity != 0 {
		band += affinityBand
	} else {
		// Instances must not all fill the same one of several equal targets first.
		affinity = b.random()
	}
	var best *registrar.Target
	var bestRank uint64
	for i, t := range candidates {
		if costs[i] < 0 || costs[i] > band {
			continue
		}
		if rank := rankOf(t.ID, affinity); best == nil || rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best, nil
}

// rankOf orders targets for what requests share; all instances agree on it.
func rankOf(id string, affinity uint64) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// cost says how badly a target suits a request; negative if it takes none, which is
// counted in full. For a target without models it is the share of the slots that are
// taken, for an engine the time that the prompts before it take, with a little for
// the batch. It is raised for targets that do worse than their siblings.
func (b *Balancer) cost(t *registrar.Target, service *registrar.Service, r Request, typical record, now time.Time, full *FullError) float64 {
	l := b.load(t.ID)
	penalty, out := l.record.penalty(typical, now)
	if out || l.isSilent(typical, now) {
		full.Resting++
		return -1
	}
	total := b.total(t.ID, now)
	slots := max(t.Slots, 1)
	share := float64(total.InFlight+1) / float64(slots)
	if service.Engine == nil {
		if total.InFlight >= slots*plainQueue {
			full.Slots++
			return -1
		}
		return share * penalty
	}
	own := b.pace(r.Model) * float64(r.Prompt)
	isCrowded := total.Pending > 0 && r.Pause > 0 && total.Pending+own > pendingShare*r.Pause
	switch {
	case total.InFlight >= slots+int(queueShare*float64(slots)):
		full.Slots++
		return -1
	case isCrowded:
		full.Prompts++
		return -1
	case b.overflows(t, service, r, total):
		full.Memory++
		return -1
	}
	return ((total.Pending+own)/pendingScale + share) * penalty
}

// isSilent reports whether a request has waited for its first byte so long that the
// target is likely dark. No error shows that until the deadline of the request.
func (l *load) isSilent(typical record, now time.Time) bool {
	limit := max(silentAfter, time.Duration(silentFactor*typical.first*float64(time.Second)))
	for ticket := range l.unanswered {
		if now.Sub(ticket.since) > limit {
			return true
		}
	}
	return false
}

const (
	// silentAfter is the least time without a first byte that makes a target silent,
	// and silentFactor how many times the usual one it takes besides.
	silentAfter  = 700 * time.Millisecond
	silentFactor = 5.0
	// pendingShare is the share of the longest pause that is on time which the
	// prompts that a target has yet to read may take: while it reads them, the
	// streams that it has pause.
	pendingShare = 0.75
	// pendingScale is the pending time that weighs as much as a full batch, in
	// milliseconds.
	pendingScale = 200.0
)

// overflows reports whether a request would not fit the token memory of a target.
// What peers have there is taken to be like this instance's requests.
func (b *Balancer) overflows(t *registrar.Target, service *registrar.Service, r Request, total Load) bool {
	if total.InFlight == 0 {
		return false
	}
	l := b.load(t.ID)
	mean := defaultTokens
	if l.InFlight > 0 {
		mean = l.tokens / l.InFlight
	}
	tokens := l.tokens + mean*(total.InFlight-l.InFlight)
	return float64(tokens+r.Tokens) > cacheShare*float64(service.Engine.CacheTokens)
}

// defaultTokens is the size of a request of which nothing is known.
const defaultTokens = 1500

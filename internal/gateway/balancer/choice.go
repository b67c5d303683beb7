package balancer

import (
	"encoding/binary"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

const (
	// plainRequestsPerSlot is the limit of requests for each slot of a target without
	// models, including those that wait in the target's own queue.
	plainRequestsPerSlot = 3
	// engineQueueShare is how many requests may wait in the queue of an engine, as a share
	// of its slots. A slot becomes free within a few tens of milliseconds, and the engine's
	// own queue fills it without delay.
	engineQueueShare = 0.15
	// usableCacheShare is the share of a target's token memory that requests may be sent
	// for; the rest absorbs the error of the estimates.
	usableCacheShare = 0.9
	// affinityLoadMargin is how much the cost of a target may exceed the lowest cost, as a
	// share of its slots, so that requests return to a target that has already read their
	// prompt.
	affinityLoadMargin = 0.08
)

// FullError is an ErrFull that counts the rejected targets by reason.
type FullError struct {
	// Slots, Prompts and Memory count the targets without a free slot in their batch, with
	// too many prompts still to read, and without token memory for the request.
	Slots   int
	Prompts int
	Memory  int
	// Unhealthy counts the targets that are excluded because of faults or missing answers.
	Unhealthy int
	// Limited counts the targets whose limit is used up, Quiet those that want no requests for
	// a while, and BlockedFor is the time until the first of both takes a request again.
	Limited    int
	Quiet      int
	BlockedFor time.Duration
}

func (e *FullError) Error() string {
	return fmt.Sprintf("%v: %d without a slot, %d with prompts to read, %d without memory, %d resting, %d at their limit, %d that asked for quiet",
		ErrFull, e.Slots, e.Prompts, e.Memory, e.Unhealthy, e.Limited, e.Quiet)
}

// IsBlocked reports whether only what targets announced, a limit or a time of quiet, stands
// against the request: no slot that becomes free helps then.
func (e *FullError) IsBlocked() bool {
	return e.Limited+e.Quiet > 0 && e.Slots+e.Prompts+e.Memory == 0
}

// addBlocked takes into account that a target takes no request for a time.
func (e *FullError) addBlocked(wait time.Duration) {
	if e.BlockedFor == 0 || wait < e.BlockedFor {
		e.BlockedFor = wait
	}
}

// Is reports whether target is ErrFull.
func (e *FullError) Is(target error) bool { return target == ErrFull }

// choose returns the candidate with the lowest cost, or one of similar cost that has
// likely read the shared prompt of the request; nil and the reasons if all are full. A request
// with a slot gets the target of the slot, or none.
func (b *Balancer) choose(candidates []*registrar.Target, service *registrar.Service, r Request, now time.Time) (*registrar.Target, *FullError) {
	full := &FullError{}
	if r.Grant != nil {
		return b.usableTargets(candidates, now, full)[r.Grant.Target], full
	}
	costs := make([]float64, len(candidates))
	minCost := -1.0
	typicalHealth := b.typicalHealth(candidates, now)
	for i, t := range candidates {
		costs[i] = b.cost(t, service, r, typicalHealth, now, full)
		if costs[i] >= 0 && (minCost < 0 || costs[i] < minCost) {
			minCost = costs[i]
		}
	}
	if minCost < 0 {
		return nil, full
	}
	maxCost := minCost
	affinity := r.Affinity
	if affinity != 0 {
		maxCost += affinityLoadMargin
	} else {
		// A random key keeps instances from all filling the same one of several equal targets.
		affinity = b.random()
	}
	var best *registrar.Target
	var bestRank uint64
	for i, t := range candidates {
		if costs[i] < 0 || costs[i] > maxCost {
			continue
		}
		if rank := rankOf(t.ID, affinity); best == nil || rank > bestRank {
			best, bestRank = t, rank
		}
	}
	return best, nil
}

// rankOf orders targets by rendezvous hashing, so that all instances prefer the same
// target for the same affinity.
func rankOf(id string, affinity uint64) uint64 {
	var seed [8]byte
	binary.LittleEndian.PutUint64(seed[:], affinity)
	d := xxhash.New()
	_, _ = d.Write(seed[:])
	_, _ = d.WriteString(id)
	return d.Sum64()
}

// cost returns how unsuitable a target is for a request. It is negative if the target
// accepts no request now; the reason is then counted in full. For a target without models
// the cost is the share of its slots in use. For an engine it is the time to read the
// pending prompts, plus the share of slots in use. Targets that perform worse than the
// other candidates get a higher cost.
func (b *Balancer) cost(t *registrar.Target, service *registrar.Service, r Request, typical health, now time.Time, full *FullError) float64 {
	penalty, surcharge, isAccepting := b.acceptance(t, typical, now, full)
	if !isAccepting {
		return -1
	}
	totalLoad := b.totalLoad(t.ID, now)
	slots := max(t.Slots, 1)
	share := float64(totalLoad.InFlight+1) / float64(slots)
	if r.IsHedge && (totalLoad.InFlight >= slots || penalty > 1 || surcharge > 0) {
		full.Slots++
		return -1
	}
	if service.Engine == nil {
		if totalLoad.InFlight >= slots*plainRequestsPerSlot {
			full.Slots++
			return -1
		}
		return share*penalty + surcharge
	}
	readMillis := b.speeds.atUsual(r.Model) * float64(r.PromptTokens)
	isCrowded := totalLoad.Pending > 0 && r.MaxEventGapMilliseconds > 0 && totalLoad.Pending+readMillis > maxPendingGapShare*r.MaxEventGapMilliseconds
	switch {
	case totalLoad.InFlight >= slots+int(engineQueueShare*float64(slots)):
		full.Slots++
		return -1
	case isCrowded:
		full.Prompts++
		return -1
	case b.exceedsCache(t, service, r, totalLoad):
		full.Memory++
		return -1
	}
	return ((totalLoad.Pending+readMillis)/pendingMillisPerFullBatch+share)*b.speeds.slowness(t.ID)*penalty + surcharge
}

// acceptance reports whether a target accepts a request whatever its load is; the reason why
// not is counted in full. It returns the factor and the surcharge of its cost.
func (b *Balancer) acceptance(t *registrar.Target, typical health, now time.Time, full *FullError) (penalty, surcharge float64, isAccepting bool) {
	l := b.localLoad(t.ID)
	penalty, isExcluded := l.health.penalty(typical, now)
	if isExcluded || l.isUnresponsive(typical, now) {
		full.Unhealthy++
		return 0, 0, false
	}
	notice := l.noticeOf(t)
	if wait := notice.pace.QuietFor(now); wait > 0 {
		full.Quiet++
		full.addBlocked(wait)
		return 0, 0, false
	}
	if wait := b.blockedFor(t.ID); wait > 0 {
		full.Limited++
		full.addBlocked(wait)
		return 0, 0, false
	}
	if notice.pace.IsReturnBlocked() {
		full.Slots++
		return 0, 0, false
	}
	if notice.isLeaving() {
		surcharge = leavingCost
	}
	return penalty, surcharge, true
}

// isUnresponsive reports whether some request has waited so long for its first byte that
// the target has probably stopped responding. No error would show this before the deadline
// of the request.
func (l *localLoad) isUnresponsive(typical health, now time.Time) bool {
	limit := max(minUnresponsiveTime, time.Duration(unresponsiveFactor*typical.firstByteSeconds*float64(time.Second)))
	for ticket := range l.unanswered {
		if now.Sub(ticket.chosenAt) > limit {
			return true
		}
	}
	return false
}

const (
	// minUnresponsiveTime is the least time without a first byte after which a target
	// counts as unresponsive. The time must also exceed unresponsiveFactor times the median
	// time to the first byte.
	minUnresponsiveTime = 700 * time.Millisecond
	unresponsiveFactor  = 5.0
	// maxPendingGapShare is the share of the longest permitted event gap that reading the
	// pending prompts of a target may take: its running streams pause while it reads
	// prompts.
	maxPendingGapShare = 0.75
	// pendingMillisPerFullBatch is the pending time, in milliseconds, that costs as much as
	// a full batch.
	pendingMillisPerFullBatch = 200.0
)

// exceedsCache reports whether a request would not fit into the token memory of a target.
// The requests of peers are assumed to be of the same mean size as those of this instance.
func (b *Balancer) exceedsCache(t *registrar.Target, service *registrar.Service, r Request, total Load) bool {
	if total.InFlight == 0 {
		return false
	}
	l := b.localLoad(t.ID)
	mean := defaultRequestTokens
	if l.InFlight > 0 {
		mean = l.tokens / l.InFlight
	}
	tokens := l.tokens + mean*(total.InFlight-l.InFlight)
	return float64(tokens+r.Tokens) > usableCacheShare*float64(service.Engine.CacheTokens)
}

// defaultRequestTokens is the assumed size of the peers' requests if this instance has
// none in flight at the target.
const defaultRequestTokens = 1500

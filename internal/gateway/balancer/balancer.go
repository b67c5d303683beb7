// Package balancer chooses the target of a request among those that could run it.
// It counts what this instance has in flight at each target, adds what its peers
// say of theirs, and judges targets by how their answers compare with those of
// their siblings. It answers uneven load and targets that fail behind a good
// health check; it does no input or output.
package balancer

import (
	"encoding/binary"
	"fmt"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

var (
	// ErrNoTarget tells that no target of the service takes requests.
	ErrNoTarget = errors.New("no target of the service takes requests")
	// ErrNoModel tells that no target holds the model.
	ErrNoModel = errors.New("no target holds the model")
	// ErrNoAdapter tells that no target that holds the model holds the adapter.
	ErrNoAdapter = errors.New("no target holds the adapter")
	// ErrFull tells that every target that could run the request has enough to do.
	ErrFull = errors.New("every target is full")
)

const (
	// heldLife and goneLife are how long it is believed, beyond the target table, that
	// something is held or gone. The table tells within two seconds, or some more
	// when the store carries out writes late; what is taken for held wrongly costs a
	// refusal, what is taken for gone wrongly leaves a target unused.
	heldLife = 8 * time.Second
	goneLife = 4 * time.Second
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

// Request is what the choice depends on.
type Request struct {
	Service string
	// Model and Adapter are empty where the request names none.
	Model   string
	Adapter string
	// Prompt is the number of tokens that the target must read first.
	Prompt int
	// Tokens is the memory that the request will take, in tokens.
	Tokens int
	// Pause is the longest pause between events for which a stream is on time, in
	// milliseconds; 0 if that does not matter.
	Pause float64
	// Affinity names what the request shares with others; 0 for nothing.
	Affinity uint64
	// Excluded targets have failed the request already.
	Excluded map[string]bool
}

// Balancer chooses targets. The zero value is not usable; see New.
type Balancer struct {
	now    func() time.Time
	random func() uint64

	mu       sync.Mutex
	loads    map[string]*load
	peers    map[string]*peerLoad
	overlays map[overlayKey]overlay
	// paces holds the time that a token of a prompt takes, by model.
	paces    map[string]float64
	sequence int64
	// freed is closed and replaced when a request ends while others wait.
	freed   chan struct{}
	waiting bool
	// changed is told of each target whose load has changed here.
	changed func(target string)
}

// load is what this instance knows of a target from its own requests.
type load struct {
	Load
	tokens int
	record record
	// unanswered are the requests that have no byte of an answer yet.
	unanswered map[*Ticket]bool
}

type overlayKey struct {
	target, model, adapter string
}

type overlay struct {
	held  bool
	since time.Time
}

func (o overlay) isValid(now time.Time) bool {
	if o.held {
		return now.Sub(o.since) < heldLife
	}
	return now.Sub(o.since) < goneLife
}

// Option changes a balancer at its construction.
type Option func(*Balancer)

// WithClock sets the clock.
func WithClock(now func() time.Time) Option { return func(b *Balancer) { b.now = now } }

// WithChanged sets what is told of each target whose load has changed here. It
// must not call the balancer.
func WithChanged(changed func(target string)) Option {
	return func(b *Balancer) { b.changed = changed }
}

// New returns a balancer that knows of no load.
func New(options ...Option) *Balancer {
	b := &Balancer{
		now: time.Now, random: rand.Uint64, loads: map[string]*load{}, peers: map[string]*peerLoad{}, overlays: map[overlayKey]overlay{},
		paces: map[string]float64{}, freed: make(chan struct{}), changed: func(string) {},
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Pick chooses a target and counts the request there until Ticket.End. The error
// is one of those of the package.
func (b *Balancer) Pick(view *registrar.View, r Request) (*Ticket, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	service := view.Service(r.Service)
	if service == nil {
		return nil, ErrNoTarget
	}
	candidates, err := b.candidates(view, r, now)
	if err != nil {
		return nil, err
	}
	best, full := b.choose(candidates, service, r, now)
	if best == nil {
		b.waiting = true
		return nil, full
	}
	ticket := &Ticket{
		Target: best, balancer: b, request: r, since: now, pending: b.pace(r.Model) * float64(r.Prompt),
		isAlone: b.total(best.ID, now).Pending == 0,
	}
	l := b.load(best.ID)
	l.InFlight++
	l.Pending += ticket.pending
	l.tokens += r.Tokens
	l.unanswered[ticket] = true
	b.changed(best.ID)
	return ticket, nil
}

// candidates returns the targets that hold what the request needs.
func (b *Balancer) candidates(view *registrar.View, r Request, now time.Time) ([]*registrar.Target, error) {
	out := []*registrar.Target{}
	reason := ErrNoTarget
	for _, t := range view.TargetsOf(r.Service) {
		if t.Leaving || r.Excluded[t.ID] {
			continue
		}
		if r.Model == "" {
			out = append(out, t)
			continue
		}
		if !b.holds(t, r.Model, "", now) {
			reason = worse(reason, ErrNoModel)
			continue
		}
		if r.Adapter != "" && !b.holds(t, r.Model, r.Adapter, now) {
			reason = worse(reason, ErrNoAdapter)
			continue
		}
		out = append(out, t)
	}
	if len(out) == 0 {
		return nil, reason
	}
	return out, nil
}

// worse returns the reason that says more of why there is no target.
func worse(a, b error) error {
	if errors.Is(a, ErrNoAdapter) || errors.Is(b, ErrNoAdapter) {
		return ErrNoAdapter
	}
	return b
}

// holds reports whether a target holds a model, or an adapter of it, by the target
// table and what is known beyond it.
func (b *Balancer) holds(t *registrar.Target, model, adapter string, now time.Time) bool {
	if o, ok := b.overlays[overlayKey{t.ID, model, adapter}]; ok && o.isValid(now) {
		return o.held
	}
	holding, ok := t.Holding(model)
	return ok && (adapter == "" || holding.Has(adapter))
}

// Holds reports whether a target holds a model, or with an adapter named that one.
func (b *Balancer) Holds(t *registrar.Target, model, adapter string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holds(t, model, adapter, b.now())
}

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

func (b *Balancer) load(id string) *load {
	l := b.loads[id]
	if l == nil {
		l = &load{unanswered: map[*Ticket]bool{}}
		b.loads[id] = l
	}
	return l
}

// TotalInFlight returns the requests of all instances at a target.
func (b *Balancer) TotalInFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.total(id, b.now()).InFlight
}

// Freed returns a channel that is closed when a request ends.
func (b *Balancer) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.waiting = true
	return b.freed
}

// Prune forgets targets that are gone and news that is old.
func (b *Balancer) Prune(view *registrar.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, l := range b.loads {
		if view.Targets[id] == nil && l.InFlight == 0 {
			delete(b.loads, id)
		}
	}
	for key, o := range b.overlays {
		if !o.isValid(now) {
			delete(b.overlays, key)
		}
	}
	for name, p := range b.peers {
		if !now.Before(p.until) {
			delete(b.peers, name)
		}
	}
}

// Package balancer chooses the target of a request among those that can serve it. It
// counts the requests that this instance has in flight at each target, adds the counts
// that its peers report, and compares the answers of each target with those of the other
// targets of the service. It thereby handles uneven load, and targets that fail although
// their health check passes. It does no I/O.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/go-faster/errors"

	"github.com/crocusring/crocusring/internal/gateway/registrar"
)

var (
	// ErrNoTarget means that no target of the service accepts requests.
	ErrNoTarget = errors.New("no target of the service takes requests")
	// ErrNoModel means that no target holds the model.
	ErrNoModel = errors.New("no target holds the model")
	// ErrNoAdapter means that no target that holds the model also holds the adapter.
	ErrNoAdapter = errors.New("no target holds the adapter")
	// ErrFull means that every target that could serve the request is at capacity.
	ErrFull = errors.New("every target is full")
)

const (
	// heldOverlayTTL and notHeldOverlayTTL are how long an overlay takes precedence over
	// the target table. The table reflects a change within two seconds, or somewhat later
	// when the store is slow to write. A holding wrongly assumed present costs one refusal;
	// a holding wrongly assumed absent leaves a target unused, so the second time is
	// shorter.
	heldOverlayTTL    = 8 * time.Second
	notHeldOverlayTTL = 4 * time.Second
)

// Request describes a request as far as the choice of its target depends on it.
type Request struct {
	Service string
	// Model and Adapter are empty where the request names none.
	Model   string
	Adapter string
	// PromptTokens is the number of prompt tokens that the target must read before it answers.
	PromptTokens int
	// Tokens is the token memory (KV cache) that the request will use, in tokens.
	Tokens int
	// MaxEventGapMilliseconds is the longest gap between two events of a stream that
	// still counts as on time, in milliseconds; 0 if there is no such limit.
	MaxEventGapMilliseconds float64
	// Affinity identifies what the request shares with other requests, such as a prompt
	// prefix; 0 if it shares nothing.
	Affinity uint64
	// Excluded holds the IDs of targets that have already failed this request.
	Excluded map[string]bool
	// Grant is the slot that an allocator has granted to the request; nil without one.
	Grant *Grant
	// IsHedge limits the choice to targets with idle room that are neither leaving nor worse
	// than the others, of a service that is not short of room.
	IsHedge bool
}

// Balancer chooses targets. The zero value is not usable; see New.
type Balancer struct {
	now    func() time.Time
	random func() uint64

	mu       sync.Mutex
	loads    map[string]*localLoad
	peers    map[string]*peerLoad
	overlays map[overlayKey]overlay
	speeds   speeds
	sequence int64
	// freed is closed and replaced when capacity may have become free and a Pick has failed
	// since the last time; hasWaiters records such a failure.
	freed      chan struct{}
	hasWaiters bool
	// onLoadChanged is called with the ID of each target whose local load has changed.
	onLoadChanged func(target string)
	// blockedFor returns for how long the limit of a target allows no request there.
	blockedFor func(target string) time.Duration
}

// localLoad is the state of a target as observed from this instance's own requests.
type localLoad struct {
	Load
	tokens int
	health health
	notice notice
	// unanswered holds the requests that have not received the first byte of an answer.
	unanswered map[*Ticket]bool
	// grants holds the number of requests in flight that each allocator has granted.
	grants map[int64]int
}

// overlayKey identifies a model at a target, or one of its adapters.
type overlayKey struct {
	target, model, adapter string
}

// overlay is a recent change of a holding; held reports whether the target holds it since
// then.
type overlay struct {
	held  bool
	since time.Time
}

// isCurrent reports whether the overlay still takes precedence over the target table.
func (o overlay) isCurrent(now time.Time) bool {
	if o.held {
		return now.Sub(o.since) < heldOverlayTTL
	}
	return now.Sub(o.since) < notHeldOverlayTTL
}

// Option configures a Balancer in New.
type Option func(*Balancer)

// WithClock sets the clock that the balancer reads.
func WithClock(now func() time.Time) Option { return func(b *Balancer) { b.now = now } }

// WithRandom sets the source of random numbers by which equal targets are told apart.
func WithRandom(random func() uint64) Option { return func(b *Balancer) { b.random = random } }

// WithLoadChanged sets the function that is called with the ID of each target whose local load
// has changed. It runs with the balancer's lock held, so it must not call the balancer.
func WithLoadChanged(onLoadChanged func(target string)) Option {
	return func(b *Balancer) { b.onLoadChanged = onLoadChanged }
}

// WithLimits sets the function that returns for how long the limit that a target names allows
// no request there; 0 if it allows one. It runs with the balancer's lock held, so it must not
// call the balancer.
func WithLimits(blockedFor func(target string) time.Duration) Option {
	return func(b *Balancer) { b.blockedFor = blockedFor }
}

// New returns a balancer without any load.
func New(options ...Option) *Balancer {
	b := &Balancer{
		now: time.Now, random: rand.Uint64, loads: map[string]*localLoad{}, peers: map[string]*peerLoad{}, overlays: map[overlayKey]overlay{},
		speeds: newSpeeds(), freed: make(chan struct{}), onLoadChanged: func(string) {},
		blockedFor: func(string) time.Duration { return 0 },
	}
	for _, option := range options {
		option(b)
	}
	return b
}

// Pick chooses a target and counts the request there until Ticket.End is called. The error
// is one of the error values of this package, or a FullError.
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
		b.hasWaiters = b.hasWaiters || !r.IsHedge
		return nil, err
	}
	if r.IsHedge && b.isShort(view, r.Service, now) {
		return nil, ErrShort
	}
	best, full := b.choose(candidates, service, r, now)
	if best == nil {
		b.hasWaiters = b.hasWaiters || !r.IsHedge
		return nil, full
	}
	ticket := &Ticket{
		Target: best, balancer: b, request: r, chosenAt: now, pending: b.speeds.atUsual(r.Model) * float64(r.PromptTokens),
		measuresRead: isMeasurable(b.totalLoad(best.ID, now), best),
	}
	l := b.localLoad(best.ID)
	l.InFlight++
	l.Pending += ticket.pending
	l.tokens += r.Tokens
	l.unanswered[ticket] = true
	l.countGrant(r.Grant)
	ticket.countReturn(l)
	b.reportChange(r.Grant, best.ID)
	return ticket, nil
}

// candidates returns the targets that hold the model and adapter of the request.
func (b *Balancer) candidates(view *registrar.View, r Request, now time.Time) ([]*registrar.Target, error) {
	out := []*registrar.Target{}
	reason := ErrNoTarget
	for _, t := range view.TargetsOf(r.Service) {
		if t.Leaving || r.Excluded[t.ID] || b.noticeOf(t).hasLeft(now) {
			continue
		}
		if r.Model == "" {
			out = append(out, t)
			continue
		}
		if !b.holds(t, r.Model, "", now) {
			reason = moreSpecificError(reason, ErrNoModel)
			continue
		}
		if r.Adapter != "" && !b.holds(t, r.Model, r.Adapter, now) {
			reason = moreSpecificError(reason, ErrNoAdapter)
			continue
		}
		out = append(out, t)
	}
	if len(out) == 0 {
		return nil, reason
	}
	return out, nil
}

// moreSpecificError returns the error that better explains why there is no target.
func moreSpecificError(a, b error) error {
	if errors.Is(a, ErrNoAdapter) || errors.Is(b, ErrNoAdapter) {
		return ErrNoAdapter
	}
	return b
}

// holds reports whether a target holds a model, or one of its adapters, according to the
// target table and the overlays.
func (b *Balancer) holds(t *registrar.Target, model, adapter string, now time.Time) bool {
	if o, ok := b.overlays[overlayKey{t.ID, model, adapter}]; ok && o.isCurrent(now) {
		return o.held
	}
	holding, ok := t.Holding(model)
	return ok && (adapter == "" || holding.Has(adapter))
}

// Holds reports whether a target holds a model or, if adapter is not empty, that adapter
// of it.
func (b *Balancer) Holds(t *registrar.Target, model, adapter string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.holds(t, model, adapter, b.now())
}

// localLoad returns the local load of a target and creates it if necessary. The lock must
// be held.
func (b *Balancer) localLoad(id string) *localLoad {
	l := b.loads[id]
	if l == nil {
		l = &localLoad{unanswered: map[*Ticket]bool{}}
		b.loads[id] = l
	}
	return l
}

// TotalInFlight returns the number of requests that all instances together have in flight
// at a target.
func (b *Balancer) TotalInFlight(id string) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.totalLoad(id, b.now()).InFlight
}

// CapacityFreed returns a channel that is closed when capacity may have become free after
// a failed Pick. A caller must obtain it before it calls Pick, or it may miss the signal.
func (b *Balancer) CapacityFreed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.freed
}

// Prune drops the state of removed targets, expired overlays and expired reports of peers.
func (b *Balancer) Prune(view *registrar.View) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now := b.now()
	for id, l := range b.loads {
		if view.Targets[id] == nil && l.InFlight == 0 && !l.notice.isCurrent(now) {
			delete(b.loads, id)
		}
	}
	b.speeds.update(func(target string) bool { return view.Targets[target] != nil })
	for key, o := range b.overlays {
		if !o.isCurrent(now) {
			delete(b.overlays, key)
		}
	}
	for name, p := range b.peers {
		if !now.Before(p.until) {
			delete(b.peers, name)
		}
	}
}

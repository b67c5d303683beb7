// Package balancer chooses the target of a request among those that could run it.
// It counts what this instance has in flight at each target, adds what its peers
// say of theirs, and judges targets by how their answers compare with those of
// their siblings. It answers uneven load and targets that fail behind a good
// health check; it does no input or output.
package balancer

import (
	"math/rand/v2"
	"sync"
	"time"

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
	// freed is closed and replaced when a request ends while others wait, as those do
	// for which waiting was set since.
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
		b.waiting = true
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

// Freed returns a channel that is closed when a request ends after a choice that found
// no target. Taken before the choice, it misses nothing.
func (b *Balancer) Freed() <-chan struct{} {
	b.mu.Lock()
	defer b.mu.Unlock()
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

// Package tallier counts what the callers of an instance ask for of each model and
// adapter, and adds up what instances tell each other of it.
package tallier

import (
	"math"
	"sync"
	"time"

	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	// memory is the time after which a request weighs 1/e in a rate.
	memory = 2500 * time.Millisecond
	// newsLife is how long what a peer told counts.
	newsLife = 2 * time.Second
	// negligible is the rate, in requests a second, below which a key is forgotten.
	negligible = 0.01
)

// Key names a model of a service, or with Adapter one of its adapters.
type Key struct {
	Service string
	Model   string
	Adapter string
}

// Demand is what is asked of a key.
type Demand struct {
	// Rate is in requests a second, Work in tokens a second.
	Rate float64
	Work float64
	// Waiting is the number of requests that found no target lately.
	Waiting int
}

// Tallier counts demand. The zero value is not usable; see New.
type Tallier struct {
	now func() time.Time

	mu    sync.Mutex
	own   map[Key]*counter
	peers map[string]told
}

// counter fades as time passes.
type counter struct {
	requests float64
	tokens   float64
	waiting  float64
	at       time.Time
}

type told struct {
	demand map[Key]Demand
	until  time.Time
}

// New returns a tallier without demand.
func New() *Tallier {
	return &Tallier{now: time.Now, own: map[Key]*counter{}, peers: map[string]told{}}
}

// Add counts a request and the tokens that it asks for.
func (t *Tallier) Add(key Key, tokens int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	c := t.faded(key)
	c.requests++
	c.tokens += float64(tokens)
}

// AddWaiting counts a look in vain for a target.
func (t *Tallier) AddWaiting(key Key) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.faded(key).waiting++
}

func (t *Tallier) faded(key Key) *counter {
	now := t.now()
	c := t.own[key]
	if c == nil {
		c = &counter{at: now}
		t.own[key] = c
	}
	factor := math.Exp(-now.Sub(c.at).Seconds() / memory.Seconds())
	c.requests *= factor
	c.tokens *= factor
	c.waiting *= factor
	c.at = now
	return c
}

// Own returns the demand at this instance, for its peers.
func (t *Tallier) Own() []messenger.GatewayDemand {
	t.mu.Lock()
	defer t.mu.Unlock()
	out := []messenger.GatewayDemand{}
	for key := range t.own {
		c := t.faded(key)
		rate := c.requests / memory.Seconds()
		if rate < negligible && c.waiting < negligible {
			delete(t.own, key)
			continue
		}
		out = append(out, messenger.GatewayDemand{
			Service: key.Service, Model: key.Model, Adapter: key.Adapter, Rate: rate,
			Work: c.tokens / memory.Seconds(), Waiting: int(math.Round(c.waiting)),
		})
	}
	return out
}

// SetPeer takes what a peer told of its demand.
func (t *Tallier) SetPeer(instance string, demand []messenger.GatewayDemand) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.peers[instance] = told{demand: index(demand), until: t.now().Add(newsLife)}
}

func index(demand []messenger.GatewayDemand) map[Key]Demand {
	out := make(map[Key]Demand, len(demand))
	for _, d := range demand {
		out[Key{d.Service, d.Model, d.Adapter}] = Demand{Rate: d.Rate, Work: d.Work, Waiting: d.Waiting}
	}
	return out
}

// Total returns the demand of all instances.
func (t *Tallier) Total() map[Key]Demand {
	total := index(t.Own())
	t.mu.Lock()
	defer t.mu.Unlock()
	now := t.now()
	for name, peer := range t.peers {
		if !now.Before(peer.until) {
			delete(t.peers, name)
			continue
		}
		for key, d := range peer.demand {
			sum := total[key]
			sum.Rate += d.Rate
			sum.Work += d.Work
			sum.Waiting += d.Waiting
			total[key] = sum
		}
	}
	return total
}

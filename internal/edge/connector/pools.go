package connector

import (
	"sync"
	"time"
)

// Pools holds a pool for each address in use. The zero value is not usable; see
// NewPools.
type Pools struct {
	mu    sync.Mutex
	pools map[string]*Pool
}

// NewPools returns an empty set of pools.
func NewPools() *Pools {
	return &Pools{pools: map[string]*Pool{}}
}

// For returns the pool for an address.
func (s *Pools) For(address string) *Pool {
	s.mu.Lock()
	defer s.mu.Unlock()
	pool := s.pools[address]
	if pool == nil {
		pool = New(address)
		s.pools[address] = pool
	}
	return pool
}

// Prune closes the idle connections that have expired at now and removes the pools
// that have long been unused, so that pools of replaced targets don't accumulate. A
// caller that still uses a removed pool can go on using it.
func (s *Pools) Prune(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for address, pool := range s.pools {
		if pool.prune(now) {
			delete(s.pools, address)
		}
	}
}

// prune closes the idle connections that have expired and reports whether the pool
// can be removed.
func (p *Pool) prune(now time.Time) bool {
	p.mu.Lock()
	kept := make([]*conn, 0, len(p.idle))
	expired := []*conn{}
	for _, c := range p.idle {
		if now.Before(c.expires) {
			kept = append(kept, c)
		} else {
			expired = append(expired, c)
		}
	}
	p.idle = kept
	isUnused := len(kept) == 0 && now.After(p.usedAt.Add(unusedPoolLifetime))
	p.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
	return isUnused
}

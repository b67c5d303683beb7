package prefixer

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	mostAtOnce    = 16 // engines asked at once
	eventsRemoved = "Removed"
)

// position is how far the events of an engine were read.
type position struct {
	incarnation string
	sequence    int64
}

// Follower reads the cache events of engines into a table.
type Follower struct {
	table  *Table
	fleet  *keeper.Fleet
	events func(address string, since int64) (messenger.CacheEvents, error)
	now    func() time.Time

	mu        sync.Mutex
	positions map[string]position // by target
}

// NewFollower returns a follower of the engines of a fleet. events reads those
// of one engine after a sequence number.
func NewFollower(
	table *Table, fleet *keeper.Fleet, events func(address string, since int64) (messenger.CacheEvents, error),
) *Follower {
	return &Follower{table: table, fleet: fleet, events: events, now: time.Now, positions: map[string]position{}}
}

// Tick reads what each engine has published since the last tick.
func (f *Follower) Tick() {
	var group errgroup.Group
	group.SetLimit(mostAtOnce)
	targets := f.fleet.View().Targets
	for _, t := range targets {
		if t.Kind != keeper.Engine || t.Leaving || t.Silent {
			continue
		}
		group.Go(func() error {
			f.follow(t)
			return nil
		})
	}
	_ = group.Wait()
	f.drop(targets)
}

// follow reads the events of one engine. After a restart its cache is empty and
// its sequence begins anew.
func (f *Follower) follow(t *keeper.Target) {
	at := f.position(t.ID)
	if at.incarnation != t.Incarnation {
		f.table.Forget(t.ID)
		at = position{incarnation: t.Incarnation}
	}
	read, err := f.events(t.Address, at.sequence)
	if err != nil {
		return
	}
	now := f.now()
	for _, e := range read.Events {
		key := KeyOf(e.Model, e.Prefix)
		if e.Kind == eventsRemoved {
			f.table.Removed(t.ID, key)
		} else {
			f.table.Stored(now, t.ID, key)
		}
	}
	at.sequence = read.Last
	f.mu.Lock()
	f.positions[t.ID] = at
	f.mu.Unlock()
}

func (f *Follower) position(target string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positions[target]
}

// drop forgets the targets that are no longer known.
func (f *Follower) drop(known map[string]*keeper.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.positions {
		if known[id] == nil {
			f.table.Forget(id)
			delete(f.positions, id)
		}
	}
}

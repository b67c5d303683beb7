package prefixer

import (
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/crocusring/crocusring/internal/edge/commander"
	"github.com/crocusring/crocusring/internal/state/keeper"
	"github.com/crocusring/crocusring/internal/wire/messenger"
)

const (
	maxConcurrent = 16 // concurrent requests to engines
	// eventRemoved is the kind of event that reports the removal of a prefix.
	eventRemoved = "Removed"
)

// position is the last event that was read from an engine.
type position struct {
	incarnation string
	sequence    int64
}

// Follower keeps a table up to date with the cache events of engines.
type Follower struct {
	table  *Table
	fleet  *keeper.Fleet
	events func(address string, since int64) (messenger.CacheEvents, error)
	now    func() time.Time

	mu        sync.Mutex
	positions map[string]position // by target
}

// NewFollower returns a follower of the engines of a fleet. The function events
// reads the cache events of one engine that follow a sequence number.
func NewFollower(
	table *Table, fleet *keeper.Fleet, events func(address string, since int64) (messenger.CacheEvents, error),
) *Follower {
	return &Follower{table: table, fleet: fleet, events: events, now: time.Now, positions: map[string]position{}}
}

// Tick reads the events that each engine has published since the last call.
func (f *Follower) Tick() {
	var group errgroup.Group
	group.SetLimit(maxConcurrent)
	targets := f.fleet.View().Targets
	now := f.now()
	for _, t := range targets {
		if t.Kind != keeper.Engine || t.Leaving || t.Silent || t.IsQuiet(now) {
			continue
		}
		group.Go(func() error {
			f.follow(t)
			return nil
		})
	}
	_ = group.Wait()
	f.removeUnknown(targets)
}

// follow reads the events of one engine. After a restart of the engine, its cache is
// empty and its sequence numbers start again.
func (f *Follower) follow(t *keeper.Target) {
	pos := f.position(t.ID)
	if pos.incarnation != t.Incarnation {
		f.table.RemoveTarget(t.ID)
		pos = position{incarnation: t.Incarnation}
	}
	published, err := f.events(t.Address, pos.sequence)
	commander.NoteQuiet(f.fleet, t, f.now(), err)
	if err != nil {
		return
	}
	now := f.now()
	for _, e := range published.Events {
		key := KeyOf(e.Model, e.Prefix)
		if e.Kind == eventRemoved {
			f.table.Remove(t.ID, key)
		} else {
			f.table.Insert(now, t.ID, key)
		}
	}
	pos.sequence = published.Last
	f.mu.Lock()
	f.positions[t.ID] = pos
	f.mu.Unlock()
}

// position returns the position in the events of a target.
func (f *Follower) position(target string) position {
	f.mu.Lock()
	defer f.mu.Unlock()
	return f.positions[target]
}

// removeUnknown removes from the table the targets whose events were read and that
// are not in known.
func (f *Follower) removeUnknown(known map[string]*keeper.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	for id := range f.positions {
		if known[id] == nil {
			f.table.RemoveTarget(id)
			delete(f.positions, id)
		}
	}
}

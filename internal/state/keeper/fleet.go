// Package keeper holds the tables of the system: the catalog of what operators
// configured, and the fleet of instances and targets as last heard of. Readers
// take an immutable view; writers replace it.
package keeper

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind says what a target is.
type Kind string

// Kinds of target.
const (
	Engine Kind = "Engine"
	Plain  Kind = "Service"
)

// State is the state of a holding as its engine reports it.
type State string

// States of a holding.
const (
	Loading   State = "Loading"
	Loaded    State = "Loaded"
	Unloading State = "Unloading"
)

// Holding is a model or adapter in the memory of a target.
type Holding struct {
	Name  Name
	Bytes int64
	State State
}

// Report is the state of an engine as it told at ReportedAt; the zero time
// means that it never told.
type Report struct {
	Incarnation   string
	MemoryBytes   int64
	UsedBytes     int64
	Running       int
	Queued        int
	HighestFence  int64
	Holdings      []Holding
	AppliedOrders []string
	SaysLeaving   bool
	ReportedAt    time.Time
}

// Target is a model engine or a plain service.
type Target struct {
	Report

	ID            string
	Address       string
	DataCentre    string
	Kind          Kind
	ChecksFencing bool
	// Leaving stays set for as long as the target is known under its ID, so that
	// a flapping list does not bring it back.
	Leaving bool
	// Counter counts the requests of this instance on the target. It is shared
	// by all views.
	Counter *Counter
	// Draining names holdings that take no new requests, because an order to
	// unload them is recorded.
	Draining []Name
}

// Counter counts requests of this instance on one target.
type Counter struct {
	InFlight atomic.Int64
	// SentAfterReport counts the requests sent since the last report.
	SentAfterReport atomic.Int64
}

// Holds reports whether the target has the name loaded and not draining.
func (t *Target) Holds(name Name) bool {
	if slices.Contains(t.Draining, name) || slices.Contains(t.Draining, name.Base()) {
		return false
	}
	return slices.ContainsFunc(t.Holdings, func(h Holding) bool { return h.Name == name && h.State == Loaded })
}

// Instance is an entry instance.
type Instance struct {
	ID          string
	Incarnation string
	Address     string
	PeerAddress string
	DataCentre  string
	Leaving     bool
	Revision    int64
	InFlight    int
	HeardAt     time.Time
}

// View is the fleet at one moment. It must not be changed.
type View struct {
	Targets   map[string]*Target
	Instances map[string]*Instance
	holders   map[Name][]*Target
}

// Holders returns the targets that hold a name, leaving ones excluded.
func (v *View) Holders(name Name) []*Target {
	return v.holders[name]
}

// Fleet is the table of instances and targets. Each change makes a new view;
// a fleet that one instance hears of has tens of targets, so that copying costs
// less than locking on the request path would.
type Fleet struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	f := &Fleet{}
	f.view.Store(&View{Targets: map[string]*Target{}, Instances: map[string]*Instance{}})
	return f
}

// View returns the present view.
func (f *Fleet) View() *View {
	return f.view.Load()
}

// ChangeTarget applies change to a target, which is added if it is not known.
func (f *Fleet) ChangeTarget(id string, change func(*Target)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	t := Target{ID: id, Counter: &Counter{}}
	if known := old.Targets[id]; known != nil {
		t = *known
	}
	change(&t)
	targets := maps.Clone(old.Targets)
	targets[id] = &t
	f.view.Store(newView(targets, old.Instances))
}

// RemoveTarget removes a target.
func (f *Fleet) RemoveTarget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	targets := maps.Clone(old.Targets)
	delete(targets, id)
	f.view.Store(newView(targets, old.Instances))
}

// ChangeInstance applies change to an instance, which is added if it is not known.
func (f *Fleet) ChangeInstance(id string, change func(*Instance)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	in := Instance{ID: id}
	if known := old.Instances[id]; known != nil {
		in = *known
	}
	change(&in)
	instances := maps.Clone(old.Instances)
	instances[id] = &in
	f.view.Store(newView(old.Targets, instances))
}

// RemoveInstance removes an instance.
func (f *Fleet) RemoveInstance(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	instances := maps.Clone(old.Instances)
	delete(instances, id)
	f.view.Store(newView(old.Targets, instances))
}

func newView(targets map[string]*Target, instances map[string]*Instance) *View {
	v := &View{Targets: targets, Instances: instances, holders: map[Name][]*Target{}}
	for _, id := range slices.Sorted(maps.Keys(targets)) {
		t := targets[id]
		if t.Leaving {
			continue
		}
		for _, h := range t.Holdings {
			if t.Holds(h.Name) {
				v.holders[h.Name] = append(v.holders[h.Name], t)
			}
		}
	}
	return v
}

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
	// Running counts the requests that run or wait for it.
	Running int
}

// Report is the state of an engine as it told at ReportedAt; the zero time
// means that it never told.
type Report struct {
	Incarnation   string
	Role          string
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
	// Leaving tells that the target takes no new work: the list says so now, or
	// anyone said so before of this incarnation.
	Leaving       bool
	ListedLeaving bool
	// Marks are the incarnations that were said to leave. They stay, so that a
	// flapping list does not bring a target back.
	Marks []LeavingMark
	// RemoveAt is when a target that is no longer listed is removed; zero for a
	// listed one.
	RemoveAt time.Time
	// Silent tells that reports are missing, so that the target takes no new work.
	Silent bool
	// ChangingUntil is the deadline until which its holdings are expected to change.
	ChangingUntil time.Time
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
	// InFlightAtReport is InFlight as it was when the last report was asked for.
	InFlightAtReport atomic.Int64
}

// Holds reports whether the target has the name loaded and not draining.
func (t *Target) Holds(name Name) bool {
	return slices.ContainsFunc(t.Holdings, func(h Holding) bool { return h.Name == name && t.serves(h) })
}

// serves reports whether a holding of the target takes new requests.
func (t *Target) serves(h Holding) bool {
	return h.State == Loaded && !slices.Contains(t.Draining, h.Name) && !slices.Contains(t.Draining, h.Name.Base())
}

// Instance is an entry instance.
type Instance struct {
	ID          string
	Incarnation string
	StartedAt   time.Time
	Address     string
	DataCentre  string
	Leaving     bool
	Revision    int64
	InFlight    int
	// QuietFence is a fencing number of the control lease below which this
	// incarnation sends no order any more.
	QuietFence int64
	// HeardAt is when the last heartbeat of the instance itself came.
	HeardAt time.Time
	// Sequence is that of the last heartbeat.
	Sequence int64
	// AliveUntil, GoneAt and ForgetAt are the deadlines of the failure detector.
	AliveUntil time.Time
	GoneAt     time.Time
	ForgetAt   time.Time
	// Listed, ListedAddress and ListedLeaving are what the platform's list says.
	Listed        bool
	ListedAddress string
	ListedLeaving bool
	// MarkedLeaving tells that this incarnation was said to leave.
	MarkedLeaving bool
	// Retired are earlier incarnations.
	Retired []string
}

// View is the fleet at one moment. It must not be changed.
type View struct {
	Targets   map[string]*Target
	Instances map[string]*Instance
	holders   map[Name][]*Target
}

// Holders returns the targets that hold a name, leaving and silent ones excluded.
func (v *View) Holders(name Name) []*Target {
	return v.holders[name]
}

// Fleet is the table of instances and targets. Each change makes a new view;
// a fleet that one instance hears of has tens of targets, so that copying costs
// less than locking on the request path would.
type Fleet struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// marks keeps the leaving marks of removed targets.
	marks map[string][]LeavingMark
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	f := &Fleet{marks: map[string][]LeavingMark{}}
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
	t := Target{ID: id, Counter: &Counter{}, Marks: f.marks[id]}
	if known := old.Targets[id]; known != nil {
		t = *known
	}
	change(&t)
	t.settle()
	delete(f.marks, id)
	targets := maps.Clone(old.Targets)
	targets[id] = &t
	f.view.Store(newView(targets, old.Instances))
}

// RemoveTarget removes a target. Its leaving marks are kept, in case that the
// list names it again.
func (f *Fleet) RemoveTarget(id string) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	targets := maps.Clone(old.Targets)
	if known := targets[id]; known != nil && len(known.Marks) > 0 {
		f.marks[id] = known.Marks
	}
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
		if t.Leaving || t.Silent {
			continue
		}
		for _, h := range t.Holdings {
			if t.serves(h) {
				v.holders[h.Name] = append(v.holders[h.Name], t)
			}
		}
	}
	return v
}

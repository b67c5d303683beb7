// Package keeper holds the in-memory tables of an instance: the catalog, which is
// what operators configured, and the fleet, which is the last known state of the
// instances and targets. Readers get an immutable view; writers replace it.
package keeper

import (
	"maps"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

// Kind is the kind of a target.
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
	// Running is the number of requests that run on the holding or wait for it.
	Running int
}

// Report is the state of an engine that it reported at ReportedAt. A zero ReportedAt
// means that it has not reported yet.
type Report struct {
	Incarnation    string
	Role           string
	MemoryBytes    int64
	UsedBytes      int64
	Running        int
	Queued         int
	HighestFence   int64
	Holdings       []Holding
	AppliedOrders  []string
	ReportsLeaving bool
	ReportedAt     time.Time
}

// Target is a model engine or a plain service.
type Target struct {
	Report

	ID            string
	Address       string
	DataCentre    string
	Kind          Kind
	ChecksFencing bool
	// Leaving is set if the target accepts no new work: the list marks it as leaving
	// now, or any source marked this incarnation as leaving before.
	Leaving       bool
	ListedLeaving bool
	// Marks are the incarnations that were marked as leaving. They are kept when the list
	// no longer shows the mark: a list that changes back does not undo the leaving.
	Marks []LeavingMark
	// RemoveAt is the deadline after which an unlisted target is removed. It is zero
	// for a listed one.
	RemoveAt time.Time
	// Silent is set while reports are overdue, so that the target accepts no new work.
	Silent bool
	// ChangingUntil is the deadline until which its holdings are expected to change.
	ChangingUntil time.Time
	// Counter counts the requests of this instance on the target. All views share it.
	Counter *Counter
	// Draining lists holdings that accept no new requests, because an order to unload
	// them is recorded.
	Draining []Name
}

// Counter counts requests of this instance on one target, and holds them back while the
// target wants none.
type Counter struct {
	InFlight atomic.Int64
	// SentAfterReport counts the requests sent since the last report.
	SentAfterReport atomic.Int64
	// InFlightAtReport is the value of InFlight when the last report was requested.
	InFlightAtReport atomic.Int64

	pace atomic.Pointer[pace] // nil if the target has never asked for quiet
}

// Holds reports whether the target has loaded the name and is not draining it.
func (t *Target) Holds(name Name) bool {
	return slices.ContainsFunc(t.Holdings, func(h Holding) bool { return h.Name == name && t.serves(h) })
}

// serves reports whether a holding of the target accepts new requests.
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
	// QuietFence is a fencing token of the control lease below which this incarnation
	// sends no more orders.
	QuietFence int64
	// HeartbeatAt is when the last heartbeat was received from the instance itself.
	HeartbeatAt time.Time
	// Sequence is the sequence number of the last heartbeat.
	Sequence int64
	// AliveUntil, GoneAt and RemoveAfter are the deadlines of the failure detector.
	AliveUntil  time.Time
	GoneAt      time.Time
	RemoveAfter time.Time
	// Listed, ListedAddress and ListedLeaving are what the platform's list shows.
	Listed        bool
	ListedAddress string
	ListedLeaving bool
	// MarkedLeaving is set once this incarnation was marked as leaving.
	MarkedLeaving bool
	// Retired lists earlier incarnations.
	Retired []string
}

// View is the fleet at one moment. It must not be modified.
type View struct {
	Targets   map[string]*Target
	Instances map[string]*Instance
	holders   map[Name][]*Target
}

// Holders returns the targets that hold a name, without leaving and silent ones.
func (v *View) Holders(name Name) []*Target {
	return v.holders[name]
}

// Fleet is the table of instances and targets. Each change creates a new view: the
// fleet known to one instance has tens of targets, so that copying it costs less than
// locking it on the request path would.
type Fleet struct {
	mu   sync.Mutex
	view atomic.Pointer[View]
	// marks holds the leaving marks of removed targets.
	marks map[string][]LeavingMark
}

// NewFleet returns an empty fleet.
func NewFleet() *Fleet {
	f := &Fleet{marks: map[string][]LeavingMark{}}
	f.view.Store(&View{Targets: map[string]*Target{}, Instances: map[string]*Instance{}})
	return f
}

// View returns the current view.
func (f *Fleet) View() *View {
	return f.view.Load()
}

// ChangeTarget applies change to a target. An unknown target is added first.
func (f *Fleet) ChangeTarget(id string, change func(*Target)) {
	f.mu.Lock()
	defer f.mu.Unlock()
	old := f.view.Load()
	t := Target{ID: id, Counter: &Counter{}, Marks: f.marks[id]}
	if known := old.Targets[id]; known != nil {
		t = *known
	}
	change(&t)
	t.updateLeaving()
	delete(f.marks, id)
	targets := maps.Clone(old.Targets)
	targets[id] = &t
	f.view.Store(newView(targets, old.Instances))
}

// RemoveTarget removes a target. Its leaving marks are kept, in case the list names it
// again.
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

// ChangeInstance applies change to an instance. An unknown instance is added first.
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

// newView returns a view of the tables with its index of holders.
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

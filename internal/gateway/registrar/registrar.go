// Package registrar holds what an instance knows of the world it relays to: the
// routes and services that operators declare, and the targets that serve them.
// The facts come from outside systems and are already decoded; every change
// replaces the view as a whole, so that a reader sees one consistent state.
package registrar

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// View is one state of the tables. It is never changed after it was published.
type View struct {
	// Manifest is nil until the first one was read.
	Manifest *Manifest
	// Targets holds every known target by ID, leaving ones included.
	Targets map[string]*Target
	// byService holds the targets of each service, ordered by ID.
	byService map[string][]*Target
	routes    map[string][]*Route
}

// Service returns a declared service; nil if there is none of that name.
func (v *View) Service(name string) *Service {
	if v.Manifest == nil {
		return nil
	}
	return v.Manifest.Services[name]
}

// TargetsOf returns the targets of a service, ordered by ID.
func (v *View) TargetsOf(service string) []*Target { return v.byService[service] }

// Match returns the route whose host is host and whose prefix is the longest that
// begins path; nil if there is none.
func (v *View) Match(host, path string) *Route {
	for _, route := range v.routes[strings.ToLower(host)] {
		if strings.HasPrefix(path, route.Prefix) {
			return route
		}
	}
	return nil
}

// Registrar publishes views. The zero value is not usable; see New.
type Registrar struct {
	mu   sync.Mutex // held by writers
	view atomic.Pointer[View]
	// changed is closed and replaced at each new view.
	changed chan struct{}
}

// New returns a registrar that knows nothing.
func New() *Registrar {
	r := &Registrar{changed: make(chan struct{})}
	r.view.Store(&View{Targets: map[string]*Target{}})
	return r
}

// View returns the present state.
func (r *Registrar) View() *View { return r.view.Load() }

// Changed returns a channel that is closed at the next change.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetManifest publishes a manifest and reports whether it is newer than the
// present one; an older or equal one is not taken.
func (r *Registrar) SetManifest(m *Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if old.Manifest != nil && m.Version <= old.Manifest.Version {
		return false
	}
	r.publish(&View{Manifest: m, Targets: old.Targets, byService: old.byService, routes: indexRoutes(m)})
	return true
}

// Update publishes the targets that change leaves in the table that it is given, and
// returns the IDs of those that it left out since another one has come at their address.
func (r *Registrar) Update(change func(targets map[string]*Target)) (superseded []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	targets := maps.Clone(old.Targets)
	change(targets)
	superseded = dropSuperseded(targets)
	r.publish(&View{Manifest: old.Manifest, Targets: targets, byService: indexTargets(targets), routes: old.routes})
	return superseded
}

// dropSuperseded removes the targets at whose address a later one was born: their
// entries stay until they lapse, though nothing of them is left.
func dropSuperseded(targets map[string]*Target) []string {
	latest := make(map[string]int64, len(targets))
	for _, t := range targets {
		latest[t.Address] = max(latest[t.Address], t.Born)
	}
	var dropped []string
	for id, t := range targets {
		if t.Born > 0 && t.Born < latest[t.Address] {
			delete(targets, id)
			dropped = append(dropped, id)
		}
	}
	sort.Strings(dropped)
	return dropped
}

func (r *Registrar) publish(v *View) {
	r.view.Store(v)
	close(r.changed)
	r.changed = make(chan struct{})
}

func indexTargets(targets map[string]*Target) map[string][]*Target {
	index := map[string][]*Target{}
	for _, t := range targets {
		index[t.Service] = append(index[t.Service], t)
	}
	for _, list := range index {
		sort.Slice(list, func(i, j int) bool { return list[i].ID < list[j].ID })
	}
	return index
}

// indexRoutes orders the routes of each host by falling length of their prefix.
func indexRoutes(m *Manifest) map[string][]*Route {
	index := map[string][]*Route{}
	for _, route := range m.Routes {
		host := strings.ToLower(route.Host)
		index[host] = append(index[host], route)
	}
	for _, list := range index {
		sort.SliceStable(list, func(i, j int) bool { return len(list[i].Prefix) > len(list[j].Prefix) })
	}
	return index
}

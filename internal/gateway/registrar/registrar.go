// Package registrar holds what an instance knows of its environment: the routes and
// services that operators declare, and the targets that serve them. The data comes
// from outside systems and is already decoded. Each change publishes a new immutable
// view as a whole, so that a reader sees one consistent state.
package registrar

import (
	"maps"
	"sort"
	"strings"
	"sync"
	"sync/atomic"
)

// View is one state of the tables. It is immutable once published.
type View struct {
	// Manifest is nil until the first one has been read.
	Manifest *Manifest
	// Targets holds all known targets by ID, including leaving ones.
	Targets map[string]*Target
	// byService holds the targets of each service, sorted by ID.
	byService map[string][]*Target
	// routes holds the routes of each lower-case host, longest prefix first.
	routes map[string][]*Route
	// accounts holds the account of each key.
	accounts map[KeyDigest]*Account
}

// Service returns a declared service, or nil if there is none of that name.
func (v *View) Service(name string) *Service {
	if v.Manifest == nil {
		return nil
	}
	return v.Manifest.Services[name]
}

// TargetsOf returns the targets of a service, sorted by ID.
func (v *View) TargetsOf(service string) []*Target { return v.byService[service] }

// Match returns the route with the given host and the longest prefix that path starts
// with, or nil if there is none. The case of host is ignored.
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
	mu   sync.Mutex // serializes writers
	view atomic.Pointer[View]
	// changed is closed and replaced with each new view.
	changed chan struct{}
}

// New returns a registrar with an empty view.
func New() *Registrar {
	r := &Registrar{changed: make(chan struct{})}
	r.view.Store(&View{Targets: map[string]*Target{}})
	return r
}

// View returns the current view.
func (r *Registrar) View() *View { return r.view.Load() }

// Changed returns a channel that is closed when the next view is published.
func (r *Registrar) Changed() <-chan struct{} {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.changed
}

// SetManifest publishes a manifest and reports whether it is newer than the current
// one. A manifest with the same or an older version is ignored.
func (r *Registrar) SetManifest(m *Manifest) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	if old.Manifest != nil && m.Version <= old.Manifest.Version {
		return false
	}
	r.publish(&View{Manifest: m, Targets: old.Targets, byService: old.byService, routes: indexRoutes(m), accounts: indexAccounts(m)})
	return true
}

// Update calls change with a copy of the target table, which change edits in place, and
// publishes the result. It leaves out targets superseded by a later one at the same
// address, and returns their IDs.
func (r *Registrar) Update(change func(targets map[string]*Target)) (superseded []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	old := r.view.Load()
	targets := maps.Clone(old.Targets)
	change(targets)
	superseded = dropSuperseded(targets)
	r.publish(&View{Manifest: old.Manifest, Targets: targets, byService: indexTargets(targets), routes: old.routes, accounts: old.accounts})
	return superseded
}

// dropSuperseded removes each target at whose address another one started later. The
// entry of such a target stays in the store until it expires, although the process no
// longer exists. A target without a start time is kept.
func dropSuperseded(targets map[string]*Target) []string {
	latest := make(map[string]int64, len(targets))
	for _, t := range targets {
		latest[t.Address] = max(latest[t.Address], t.StartMilliseconds)
	}
	var dropped []string
	for id, t := range targets {
		if t.StartMilliseconds > 0 && t.StartMilliseconds < latest[t.Address] {
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

// indexRoutes groups the routes by lower-case host, longest prefix first.
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

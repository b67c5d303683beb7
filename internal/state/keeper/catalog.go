package keeper

import (
	"crypto/sha256"
	"slices"
	"strings"
)

// Name names what a request asks for or an engine holds: a model, or an adapter
// on a model, at a version. An empty Version stands for the configured one.
type Name struct {
	Model   string
	Adapter string
	Version string
}

// ParseName takes apart MODEL[:ADAPTER][@VERSION].
func ParseName(s string) Name {
	rest, version, _ := strings.Cut(s, "@")
	model, adapter, _ := strings.Cut(rest, ":")
	return Name{Model: model, Adapter: adapter, Version: version}
}

// String is the inverse of ParseName.
func (n Name) String() string {
	s := n.Model
	if n.Adapter != "" {
		s += ":" + n.Adapter
	}
	if n.Version != "" {
		s += "@" + n.Version
	}
	return s
}

// Base returns the model that an adapter needs.
func (n Name) Base() Name {
	return Name{Model: n.Model, Version: n.Version}
}

// Model is a configured model. Its Name is global: models of a team are named
// TEAM/NAME.
type Model struct {
	Name          string
	Version       string
	Bytes         int64
	Copies        int // least number of copies
	MaximumCopies int // 0 for no bound
}

// Adapter is a configured adapter of a model.
type Adapter struct {
	Model   string
	Name    string
	Version string
	Bytes   int64
}

// FullName is the adapter's name at engines, which tells its versions apart.
func (a Adapter) FullName() string {
	return a.Name + "." + a.Version
}

// Service is a configured plain service.
type Service struct {
	Name       string
	Repeatable bool
	Targets    []string
}

// Limit bounds the use of one team over all instances. Zero fields do not bound.
type Limit struct {
	RequestsPerSecond float64
	Burst             int
	InFlight          int
}

// Units returns the number of whole requests that the limit can be divided into:
// its least bound that counts requests, or 0 if none does. A rate without a burst
// has a burst of one.
func (l Limit) Units() int {
	units := l.InFlight
	if l.RequestsPerSecond > 0 && (units == 0 || l.BurstSize() < units) {
		units = l.BurstSize()
	}
	return units
}

// BurstSize returns how many requests a rate lets in at once, at least one.
func (l Limit) BurstSize() int { return max(1, l.Burst) }

// Team is a configured team.
type Team struct {
	Name   string
	Digest [sha256.Size]byte
	Limit  Limit
}

// Catalog is the accepted configuration at one revision. It is immutable, so
// that a request uses one revision from its start to its end.
type Catalog struct {
	Revision int64
	Models   map[string]Model
	Adapters map[string][]Adapter // by model
	Services map[string]Service
	Teams    map[string]Team
}

// NewCatalog returns an empty catalog.
func NewCatalog() *Catalog {
	return &Catalog{
		Models:   map[string]Model{},
		Adapters: map[string][]Adapter{},
		Services: map[string]Service{},
		Teams:    map[string]Team{},
	}
}

// Resolve returns the full name of what a team asks for and whether it is
// configured. A model of the team itself goes before one of the platform.
func (c *Catalog) Resolve(team string, asked Name) (Name, bool) {
	model, ok := c.Models[team+"/"+asked.Model]
	if !ok {
		model, ok = c.Models[asked.Model]
	}
	if !ok || !isVisible(team, model.Name) {
		return Name{}, false
	}
	full := Name{Model: model.Name, Version: model.Version}
	if asked.Version != "" && asked.Version != model.Version {
		return Name{}, false
	}
	if asked.Adapter == "" {
		return full, true
	}
	adapters := c.Adapters[model.Name]
	i := slices.IndexFunc(adapters, func(a Adapter) bool { return a.Name == asked.Adapter })
	if i < 0 {
		return Name{}, false
	}
	full.Adapter = adapters[i].FullName()
	return full, true
}

// isVisible reports whether a team may use a model: one of its own or one of
// the platform.
func isVisible(team, model string) bool {
	owner, _, owned := strings.Cut(model, "/")
	return !owned || owner == team
}
